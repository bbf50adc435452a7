// Index of a shard's workers by free capacity, and the choice of a worker for a task. The cost of
// one decision is bounded by the number of buckets and samples, not by the number of workers,
// except under the baseline policy `first_fit`.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/core/resources.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::batch {

/// Capacity of one worker for placement.
struct PlacementNode {
  Resources capacity;          // after reservations and headroom
  Resources free;              // what a further task may take
  bool accepts_tasks = false;  // whether new tasks may start on it
};

/// Cost of placing the task on a worker, lower is better; no value excludes the worker.
using PlacementCost = std::function<std::optional<double>(std::uint32_t slot)>;

/// Workers in buckets by free processors and memory; VMs with accelerators have separate buckets.
class PlacementIndex {
 public:
  PlacementIndex(PlacementPolicy policy, std::uint64_t seed) : m_policy(policy), m_random(seed) {}

  /// Adds or updates a worker. Slots are small indices chosen by the caller.
  void set(std::uint32_t slot, const PlacementNode& node);

  /// Worker for a task that needs `need`, or nothing when none of the examined candidates fits.
  /// `check_capacity` is false only for the seeded fault `ignore_capacity`.
  std::optional<std::uint32_t> choose(const Resources& need, const PlacementCost& cost,
                                      bool check_capacity = true);

  [[nodiscard]] const PlacementNode& node(std::uint32_t slot) const { return m_nodes.at(slot); }
  /// Workers examined by the last decision; a test checks that their number is bounded.
  [[nodiscard]] std::uint32_t last_candidates() const { return m_last_candidates; }

 private:
  static constexpr std::uint32_t k_levels = 20;  // of free processors, and of free memory
  static constexpr std::uint32_t k_buckets = 2 * k_levels * k_levels;
  static constexpr std::uint32_t k_no_bucket = k_buckets;

  struct BucketPosition {
    std::uint32_t bucket = k_no_bucket;
    std::uint32_t index = 0;
  };
  struct Best {
    std::optional<std::uint32_t> slot;
    double cost = 0;
  };

  static std::uint32_t level(std::uint64_t amount, std::uint64_t unit);
  static std::uint32_t bucket_of(const PlacementNode& node);
  void remove(std::uint32_t slot);
  void insert(std::uint32_t slot);
  void sample_kind(bool accelerated, const Resources& need, const PlacementCost& cost,
                   bool check_capacity, Best& best);
  void sample_bucket(const std::vector<std::uint32_t>& bucket, const Resources& need,
                     const PlacementCost& cost, bool check_capacity, Best& best);
  std::optional<std::uint32_t> first_fit(const Resources& need, const PlacementCost& cost,
                                         bool check_capacity);

  PlacementPolicy m_policy;
  Random m_random;
  std::vector<PlacementNode> m_nodes;       // by slot
  std::vector<BucketPosition> m_positions;  // by slot; where it is in m_buckets
  std::array<std::vector<std::uint32_t>, k_buckets> m_buckets;
  std::uint32_t m_last_candidates = 0;
};

/// True unless a task without accelerators takes processors or memory that tasks on the free
/// accelerators would need. Each free accelerator counts for its part of the worker's capacity.
bool leaves_room_for_accelerators(const Resources& need, const PlacementNode& node);

}  // namespace arbutusdale::batch
