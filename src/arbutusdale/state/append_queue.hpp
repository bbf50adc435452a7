// Records of one daemon on their way into a stream: queue, group commit and the append in flight.
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

/// An append that the stream has to send.
struct OutgoingAppend {
  std::uint64_t attempt = 0;  // passed back with the answer; answers to earlier attempts are void
  std::string payload;
};

/// A record that waits to be applied.
struct PendingRecord {
  proto::state::Record record;
  std::size_t bytes = 0;
  bool urgent = false;
  bool sent = false;  // at least once; a copy may still appear in the log
  Stream::AppliedCallback done;
};

/// The append whose fate is open.
struct InFlightAppend {
  std::deque<PendingRecord> records;  // not read back yet
  bool is_chunk = false;
  TimePoint sent_at;
  std::optional<std::uint64_t> offset;               // as answered by the log
  std::optional<std::uint64_t> resolved_after_read;  // reads with a higher number settle the append
};

/// One append is in flight at a time, and it is settled only by reading its records back. So the
/// log holds the records of a writer in the order of their sequence, on which RecordIds relies.
///
/// The log may still apply an append whose answer was lost after a read has shown it absent; no
/// bound on that delay is assumed. A repeat carries the same record ids, so whichever copy comes
/// second has no effect, at any later time.
class AppendQueue {
 public:
  explicit AppendQueue(const StreamOptions& options);

  /// Numbers the record and queues it.
  Result<void> push(proto::state::Record record, bool urgent, Stream::AppliedCallback done,
                    TimePoint now);
  void push_snapshot(const std::vector<proto::state::SnapshotChunk>& chunks, std::uint64_t wall_ms);
  /// Drops the chunks that are not sent yet.
  void drop_snapshot() { m_chunks.clear(); }
  [[nodiscard]] bool is_writing_snapshot() const;

  /// The append that is due, if any; at most one is in flight. Without `records`, only chunks.
  std::optional<OutgoingAppend> next(bool records, TimePoint now);

  /// The log answered. `read` is the number of the latest read that was started.
  void on_append_reply(std::uint64_t attempt, const Result<std::uint64_t>& offset,
                       std::uint64_t read, TimePoint now);
  /// Treats an append without an answer as lost once the answer timeout has passed.
  void check_timeout(std::uint64_t read, TimePoint now);
  /// A record of this writer was applied.
  void on_record_applied(const std::string& id, std::uint64_t offset);
  /// Read number `read` reached the end of the log, so that everything below `end` is applied.
  void on_end_of_log_read(std::uint64_t read, std::uint64_t end, TimePoint now);

  void fail_all(const std::string& reason);
  /// Callbacks whose outcome is known.
  std::vector<std::pair<Stream::AppliedCallback, Result<std::uint64_t>>> take_completions();

 private:
  OutgoingAppend send(std::deque<PendingRecord>& from, bool is_chunk, TimePoint now);
  void requeue_in_flight(TimePoint retry_at);

  StreamOptions m_options;
  Random m_random;
  std::deque<PendingRecord> m_queue;  // in the order of their sequence
  std::deque<PendingRecord> m_chunks;
  std::size_t m_queued_bytes = 0;  // sum over m_queue
  std::uint64_t m_sequence = 0;
  std::optional<InFlightAppend> m_in_flight;
  std::uint64_t m_attempt = 0;
  std::uint32_t m_consecutive_rejections = 0;  // appends in a row that the log did not take
  TimePoint m_commit_at;  // when the queue may be sent, unless it holds urgent records
  TimePoint m_retry_at;   // nothing is sent before
  bool m_sent_chunk_last = false;
  std::vector<std::pair<Stream::AppliedCallback, Result<std::uint64_t>>> m_completions;
};

}  // namespace arbutusdale::state
