// Choice of the worker for a task. Answers a fleet that is mostly full of long-running tasks:
// tasks with declared room go where the least room stays free, so that large tasks still fit
// somewhere. Serving tasks of one image share workers, so that fewer workers have an image that an
// opportunistic task disturbs. Opportunistic tasks go beside serving tasks that they are not
// believed to disturb, so that workers without serving tasks stay free for those that disturb many.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/serving_affinity.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/ticket_cache.hpp"
#include "arbutusdale/sched/worker_scarcity.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <optional>
#include <string>

namespace arbutusdale::sched {

/// What placement decides by.
struct PlacementView {
  const WorkerTable& workers;
  const InterferenceTable& interference;
  const WorkerScarcity& scarcity;
  const ServingAffinity& affinity;
  const TicketCache& tickets;
  TimePoint now;
  /// Opportunistic tasks may run beside serving tasks that they are believed to harm, as long as
  /// the tails are low.
  bool allows_harm = false;
};

/// True when the worker takes tasks of the service's queues at all.
bool accepts_tasks(const Worker& worker, const std::string& service, TimePoint now);

/// True when an opportunistic image may run beside the worker's serving tasks.
bool accepts_image(const PlacementView& view, const Worker& worker, ImageId image);

/// True when the worker has room for the task and suits it, with a ticket or without.
bool can_host(const PlacementView& view, const Worker& worker, const Task& task);

/// True when the worker may run the task now.
bool is_eligible(const PlacementView& view, const Worker& worker, const Task& task);

/// True when it is not known how the opportunistic image affects the worker's serving tasks.
bool is_exploration(const PlacementView& view, const Worker& worker, ImageId image);

/// Cost of a worker for any opportunistic task of the image; the lowest is best.
double image_cost(const PlacementView& view, const Worker& worker, ImageId image);

/// Cost of a worker for the task, penalties included.
double placement_cost(const PlacementView& view, const Worker& worker, const Task& task);

/// Best eligible worker, or nothing.
std::optional<WorkerSlot> choose_worker(const PlacementView& view, const Task& task);

}  // namespace arbutusdale::sched
