// Starts of suspects: tasks that may have crashed a worker. They start alone or in groups, on a
// limited share of the workers at a time, see crash_history.hpp and suspect_limits.hpp.
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/suspect_limits.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

// A suspect that has waited this long for a worker without recent starts gets one reserved.
constexpr Duration k_reservation_delay = std::chrono::milliseconds{200};
constexpr Duration k_reservation_time = k_settling_time + std::chrono::milliseconds{200};

}  // namespace

IsolationLimit Scheduler::isolation_limit_for(const Task& task) const {
  return isolation_limit(m_workers.count_registered(), m_timer.now() - task.ready_at);
}

// A worker that is silent under a suspect may have crashed, so it takes none of the places of those
// that still answer. Counted together, they bound the share of the fleet that suspects may crash.
bool Scheduler::may_isolate(const Task& task) const {
  const IsolationCount count = m_workers.count_isolating();
  const IsolationLimit limit = isolation_limit_for(task);
  return count.answering < limit.answering && count.answering + count.silent < limit.total;
}

// The smallest groups with which every suspect starts in time: a task that crashes the worker of
// its group takes the others with it.
void Scheduler::update_suspect_group_size() {
  m_suspect_group_size = 1;
  if (!std::exchange(m_suspects_wait, false)) {
    return;
  }
  const TimePoint now = m_timer.now();
  std::size_t waiting = 0;
  Duration longest_wait{};
  m_ready.for_each_step([&](const Step& step, std::size_t) {
    for (const Task& task : step.tasks) {
      if (task.phase != TaskPhase::waiting || !task.crashes.is_weak_suspect()) {
        continue;
      }
      ++waiting;
      longest_wait = std::max(longest_wait, now - task.ready_at);
    }
  });
  m_suspect_group_size = suspect_group_size(waiting, longest_wait, m_workers.count_registered());
}

bool Scheduler::place_in_group(Task& task) {
  if (m_suspect_group_size <= 1 || !task.crashes.is_weak_suspect()) {
    return false;
  }
  PlacementView view = placement_view();
  view.allows_harm = is_starved(task);
  view.joins_group_below = m_suspect_group_size;
  const auto slot = choose_worker(view, task);
  if (!slot) {
    return false;
  }
  start_run(task, m_workers.at(*slot), next_run_number(task));
  return true;
}

// Starts a task that may have crashed a worker where nothing else was started recently. Reserves
// such a worker if the fleet is too busy to have one.
bool Scheduler::place_suspect(Task& task) {
  const TimePoint now = m_timer.now();
  if (place_in_group(task)) {
    return true;
  }
  if (!may_isolate(task)) {
    task.delay = StartDelay::isolation_limit;
    return false;
  }
  task.delay = StartDelay::no_worker;
  PlacementView view = placement_view();
  view.allows_harm = is_starved(task);
  if (const auto slot = choose_worker(view, task)) {
    start_run(task, m_workers.at(*slot), next_run_number(task));
    return true;
  }
  if (now - task.ready_at < k_reservation_delay || now < task.reserved_until) {
    return false;
  }
  view.ignores_recent_starts = true;
  if (const auto slot = choose_worker(view, task)) {
    task.reserved_until = now + k_reservation_time;
    m_workers.at(*slot).reserved_until = task.reserved_until;
  }
  return false;
}

}  // namespace arbutusdale::sched
