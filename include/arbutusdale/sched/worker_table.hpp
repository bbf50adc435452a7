// The leader's view of the workers: registration, lease, runs, committed resources and health.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/sched/held_ends.hpp"
#include "arbutusdale/sched/opportunistic_room.hpp"
#include "arbutusdale/sched/start_window.hpp"
#include "arbutusdale/sched/suspect_limits.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/throttle_control.hpp"
#include "arbutusdale/sched/worker_fence.hpp"
#include "arbutusdale/sched/worker_health.hpp"
#include "arbutusdale/sched/worker_lease.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::sched {

/// An order without an answer is carried out within this time, if at all.
inline constexpr Duration k_late_order_bound = std::chrono::seconds{20};

/// A run of a task.
struct RunRef {
  Task* task = nullptr;
  std::uint32_t number = 0;
  Isolation isolation = Isolation::none;
  bool shares_processors = false;  // an opportunistic one that found too few idle ones
};

/// A start order without an answer. It may still be carried out, even by the worker's next
/// incarnation, and also when a repeat of it was answered.
struct UnansweredStart {
  jobs::TaskId task;
  std::uint32_t run = 0;
  TimePoint sent_at{};
};

/// A poll with a lease or an acknowledgement, which may take effect long after it was sent.
struct BindingPoll {
  TimePoint sent_at{};
  std::uint64_t acknowledged_through = 0;
  bool extends_lease = false;
};

/// Room on a worker that is kept free for a lasting task, see room_reservation.hpp.
struct RoomReservation {
  const Step* step = nullptr;  // null: none; it may be gone, and is compared only
  Resources need;
  TimePoint reserved_at{};
  TimePoint kept_until{};  // for a run that is being stopped elsewhere, and does not wait yet
};

/// Resources that a run of the step's tasks keeps other tasks from.
Resources reserved_resources(const Step& step);

struct Worker {
  WorkerSlot slot = 0;
  WorkerEntry entry;
  bool registered = false;
  bool in_roster = false;                   // the stored roster names it; required for starts
  bool in_earlier_roster = false;           // an earlier leader's roster names it
  TimePoint may_exit_at{};                  // while draining: earliest time at which it exits
  std::uint64_t announced_incarnation = 0;  // newest one in a registration; not confirmed
  TimePoint incarnation_seen_at{};          // when the leader learnt of this incarnation
  /// This incarnation has seen a higher token than that of any order sent until then.
  TimePoint refuses_orders_until{};
  WorkerLease lease;
  WorkerFence fence;
  bool has_answered = false;       // this incarnation has answered a poll of this leader
  bool needs_poll = false;         // a start was unanswered since the last answered poll
  bool has_unwanted_runs = false;  // runs that are not expected there are being stopped
  bool poll_in_flight = false;
  bool poll_scheduled = false;       // a timer for the next poll is set
  bool confirming_poll_due = false;  // a timer for a poll after a confirmed stop is set
  std::uint64_t poll_serial = 0;     // of the last poll sent or scheduled
  std::uint32_t unanswered_polls = 0;
  TimePoint last_answer{};
  std::optional<BindingPoll> binding_poll;  // the poll in flight, if it is one
  TimePoint last_alive{};        // last answer of this incarnation to an order of any kind
  TimePoint silent_since{};      // first unanswered poll since the last answer
  std::string answered_address;  // at which this worker itself has answered
  bool has_ended = false;        // another incarnation has answered at that address

  std::uint64_t processed_through = 0;  // sequence of the last ended run processed
  bool lists_all_ends = false;  // only this leader has acknowledged ends of this incarnation
  /// Sequence of the last ended run whose effect is stored; never above processed_through.
  std::uint64_t stored_through = 0;
  HeldEnds held_ends;                      // of these, not to be acknowledged yet
  std::uint64_t acknowledged_through = 0;  // by the last poll of this incarnation that says so
  std::size_t listed_ends = 0;             // in the last answer

  Resources committed;  // by all runs; without the processors of opportunistic ones
  std::uint64_t serving_cpu_millis = 0;
  std::uint64_t opportunistic_cpu_millis = 0;
  std::uint64_t shared_cpu_millis = 0;  // of these, by runs that share processors
  std::vector<RunRef> runs;
  std::vector<UnansweredStart> unanswered;  // since k_late_order_bound
  std::vector<jobs::TaskId> lost_tasks;     // tasks with lost runs on this worker
  std::uint32_t isolated_runs = 0;          // see Isolation
  TimePoint last_start_at{};                // of any task
  TimePoint reserved_until{};               // no starts but those of suspects before
  RoomReservation room;

  ThrottleControl throttle_control;
  bool polled_frequently = false;  // because it runs harmful opportunistic tasks
  TimePoint explored_at{};         // last start of an opportunistic task of unknown effect
  WorkerHealth health;
  TimePoint backoff_until{};  // no starts before, after a refused one
  std::size_t starts_in_flight = 0;
  std::size_t starts_to_store = 0;      // to be sent once they are stored
  TimePoint start_awaited_since{};      // the last answer to one, or the sending of the first
  std::uint32_t unanswered_starts = 0;  // in a row
  TimePoint start_unanswered_at{};      // the last one
  /// Smoothed speed of its runs with reserved resources, as a multiple of their estimates.
  double speed = 1;
  TimePoint speed_sampled_at{};
  TimePoint slow_until{};  // penalized in placement until then, since a run was slow

