// With more daemons than may know a worker, each worker is dealt to a window of consecutive
// daemons; windows of consecutive workers follow each other, so that all daemons get equal shares.
#include "slot_partition.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

std::uint32_t window_size(const SlotPartition& partition) {
  return std::min(partition.daemons, k_max_daemons_per_worker);
}

/// Place of this daemon in the window of the worker; at or above the window's size when outside.
std::uint32_t window_offset(const SlotPartition& partition, std::uint32_t rank) {
  const bool all_known = partition.daemons <= k_max_daemons_per_worker;
  const std::uint64_t step =
      all_known ? partition.slots : std::min(partition.slots, k_max_daemons_per_worker);
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
