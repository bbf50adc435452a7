// Test double: a store whose replies to reads share a rate and are sent in turn. It goes on sending
// a reply that its caller no longer waits for.
#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "fake_store_test.hpp"

namespace arbutusdale::store {

class RateLimitedStore final : public MetadataStore {
 public:
  RateLimitedStore(FakeStore& inner, FakeTimer& timer, std::size_t bytes_per_second)
      : m_inner(inner), m_timer(timer), m_bytes_per_second(bytes_per_second) {}

  std::size_t bytes_sent = 0;
  std::size_t timeouts = 0;

  /// Sends nothing for some time; replies queue up.
  void stall(Duration duration) { m_busy_until = std::max(m_busy_until, m_timer.now()) + duration; }

  void append(AppendRequest request, AppendDone done) override {
    m_inner.append(std::move(request), std::move(done));
  }
  void read(ReadRequest request, ReadDone done) override {
    const Duration timeout = std::chrono::milliseconds{request.wait_ms} + request.reply_timeout;
    const std::size_t max_bytes = request.max_kib * 1'024;
    ReadDone finish = limit_time<ReadReply>(timeout, std::move(done));
    m_inner.read(std::move(request), [this, max_bytes, finish = std::move(finish)](
                                         tl::expected<ReadReply, ReadError> reply) {
      if (reply) {
        truncate(*reply, max_bytes);
      }
      send(std::move(reply), finish);
    });
  }
  void scan(Partition partition, std::string after_key, ScanDone done) override {
    ScanDone finish = limit_time<ScanPage>(k_scan_timeout, std::move(done));
    m_inner.scan(std::move(partition), std::move(after_key),
                 [this, finish = std::move(finish)](tl::expected<ScanPage, ReadError> page) {
                   send(std::move(page), finish);
                 });
  }

 private:
  static constexpr Duration k_scan_timeout = std::chrono::seconds{2};
  static constexpr std::size_t k_header_bytes = 200;  // of a reply

  template <typename Reply>
  using Done = std::function<void(tl::expected<Reply, ReadError>)>;

  /// Passes on the reply, or an error at the end of `timeout`, whichever comes first.
  template <typename Reply>
  Done<Reply> limit_time(Duration timeout, Done<Reply> done) {
    const auto pending = std::make_shared<Done<Reply>>(std::move(done));
    m_timer.call_after(timeout, [this, pending] {
      if (Done<Reply> waiting = std::exchange(*pending, nullptr)) {
        ++timeouts;
        waiting(tl::unexpected(ReadError{ReadFailure::timed_out, "no reply"}));
      }
    });
    return [pending](tl::expected<Reply, ReadError> reply) {
      if (Done<Reply> waiting = std::exchange(*pending, nullptr)) {
        waiting(std::move(reply));
      }
    };
  }

  template <typename Reply>
  void send(tl::expected<Reply, ReadError> reply, const Done<Reply>& done) {
    std::size_t bytes = k_header_bytes;
    if (reply) {
      for (const Record& record : reply->records) {
        bytes += size_of(record);
      }
    }
    bytes_sent += bytes;
    m_busy_until = std::max(m_busy_until, m_timer.now()) +
                   std::chrono::microseconds{bytes * 1'000'000 / m_bytes_per_second};
    m_timer.call_after(m_busy_until - m_timer.now(),
                       [done, reply = std::move(reply)] { done(reply); });
  }

  static std::size_t size_of(const Record& record) {
    return k_record_length_bytes + content_bytes(record.entry);
  }

  /// Keeps the first record, and those after it that fit.
  static void truncate(ReadReply& reply, std::size_t max_bytes) {
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (; kept < reply.records.size(); ++kept) {
      bytes += size_of(reply.records[kept]);
      if (kept > 0 && bytes > max_bytes) {
        break;
      }
    }
    reply.next_offset -= reply.records.size() - kept;
    reply.records.resize(kept);
  }

  FakeStore& m_inner;
  FakeTimer& m_timer;
  const std::size_t m_bytes_per_second;
  TimePoint m_busy_until{};
};

}  // namespace arbutusdale::store
