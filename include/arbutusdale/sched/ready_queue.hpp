// Order in which waiting tasks are offered to workers. Answers a burst of batch jobs beside urgent
// ones: long-running tasks first, then by the queue's priority; within a priority, jobs that can
// still meet their objective go before those that are late, and these before those that are so late
// that their callers gain nothing any more.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace arbutusdale::sched {

enum class Lateness : std::uint8_t { in_time, late, expired };

/// Lateness that the job will have if the step starts now, by its estimates.
Lateness lateness_of(const Step& step, TimePoint now);

class ReadyQueue {
 public:
  struct Key {
    std::uint32_t rank = 0;  // 0: long-running; else 1 + priority of the queue
    Lateness lateness = Lateness::in_time;
    bool unstarted = false;  // an opportunistic task of a job of which nothing has started
    TimePoint due{};
    std::uint64_t arrival = 0;

    // The check mistakes the comparison with zero inside for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Key&, const Key&) = default;
  };

  void push(Task& task, TimePoint now);
  void remove(Task& task);
  [[nodiscard]] bool contains(const Task& task) const;
  [[nodiscard]] std::size_t size() const { return m_tasks.size(); }
  /// Moves tasks whose lateness has changed.
  void refresh(TimePoint now);

  /// Tasks in their order; `visit` may remove the task that it is given, and no other.
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
  std::unordered_map<const Task*, Key> m_keys;  // has exactly the tasks of m_tasks
  std::uint64_t m_arrivals = 0;
};

}  // namespace arbutusdale::sched
