// Choice of workers for many tasks at once. For bursts on a large fleet, all workers are examined
// once a round instead of once a task, so that the cost of a start does not grow with the fleet.
// Tasks with reserved resources take the best fit from a ranking by free processors; opportunistic
// tasks take the cheapest worker from a ranking made once for each image. A search of a ranking
// ends after a number of ineligible workers; as these may be the same in each round, some of the
// tasks for which it has found none are compared with all workers. The steps take turns at that.
#pragma once

#include "arbutusdale/sched/placement.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace arbutusdale::sched {

/// One pass over the waiting tasks. The rankings it keeps are updated as tasks are placed.
class PlacementRound {
 public:
  /// The view and what it refers to must outlive the round.
  explicit PlacementRound(const PlacementView& view);

  /// Best eligible worker for the task, or nothing. The caller then places the task there; without
  /// a worker it must not call this again for a task of the same step.
  std::optional<WorkerSlot> choose(const Task& task);
  /// Number of times that a worker was examined so far, as a measure of cost.
  [[nodiscard]] std::uint64_t workers_examined() const { return m_workers_examined; }

 private:
  /// A worker ranked by its free processors, or by its cost for one image.
  struct Ranked {
    double rank = 0;
    WorkerSlot slot = 0;

    // The check mistakes the comparison with zero inside for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Ranked&, const Ranked&) = default;
  };

  using ServiceImage = std::pair<std::string, ImageId>;
  using Ranking = std::set<Ranked>;

  std::optional<WorkerSlot> choose_by_fit(const Task& task);
  std::optional<WorkerSlot> choose_by_image(const Task& task);
  /// Compares the task with all workers, after a search of a ranking that ended early. Finds
  /// nothing if it is not the turn of the task's step.
  std::optional<WorkerSlot> search_all(const Task& task);
  Ranking& free_cpu_ranking(const std::string& service);
  Ranking& image_ranking(const Task& task);
  /// Moves the worker at `stale` to `rank`; its rank has changed since tasks were placed there.
  /// Returns the next worker to examine: the moved one if it now ranks before the worker that
  /// followed it and its rank is at least `min_rank`, otherwise that worker.
  static Ranking::iterator reposition(Ranking& ranking, Ranking::iterator stale, double rank,
                                      double min_rank);

  const PlacementView& m_view;
  std::map<std::string, Ranking> m_free_cpu_rankings;  // by service; ranked by free processors
  std::map<ServiceImage, Ranking> m_image_rankings;    // ranked by cost, lowest first
  std::uint64_t m_workers_examined = 0;
  std::size_t m_full_searches = 0;  // calls of search_all that compared workers
};

}  // namespace arbutusdale::sched
