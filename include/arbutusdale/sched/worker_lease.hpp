// A worker's clock and the lease of all that runs on it, as the leader knows them.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// Longest lease that a worker grants.
inline constexpr Duration k_max_lease = std::chrono::seconds{6};
/// A worker's clock may run slower than ours by this share.
inline constexpr double k_clock_drift = 0.02;

class WorkerLease {
 public:
  /// The worker answered `clock_ms` to a call that was answered at `now`.
  void observe_clock(std::uint64_t clock_ms, TimePoint now);

  /// End of the longest lease that an order sent now can ask for, on the worker's clock. Nothing
  /// while its clock is unknown. Remembers that the lease may have been granted.
  std::optional<std::uint64_t> extend(TimePoint now) { return extend_by(now, k_max_lease); }
  /// The same for a shorter lease.
  std::optional<std::uint64_t> extend_by(TimePoint now, Duration lease);

  /// Time after which nothing that was ordered with our leases runs any more.
  [[nodiscard]] TimePoint expires_at() const { return m_expires_at; }
  [[nodiscard]] bool knows_clock() const { return m_clock_ms.has_value(); }

 private:
  std::optional<std::uint64_t> m_clock_ms;  // at m_read_at
  TimePoint m_read_at{};
  TimePoint m_expires_at{};  // never goes back
};

}  // namespace arbutusdale::sched
