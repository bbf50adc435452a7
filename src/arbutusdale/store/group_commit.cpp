// Batching, retries with the same sequence number, and outcomes at deadlines.
#include "arbutusdale/store/group_commit.hpp"

#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace arbutusdale::store {
namespace {

using observe::Event;
using observe::EventLine;

constexpr Duration k_refused_retry_delay = std::chrono::milliseconds{100};
constexpr Duration k_unknown_retry_delay = std::chrono::milliseconds{20};  // the first one
// A batch that the store never settles, such as one that it can't take, must not hold up those
// behind it for longer.
constexpr Duration k_max_settling_time = std::chrono::seconds{10};
constexpr std::size_t k_max_batch_entries = 256;
constexpr std::size_t k_max_batch_bytes = 1'000'000;
constexpr Duration k_min_timeout = std::chrono::milliseconds{250};
constexpr Duration k_max_timeout = std::chrono::seconds{2};
constexpr int k_timeout_factor = 4;             // of the smoothed latency
constexpr int k_latency_smoothing_divisor = 4;  // a new sample has a weight of 1/4

constexpr EnumNames<CommitOutcome, 4> k_outcome_names{{
    {CommitOutcome::stored, "stored"},
    {CommitOutcome::refused, "refused"},
    {CommitOutcome::unknown, "unknown"},
    {CommitOutcome::fenced, "fenced"},
}};

constexpr std::size_t k_max_logged_key_bytes = 64;

std::size_t bytes_of(const KeyedValue& entry) {
  return k_record_length_bytes + content_bytes(entry);
}

std::size_t bytes_of(const std::vector<KeyedValue>& entries) {
  std::size_t bytes = 0;
  for (const KeyedValue& entry : entries) {
    bytes += bytes_of(entry);
  }
  return bytes;
}

/// Outcome of a write in two parts.
CommitOutcome combine(CommitOutcome first, CommitOutcome second) {
  if (first == second) {
    return first;
  }
  const bool any_fenced = first == CommitOutcome::fenced || second == CommitOutcome::fenced;
  return any_fenced ? CommitOutcome::fenced : CommitOutcome::unknown;
}

/// Called once for each of `parts`; calls `done` with the outcome of all.
GroupCommit::Done join(std::size_t parts, GroupCommit::Done done) {
  struct State {
    std::size_t pending = 0;
    std::optional<CommitOutcome> outcome;
    GroupCommit::Done done;
  };
  const auto state = std::make_shared<State>(State{parts, std::nullopt, std::move(done)});
  return [state](CommitOutcome outcome) {
    state->outcome = combine(state->outcome.value_or(outcome), outcome);
    if (--state->pending == 0) {
      state->done(*state->outcome);
    }
  };
}

}  // namespace

GroupCommit::GroupCommit(MetadataStore& store, Timer& timer, Partition partition,
                         std::string producer, std::uint64_t epoch, std::uint64_t first_sequence,
                         std::optional<FailFastPolicy> fail_fast, EpochPolicy epoch_policy,
                         const RecordLimits& limits)
    : m_store(store),
      m_timer(timer),
      m_partition(std::move(partition)),
      m_producer(std::move(producer)),
      m_fail_fast(fail_fast),
      m_epoch_policy(epoch_policy),
      m_max_content_bytes(max_content_bytes(limits)),
      m_max_batch_bytes(std::min(k_max_batch_bytes, limits.append)),
      m_alive(std::make_shared<bool>(true)),
      m_epoch(epoch),
      m_sequence(first_sequence) {}

GroupCommit::~GroupCommit() {
  *m_alive = false;
}

