// Search for a lasting run whose move makes room.
#include "arbutusdale/sched/room_move.hpp"

#include "arbutusdale/sched/room_reservation.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace arbutusdale::sched {
namespace {

// A run that has just moved, or was just started, stays where it is.
constexpr Duration k_min_run_time = std::chrono::seconds{3};
// Runs for which a place elsewhere is searched, from the smallest on.
constexpr std::size_t k_max_searches = 8;

bool has_confirmed_run(const Task& task) {
  return task.runs.size() == 1 && task.runs.front().phase == RunPhase::running &&
         task.runs.front().listed;
}

/// True when a task of the step may lose its run for a moment. A caller that sets a disruption
/// budget also counts the tasks that have a run and are not at work yet, which is not known here.
bool is_movable_step(const Step& step) {
  const auto& spec = *step.spec;
  const bool is_of_kind = spec.long_running() && !spec.gang() && !spec.opportunistic() &&
                          spec.disruption_budget() == 0 && !step.job->ending &&
                          !step.job->terms().advised();
  return is_of_kind && std::all_of(step.tasks.begin(), step.tasks.end(), has_confirmed_run);
}

bool has_run_for_long(const Task& task, TimePoint now) {
  return now - task.runs.front().begun_at >= k_min_run_time;
}

/// What the worker has left beside its lasting runs.
Resources room_beside_lasting_runs(const Worker& worker) {
  Resources taken;
  for (const RunRef& ref : worker.runs) {
    const Run* run = ref.task->find_run(ref.number);
    if (run != nullptr && !ends_by_itself(*run, *ref.task->step)) {
      taken = plus(taken, reserved_resources(*ref.task->step));
    }
  }
  return minus(worker.entry.capacity, taken);
}

/// Adds the runs of the worker whose moves would make room for the task.
void add_candidates(const PlacementView& view, const Worker& worker, const Task& waiting,
                    std::vector<RoomMove>& candidates) {
  if (worker.room.step != nullptr || !lacks_only_room(view, worker, waiting)) {
    return;
  }
  const Resources room = room_beside_lasting_runs(worker);
  for (const RunRef& ref : worker.runs) {
    const Step& step = *ref.task->step;
    const bool makes_room = fits(waiting.step->need, plus(room, step.need));
    const bool may_move = makes_room && &step != waiting.step && is_movable_step(step) &&
                          !ref.task->crashes.is_suspect() && has_run_for_long(*ref.task, view.now);
    if (may_move) {
      candidates.push_back({ref.task, ref.number, worker.slot, worker.slot});
    }
  }
}

}  // namespace

std::optional<RoomMove> find_room_move(const PlacementView& view, const Task& waiting) {
  std::vector<RoomMove> candidates;
  for (const auto& worker : view.workers.all()) {
    add_candidates(view, *worker, waiting, candidates);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const RoomMove& left, const RoomMove& right) {
                     return left.task->step->need.cpu_millis < right.task->step->need.cpu_millis;
                   });
  candidates.resize(std::min(candidates.size(), k_max_searches));
  for (RoomMove& move : candidates) {
    const std::optional<WorkerSlot> slot = choose_expected_room(view, *move.task);
    if (slot && *slot != move.from) {
      move.to = *slot;
      return move;
    }
  }
  return std::nullopt;
}

}  // namespace arbutusdale::sched
