// Group commit of one producer's records to a partition: entries that arrive while an append is in
// flight share the next one. Appends carry sequence numbers, so a retried append takes effect once.
// A number stands for one batch: if the store has ever been sent it with other records, it might
// answer the new ones as a repeat of those, and they would be lost.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::store {

/// Outcome of a write.
enum class CommitOutcome : std::uint8_t {
  stored,
  refused,  ///< not stored and never will be
  unknown,  ///< no reply to an attempt so far; may be stored, now or later
  fenced,   ///< not stored; a later incarnation of the producer has taken over, or the store's
            ///< count of the appends differs from this one
};

/// What follows when a sequence number can't be used any more.
enum class EpochPolicy : std::uint8_t {
  fixed,  ///< the epoch belongs to the caller, such as a fencing token: all further writes fail
  rising  ///< no one else appends as this producer: the next epoch begins, with a new number
};

/// How long appends must have failed before writes fail ahead of their deadlines.
struct FailFastPolicy {
  /// The active batch and all queued writes are refused, if the store has refused every attempt of
  /// the batch.
  Duration refusing_for{};
  /// Writes that have not been sent yet are refused, whatever the error.
  Duration failing_for{};
};

class GroupCommit {
 public:
  using Done = std::function<void(CommitOutcome)>;

  /// The first append has the sequence number `first_sequence`.
  GroupCommit(MetadataStore& store, Timer& timer, Partition partition, std::string producer,
              std::uint64_t epoch, std::uint64_t first_sequence,
              std::optional<FailFastPolicy> fail_fast = std::nullopt,
              EpochPolicy epoch_policy = EpochPolicy::fixed, const RecordLimits& limits = {});
  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;
  ~GroupCommit();

  /// Calls `done` once, at the latest in the first `expire()` after `deadline`. Entries that
  /// exceed the store's limit for one append are stored by several, in their order; the outcome is
  /// `stored` once all are. Refused if the store takes no record as large as one of them.
  void write(std::vector<KeyedValue> entries, TimePoint deadline, Done done);

  /// Completes the writes whose deadline has passed; call it at least every 100 ms.
  void expire();

  [[nodiscard]] bool is_idle() const { return !m_batch_active && m_queued.empty(); }
  /// Send time of the last successful append; of its first attempt without a reply, if it was
  /// repeated, since the record may be that old.
  [[nodiscard]] std::optional<TimePoint> last_success_sent() const { return m_last_success_sent; }
  /// Time of the first failure since the last successful append; empty while appends succeed.
  [[nodiscard]] std::optional<TimePoint> failing_since() const { return m_failing_since; }
  /// Smoothed latency of appends; grows while they get no reply.
  [[nodiscard]] Duration latency() const { return m_latency; }

 private:
  struct Write {
    std::vector<KeyedValue> entries;
    TimePoint deadline{};
    Done done;  // empty once it has been called
  };

  /// The store never takes such a record.
  [[nodiscard]] bool is_too_large(const KeyedValue& entry) const;
  void log_too_large(const KeyedValue& entry) const;
  /// Cuts the entries to what one append may hold, in their order.
  [[nodiscard]] std::vector<std::vector<KeyedValue>> split(std::vector<KeyedValue> entries) const;
  void start_next_batch();
  void send_batch();
  void on_reply(const tl::expected<AppendReply, AppendError>& reply, TimePoint sent);
  void on_error(const AppendError& error, TimePoint sent);
  void note_lost();
  void note_regained();
  /// The store's numbers and this writer's differ, so that the fate of the batch is unknown.
  void on_count_mismatch(const std::string& message);
  /// False for the reply to an earlier append, or to one with another number of records.
  [[nodiscard]] bool belongs_to_batch(const AppendReply& reply) const;
  [[nodiscard]] bool is_awaited() const;
  void end_epoch_if_number_was_used();
  void finish_batch(CommitOutcome outcome);
  void log_resolved(CommitOutcome outcome) const;
  void retry_after(Duration delay);
  void refuse_queued();
  [[nodiscard]] bool has_failed_for(Duration time) const;

  MetadataStore& m_store;
  Timer& m_timer;
  const Partition m_partition;
  const std::string m_producer;
  const std::optional<FailFastPolicy> m_fail_fast;  // empty: writes wait until their deadlines
  const EpochPolicy m_epoch_policy;
  const std::size_t m_max_content_bytes;  // of one record
  const std::size_t m_max_batch_bytes;
  std::shared_ptr<bool> m_alive;

  std::uint64_t m_epoch;
  std::uint64_t m_sequence;                     // of the active batch, or of the next one
  bool m_number_was_used = false;               // m_sequence has been sent with other records
  std::deque<Write> m_queued;                   // not sent yet
  std::vector<Write> m_batch;                   // active; kept until its outcome is known
  bool m_batch_active = false;                  // a batch is in flight or waits for its retry
  bool m_append_in_flight = false;              // an append has been sent and has no reply yet
  bool m_maybe_stored = false;                  // an attempt of the batch got no reply
  int m_failed_attempts = 0;                    // of the active batch
  std::string m_last_error;                     // of the active batch; empty without a failure
  AppendReply m_last_reply;                     // to the newest successful append
  std::optional<TimePoint> m_unanswered_since;  // send time of the first such attempt
  bool m_fenced = false;
  std::optional<TimePoint> m_last_success_sent;
  std::optional<TimePoint> m_failing_since;
  Duration m_latency{};  // smoothed
};

}  // namespace arbutusdale::store
