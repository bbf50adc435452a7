// The leader's view of the workers: registration, lease, what runs there, room and health.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/sched/pace_control.hpp"
#include "arbutusdale/sched/task_table.hpp"
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
  TimePoint ordered_at{};
};

struct Worker {
  WorkerSlot slot = 0;
  WorkerEntry entry;
  bool registered = false;
  bool left_soon = false;  // its registration went sooner than silence would have removed it
  bool left = false;       // it has ended by itself; nothing runs there
  bool recorded = false;   // the stored roster names it; nothing starts on it before
  bool inherited = false;  // an earlier leader's roster names it
  WorkerLease lease;
  bool settled = false;     // has answered a call with our fencing token in this incarnation
  bool doubtful = false;    // a start had no answer since the last hold was answered
  bool has_strays = false;  // runs something that we do not know and are stopping
  bool hold_in_flight = false;
  bool hold_due = false;          // a hold waits for a timer
  std::uint64_t hold_serial = 0;  // of the last hold sent or scheduled
  std::uint32_t unanswered_holds = 0;
  TimePoint last_answer{};

  std::uint64_t seen_through = 0;     // ends taken into account
  std::uint64_t durable_through = 0;  // ends whose effect is stored; never above seen_through

  Resources committed;  // of all runs; without the processors of opportunistic ones
  std::uint64_t serving_cpu_millis = 0;
  std::uint64_t opportunistic_cpu_millis = 0;
  std::vector<RunRef> runs;
  std::vector<UnansweredStart> unanswered;  // of the last k_late_order_bound

  PaceControl pace_control;
  bool watched = false;     // looked at more often, for its opportunistic tasks
  TimePoint explored_at{};  // last start of an opportunistic task whose effect is not known
  std::uint32_t failures_in_row = 0;
  std::uint32_t quarantines = 0;  // in a row
  TimePoint quarantined_until{};
  TimePoint no_room_until{};
  double speed = 1;  // of its runs with declared room, as a multiple of their estimates; smoothed
  TimePoint speed_seen_at{};
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
  Worker& get(const std::string& id);
  [[nodiscard]] Worker* find(const std::string& id);
  [[nodiscard]] Worker& at(WorkerSlot slot) { return *m_workers.at(slot); }
  [[nodiscard]] const Worker& at(WorkerSlot slot) const { return *m_workers.at(slot); }
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& all() const { return m_workers; }

 private:
  std::vector<std::unique_ptr<Worker>> m_workers;  // by slot
  std::unordered_map<std::string, WorkerSlot> m_slots;
};

}  // namespace arbutusdale::sched
