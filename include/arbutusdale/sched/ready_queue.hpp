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
#include <optional>
#include <unordered_map>

namespace arbutusdale::sched {

/// Whether a job can still meet its objective. An expired job's result is of no use to its caller.
enum class Lateness : std::uint8_t { in_time, late, expired };

/// Lateness of the step's job if the step starts now, by the job's estimates.
Lateness lateness_of(const Step& step, TimePoint now);

/// Lateness of the job if it completes at `end`.
Lateness lateness_at(const Job& job, TimePoint end);

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
    visit_steps(
        m_order.begin(), m_order.end(), [](const Key&) {}, visit);
  }

  /// As for_each, but begins behind the step at which the last such call stopped, and goes on at
  /// the front, so that steps behind many that can't be placed have their turn.
  template <typename Visitor>
  void for_each_in_turn(Visitor visit) {
    const std::optional<Key> last = m_last_in_turn;
    const auto remember = [this](const Key& key) { m_last_in_turn = key; };
    const auto begin = last ? m_order.upper_bound(*last) : m_order.begin();
    const Visit wanted = visit_steps(begin, m_order.end(), remember, visit);
    if (last && wanted != Visit::stop) {
      visit_steps(m_order.begin(), m_order.upper_bound(*last), remember, visit);
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

  using Order = std::map<Key, const Step*>;

  // Calls `on_step` with the key of each step before its tasks are visited.
  template <typename OnStep, typename Visitor>
  Visit visit_steps(Order::iterator next, Order::iterator end, OnStep on_step, Visitor& visit) {
    while (next != end) {
      on_step(next->first);
      WaitingTasks& tasks = m_steps.at(next->second).tasks;
      ++next;
      if (visit_step(tasks, visit) == Visit::stop) {
        return Visit::stop;
      }
    }
    return Visit::next_step;
  }

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

  Order m_order;                      // of exactly the steps in m_steps
  std::optional<Key> m_last_in_turn;  // of a step that may be gone
  std::unordered_map<const Step*, WaitingStep> m_steps;
  std::unordered_map<const Task*, std::uint64_t> m_arrivals_of;  // of exactly the waiting tasks
  std::uint64_t m_arrivals = 0;
};

}  // namespace arbutusdale::sched
