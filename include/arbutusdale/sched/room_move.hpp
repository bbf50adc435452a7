// Moves of lasting runs that make room for a waiting lasting task. Lasting tasks fill most of a
// fleet, and what they leave free may lie on workers that a task may not use, such as those that
// run the one task that its step allows on a worker. Then no end of a shorter task helps. A lasting
// run of another step that has a place on such a worker leaves its own place to the waiting task.
#pragma once

#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// A lasting run that goes on elsewhere, so that its worker has room for another task.
struct RoomMove {
  Task* task = nullptr;  // whose run moves
  std::uint32_t run = 0;
  WorkerSlot from = 0;  // has room for the waiting task without the run
  WorkerSlot to = 0;    // has an expected room for the run
};

/// The move of the smallest run that makes room for the waiting lasting task; empty if there is
/// none. A run moves only while all other tasks of its step run, only once it has run for a while,
/// and only if its step has no disruption budget.
std::optional<RoomMove> find_room_move(const PlacementView& view, const Task& waiting);

}  // namespace arbutusdale::sched
