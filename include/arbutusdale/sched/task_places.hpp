// Places for tasks that last. The sum of the free processors of a shard says little of them: a task
// needs all of its processors on one worker, and a step may limit its tasks on each worker.
#pragma once

#include "arbutusdale/sched/job_need.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// Number of workers with a given least number of free processors: entry i counts those with at
/// least `(i + 1) * k_free_step_millis`.
using FreeWorkerCounts = std::vector<std::uint32_t>;

inline constexpr std::uint64_t k_free_step_millis = 2'000;  // thousandths of a processor
inline constexpr std::size_t k_max_free_steps = 64;         // the last one has no upper bound

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
};

/// True if workers with these free processors have places for each step of the job by itself.
/// Labels and services aren't known.
[[nodiscard]] bool has_places_for(const FreeWorkerCounts& counts, const JobNeed& need);

}  // namespace arbutusdale::sched
