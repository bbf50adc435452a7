// The leader's view of the workers: registration, lease, what runs there, room and health.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/throttle_control.hpp"
#include "arbutusdale/sched/worker_lease.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::sched {

/// Orders that had no answer are carried out within this time, if at all.
inline constexpr Duration k_late_order_bound = std::chrono::seconds{20};

struct RunRef {
  Task* task = nullptr;
  std::uint32_t number = 0;
};

/// A start that had no answer. It may still be carried out, also by the worker's next incarnation.
struct UnansweredStart {
  jobs::TaskId task;
  std::uint32_t run = 0;
  TimePoint sent_at{};
};

struct Worker {
  WorkerSlot slot = 0;
  WorkerEntry entry;
  bool registered = false;
  bool removed_before_expiry =
      false;                // its registration went sooner than silence would have removed it
  bool has_exited = false;  // it has ended by itself; nothing runs there
  bool in_roster = false;   // the stored roster names it; nothing starts on it before
  bool in_earlier_roster = false;  // an earlier leader's roster names it
  WorkerLease lease;
  bool has_answered = false;       // has answered a call with our fencing token in this incarnation
  bool needs_poll = false;         // a start had no answer since the last poll was answered
  bool has_unwanted_runs = false;  // runs something that we do not know and are stopping
  bool poll_in_flight = false;
  bool poll_scheduled = false;    // a poll waits for a timer
  std::uint64_t poll_serial = 0;  // of the last poll sent or scheduled
  std::uint32_t unanswered_polls = 0;
  TimePoint last_answer{};

  std::uint64_t processed_through = 0;  // ends taken into account
  std::uint64_t stored_through = 0;  // ends whose effect is stored; never above processed_through

  Resources committed;  // of all runs; without the processors of opportunistic ones
  std::uint64_t serving_cpu_millis = 0;
  std::uint64_t opportunistic_cpu_millis = 0;
  std::vector<RunRef> runs;
  std::vector<UnansweredStart> unanswered;  // of the last k_late_order_bound

  ThrottleControl throttle_control;
  bool polled_frequently = false;  // looked at more often, for its opportunistic tasks
  TimePoint explored_at{};         // last start of an opportunistic task whose effect is not known
  std::uint32_t failures_in_row = 0;
  std::uint32_t quarantines = 0;  // in a row
  TimePoint quarantined_until{};
  TimePoint backoff_until{};
  double speed = 1;  // of its runs with declared room, as a multiple of their estimates; smoothed
  TimePoint speed_sampled_at{};
  TimePoint slow_until{};  // its runs were slow a moment ago

  [[nodiscard]] WorkerEndpoint endpoint() const {
    return {entry.id, entry.address, entry.incarnation};
  }
  [[nodiscard]] bool is_reachable(TimePoint now) const;
  [[nodiscard]] bool has_label(const std::string& label) const;
  [[nodiscard]] std::uint32_t runs_of(const Step& step) const;
  /// Processors that neither serving nor other tasks are expected to use.
  [[nodiscard]] std::int64_t idle_cpu_millis() const;

  void add_run(Task& task, std::uint32_t number);
  void remove_run(const Task& task, std::uint32_t number);

  void note_success();
  /// True when the failures in a row lead to a quarantine.
  bool note_failure(TimePoint now);
};

class WorkerTable {
 public:
  /// The worker with this id, made at its first registration.
  Worker& get_or_add(const std::string& id);
  [[nodiscard]] Worker* find(const std::string& id);
  [[nodiscard]] Worker& at(WorkerSlot slot) { return *m_workers.at(slot); }
  [[nodiscard]] const Worker& at(WorkerSlot slot) const { return *m_workers.at(slot); }
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& all() const { return m_workers; }

 private:
  std::vector<std::unique_ptr<Worker>> m_workers;  // by slot
  std::unordered_map<std::string, WorkerSlot> m_slots;
};

}  // namespace arbutusdale::sched
