// Deterministic subsetting: with more than `k_max_daemons_per_worker` daemons, each worker belongs
// to a window of consecutive daemons. From one worker to the next the window moves on by the number
// of slots, at most by its own size, so that all daemons get equal shares.
#include "slot_partition.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

std::uint32_t window_size(const SlotPartition& partition) {
  return std::min(partition.daemons, k_max_daemons_per_worker);
}

/// Offset of this daemon in the worker's window; at least the window's size when it is outside.
std::uint32_t window_offset(const SlotPartition& partition, std::uint32_t rank) {
  const bool all_in_window = partition.daemons <= k_max_daemons_per_worker;
  const std::uint64_t step =
      all_in_window ? partition.slots : std::min(partition.slots, k_max_daemons_per_worker);
  const std::uint64_t base = rank * step % partition.daemons;
  return static_cast<std::uint32_t>((partition.position + partition.daemons - base) %
                                    partition.daemons);
}

}  // namespace

bool is_in_subset(const SlotPartition& partition, std::uint32_t rank) {
  return window_offset(partition, rank) < window_size(partition);
}

std::uint32_t own_slots(const SlotPartition& partition, std::uint32_t rank) {
  const std::uint32_t offset = window_offset(partition, rank);
  const std::uint32_t window = window_size(partition);
  if (offset >= window) {
    return 0;
  }
  return partition.slots / window + (offset < partition.slots % window ? 1 : 0);
}

std::uint32_t connection_share(std::uint32_t connections, std::uint32_t daemons) {
  const std::uint32_t usable =
      connections > k_reserved_connections ? connections - k_reserved_connections : 1;
  const std::uint32_t sharers = std::clamp<std::uint32_t>(daemons, 1, k_max_daemons_per_worker);
  return std::max<std::uint32_t>(1, usable / sharers);
}

}  // namespace arbutusdale::routing
