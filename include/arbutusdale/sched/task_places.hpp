// Places for tasks that last. The sum of the free processors of a shard says little of them: a task
// needs all of its processors on one worker, and a step may limit its tasks on each worker.
#pragma once

#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/sched/job_need.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// Number of workers by their free processors: entry i of `counts` counts those with at least
/// `(i + 1) * step_millis` thousandths of a processor.
struct FreeWorkerCounts {
  std::uint64_t step_millis = 1;
  std::vector<std::uint32_t> counts;
};

/// Processors of the workers of a shard, in thousandths, beside the tasks that last. Only
/// processors are counted. Not thread-safe.
class TaskPlaces {
 public:
  /// `free_millis` are the processors that no lasting task has reserved.
  void add_worker(const WorkerEntry& entry, std::uint64_t free_millis);
  /// Takes places for up to `tasks` tasks, on the fullest workers that have one. Returns for how
  /// many there was none.
  std::uint32_t take(const std::string& service, const StepNeed& need, std::uint32_t tasks);
  /// True if there are places for the tasks of all steps that run at the same time.
  [[nodiscard]] bool has_places_for(const JobNeed& need) const;
  [[nodiscard]] FreeWorkerCounts count_free_workers() const;

 private:
  struct Place {
    std::string service;
    std::vector<std::string> labels;
    std::uint64_t free_millis = 0;
  };

  std::vector<Place> m_workers;
  std::uint64_t m_largest_millis = 0;  // processors of the largest worker
};

/// What is left for lasting tasks beside those that run or wait.
struct LastingRoom {
  TaskPlaces places;
  std::set<jobs::JobId> jobs_without_places;  // for at least one of their waiting tasks
};

/// True if workers with these free processors have places for each step of the job by itself.
/// Labels and services aren't known.
[[nodiscard]] bool may_have_places_for(const FreeWorkerCounts& free, const JobNeed& need);

}  // namespace arbutusdale::sched
