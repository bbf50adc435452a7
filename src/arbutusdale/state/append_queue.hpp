// Queue of the records that one daemon appends to a stream, with group commit and at most one
// append in flight.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/stream.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::state {

/// An append for the stream to send.
struct OutgoingAppend {
  std::uint64_t attempt = 0;  // passed back with the reply; replies to earlier ones are ignored
  std::string payload;
};

/// A record that was queued and is not yet known to be applied.
struct PendingRecord {
  proto::state::Record record;
  std::size_t bytes = 0;
  bool urgent = false;
  bool sent = false;  // sent at least once, so a copy may still appear in the log
  Stream::AppliedCallback done;
};

/// The append whose outcome is unknown.
struct InFlightAppend {
  std::deque<PendingRecord> records;  // not yet read back from the log
  bool is_chunk = false;
  TimePoint sent_at;
  std::optional<std::uint64_t> offset;               // from the reply of the log
  std::optional<std::uint64_t> resolved_after_read;  // a read with a higher number resolves it
};

/// Queues records and hands them out as appends. One append is in flight at a time. Its records are
/// complete only once they are read back; if the log rejects the append or a later read shows it
/// absent, they are retried ahead of all later records. The log therefore holds the records of a
/// writer in sequence order, on which RecordIds relies.
///
/// The log may still apply an append whose reply was lost after a read has shown it absent; no
/// bound on that delay is assumed. A retry carries the same record ids, so the second copy has no
/// effect, however late it appears.
class AppendQueue {
 public:
  explicit AppendQueue(const StreamOptions& options);

  /// Assigns the record's id and format and queues it. Fails with `too_large` or `overloaded`.
  Result<void> push(proto::state::Record record, bool urgent, Stream::AppliedCallback done,
                    TimePoint now);
  /// Queues the chunks of a snapshot, which are appended between the records.
  void push_snapshot(const std::vector<proto::state::SnapshotChunk>& chunks, std::uint64_t wall_ms);
  /// Drops the chunks that have not been sent.
  void drop_snapshot() { m_chunks.clear(); }
  [[nodiscard]] bool is_writing_snapshot() const;

  /// The append that is due, if any; none while another is in flight. Only snapshot chunks unless
  /// `records` is set.
  std::optional<OutgoingAppend> next(bool records, TimePoint now);

  /// Handles the log's reply to an append. `read` is the number of the latest read started.
  void on_append_reply(std::uint64_t attempt, const Result<std::uint64_t>& offset,
                       std::uint64_t read, TimePoint now);
  /// Once the reply timeout has passed, lets a later read resolve the append in flight.
  void check_timeout(std::uint64_t read, TimePoint now);
  /// Completes the record with this id, if it is one of this queue's.
  void on_record_applied(const std::string& id, std::uint64_t offset);
  /// Read number `read` reached the end of the log: all records below `end` are applied. Requeues
  /// the append in flight if the read proves it absent.
  void on_end_of_log_read(std::uint64_t read, std::uint64_t end, TimePoint now);

  /// Fails all records with `unavailable`, for a stream that stops.
  void fail_all(const std::string& reason);
  /// Removes and returns the callbacks whose outcome is known, with that outcome.
  std::vector<std::pair<Stream::AppliedCallback, Result<std::uint64_t>>> take_completions();

 private:
  OutgoingAppend send(std::deque<PendingRecord>& from, bool is_chunk, TimePoint now);
  void requeue_in_flight(TimePoint retry_at);

  StreamOptions m_options;
  Random m_random;
  std::deque<PendingRecord> m_queue;  // in sequence order
  std::deque<PendingRecord> m_chunks;
  std::size_t m_queued_bytes = 0;  // sum over m_queue
  std::uint64_t m_sequence = 0;
  std::optional<InFlightAppend> m_in_flight;
  std::uint64_t m_attempt = 0;
  std::uint32_t m_consecutive_rejections = 0;  // at most k_max_backoff_factor
  TimePoint m_commit_at;  // earliest time to send the queue, unless it holds urgent records
  TimePoint m_retry_at;   // nothing is sent before this time
  bool m_sent_chunk_last = false;
  std::vector<std::pair<Stream::AppliedCallback, Result<std::uint64_t>>> m_completions;
};

}  // namespace arbutusdale::state