  [[nodiscard]] WorkerEndpoint endpoint() const {
    return {entry.id, entry.address, entry.incarnation};
  }
  /// True when the registration describes the incarnation that answers. Another one may have other
  /// labels, another service and another capacity. Births that are not given are not compared.
  [[nodiscard]] bool is_registration_current() const {
    return announced_incarnation == 0 || announced_incarnation == entry.incarnation;
  }
  /// True when the worker may be sent starts: it answered a poll recently, also after any start
  /// without an answer, and the stored roster names it.
  [[nodiscard]] bool is_reachable(TimePoint now) const;
  [[nodiscard]] bool has_label(const std::string& label) const;
  /// Room that is kept free for tasks of another step.
  [[nodiscard]] Resources room_kept_from(const Step& step) const;
  /// Number of runs of the step's tasks.
  [[nodiscard]] std::uint32_t runs_of(const Step& step) const;
  [[nodiscard]] OpportunisticRoom opportunistic_room() const;
  [[nodiscard]] std::int64_t idle_cpu_millis() const { return opportunistic_room().idle(); }

  /// True when no run was started recently, so that a suspect can be isolated here.
  [[nodiscard]] bool is_quiet(TimePoint now) const;
  /// True when it runs a group of less than `max_runs` suspects, which takes another one.
  [[nodiscard]] bool has_open_group(std::uint32_t max_runs) const;
  /// What would be recorded if the worker had crashed under the run after its last answer.
  [[nodiscard]] CrashedRun describe_run(const Run& run) const;

  void add_run(Task& task, std::uint32_t number, Isolation isolation = Isolation::none);
  void remove_run(const Task& task, std::uint32_t number);
  /// The run has settled, so that other tasks can be started beside it.
  void end_isolation(const Task& task, std::uint32_t number);

  /// Remembers a start that was sent at `sent_at` and may still be carried out.
  void note_unanswered_start(const jobs::TaskId& task, std::uint32_t run, TimePoint sent_at);
  /// True when an unanswered start of any run of the task may still be carried out.
  [[nodiscard]] bool may_still_start(const jobs::TaskId& task, TimePoint now) const;

  /// True when a start that was sent at `sent_at` and has no answer may still be carried out: by
  /// this incarnation or, if the worker restarts, by the next one.
  [[nodiscard]] bool may_carry_out_start_of(TimePoint sent_at, TimePoint now) const;

  void note_start_sent(TimePoint now);
  /// True when ends whose effects are stored are not acknowledged, so that the worker lists them
  /// in each answer.
  [[nodiscard]] bool holds_ends(TimePoint now) const {
    return held_ends.acknowledgeable(stored_through, now) < stored_through;
  }

  /// True when no further end may be outstanding, since the worker would not list it beside those
  /// that are not acknowledged.
  [[nodiscard]] bool is_list_of_ends_full(TimePoint now) const {
    return holds_ends(now) && listed_ends + runs.size() >= k_max_listed_ends;
  }
  /// True when a poll should not be held back for long.
  [[nodiscard]] bool is_watched_closely() const { return polled_frequently || isolated_runs > 0; }

  /// Counts the result of a start of any run.
  void note_start_result(StartResult result, TimePoint now);
  /// Starts in flight, if it has answered none of them in time.
  [[nodiscard]] std::size_t overdue_starts(TimePoint now) const {
    return now - start_awaited_since > k_timely_answer ? starts_in_flight : 0;
  }
  /// Starts that may be in flight to the worker. One, while it leaves starts unanswered.
  [[nodiscard]] std::size_t max_starts_in_flight(std::size_t limit) const {
    return unanswered_starts > 0 ? 1 : limit;
  }
  /// True when it has left a start unanswered lately and has answered none since.
  [[nodiscard]] bool leaves_starts_unanswered(TimePoint now) const;
};

/// All workers known to the leader. Workers are never removed.
class WorkerTable {
 public:
  /// The worker with this id, added if it is new.
  Worker& get_or_add(const std::string& id);
  [[nodiscard]] Worker* find(const std::string& id);
  [[nodiscard]] Worker& at(WorkerSlot slot) { return *m_workers.at(slot); }
  [[nodiscard]] const Worker& at(WorkerSlot slot) const { return *m_workers.at(slot); }
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& all() const { return m_workers; }
  [[nodiscard]] IsolationCount count_isolating() const;
  [[nodiscard]] std::size_t count_registered() const;

 private:
  std::vector<std::unique_ptr<Worker>> m_workers;  // by slot
  std::unordered_map<std::string, WorkerSlot> m_slots;
};

}  // namespace arbutusdale::sched
