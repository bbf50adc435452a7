// Follows one log stream and appends to it: group commit, resolution of lost answers, snapshots.
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

/// Receives what a stream delivers; implemented by the control node for each stream.
class StreamHandler {
 public:
  StreamHandler() = default;
  StreamHandler(const StreamHandler&) = delete;
  StreamHandler& operator=(const StreamHandler&) = delete;
  virtual ~StreamHandler() = default;

  /// Applies one record; an error stops the stream for good.
  virtual Result<void> apply(std::uint64_t offset, const proto::state::Record& record) = 0;
  /// Serialized snapshot of the state after the records applied so far.
  virtual std::string save_snapshot() = 0;
  /// Replaces the state by a snapshot.
  virtual Result<void> load_snapshot(const std::string& data) = 0;
};

struct StreamOptions {
  std::string name;    // "global" or "domain/NAME"
  std::string writer;  // daemon id and incarnation, unique
  Duration poll_interval = std::chrono::milliseconds{250};
  Duration commit_interval = std::chrono::seconds{1};
  Duration answer_timeout = std::chrono::seconds{2};  // then the append is resolved by reading
  std::uint32_t snapshot_every_records = 2'000;
  Duration snapshot_rank_delay = std::chrono::seconds{2};  // wait per rank before writing one
  std::uint64_t log_start = 0;  // offset of the first entry that the log ever held
  std::uint64_t seed = 1;
};

/// Figures of a stream for metrics and status.
struct StreamStats {
  std::uint64_t next_offset = 0;  // offset after the last record applied
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t records_applied = 0;
  std::uint64_t snapshots_written = 0;
  std::uint64_t snapshots_loaded = 0;
  std::uint64_t bytes_read = 0;
  std::uint64_t bytes_appended = 0;
  bool caught_up = false;      // has read to the end that the log reported, at least once
  bool log_reachable = false;  // outcome of the latest call to the log
  bool gap = false;            // trimmed past the reader and no snapshot covers the gap
  std::string stopped_reason;  // not empty when a record could not be applied
};

/// One stream: reads it into the handler and appends records to it. Driven by `tick`.
class Stream {
 public:
  /// Called once the record is applied, with its offset, or when it was given up.
  using AppliedCallback = std::function<void(Result<std::uint64_t>)>;

  Stream() = default;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  virtual ~Stream() = default;

  /// Polls, commits and writes snapshots as the time demands. Never blocks.
  virtual void tick(TimePoint now) = 0;

  /// Queues a record for the next commit; `urgent` commits at once. Sets id, format and wall time.
  /// An append whose answer is lost is resolved by reading back the record id, and is repeated
  /// only after the record is proved absent. Fails with `overloaded` when the queue is full.
  /// `done` gets the offset of the first copy that this stream read. After a snapshot was loaded
  /// that may be a repeat without effect, so a claimant takes its term from DomainState.
  virtual void propose(proto::state::Record record, bool urgent, AppliedCallback done) = 0;

  /// Reads at once, without waiting for the poll interval.
  virtual void poll_now() = 0;

  /// Takes over a snapshot of a peer, for a daemon that starts while the log is out.
  virtual Result<void> install_snapshot(std::uint64_t covered_offset, const std::string& data) = 0;

  /// Rank of this daemon among the live ones for writing snapshots; 0 writes first.
  virtual void set_snapshot_rank(std::uint32_t rank) = 0;

  [[nodiscard]] virtual const StreamStats& stats() const = 0;
};

/// `log`, `clock` and `handler` must outlive the stream.
std::unique_ptr<Stream> make_stream(StreamOptions options, backplane::Log& log, const Clock& clock,
                                    StreamHandler& handler);

}  // namespace arbutusdale::state
