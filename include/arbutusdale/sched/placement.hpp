// Choice of the worker for a task, for a fleet that is mostly full of long-running tasks. Tasks
// with reserved resources are placed by best fit (where the least capacity stays free), so that
// large tasks still fit somewhere. Serving tasks of one image share workers, so that fewer workers
// run an image that an opportunistic task disturbs. Opportunistic tasks are placed beside serving
// tasks that they are not believed to disturb, so that workers without serving tasks stay free for
// opportunistic tasks that disturb many images.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/serving_affinity.hpp"
#include "arbutusdale/sched/start_window.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/ticket_cache.hpp"
#include "arbutusdale/sched/worker_scarcity.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace arbutusdale::sched {

/// State that placement decisions depend on.
struct PlacementView {
  const WorkerTable& workers;
  const InterferenceTable& interference;
  const WorkerScarcity& scarcity;
  const ServingAffinity& affinity;
  const TicketCache& tickets;
  TimePoint now;
  /// Allows opportunistic tasks beside serving tasks that they are believed to harm, as long as the
  /// tail latencies are low.
  bool allows_harm = false;
  /// Allows opportunistic tasks where they share processors, see may_share_processors().
  bool shares_processors = false;
  /// Allows suspects on workers on which other runs were started recently.
  bool ignores_recent_starts = false;
  /// Allows suspects only on workers that run a group of fewer ones, unless zero.
  std::uint32_t joins_group_below = 0;
  /// Starts that one worker may leave unanswered at a time.
  std::size_t max_starts_per_worker = k_max_starts_in_flight;
};

/// Why a worker does not run a task now.
enum class Exclusion : std::uint8_t {
  none,
  late_start,           ///< an unanswered start of the task may still be carried out
  service,              ///< the worker belongs to another service
  not_ready,            ///< it is draining or not registered
  other_incarnation,    ///< its registration describes another incarnation than the present one
  unreachable,          ///< it has not answered lately, or the stored roster does not name it
  quarantined,          ///< runs have failed there in a row
  refused,              ///< it has just refused a start
  unanswered,           ///< as many starts as it may have at a time are in flight
  unacknowledged_ends,  ///< it lists as many ends as it can, and they may not be acknowledged yet
  unwanted_run,         ///< it has a run that is not expected there
  suspect,  ///< it runs a suspect alone, is reserved for one, or is not quiet enough for one
  label,
  max_per_worker,
  rack,
  capacity,
  reserved_room,  ///< the task would take room that is reserved for a lasting one
  interference,   ///< the image may disturb its serving tasks
  ticket,
};

/// True when the worker accepts tasks of the service's queues at all.
bool accepts_tasks(const Worker& worker, const std::string& service, TimePoint now);

/// True for a lasting task that has waited for a while: it takes what room there is, also on
/// workers in quarantine on which it has not failed. Its attempts are not limited.
bool may_use_quarantined(const PlacementView& view, const Task& task);

/// True when an opportunistic image may run beside the worker's serving tasks.
bool accepts_image(const PlacementView& view, const Worker& worker, ImageId image);

/// True when an unanswered start of the task may still be carried out, which would double any other
/// run of it after a restart of the worker. A lasting task, and one whose worker drains, waits for
/// a while only. A lasting one may start on that worker; any other one starts nowhere.
bool awaits_late_start(const PlacementView& view, const Task& task);

/// True when the worker has the capacity for the task and meets its constraints. Ignores tickets.
bool can_host(const PlacementView& view, const Worker& worker, const Task& task);

/// The first reason found for which the worker does not run the task now.
Exclusion exclusion_of(const PlacementView& view, const Worker& worker, const Task& task);

/// True when the worker may run the task now: it can host it and has any ticket that it needs.
bool is_eligible(const PlacementView& view, const Worker& worker, const Task& task);

/// True when too little is known of how the opportunistic image affects the worker's serving tasks.
bool is_exploration(const PlacementView& view, const Worker& worker, ImageId image);

/// Cost of placing an opportunistic task of the image on the worker; the lowest is best.
double image_cost(const PlacementView& view, const Worker& worker, ImageId image);

/// Cost of placing the task on the worker, including penalties; the lowest is best.
double placement_cost(const PlacementView& view, const Worker& worker, const Task& task);

/// Eligible worker with the lowest cost; empty when there is none.
std::optional<WorkerSlot> choose_worker(const PlacementView& view, const Task& task);

}  // namespace arbutusdale::sched
