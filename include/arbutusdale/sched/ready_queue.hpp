// Order in which waiting tasks are placed, so that urgent jobs start at once during a burst of
// batch jobs: long-running tasks first, then by the queue's priority. Within a priority, jobs that
// can still meet their objective precede late ones, and these precede expired ones, which are so
// late that their results are of no use to their callers.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace arbutusdale::sched {

/// Whether a job can still meet its objective. An expired job's result is of no use to its caller.
enum class Lateness : std::uint8_t { in_time, late, expired };

/// Lateness of the step's job if the step starts now, by the job's estimates.
Lateness lateness_of(const Step& step, TimePoint now);

/// What a visitor of waiting tasks wants to see next.
enum class Visit : std::uint8_t {
  next_task,
  next_step,  ///< skip the other waiting tasks of the step
  stop,
};

/// Waiting tasks, grouped by step; the steps are sorted by Key. A backlog has many tasks to a step,
/// and what keeps one of them waiting mostly holds for the others too.
class ReadyQueue {
 public:
  struct Key {
    std::uint32_t rank = 0;  // 0: long-running; otherwise 1 + priority of the queue
    Lateness lateness = Lateness::in_time;
    bool unstarted = false;  // opportunistic, and no task of the job has started
    TimePoint due{};         // of the job
    std::uint64_t arrival = 0;

    // The check mistakes the comparison with zero inside for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  void push(Task& task, TimePoint now);
  void remove(Task& task);
  [[nodiscard]] bool contains(const Task& task) const { return m_arrivals_of.contains(&task); }
  [[nodiscard]] std::size_t size() const { return m_arrivals_of.size(); }
  /// Moves steps whose lateness has changed, or whose job has started.
  void refresh(TimePoint now);

  /// Calls `visit` for each task in order until it returns Visit::stop. `visit` may remove the task
  /// that it is given, and no other unless it returns Visit::stop.
  template <typename Visitor>
  void for_each(Visitor visit) {
    for (auto next = m_order.begin(); next != m_order.end();) {
      WaitingTasks& tasks = m_steps.at(next->second).tasks;
      ++next;
      if (visit_step(tasks, visit) == Visit::stop) {
        return;
      }
    }
  }

  /// Calls `visit` for each step that has waiting tasks, in order, with their number.
  template <typename Visitor>
  void for_each_step(Visitor visit) const {
    for (const auto& [key, step] : m_order) {
      visit(*step, m_steps.at(step).tasks.size());
    }
  }

 private:
  using WaitingTasks = std::map<std::uint64_t, Task*>;  // by arrival

  struct WaitingStep {
    Key key;
    WaitingTasks tasks;  // never empty
  };

  // The step is gone from the queue once its last task is removed, and `tasks` with it.
  template <typename Visitor>
  static Visit visit_step(WaitingTasks& tasks, Visitor& visit) {
    for (auto next = tasks.begin();;) {
      Task* task = next->second;
      ++next;
      const bool is_last = next == tasks.end();
      const Visit wanted = visit(*task);
      if (wanted != Visit::next_task || is_last) {
        return wanted;
      }
    }
  }

  static Key make_key(const Step& step, TimePoint now, std::uint64_t arrival);

  std::map<Key, const Step*> m_order;  // of exactly the steps in m_steps
  std::unordered_map<const Step*, WaitingStep> m_steps;
  std::unordered_map<const Task*, std::uint64_t> m_arrivals_of;  // of exactly the waiting tasks
  std::uint64_t m_arrivals = 0;
};

}  // namespace arbutusdale::sched
