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

/// Waiting tasks, sorted by Key.
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
  [[nodiscard]] bool contains(const Task& task) const;
  [[nodiscard]] std::size_t size() const { return m_tasks.size(); }
  /// Moves tasks whose lateness has changed, or whose job has started.
  void refresh(TimePoint now);

  /// Calls `visit` for each task in order until it returns false. `visit` may remove the task that
  /// it is given, and no other if it returns true.
  template <typename Visit>
  void for_each(Visit visit) {
    for (auto next = m_tasks.begin(); next != m_tasks.end();) {
      Task* task = next->second;
      ++next;
      if (!visit(*task)) {
        return;
      }
    }
  }

 private:
  std::map<Key, Task*> m_tasks;
  std::unordered_map<const Task*, Key> m_keys;  // of exactly the tasks in m_tasks
  std::uint64_t m_arrivals = 0;
};

}  // namespace arbutusdale::sched
