// Divides the slots of a service's workers among the live daemons of the failure domain.
#pragma once

#include <cstdint>

namespace arbutusdale::routing {

/// Largest number of daemons that use one worker; with 6 connections per daemon, a worker has fewer
/// than 64.
inline constexpr std::uint32_t k_max_daemons_per_worker = 9;
/// Connections per worker that stay free for daemons that join or leave.
inline constexpr std::uint32_t k_reserved_connections = 8;

/// Inputs of the division, equal at all daemons but for `position`.
struct SlotPartition {
  std::uint32_t daemons = 1;   // live daemons of the domain, including this one
  std::uint32_t position = 0;  // index of this daemon in the list sorted by id
  std::uint32_t slots = 1;     // per worker
};

/// True when the worker at index `rank` of the list sorted by id is in this daemon's subset.
bool is_in_subset(const SlotPartition& partition, std::uint32_t rank);

/// Number of slots of the worker at index `rank` that belong to this daemon.
std::uint32_t own_slots(const SlotPartition& partition, std::uint32_t rank);

/// Number of connections that each daemon may open to one worker; at least 1.
std::uint32_t connection_share(std::uint32_t connections, std::uint32_t daemons);

}  // namespace arbutusdale::routing
