// Stand-in of the platform's metadata store: keyed topics with appends, long polls and scans.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.hpp"
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

class Store {
 public:
  Store(std::string ip, std::uint16_t port)
      : m_server(std::move(ip), port, [this](const Request& request) { return handle(request); }) {}

  bool start() { return m_server.start(); }
  void stop() {
    m_stopping = true;
    m_changed.notify_all();
    m_server.stop();
  }

  /// All open connections to the store go silent; see Server.
  void silence_connections() { m_server.silence_connections(); }

  /// While the store is down it closes every connection without doing anything.
  void set_down(bool down) {
    m_down = down;
    m_changed.notify_all();
  }

  /// A record of the operator or of a worker. An empty value drops the key. Nothing is stored while
  /// the store is down.
  void put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    if (m_down) {
      return;
    }
    partition("keyed." + topic, "0").add(key, value);
    m_changed.notify_all();
  }

 private:
  using Clock = std::chrono::steady_clock;

  struct Record {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::deque<std::pair<std::uint64_t, std::string>> last;  // sequence and response
  };
  struct Partition {
    std::vector<Record> records;
    std::map<std::string, std::size_t> newest;  // offset by key
    std::map<std::string, Producer> producers;
    std::mutex append_mutex;  // appends are processed one at a time

    void add(const std::string& key, const std::string& value) {
      records.push_back({key, value});
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = records.size() - 1;
      }
    }
  };

  Partition& partition(const std::string& topic, const std::string& part) {
    auto& found = m_partitions[{topic, part}];
    if (!found) {
      found = std::make_unique<Partition>();
    }
    return *found;
  }

  static std::string big_endian(std::uint64_t number, int bytes) {
    std::string out;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
      out.push_back(static_cast<char>((number >> static_cast<unsigned>(shift)) & 0xffU));
    }
    return out;
  }

  static std::string base64(const std::string& text) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        group = (group << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        const bool present = i + j <= text.size();
        out.push_back(present ? digits[(group >> (18U - 6U * static_cast<unsigned>(j))) & 63U]
                              : '=');
      }
    }
    return out;
  }

  static std::uint64_t number(const Request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
  }
  static std::string text(const Request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  }

  std::optional<Response> handle(const Request& request) {
    if (m_down) {
      return std::nullopt;
    }
    if (request.path == "/log-append") {
      return append(request);
    }
    if (request.path == "/log-read") {
      return read(request);
    }
    if (request.path == "/log-newest") {
      return newest(request);
    }
    return Response{400, "{}"};
  }

  std::optional<Response> append(const Request& request) {
    const std::string topic = text(request, "Topic");
    if (topic == "keyed.op" || topic == "keyed.servers") {
      return Response{403, "{}"};
    }
    std::unique_lock lock(m_mutex);
    Partition& target = partition(topic, text(request, "part"));
    lock.unlock();
    const std::lock_guard one_at_a_time(target.append_mutex);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    lock.lock();
    if (m_down) {
      return std::nullopt;
    }
    return apply(request, target);
  }

  Response apply(const Request& request, Partition& target) {
    const std::string name = text(request, "Producer");
    const std::uint64_t sequence = number(request, "Sequence");
    if (!name.empty()) {
      Producer& producer = target.producers[name];
      const std::uint64_t epoch = number(request, "epoch");
      if (epoch < producer.epoch) {
        return {409, json{{"Reason", "fenced"}}.dump()};
      }
      if (epoch > producer.epoch) {
        // Stored only if the condition below holds.
        if (!condition_holds(request, target)) {
          return {412, json{{"End", target.records.size()}}.dump()};
        }
        producer = Producer{};
        producer.epoch = epoch;
        producer.sequence = sequence - 1;
      }
      for (const auto& [earlier, response] : producer.last) {
        if (earlier == sequence) {
          return {200, response};
        }
      }
      if (sequence != producer.sequence + 1) {
        return {409, json{{"Reason", "seq"}, {"Sequence", producer.sequence + 1}}.dump()};
      }
    }
    if (!condition_holds(request, target)) {
      return {412, json{{"End", target.records.size()}}.dump()};
    }
    const std::size_t offset = target.records.size();
    std::size_t at = 0;
    const std::string& body = request.body;
    while (at + 5 <= body.size()) {
      std::uint32_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(body[at++]);
      }
      const std::size_t key = static_cast<unsigned char>(body[at]);
      target.add(body.substr(at + 1, key), body.substr(at + 1 + key, length - 1 - key));
      at += length;
    }
    const std::string response = json{{"Offset", offset}, {"End", target.records.size()}}.dump();
    if (!name.empty()) {
      Producer& producer = target.producers[name];
      producer.sequence = sequence;
      producer.last.emplace_back(sequence, response);
      if (producer.last.size() > 5) {
        producer.last.pop_front();
      }
    }
    m_changed.notify_all();
    return {200, response};
  }

  static bool condition_holds(const Request& request, const Partition& target) {
    return request.query.count("At") == 0 || number(request, "At") == target.records.size();
  }

  std::optional<Response> read(const Request& request) {
    std::unique_lock lock(m_mutex);
    Partition& source = partition(text(request, "Topic"), text(request, "part"));
    const std::uint64_t from = number(request, "From");
    const std::uint64_t wait_ms = std::min<std::uint64_t>(number(request, "WaitMs"), 30'000);
    std::uint64_t max_bytes = number(request, "MaxKb") * 1'024;
    max_bytes = max_bytes == 0 ? 1'048'576 : max_bytes;
    const auto until = Clock::now() + std::chrono::milliseconds(wait_ms);
    m_changed.wait_until(lock, until,
                         [&] { return m_stopping || m_down || source.records.size() > from; });
    if (m_down) {
      return std::nullopt;
    }
    std::string body = big_endian(source.records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < source.records.size(); ++i) {
      const Record& record = source.records[i];
      const std::uint64_t length = 1 + record.key.size() + record.value.size();
      if (body.size() > 16 && body.size() + length > max_bytes) {
        break;
      }
      body += big_endian(length, 4);
      body.push_back(static_cast<char>(record.key.size()));
      body += record.key + record.value;
    }
    return Response{200, body};
  }

  Response newest(const Request& request) {
    const std::lock_guard lock(m_mutex);
    Partition& source = partition(text(request, "Topic"), text(request, "part"));
    json items = json::array();
    auto next = source.newest.upper_bound(text(request, "After"));
    if (request.query.count("After") == 0) {
      next = source.newest.begin();
    }
    constexpr std::size_t k_page = 500;
    for (; next != source.newest.end() && items.size() < k_page; ++next) {
      items.push_back({{"Key", next->first},
                       {"Value", base64(source.records[next->second].value)},
                       {"Offset", next->second}});
    }
    return {200, json{{"items", items},
                      {"HasMore", next != source.newest.end()},
                      {"End", source.records.size()}}
                     .dump()};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<Partition>> m_partitions;
  std::atomic<bool> m_stopping = false;
  std::atomic<bool> m_down = false;
  Server m_server;
};

}  // namespace review
