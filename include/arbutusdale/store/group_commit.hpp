// Writes records of one producer to a partition: entries that arrive while an append is under way
// share the next one. Appends carry sequence numbers, so that a repeated append is done once.
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

/// How the write of a batch of entries ended.
enum class CommitOutcome : std::uint8_t {
  stored,
  refused,  ///< was not and will not be stored
  unknown,  ///< the deadline passed without an answer; may be stored, now or later
  fenced,   ///< a later incarnation of the producer has taken over; was not stored
};

/// When writes are given up before their deadline, because the store is known not to take them.
struct FailFastPolicy {
  Duration refusing_for{};  // the store has answered nothing but refusals for this long
  Duration failing_for{};  // no append has succeeded for this long; writes not sent yet are refused
};

class GroupCommit {
 public:
  using Done = std::function<void(CommitOutcome)>;

  /// The first append has the sequence number `first_sequence`.
  GroupCommit(MetadataStore& store, Timer& timer, Partition partition, std::string producer,
              std::uint64_t epoch, std::uint64_t first_sequence,
              std::optional<FailFastPolicy> fail_fast = std::nullopt);
  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;
  ~GroupCommit();

  /// `done` is called once, at the latest at `deadline`.
  void write(std::vector<KeyedValue> entries, TimePoint deadline, Done done);

  /// Calls back what has passed its deadline; call it at least every 100 ms.
  void expire();

  [[nodiscard]] bool is_idle() const { return !m_batch_active && m_queued.empty(); }
  /// Time at which the last append that succeeded was sent.
  [[nodiscard]] std::optional<TimePoint> last_success_sent() const { return m_last_success_sent; }
  /// Time since which no append has been answered with success; nothing while all is well.
  [[nodiscard]] std::optional<TimePoint> failing_since() const { return m_failing_since; }
  [[nodiscard]] Duration latency() const { return m_latency; }

 private:
  struct Write {
    std::vector<KeyedValue> entries;
    TimePoint deadline{};
    Done done;  // empty once it has been called
  };

  void start_next_batch();
  void send_batch();
  void on_reply(const tl::expected<AppendReply, AppendError>& reply, TimePoint sent);
  void on_error(const AppendError& error);
  void finish_batch(CommitOutcome outcome);
  void retry_after(Duration delay);
  void refuse_queued();
  [[nodiscard]] bool has_failed_for(Duration time) const;

  MetadataStore& m_store;
  Timer& m_timer;
  const Partition m_partition;
  const std::string m_producer;
  const std::uint64_t m_epoch;
  const std::optional<FailFastPolicy> m_fail_fast;  // nothing: writes wait for their deadlines
  std::shared_ptr<bool> m_alive;

  std::uint64_t m_sequence;         // of the batch under way, or of the next one
  std::deque<Write> m_queued;       // not sent yet
  std::vector<Write> m_batch;       // under way; kept until the store's verdict is known
  bool m_batch_active = false;      // a batch is under way or waits for its retry
  bool m_append_in_flight = false;  // an append has been sent and not answered
  bool m_maybe_stored = false;      // some try of the batch has had no answer
  bool m_fenced = false;
  std::optional<TimePoint> m_last_success_sent;
  std::optional<TimePoint> m_failing_since;
  Duration m_latency{};  // smoothed
};

}  // namespace arbutusdale::store