void GroupCommit::write(std::vector<KeyedValue> entries, TimePoint deadline, Done done) {
  if (m_fenced) {
    done(CommitOutcome::fenced);
    return;
  }
  if (entries.empty()) {
    // To the store, an append without records only sets the epoch; its number is not counted.
    done(CommitOutcome::stored);
    return;
  }
  const bool store_is_failing =
      m_batch_active && m_fail_fast && has_failed_for(m_fail_fast->failing_for);
  if (store_is_failing) {
    done(CommitOutcome::refused);
    return;
  }
  const auto too_large = std::find_if(entries.begin(), entries.end(),
                                      [this](const auto& entry) { return is_too_large(entry); });
  if (too_large != entries.end()) {
    log_too_large(*too_large);
    // Delayed, since the writer may repeat the write from within `done`.
    m_timer.call_after(k_refused_retry_delay, [alive = m_alive, done = std::move(done)] {
      if (*alive) {
        done(CommitOutcome::refused);
      }
    });
    return;
  }
  std::vector<std::vector<KeyedValue>> parts = split(std::move(entries));
  const Done part_done = parts.size() > 1 ? join(parts.size(), std::move(done)) : std::move(done);
  for (std::vector<KeyedValue>& part : parts) {
    m_queued.push_back({std::move(part), deadline, part_done});
  }
  start_next_batch();
}

bool GroupCommit::is_too_large(const KeyedValue& entry) const {
  return entry.key.size() > k_max_key_bytes || content_bytes(entry) > m_max_content_bytes;
}

void GroupCommit::log_too_large(const KeyedValue& entry) const {
  EventLine(Event::record_too_large)
      .add("topic", m_partition.topic)
      .add("partition", m_partition.index)
      .add("key", std::string_view(entry.key).substr(0, k_max_logged_key_bytes))
      .add("bytes", content_bytes(entry))
      .add("limit", m_max_content_bytes)
      .write();
}

std::vector<std::vector<KeyedValue>> GroupCommit::split(std::vector<KeyedValue> entries) const {
  std::vector<std::vector<KeyedValue>> parts(1);
  std::size_t bytes = 0;
  for (KeyedValue& entry : entries) {
    const std::size_t added = bytes_of(entry);
    if (!parts.back().empty() && bytes + added > m_max_batch_bytes) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += added;
    parts.back().push_back(std::move(entry));
  }
  return parts;
}

bool GroupCommit::has_failed_for(Duration time) const {
  return m_failing_since && m_timer.now() - *m_failing_since >= time;
}

void GroupCommit::refuse_queued() {
  for (Write& write : std::exchange(m_queued, {})) {
    write.done(CommitOutcome::refused);
  }
}

void GroupCommit::start_next_batch() {
  if (m_batch_active || m_queued.empty()) {
    return;
  }
  std::size_t entries = 0;
  std::size_t bytes = 0;
  while (!m_queued.empty()) {
    const Write& next = m_queued.front();
    entries += next.entries.size();
    bytes += bytes_of(next.entries);
    const bool full = entries > k_max_batch_entries || bytes > m_max_batch_bytes;
    if (full && !m_batch.empty()) {
      break;
    }
    m_batch.push_back(std::move(m_queued.front()));
    m_queued.pop_front();
  }
  m_batch_active = true;
  m_maybe_stored = false;
  m_unanswered_since.reset();
  m_failed_attempts = 0;
  m_last_error.clear();
  send_batch();
}

// The number rises too, so that a store which compares numbers only takes no batch for a repeat.
void GroupCommit::end_epoch_if_number_was_used() {
  const bool ends = std::exchange(m_number_was_used, false);
  if (ends && m_epoch_policy == EpochPolicy::rising) {
    ++m_epoch;
    ++m_sequence;
  }
}

void GroupCommit::send_batch() {
  end_epoch_if_number_was_used();
  AppendRequest request;
  request.partition = m_partition;
  request.stamp = ProducerStamp{m_producer, m_epoch, m_sequence};
  for (const Write& write : m_batch) {
    request.entries.insert(request.entries.end(), write.entries.begin(), write.entries.end());
  }
  const TimePoint sent = m_timer.now();
  request.timeout =
      std::clamp(m_latency * k_timeout_factor + k_min_timeout, k_min_timeout, k_max_timeout);
  m_append_in_flight = true;
  m_store.append(std::move(request), [this, alive = m_alive,
                                      sent](const tl::expected<AppendReply, AppendError>& reply) {
    if (*alive) {
      on_reply(reply, sent);
    }
  });
}

