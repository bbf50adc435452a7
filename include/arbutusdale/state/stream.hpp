// Follows one log stream and appends to it: group commit, resolution of appends whose reply was
// lost, and snapshots.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace arbutusdale::state {

/// State machine that a stream feeds; the control node implements it for each stream.
class StreamHandler {
 public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  virtual ~StreamHandler() = default;

  /// Applies one record; an error stops the stream permanently.
  virtual Result<void> apply(std::uint64_t offset, const proto::state::Record& record) = 0;
  /// Serialized snapshot of the current state.
  virtual std::string save_snapshot() = 0;
  /// Replaces the state with a snapshot.
  virtual Result<void> load_snapshot(const std::string& data) = 0;
};

struct StreamOptions {
  std::string name;    // "global" or "domain/NAME"
  std::string writer;  // unique; daemon id and incarnation
  Duration poll_interval = std::chrono::milliseconds{250};
  Duration commit_interval = std::chrono::seconds{1};
  // After this time without a reply, an append is resolved by reading the log.
  Duration reply_timeout = std::chrono::seconds{2};
  std::uint32_t snapshot_every_records = 2'000;
  // Delay per rank before a due snapshot is written.
  Duration snapshot_rank_delay = std::chrono::seconds{2};
  std::uint64_t log_start = 0;  // offset of the first entry that the log ever held
  std::uint64_t seed = 1;       // of the jitter of retries
};

/// Counters and flags of a stream, for metrics and status.
struct StreamStats {
  std::uint64_t next_offset = 0;  // offset after the last record applied
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t records_applied = 0;
  std::uint64_t snapshots_written = 0;
  std::uint64_t snapshots_loaded = 0;
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_appended = 0;
  bool caught_up = false;      // has reached the reported end of the log at least once
  bool log_reachable = false;  // whether the latest read succeeded
  bool gap = false;            // unread records were trimmed and no snapshot covers them
  std::string stopped_reason;  // not empty once the stream has stopped
};

/// One log stream: feeds its records to the handler and appends records to it. Driven by `tick`.
class Stream {
 public:
  /// Called once: with the offset after the record was applied, or with the error if it was
  /// rejected or the stream has stopped.
  using AppliedCallback = std::function<void(Result<std::uint64_t>)>;

  Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  virtual ~Stream() = default;

  /// Starts the polls, commits and snapshots that are due. Never blocks.
  virtual void tick(TimePoint now) = 0;

  /// Queues a record for the next commit; an `urgent` record is committed immediately. Sets the
  /// record's id, format and wall-clock time. An append whose reply is lost is resolved by reading
  /// the log: it is retried only after a read shows that the record is absent. `done` gets the
  /// error `too_large` for a record over the size limit, and `overloaded` if the queue is full.
  /// Otherwise it gets the offset of the first copy of the record that this stream reads. After a
  /// snapshot was loaded, that copy may be a duplicate without effect, so the writer of a shard
  /// claim must take its term from DomainState.
  virtual void propose(proto::state::Record record, bool urgent, AppliedCallback done) = 0;

  /// Reads without waiting for the poll interval.
  virtual void poll_now() = 0;

  /// Replaces the state with a snapshot from a peer, for a daemon that starts while the log is
  /// unavailable. Fails with `conflict` if the snapshot is older than the state applied so far.
  virtual Result<void> install_snapshot(std::uint64_t covered_offset, const std::string& data) = 0;

  /// Sets the rank of this daemon among the live ones for writing snapshots; rank 0 writes first.
  virtual void set_snapshot_rank(std::uint32_t rank) = 0;

  [[nodiscard]] virtual const StreamStats& stats() const = 0;
};

/// `log`, `clock` and `handler` must outlive the stream.
std::unique_ptr<Stream> make_stream(StreamOptions options, backplane::Log& log, const Clock& clock,
                                    StreamHandler& handler);

}  // namespace arbutusdale::state
