// With more daemons than may know a worker, each worker is dealt to a window of consecutive
// daemons; windows of consecutive workers follow each other, so that all daemons get equal shares.
#include "slot_deal.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

std::uint32_t window_size(const SlotDeal& deal) {
  return std::min(deal.daemons, k_max_daemons_per_worker);
}

/// Place of this daemon in the window of the worker; at or above the window's size when outside.
std::uint32_t place_in_window(const SlotDeal& deal, std::uint32_t rank) {
  const bool all_known = deal.daemons <= k_max_daemons_per_worker;
  const std::uint64_t step =
      all_known ? deal.slots : std::min(deal.slots, k_max_daemons_per_worker);
  const std::uint64_t base = rank * step % deal.daemons;
  return static_cast<std::uint32_t>((deal.position + deal.daemons - base) % deal.daemons);
}

}  // namespace

bool knows_worker(const SlotDeal& deal, std::uint32_t rank) {
  return place_in_window(deal, rank) < window_size(deal);
}

std::uint32_t own_slots(const SlotDeal& deal, std::uint32_t rank) {
  const std::uint32_t place = place_in_window(deal, rank);
  const std::uint32_t window = window_size(deal);
  if (place >= window) {
    return 0;
  }
  return deal.slots / window + (place < deal.slots % window ? 1 : 0);
}

std::uint32_t connection_share(std::uint32_t connections, std::uint32_t daemons) {
  const std::uint32_t usable =
      connections > k_reserved_connections ? connections - k_reserved_connections : 1;
  const std::uint32_t sharers = std::clamp<std::uint32_t>(daemons, 1, k_max_daemons_per_worker);
  return std::max<std::uint32_t>(1, usable / sharers);
}

}  // namespace arbutusdale::routing
