// Choice of workers for many tasks at once. Answers bursts on a large fleet: the workers are looked
// at once a round instead of once a task, so that the cost of a start does not grow with the fleet.
// Tasks with declared room take the best fit from an order by free processors; opportunistic tasks
// take the cheapest worker from an order made once for each image.
#pragma once

#include "arbutusdale/sched/placement.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace arbutusdale::sched {

class PlacementRound {
 public:
  /// The view and what it refers to must outlive the round.
  explicit PlacementRound(const PlacementView& view);

  /// Best eligible worker for the task, or nothing. The caller places the task there, or asks for
  /// no task of the same step again.
  std::optional<WorkerSlot> choose(const Task& task);
  /// Workers looked at so far.
  [[nodiscard]] std::uint64_t looks() const { return m_looks; }

 private:
  /// A worker by its free processors, or by its cost for one image.
  struct Ranked {
    double rank = 0;
    WorkerSlot slot = 0;

    // The check mistakes the comparison with zero inside for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Ranked&, const Ranked&) = default;
  };

  using ServiceImage = std::pair<std::string, ImageId>;
  using Order = std::set<Ranked>;

  std::optional<WorkerSlot> choose_by_fit(const Task& task);
  std::optional<WorkerSlot> choose_by_image(const Task& task);
  Order& free_order(const std::string& service);
  Order& image_order(const Task& task);
  /// Moves the worker at `stale` to its rank, which has changed since tasks were placed there.
  /// Returns the next one to look at, which is the moved one if it comes later than `least`.
  static Order::iterator correct(Order& order, Order::iterator stale, double rank, double least);

  const PlacementView& m_view;
  std::map<std::string, Order> m_free;         // by service; by free processors
  std::map<ServiceImage, Order> m_for_images;  // by cost, lowest first
  std::uint64_t m_looks = 0;
};

}  // namespace arbutusdale::sched