void GroupCommit::on_reply(const tl::expected<AppendReply, AppendError>& reply, TimePoint sent) {
  m_append_in_flight = false;
  if (!reply) {
    on_error(reply.error(), sent);
    return;
  }
  if (!belongs_to_batch(*reply)) {
    ++m_failed_attempts;
    m_last_error = fmt::format("reply with offset {} and end {}", reply->first_offset, reply->end);
    note_lost();
    on_count_mismatch(m_last_error);
    return;
  }
  m_latency += (m_timer.now() - sent - m_latency) / k_latency_smoothing_divisor;
  // The store may confirm an earlier attempt, and other daemons count from its record.
  m_last_success_sent = m_unanswered_since.value_or(sent);
  observe::record_timing(observe::Timing::store_append, m_timer.now() - sent);
  note_regained();
  m_last_reply = *reply;
  finish_batch(CommitOutcome::stored);
}

void GroupCommit::note_regained() {
  if (!m_failing_since) {
    return;
  }
  EventLine(Event::dependency_regained)
      .add("dependency", "store")
      .add("call", "append")
      .add("topic", m_partition.topic)
      .add("partition", m_partition.index)
      .add_ms("lost_for_ms", m_timer.now() - *m_failing_since)
      .write();
  m_failing_since.reset();
}

void GroupCommit::note_lost() {
  if (m_failing_since) {
    return;
  }
  m_failing_since = m_timer.now();
  EventLine(Event::dependency_lost)
      .add("dependency", "store")
      .add("call", "append")
      .add("topic", m_partition.topic)
      .add("partition", m_partition.index)
      .add("error", m_last_error)
      .write();
}

bool GroupCommit::belongs_to_batch(const AppendReply& reply) const {
  std::size_t entries = 0;
  for (const Write& write : m_batch) {
    entries += write.entries.size();
  }
  return reply.first_offset >= m_last_reply.end && reply.end >= reply.first_offset + entries;
}

void GroupCommit::on_count_mismatch(const std::string& message) {
  spdlog::warn("topic {}, partition {}: epoch {}, sequence number {}: {}", m_partition.topic,
               m_partition.index, m_epoch, m_sequence, message);
  m_maybe_stored = true;
  m_number_was_used = true;
  m_last_reply = {};
  if (m_epoch_policy == EpochPolicy::fixed) {
    m_fenced = true;
    finish_batch(CommitOutcome::fenced);
    return;
  }
  retry_after(k_refused_retry_delay);
}

// Written for batches with a failed attempt only, so that a store that answers in a wrong way can
// be told from a daemon that reads its answers in a wrong way.
void GroupCommit::log_resolved(CommitOutcome outcome) const {
  if (m_failed_attempts == 0) {
    return;
  }
  EventLine(Event::append_resolved)
      .add("topic", m_partition.topic)
      .add("partition", m_partition.index)
      .add("epoch", m_epoch)
      .add("sequence", m_sequence)
      .add("writes", m_batch.size())
      .add("outcome", enum_name(k_outcome_names, outcome))
      .add("failed_attempts", m_failed_attempts)
      .add("last_error", m_last_error)
      .add("last_offset", m_last_reply.first_offset)
      .add("last_end", m_last_reply.end)
      .write();
}

