// Starts of suspects: tasks that may have crashed a worker. They start alone or in groups, on a
// limited share of the workers at a time, see crash_history.hpp.
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

// Share of the workers on which suspects are started at a time, since each may crash its worker. It
// doubles with each isolation time for which a suspect has waited, up to k_max_isolated_share.
constexpr double k_first_isolated_share = 0.125;
constexpr double k_max_isolated_share = 0.5;
constexpr std::size_t k_min_isolated_workers = 2;
// With those that have fallen silent under a suspect, this multiple of that share, also up to
// k_max_isolated_share.
constexpr std::size_t k_silent_isolated_factor = 2;
// A suspect that has waited this long for a worker without recent starts gets one reserved.
constexpr Duration k_reservation_delay = std::chrono::milliseconds{200};
// An isolated start is stored, answered, and has settled within this time.
constexpr Duration k_isolation_time = k_settling_time + std::chrono::milliseconds{100};
// Within this time all suspects with a single crash are started, in groups if there are many. It is
// shorter than the time after which a job counts as stuck.
constexpr Duration k_max_suspect_wait = 4 * k_isolation_time;
constexpr Duration k_reservation_time = k_settling_time + std::chrono::milliseconds{200};

double isolated_share(Duration waited) {
  double share = k_first_isolated_share;
  for (Duration passed = k_isolation_time; passed <= waited; passed += k_isolation_time) {
    share *= 2;
    if (share >= k_max_isolated_share) {
      return k_max_isolated_share;
    }
  }
  return share;
}

}  // namespace

// The limit grows with the wait, so that suspects are not held back for long by those that started
// before them. After a crash a task begins to wait anew.
IsolationLimit Scheduler::isolation_limit(Duration waited) const {
  const auto& workers = m_workers.all();
  const auto registered = std::count_if(workers.begin(), workers.end(),
                                        [](const auto& worker) { return worker->registered; });
  const auto workers_of_share = [registered](double share) {
    return static_cast<std::size_t>(static_cast<double>(registered) * share);
  };
  const std::size_t max_total = std::max(workers_of_share(k_max_isolated_share),
                                         k_min_isolated_workers * k_silent_isolated_factor);
  IsolationLimit limit;
  limit.answering = std::max(workers_of_share(isolated_share(waited)), k_min_isolated_workers);
  limit.total = std::min(limit.answering * k_silent_isolated_factor, max_total);
  return limit;
}

// A worker that is silent under a suspect may have crashed, so it takes none of the places of those
// that still answer. Counted together, they bound the share of the fleet that suspects may crash.
bool Scheduler::may_isolate(const Task& task) const {
  const IsolationCount count = m_workers.count_isolating();
  const IsolationLimit limit = isolation_limit(m_timer.now() - task.ready_at);
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
  std::size_t starts_alone = 0;
  Duration wait = longest_wait;
  do {
    starts_alone += isolation_limit(wait).answering;
    wait += k_isolation_time;
  } while (wait + k_isolation_time <= k_max_suspect_wait);
  m_suspect_group_size = static_cast<std::uint32_t>((waiting + starts_alone - 1) / starts_alone);
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
