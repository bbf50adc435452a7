// Group commit, retry with backoff, and resolution of appends whose reply was lost.
#include "append_queue.hpp"

#include "arbutusdale/state/limits.hpp"

#include <algorithm>

namespace arbutusdale::state {
namespace {

// Longest backoff before a rejected append is retried, as a multiple of the commit interval.
constexpr std::uint32_t k_max_backoff_factor = 4;

}  // namespace

AppendQueue::AppendQueue(const StreamOptions& options)
    : m_options(options), m_random(options.seed) {}

Result<void> AppendQueue::push(proto::state::Record record, bool urgent,
                               Stream::AppliedCallback done, TimePoint now) {
  record.set_id(m_options.writer + "/" + std::to_string(m_sequence + 1));
  record.set_format(k_record_format);
  const std::size_t bytes = record.ByteSizeLong();
  if (bytes > k_max_record_bytes) {
    return not_run(ErrorCode::too_large, "the record of " + std::to_string(bytes) +
                                             " bytes exceeds the limit of " +
                                             std::to_string(k_max_record_bytes));
  }
  if (m_queue.size() >= k_max_queued_records || m_queued_bytes + bytes > k_max_queued_bytes) {
    return not_run(ErrorCode::overloaded, "the append queue of stream '" + m_options.name +
                                              "' is full; the log is slow or unavailable");
  }
  ++m_sequence;
  if (m_queue.empty()) {
    m_commit_at = std::max(m_commit_at, now);
  }
  m_queued_bytes += bytes;
  m_queue.push_back(PendingRecord{std::move(record), bytes, urgent, false, std::move(done)});
  return {};
}

void AppendQueue::push_snapshot(const std::vector<proto::state::SnapshotChunk>& chunks,
                                std::uint64_t wall_ms) {
  for (const auto& chunk : chunks) {
    PendingRecord pending;
    pending.record.set_id(chunk.snapshot_id() + "-" + std::to_string(chunk.index()));
    pending.record.set_format(k_record_format);
    pending.record.set_written_at_ms(wall_ms);
    *pending.record.mutable_snapshot_chunk() = chunk;
    pending.bytes = pending.record.ByteSizeLong();
    m_chunks.push_back(std::move(pending));
  }
}

bool AppendQueue::is_writing_snapshot() const {
  return !m_chunks.empty() || (m_in_flight && m_in_flight->is_chunk);
}

std::optional<OutgoingAppend> AppendQueue::next(bool records, TimePoint now) {
  if (m_in_flight || now < m_retry_at) {
    return std::nullopt;
  }
  const bool urgent = std::any_of(m_queue.begin(), m_queue.end(),
                                  [](const PendingRecord& pending) { return pending.urgent; });
  const bool records_due = records && !m_queue.empty() && (urgent || now >= m_commit_at);
  // Chunks alternate with records, so that a long snapshot delays a record by at most one append.
  if (!m_chunks.empty() && (!records_due || !m_sent_chunk_last)) {
    m_sent_chunk_last = true;
    return send(m_chunks, true, now);
  }
  m_sent_chunk_last = false;
  if (!records_due) {
    return std::nullopt;
  }
  m_commit_at = now + m_options.commit_interval;
  return send(m_queue, false, now);
}

OutgoingAppend AppendQueue::send(std::deque<PendingRecord>& from, bool is_chunk, TimePoint now) {
  m_in_flight.emplace();
  m_in_flight->is_chunk = is_chunk;
  m_in_flight->sent_at = now;
  proto::state::Batch batch;
  std::size_t bytes = 0;
  while (!from.empty() &&
         (bytes == 0 || (!is_chunk && bytes + from.front().bytes <= k_max_batch_bytes))) {
    bytes += from.front().bytes;
    m_queued_bytes -= is_chunk ? 0 : from.front().bytes;
    *batch.add_records() = from.front().record;
    from.front().sent = true;
    m_in_flight->records.push_back(std::move(from.front()));
    from.pop_front();
  }
  return OutgoingAppend{++m_attempt, batch.SerializeAsString()};
}

void AppendQueue::on_append_reply(std::uint64_t attempt, const Result<std::uint64_t>& offset,
                                  std::uint64_t read, TimePoint now) {
  if (attempt != m_attempt || !m_in_flight || m_in_flight->offset) {
    return;
  }
  if (offset) {
    m_consecutive_rejections = 0;
    m_in_flight->offset = *offset;
    m_in_flight->resolved_after_read = read;
    return;
  }
  if (offset.error().verdict == Verdict::not_run) {
    m_consecutive_rejections = std::min(m_consecutive_rejections + 1, k_max_backoff_factor);
    const auto backoff = m_options.commit_interval * m_consecutive_rejections;
    const double jitter = 0.5 + random_unit(m_random) / 2;
    requeue_in_flight(
        now + Duration{static_cast<Duration::rep>(static_cast<double>(backoff.count()) * jitter)});
    return;
  }
  if (!m_in_flight->resolved_after_read) {
    m_in_flight->resolved_after_read = read;
  }
}

void AppendQueue::check_timeout(std::uint64_t read, TimePoint now) {
  if (m_in_flight && !m_in_flight->resolved_after_read &&
      now >= m_in_flight->sent_at + m_options.reply_timeout) {
    m_in_flight->resolved_after_read = read;
  }
}

void AppendQueue::on_record_applied(const std::string& id, std::uint64_t offset) {
  const auto complete = [&](std::deque<PendingRecord>& records) {
    const auto it = std::find_if(records.begin(), records.end(),
                                 [&id](const PendingRecord& p) { return p.record.id() == id; });
    if (it == records.end()) {
      return false;
    }
    if (it->done) {
      m_completions.emplace_back(std::move(it->done), offset);
    }
    records.erase(it);
    return true;
  };
  if (m_in_flight && complete(m_in_flight->records)) {
    if (m_in_flight->records.empty()) {
      m_in_flight.reset();
    }
    return;
  }
  // A late copy may complete a record that waits to be retried.
  if (id.starts_with(m_options.writer + "/")) {
    for (const PendingRecord& pending : m_queue) {
      if (pending.record.id() == id) {
        m_queued_bytes -= pending.bytes;
        break;
      }
    }
    complete(m_queue);
  }
}

void AppendQueue::on_end_of_log_read(std::uint64_t read, std::uint64_t end, TimePoint now) {
  if (!m_in_flight || !m_in_flight->resolved_after_read ||
      read <= *m_in_flight->resolved_after_read) {
    return;
  }
  if (m_in_flight->offset && end <= *m_in_flight->offset) {
    return;  // the read was served by a node of the log that lags behind the append
  }
  requeue_in_flight(now);
}

void AppendQueue::requeue_in_flight(TimePoint retry_at) {
  auto& queue = m_in_flight->is_chunk ? m_chunks : m_queue;
  while (!m_in_flight->records.empty()) {
    PendingRecord& pending = m_in_flight->records.back();
    m_queued_bytes += m_in_flight->is_chunk ? 0 : pending.bytes;
    queue.push_front(std::move(pending));
    m_in_flight->records.pop_back();
  }
  m_in_flight.reset();
  ++m_attempt;  // a late reply to this attempt does not apply to the retry
  m_retry_at = std::max(m_retry_at, retry_at);
  m_commit_at = m_retry_at;
}

void AppendQueue::fail_all(const std::string& reason) {
  const auto fail = [&](std::deque<PendingRecord>& records) {
    for (PendingRecord& pending : records) {
      const Verdict verdict = pending.sent ? Verdict::may_have_run : Verdict::not_run;
      if (pending.done) {
        m_completions.emplace_back(
            std::move(pending.done),
            tl::unexpected<Error>(Error{ErrorCode::unavailable, verdict, reason}));
      }
    }
    records.clear();
  };
  if (m_in_flight) {
    fail(m_in_flight->records);
    m_in_flight.reset();
  }
  fail(m_queue);
  m_chunks.clear();
  m_queued_bytes = 0;
}

std::vector<std::pair<Stream::AppliedCallback, Result<std::uint64_t>>>
AppendQueue::take_completions() {
  return std::exchange(m_completions, {});
}

}  // namespace arbutusdale::state