void GroupCommit::on_error(const AppendError& error, TimePoint sent) {
  ++m_failed_attempts;
  m_last_error = error.message;
  note_lost();
  switch (error.reason) {
    case AppendFailure::fenced:
      m_fenced = true;
      // An attempt without a reply may have been stored before the other incarnation took over.
      finish_batch(m_maybe_stored ? CommitOutcome::unknown : CommitOutcome::fenced);
      return;
    case AppendFailure::out_of_sequence:
      if (m_maybe_stored && error.position == m_sequence + 1) {
        note_regained();
        finish_batch(CommitOutcome::stored);
        return;
      }
      on_count_mismatch(fmt::format("the store expects {}", error.position));
      return;
    case AppendFailure::unknown:
      m_maybe_stored = true;
      m_unanswered_since = m_unanswered_since.value_or(sent);
      // The store may only be slow, so the next attempt has a longer timeout.
      m_latency = std::min(m_latency * 2 + k_min_timeout / k_timeout_factor, k_max_timeout);
      retry_after(m_failed_attempts > 1 ? k_refused_retry_delay : k_unknown_retry_delay);
      return;
    case AppendFailure::end_mismatch:
    case AppendFailure::refused:
      retry_after(k_refused_retry_delay);
      return;
  }
}

void GroupCommit::retry_after(Duration delay) {
  m_timer.call_after(delay, [this, alive = m_alive] {
    if (!*alive || !m_batch_active) {
      return;
    }
    expire();
    if (m_fail_fast && !m_maybe_stored && has_failed_for(m_fail_fast->refusing_for)) {
      refuse_queued();
      finish_batch(CommitOutcome::refused);
      return;
    }
    if (m_fail_fast && has_failed_for(m_fail_fast->failing_for)) {
      refuse_queued();
    }
    if (m_batch.empty()) {
      finish_batch(CommitOutcome::refused);
      return;
    }
    const bool may_abandon = m_epoch_policy == EpochPolicy::rising && !is_awaited();
    if (may_abandon && has_failed_for(k_max_settling_time)) {
      finish_batch(CommitOutcome::unknown);
      return;
    }
    send_batch();
  });
}

bool GroupCommit::is_awaited() const {
  return std::any_of(m_batch.begin(), m_batch.end(),
                     [](const Write& write) { return write.done != nullptr; });
}

void GroupCommit::expire() {
  const TimePoint now = m_timer.now();
  std::vector<std::pair<Done, CommitOutcome>> ended;
  // Between two attempts, a batch whose attempts were all refused is certain never to be stored.
  const bool never_stored = !m_append_in_flight && !m_maybe_stored;
  for (Write& write : m_batch) {
    if (!write.done || write.deadline > now) {
      continue;
    }
    const auto outcome = never_stored ? CommitOutcome::refused : CommitOutcome::unknown;
    ended.emplace_back(std::exchange(write.done, nullptr), outcome);
  }
  if (never_stored) {
    const std::size_t removed =
        std::erase_if(m_batch, [](const Write& write) { return !write.done; });
    m_number_was_used = m_number_was_used || removed > 0;
  }
  std::deque<Write> queued;
  for (Write& write : m_queued) {
    if (write.deadline <= now) {
      ended.emplace_back(std::move(write.done), CommitOutcome::refused);
    } else {
      queued.push_back(std::move(write));
    }
  }
  m_queued = std::move(queued);
  for (const auto& [done, outcome] : ended) {
    done(outcome);
  }
}

void GroupCommit::finish_batch(CommitOutcome outcome) {
  log_resolved(outcome);
  if (outcome == CommitOutcome::stored) {
    ++m_sequence;
  } else {
    m_number_was_used = true;
  }
  std::vector<Write> batch = std::exchange(m_batch, {});
  m_batch_active = false;
  if (m_fenced) {
    std::move(m_queued.begin(), m_queued.end(), std::back_inserter(batch));
    m_queued.clear();
  }
  const auto alive = m_alive;
  for (Write& write : batch) {
    if (write.done) {
      write.done(outcome);
    }
  }
  if (*alive) {
    start_next_batch();
  }
}

}  // namespace arbutusdale::store
