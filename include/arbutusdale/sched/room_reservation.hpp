// Reservation of room for lasting tasks. On a full fleet, shorter tasks take each room that becomes
// free, and a lasting task that needs more than any of them leaves waits without bound. So a worker
// is chosen for it, on which other tasks start only beside the room that it needs, until the
// running ones have left that room. Nothing is stopped for it, see room_move.hpp.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace arbutusdale::sched {

/// Time until the worker has room for the task, by the estimates of its runs; empty when it has
/// none even without its runs that end by themselves, or does not run the task for another reason.
std::optional<Duration> expected_room_wait(const PlacementView& view, const Worker& worker,
                                           const Task& task);

/// True when room is all that the worker may lack for the task.
bool lacks_only_room(const PlacementView& view, const Worker& worker, const Task& task);

/// True when the run does not keep its resources for good.
bool ends_by_itself(const Run& run, const Step& step);

/// The worker without a reservation where the task has room first; empty if it is expected nowhere.
std::optional<WorkerSlot> choose_expected_room(const PlacementView& view, const Task& task);

/// Number of workers with an expected room for the task.
std::size_t count_expected_rooms(const PlacementView& view, const Task& task);

/// Renews the reservations for the tasks in `waiting`: lasting ones, those that have waited longest
/// first. Ends those that no task needs or that have not helped, and adds new ones up to a share of
/// the workers. `workers` is the table in `view`. Returns the tasks for which no worker with an
/// expected room was found now.
std::vector<Task*> update_room_reservations(const PlacementView& view, WorkerTable& workers,
                                            const std::vector<Task*>& waiting);

}  // namespace arbutusdale::sched
