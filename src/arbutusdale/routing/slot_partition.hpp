// Deals the slots of a service's workers in rotation to the live daemons of the failure domain.
#pragma once

#include <cstdint>

namespace arbutusdale::routing {

/// Daemons that may know one worker; keeps connections below 64 per worker at 6 per daemon.
inline constexpr std::uint32_t k_max_daemons_per_worker = 9;
/// Connections per worker that are kept free for daemons that join and leave.
inline constexpr std::uint32_t k_reserved_connections = 8;

struct SlotPartition {
  std::uint32_t daemons = 1;   // live daemons of the domain, with this one
  std::uint32_t position = 0;  // of this daemon among them, sorted by id
  std::uint32_t slots = 1;     // per worker
};

/// True when the worker at `rank` in the sorted list belongs to this daemon's subset.
bool is_in_subset(const SlotPartition& partition, std::uint32_t rank);

/// Slots of the worker at `rank` that belong to this daemon.
std::uint32_t own_slots(const SlotPartition& partition, std::uint32_t rank);

/// Connections that each daemon may open to one worker; at least 1.
std::uint32_t connection_share(std::uint32_t connections, std::uint32_t daemons);

}  // namespace arbutusdale::routing
