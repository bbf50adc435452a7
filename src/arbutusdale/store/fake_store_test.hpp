// Test doubles: an in-memory metadata store with injected faults, and a manually advanced timer.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace arbutusdale::store {

class FakeTimer final : public Timer {
 public:
  [[nodiscard]] TimePoint now() const override { return m_now; }
  [[nodiscard]] std::uint64_t wall_ms() const override {
    return k_epoch_ms + static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1'000);
  }
  void call_after(Duration delay, std::function<void()> action) override {
    m_actions.emplace(std::pair{m_now + std::max(delay, Duration::zero()), ++m_count},
                      std::move(action));
  }

  /// Advances the time by `duration` and runs the actions that become due.
  void advance(Duration duration) {
    const TimePoint end = m_now + duration;
    while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
      auto node = m_actions.extract(m_actions.begin());
      m_now = node.key().first;
      node.mapped()();
    }
    m_now = end;
  }

 private:
  static constexpr std::uint64_t k_epoch_ms = 1'767'225'600'000;

  TimePoint m_now{Duration{1'000'000'000}};
  std::uint64_t m_count = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_actions;
};

/// Keeps every record. After `trim` the older ones can no longer be read, but a scan still returns
/// the newest record of each key.
class FakeStore final : public MetadataStore {
 public:
  explicit FakeStore(Timer& timer) : m_timer(timer) {}

  bool down = false;           // refuses every call
  int lost_replies = 0;        // number of appends that are applied and get no reply
  int false_refusals = 0;      // number of appends that are applied and answered as refused
  int unreadable_replies = 0;  // number of appends that are not applied and answered with nonsense
  std::optional<AppendReply> wrong_reply;        // to the next append, which is not applied
  std::optional<AppendReply> wrong_claim_reply;  // the same, to the next claim of a producer
  bool forgets_replies = false;                  // answers a repeat with the number that it expects
  bool repeats_ignore_epoch = false;  // an append with a known number is a repeat in any epoch
  int late_appends = 0;  // number of appends that get no reply and are applied after `late_by`
  Duration late_by = std::chrono::seconds{3};
  Duration latency = std::chrono::milliseconds{10};
  int appends = 0;                         // number of appends applied
  std::vector<ProducerStamp> conditional;  // stamps of the appends with an expected end
  /// An append without records sets the epoch only; its number is not counted.
  bool empty_appends_count = true;
  /// A number of a producer's epoch has come with other records than before.
  bool number_was_reused = false;
  Duration append_time{};              // of one append; a partition processes one at a time
  std::optional<RecordLimits> limits;  // empty: records and appends of any size are taken
  int too_large_appends = 0;           // number of appends refused for their size

  void append(AppendRequest request, AppendDone done) override {
    if (request.expected_end && request.stamp) {
      conditional.push_back(*request.stamp);
    }
    note_number(request);
    Log& target = log(request.partition);
    const TimePoint begin = std::max(m_timer.now() + latency, target.busy_until);
    if (begin - m_timer.now() > k_max_queue_delay) {
      m_timer.call_after(latency, [done = std::move(done)] {
        done(tl::unexpected(AppendError{AppendFailure::refused, 0, "busy"}));
      });
      return;
    }
    target.busy_until = begin + append_time;
    m_timer.call_after(target.busy_until - m_timer.now(),
                       [this, request = std::move(request), done = std::move(done)] {
                         if (down) {
                           done(tl::unexpected(AppendError{AppendFailure::refused, 0, "down"}));
                           return;
                         }
                         if (late_appends > 0) {
                           --late_appends;
                           m_timer.call_after(late_by, [this, request] { (void)apply(request); });
                           time_out(request, done);
                           return;
                         }
                         if (unreadable_replies > 0) {
                           --unreadable_replies;
                           done(tl::unexpected(AppendError{AppendFailure::unknown, 0, "500"}));
                           return;
                         }
                         if (wrong_reply) {
                           done(*std::exchange(wrong_reply, std::nullopt));
                           return;
                         }
                         if (wrong_claim_reply && request.expected_end && request.stamp) {
                           done(*std::exchange(wrong_claim_reply, std::nullopt));
                           return;
                         }
                         auto reply = apply(request);
                         if (false_refusals > 0) {
                           --false_refusals;
                           done(tl::unexpected(AppendError{AppendFailure::refused, 0, "busy"}));
                           return;
                         }
                         if (lost_replies > 0) {
                           --lost_replies;
                           time_out(request, done);
                           return;
                         }
                         done(std::move(reply));
                       });
  }

  void read(ReadRequest request, ReadDone done) override {
    m_timer.call_after(latency, [this, request = std::move(request), done = std::move(done)] {
      serve_read(request, m_timer.now() + std::chrono::milliseconds{request.wait_ms}, done);
    });
  }

  void scan(Partition partition, std::string after_key, ScanDone done) override {
    m_timer.call_after(latency, [this, partition, after_key, done = std::move(done)] {
      if (down) {
        done(tl::unexpected(ReadError{ReadFailure::unavailable, "down"}));
        return;
      }
      done(scan_page(log(partition), after_key));
    });
  }

  /// Expires all records that a partition holds.
  void trim(const Partition& partition) {
    Log& trimmed = log(partition);
    trimmed.first = trimmed.records.size();
  }

  /// Loses what the newest append of the producer stored, as a store does that restarts from an
  /// older state.
  void forget_newest_append(const Partition& partition, const std::string& producer) {
    Log& target = log(partition);
    Producer& state = target.producers[producer];
    target.records.resize(state.recent.at(state.sequence).first_offset);
    state.recent.erase(state.sequence--);
  }

  /// Appends a record directly, as the operator and the workers do.
  void put(const Partition& partition, std::string key, std::string value) {
    Log& target = log(partition);
    target.records.push_back({target.records.size(), {std::move(key), std::move(value)}});
  }

  std::size_t page_size = 3;

 private:
  static constexpr Duration k_max_queue_delay = std::chrono::seconds{2};

  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, AppendReply> recent;  // by sequence
  };
  struct Log {
    std::vector<Record> records;
    std::uint64_t first = 0;  // records at lower offsets have expired
    std::map<std::string, Producer> producers;
    TimePoint busy_until{};
  };

  void note_number(const AppendRequest& request) {
    if (!request.stamp) {
      return;
    }
    std::string records;
    for (const KeyedValue& entry : request.entries) {
      records += entry.key + "=" + entry.value + ";";
    }
    const auto& [producer, epoch, sequence] = *request.stamp;
    const auto number =
        std::tuple{request.partition.topic, request.partition.index, producer, epoch, sequence};
    const auto [found, added] = m_sent.emplace(number, records);
    number_was_reused = number_was_reused || (!added && found->second != records);
  }

  Log& log(const Partition& partition) {
    return m_logs[partition.topic + "/" + std::to_string(partition.index)];
  }

  void time_out(const AppendRequest& request, const AppendDone& done) {
    m_timer.call_after(request.timeout, [done] {
      done(tl::unexpected(AppendError{AppendFailure::unknown, 0, "no reply"}));
    });
  }

  tl::expected<AppendReply, AppendError> apply(const AppendRequest& request) {
    Log& target = log(request.partition);
    if (request.stamp) {
      Producer& producer = target.producers[request.stamp->producer];
      if (request.stamp->epoch < producer.epoch) {
        return tl::unexpected(AppendError{AppendFailure::fenced, 0, "fenced"});
      }
      if (request.stamp->epoch == producer.epoch || repeats_ignore_epoch) {
        const auto repeat = producer.recent.find(request.stamp->sequence);
        if (repeat != producer.recent.end() && !forgets_replies) {
          return repeat->second;
        }
      }
      if (request.stamp->epoch == producer.epoch) {
        if (request.stamp->sequence != producer.sequence + 1) {
          return tl::unexpected(
              AppendError{AppendFailure::out_of_sequence, producer.sequence + 1, "sequence"});
        }
      }
    }
    if (request.expected_end && *request.expected_end != target.records.size()) {
      return tl::unexpected(AppendError{AppendFailure::end_mismatch, target.records.size(), "end"});
    }
    if (!is_within_limits(request)) {
      ++too_large_appends;
      return tl::unexpected(AppendError{AppendFailure::refused, 0, "too large"});
    }
    ++appends;
    AppendReply reply{target.records.size(), 0};
    for (const KeyedValue& entry : request.entries) {
      target.records.push_back({target.records.size(), entry});
    }
    reply.end = target.records.size();
    if (request.stamp) {
      Producer& producer = target.producers[request.stamp->producer];
      if (request.stamp->epoch > producer.epoch) {
        producer = repeats_ignore_epoch ? producer : Producer{};
        producer.epoch = request.stamp->epoch;
      }
      if (request.entries.empty() && !empty_appends_count) {
        return reply;
      }
      producer.sequence = request.stamp->sequence;
      producer.recent[request.stamp->sequence] = reply;
    }
    return reply;
  }

  [[nodiscard]] bool is_within_limits(const AppendRequest& request) const {
    if (!limits) {
      return true;
    }
    std::size_t bytes = 0;
    for (const KeyedValue& entry : request.entries) {
      if (content_bytes(entry) > limits->record) {
        return false;
      }
      bytes += k_record_length_bytes + content_bytes(entry);
    }
    return bytes <= limits->append;
  }

  void serve_read(const ReadRequest& request, TimePoint until, const ReadDone& done) {
    const Log& source = log(request.partition);
    if (down) {
      done(tl::unexpected(ReadError{ReadFailure::unavailable, "down"}));
      return;
    }
    if (request.from < source.first) {
      done(tl::unexpected(ReadError{ReadFailure::trimmed, "trimmed"}));
      return;
    }
    if (request.from >= source.records.size() && m_timer.now() < until) {
      m_timer.call_after(std::chrono::milliseconds{5},
                         [this, request, until, done] { serve_read(request, until, done); });
      return;
    }
    ReadReply reply;
    reply.end = source.records.size();
    reply.next_offset = request.from;
    for (; reply.next_offset < reply.end; ++reply.next_offset) {
      reply.records.push_back(source.records[reply.next_offset]);
    }
    done(std::move(reply));
  }

  ScanPage scan_page(const Log& source, const std::string& after_key) const {
    std::map<std::string, Record> newest;
    for (const Record& record : source.records) {
      newest[record.entry.key] = record;
    }
    ScanPage page;
    page.end = source.records.size();
    for (auto next = newest.upper_bound(after_key); next != newest.end(); ++next) {
      if (next->second.entry.value.empty()) {
        continue;
      }
      if (page.records.size() == page_size) {
        page.has_more = true;
        break;
      }
      page.records.push_back(next->second);
    }
    return page;
  }

  using AppendNumber =
      std::tuple<std::string, std::uint32_t, std::string, std::uint64_t, std::uint64_t>;

  Timer& m_timer;
  std::map<std::string, Log> m_logs;
  std::map<AppendNumber, std::string>
      m_sent;  // records by topic, partition, producer, epoch, number
};

}  // namespace arbutusdale::store
