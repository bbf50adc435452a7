// Counts places on the workers of a shard, or from what its leader states of them.
#include "arbutusdale/sched/task_places.hpp"

#include <algorithm>
#include <cstddef>

namespace arbutusdale::sched {
namespace {

constexpr std::uint64_t k_free_steps = 32;  // of the largest worker's processors

std::uint32_t tasks_that_fit(std::uint64_t free_millis, const StepNeed& need) {
  const std::uint64_t size = std::max<std::uint64_t>(need.task.cpu_millis, 1);
  const std::uint64_t fitting =
      std::min<std::uint64_t>(free_millis / size, std::max(need.tasks_at_once, 1U));
  const std::uint64_t limit = need.max_per_worker == 0 ? fitting : need.max_per_worker;
  return static_cast<std::uint32_t>(std::min(fitting, limit));
}

}  // namespace

void TaskPlaces::add_worker(const WorkerEntry& entry, std::uint64_t free_millis) {
  m_workers.push_back({entry.service, entry.labels, free_millis});
  m_largest_millis = std::max(m_largest_millis, entry.capacity.cpu_millis);
}

std::uint32_t TaskPlaces::take(const std::string& service, const StepNeed& need,
                               std::uint32_t tasks) {
  std::vector<Place*> candidates;
  for (Place& place : m_workers) {
    const auto& labels = place.labels;
    const bool has_label =
        need.label.empty() || std::find(labels.begin(), labels.end(), need.label) != labels.end();
    if (place.service == service && has_label && tasks_that_fit(place.free_millis, need) > 0) {
      candidates.push_back(&place);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Place* a, const Place* b) { return a->free_millis < b->free_millis; });
  for (Place* place : candidates) {
    const std::uint32_t taken = std::min(tasks, tasks_that_fit(place->free_millis, need));
    place->free_millis -= taken * need.task.cpu_millis;
    tasks -= taken;
    if (tasks == 0) {
      break;
    }
  }
  return tasks;
}

bool TaskPlaces::has_places_for(const JobNeed& need) const {
  TaskPlaces left = *this;
  return std::all_of(need.steps.begin(), need.steps.end(), [&](const StepNeed& step) {
    return left.take(need.service, step, step.tasks_at_once) == 0;
  });
}

FreeWorkerCounts TaskPlaces::count_free_workers() const {
  FreeWorkerCounts free;
  free.step_millis = std::max<std::uint64_t>(m_largest_millis / k_free_steps, 1);
  for (const Place& place : m_workers) {
    const std::size_t steps = place.free_millis / free.step_millis;
    free.counts.resize(std::max(free.counts.size(), steps));
    for (std::size_t i = 0; i < steps; ++i) {
      ++free.counts[i];
    }
  }
  return free;
}

bool may_have_places_for(const FreeWorkerCounts& free, const JobNeed& need) {
  const auto& counts = free.counts;
  return std::all_of(need.steps.begin(), need.steps.end(), [&](const StepNeed& step) {
    std::uint64_t places = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
      const std::uint32_t above = i + 1 < counts.size() ? counts[i + 1] : 0;
      const std::uint32_t workers = counts[i] - std::min(counts[i], above);
      places += std::uint64_t{workers} * tasks_that_fit((i + 1) * free.step_millis, step);
    }
    return places >= step.tasks_at_once;
  });
}

}  // namespace arbutusdale::sched
