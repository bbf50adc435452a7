// Decides on how many workers suspects run at a time, and how many of them share a worker. A
// suspect may crash its worker, so it starts alone where that is possible in time. After a storm of
// crashes there are more suspects than can be started alone before their jobs count as stuck. Then
// those with a single crash share workers, in groups that grow with their number and as workers
// fall silent.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace arbutusdale::sched {

/// An isolated start is stored, answered, and has settled within this time.
inline constexpr Duration k_isolation_time = std::chrono::milliseconds{600};
/// Within this time all suspects with a single crash are started, in groups if there are many.
/// Shorter than the time after which a job counts as stuck.
inline constexpr Duration k_max_suspect_wait = 4 * k_isolation_time;

/// Most workers on which suspects may run at a time.
struct IsolationLimit {
  std::size_t answering = 0;
  std::size_t total = 0;  // with those that are silent under a suspect
};

/// The limit on a fleet of this size for a suspect that has waited for this time. It grows with the
/// wait, so that suspects are not held back for long by those that started before them.
IsolationLimit isolation_limit(std::size_t workers, Duration waited);

/// Workers that run a suspect which has not settled.
struct IsolationCount {
  std::size_t answering = 0;
  std::size_t silent = 0;  // may have crashed
};

/// Most suspects with a single crash that share a worker, if this many `waiting` ones have waited
/// for up to `longest_wait`: the smallest groups with which all of them start in time. One means
/// that each starts alone.
std::uint32_t suspect_group_size(std::size_t waiting, Duration longest_wait, std::size_t workers);

}  // namespace arbutusdale::sched
