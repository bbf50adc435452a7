// A worker's clock and the lease of all its runs, as known to the leader.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// Longest lease that a worker grants.
inline constexpr Duration k_max_lease = std::chrono::seconds{6};
/// A worker's clock may run slower than the leader's by this share.
inline constexpr double k_clock_drift = 0.02;

/// Converts lease times to the worker's clock and bounds the leases that the worker may hold.
class WorkerLease {
 public:
  /// `clock_ms` is the worker's clock in an answer received at `now`.
  void observe_clock(std::uint64_t clock_ms, TimePoint now);

  /// True when a worker whose clock shows `clock_ms` in the answer to an order sent at `sent` has
  /// restarted since its clock was observed: the clock starts anew, and never goes back otherwise.
  [[nodiscard]] bool is_reset(std::uint64_t clock_ms, TimePoint sent) const;

  /// End of the longest lease that an order sent now can request, in ms on the worker's clock.
  /// Empty while that clock is unknown. Records that the lease may be granted.
  std::optional<std::uint64_t> extend(TimePoint now) { return extend_by(now, k_max_lease); }
  /// The same for a lease of the given length.
  std::optional<std::uint64_t> extend_by(TimePoint now, Duration lease);

  /// The worker may hold a lease that was requested elsewhere until now.
  void assume_longest(TimePoint now);

  /// Time after which all leases requested here have expired, on the leader's clock. Zero before
  /// the first request.
  [[nodiscard]] TimePoint expires_at() const { return m_expires_at; }
  [[nodiscard]] bool knows_clock() const { return m_clock_ms.has_value(); }

 private:
  std::optional<std::uint64_t> m_clock_ms;  // at m_read_at
  TimePoint m_read_at{};
  TimePoint m_expires_at{};  // never decreases
};

}  // namespace arbutusdale::sched
