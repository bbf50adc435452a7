// Buckets of free capacity and choice of a worker by sampling.
#include "arbutusdale/batch/placement.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

constexpr std::uint32_t k_samples_per_bucket = 4;
constexpr std::uint32_t k_samples_per_kind = 24;
constexpr std::uint64_t k_cpu_unit_millis = 250;
constexpr std::uint64_t k_memory_unit_mib = 256;
// Two buckets for each doubling of the free amount, so that few workers of a bucket are too small
// for a task of the same bucket.
constexpr std::uint64_t k_buckets_per_doubling = 2;

}  // namespace

bool leaves_room_for_accelerators(const Resources& need, const PlacementNode& node) {
  if (need.accelerators > 0 || node.capacity.accelerators == 0) {
    return true;
  }
  const std::uint64_t free = node.free.accelerators;
  const std::uint64_t total = node.capacity.accelerators;
  const Resources kept{node.capacity.cpu_millis * free / total,
                       node.capacity.memory_mib * free / total, 0};
  return fits(plus(need, kept), node.free);
}

std::uint32_t PlacementIndex::level(std::uint64_t amount, std::uint64_t unit) {
  std::uint32_t result = 0;
  std::uint64_t edge = unit;
  while (result + 1 < k_levels && amount >= edge) {
    // Edges 1, 1.5, 2, 3, 4, 6, ... units.
    edge = result % k_buckets_per_doubling == 0 ? edge + edge / 2 : edge / 3 * 4;
    ++result;
  }
  return result;
}

std::uint32_t PlacementIndex::bucket_of(const PlacementNode& node) {
  if (!node.accepts_tasks) {
    return k_no_bucket;
  }
  const std::uint32_t kind = node.capacity.accelerators > 0 ? 1 : 0;
  return (kind * k_levels + level(node.free.cpu_millis, k_cpu_unit_millis)) * k_levels +
         level(node.free.memory_mib, k_memory_unit_mib);
}

void PlacementIndex::remove(std::uint32_t slot) {
  const BucketPosition position = m_positions[slot];
  if (position.bucket == k_no_bucket) {
    return;
  }
  std::vector<std::uint32_t>& bucket = m_buckets.at(position.bucket);
  bucket[position.index] = bucket.back();
  m_positions[bucket[position.index]].index = position.index;
  bucket.pop_back();
  m_positions[slot].bucket = k_no_bucket;
}

void PlacementIndex::insert(std::uint32_t slot) {
  const std::uint32_t number = bucket_of(m_nodes[slot]);
  if (number == k_no_bucket) {
    return;
  }
  std::vector<std::uint32_t>& bucket = m_buckets.at(number);
  m_positions[slot] = BucketPosition{number, static_cast<std::uint32_t>(bucket.size())};
  bucket.push_back(slot);
}

void PlacementIndex::set(std::uint32_t slot, const PlacementNode& node) {
  if (slot >= m_nodes.size()) {
    m_nodes.resize(slot + 1);
    m_positions.resize(slot + 1);
  }
  m_nodes[slot] = node;
  if (m_positions[slot].bucket == bucket_of(node)) {
    return;
  }
  remove(slot);
  insert(slot);
}

void PlacementIndex::sample_bucket(const std::vector<std::uint32_t>& bucket, const Resources& need,
                                   const PlacementCost& cost, bool check_capacity, Best& best) {
  const std::uint64_t first = random_index(m_random, bucket.size());
  const std::uint64_t count = std::min<std::uint64_t>(bucket.size(), k_samples_per_bucket);
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::uint32_t slot = bucket[(first + i) % bucket.size()];
    const PlacementNode& candidate = m_nodes[slot];
    ++m_last_candidates;
    if (check_capacity &&
        (!fits(need, candidate.free) || !leaves_room_for_accelerators(need, candidate))) {
      continue;
    }
    const std::optional<double> candidate_cost = cost(slot);
    if (candidate_cost && (!best.slot || *candidate_cost < best.cost)) {
      best = Best{slot, *candidate_cost};
    }
  }
}

void PlacementIndex::sample_kind(bool accelerated, const Resources& need, const PlacementCost& cost,
                                 bool check_capacity, Best& best) {
  const std::uint32_t cpu = check_capacity ? level(need.cpu_millis, k_cpu_unit_millis) : 0;
  const std::uint32_t memory = check_capacity ? level(need.memory_mib, k_memory_unit_mib) : 0;
  const std::uint32_t limit = m_last_candidates + k_samples_per_kind;
  const std::uint32_t kind = accelerated ? 1 : 0;
  for (std::uint32_t i = cpu; i < k_levels; ++i) {
    for (std::uint32_t j = memory; j < k_levels; ++j) {
      const std::vector<std::uint32_t>& bucket = m_buckets.at((kind * k_levels + i) * k_levels + j);
      if (bucket.empty()) {
        continue;
      }
      sample_bucket(bucket, need, cost, check_capacity, best);
      // Sampling goes on past the limit until a candidate fits, so that many buckets of workers
      // that are too small do not hide the larger ones.
      if (best.slot && m_last_candidates >= limit) {
        return;
      }
    }
  }
}

std::optional<std::uint32_t> PlacementIndex::first_fit(const Resources& need,
                                                       const PlacementCost& cost,
                                                       bool check_capacity) {
  for (std::uint32_t slot = 0; slot < m_nodes.size(); ++slot) {
    const PlacementNode& candidate = m_nodes[slot];
    ++m_last_candidates;
    if (candidate.accepts_tasks && (!check_capacity || fits(need, candidate.free)) && cost(slot)) {
      return slot;
    }
  }
  return std::nullopt;
}

std::optional<std::uint32_t> PlacementIndex::choose(const Resources& need,
                                                    const PlacementCost& cost,
                                                    bool check_capacity) {
  m_last_candidates = 0;
  if (m_policy == PlacementPolicy::first_fit) {
    return first_fit(need, cost, check_capacity);
  }
  Best best;
  if (need.accelerators == 0) {
    sample_kind(false, need, cost, check_capacity, best);
  }
  if (!best.slot) {
    sample_kind(true, need, cost, check_capacity, best);
  }
  return best.slot;
}

}  // namespace arbutusdale::batch
