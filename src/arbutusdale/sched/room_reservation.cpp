// Choice of the workers on which room is reserved.
#include "arbutusdale/sched/room_reservation.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

namespace arbutusdale::sched {
namespace {

// Share of the workers on which room is reserved at a time.
constexpr double k_max_reserved_share = 0.125;
// A reservation that has not led to a start by then has been made for runs that take longer than
// estimated.
constexpr Duration k_max_reservation_time = std::chrono::seconds{3};
// A step without an expected room is compared with all workers again after this time.
constexpr Duration k_search_interval = std::chrono::seconds{1};
constexpr std::size_t k_max_searches = 16;  // an update

/// Expected time until the run ends. One that takes longer than estimated is expected to go on for
/// as long as it has so far.
Duration remaining_time(const Run& run, const Step& step, TimePoint now) {
  if (step.spec->long_running() || run.phase == RunPhase::stopping) {
    return Duration::zero();
  }
  const Duration estimate = std::chrono::milliseconds{step.spec->estimated_ms()};
  const Duration age = run.begun_at == TimePoint{} ? Duration::zero() : now - run.begun_at;
  return age < estimate ? estimate - age : age - estimate;
}

/// Resources that become free after a time.
using FreedResources = std::pair<Duration, Resources>;

/// What the worker's runs free, in order of time.
std::vector<FreedResources> expected_ends(const Worker& worker, TimePoint now) {
  std::vector<FreedResources> ends;
  for (const RunRef& ref : worker.runs) {
    const Run* run = ref.task->find_run(ref.number);
    const Step& step = *ref.task->step;
    if (run != nullptr && ends_by_itself(*run, step)) {
      ends.emplace_back(remaining_time(*run, step, now), reserved_resources(step));
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  return ends;
}

/// Tasks that need a reservation, by step.
using Needs = std::unordered_map<const Step*, std::vector<Task*>>;

/// Ends the reservation unless a task still needs it; takes that task out of `needs`.
bool renew(const PlacementView& view, Worker& worker, Needs& needs) {
  if (view.now < worker.room.kept_until) {
    return true;
  }
  const auto found = needs.find(worker.room.step);
  const bool is_needed = found != needs.end() && !found->second.empty() &&
                         view.now - worker.room.reserved_at < k_max_reservation_time;
  if (!is_needed || !lacks_only_room(view, worker, *found->second.front())) {
    worker.room = {};
    return false;
  }
  found->second.erase(found->second.begin());
  return true;
}

std::size_t max_reservations(const WorkerTable& workers) {
  const auto& all = workers.all();
  const auto registered =
      std::count_if(all.begin(), all.end(), [](const auto& worker) { return worker->registered; });
  const double share = static_cast<double>(registered) * k_max_reserved_share;
  return std::max(static_cast<std::size_t>(share), std::size_t{1});
}

}  // namespace

bool ends_by_itself(const Run& run, const Step& step) {
  return !step.spec->long_running() || step.job->ending || run.phase == RunPhase::stopping;
}

bool lacks_only_room(const PlacementView& view, const Worker& worker, const Task& task) {
  const Step& step = *task.step;
  const Exclusion exclusion = exclusion_of(view, worker, task);
  if (exclusion != Exclusion::capacity && exclusion != Exclusion::none) {
    return false;
  }
  // Advice is asked for once there is room.
  return !step.job->terms().advised() || view.tickets.find(step, worker, view.now) != nullptr ||
         view.tickets.is_candidate(step, worker, view.now);
}

std::optional<Duration> expected_room_wait(const PlacementView& view, const Worker& worker,
                                           const Task& task) {
  if (!lacks_only_room(view, worker, task)) {
    return std::nullopt;
  }
  const Resources& need = task.step->need;
  Resources committed = worker.committed;
  const auto has_room = [&] {
    return fits(committed, worker.entry.capacity) &&
           fits(need, minus(worker.entry.capacity, committed));
  };
  if (has_room()) {
    return Duration::zero();
  }
  for (const auto& [after, freed] : expected_ends(worker, view.now)) {
    committed = minus(committed, freed);
    if (has_room()) {
      return after;
    }
  }
  return std::nullopt;
}

// A second counts as much as the processors of a worker.
std::optional<WorkerSlot> choose_expected_room(const PlacementView& view, const Task& task) {
  std::optional<WorkerSlot> best;
  double best_cost = 0;
  for (const auto& worker : view.workers.all()) {
    if (worker->room.step != nullptr) {
      continue;
    }
    const std::optional<Duration> wait = expected_room_wait(view, *worker, task);
    if (!wait) {
      continue;
    }
    const double cost =
        std::chrono::duration<double>(*wait).count() + placement_cost(view, *worker, task);
    if (!best || cost < best_cost) {
      best = worker->slot;
      best_cost = cost;
    }
  }
  return best;
}

std::size_t count_expected_rooms(const PlacementView& view, const Task& task) {
  const auto& workers = view.workers.all();
  return static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(),
      [&](const auto& worker) { return expected_room_wait(view, *worker, task).has_value(); }));
}

std::vector<Task*> update_room_reservations(const PlacementView& view, WorkerTable& workers,
                                            const std::vector<Task*>& waiting) {
  std::vector<Task*> without_room;
  Needs needs;
  for (Task* task : waiting) {
    needs[task->step].push_back(task);
  }
  std::size_t reserved = 0;
  for (const auto& worker : workers.all()) {
    if (worker->room.step != nullptr) {
      reserved += renew(view, *worker, needs) ? 1 : 0;
    }
  }
  const std::size_t limit = max_reservations(workers);
  std::size_t searches = 0;
  for (Task* task : waiting) {
    if (reserved >= limit || searches >= k_max_searches) {
      break;
    }
    Step& step = *task->step;
    const std::vector<Task*>& needing = needs[&step];
    const bool needs_room = std::find(needing.begin(), needing.end(), task) != needing.end();
    if (!needs_room || view.now < step.next_room_search_at) {
      continue;
    }
    ++searches;
    const std::optional<WorkerSlot> slot = choose_expected_room(view, *task);
    if (!slot) {
      step.next_room_search_at = view.now + k_search_interval;
      without_room.push_back(task);
      continue;
    }
    workers.at(*slot).room = {&step, step.need, view.now, TimePoint{}};
    ++reserved;
  }
  return without_room;
}

}  // namespace arbutusdale::sched
