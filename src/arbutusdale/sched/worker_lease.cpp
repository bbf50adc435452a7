// Conversion between the leader's clock and the worker's.
#include "arbutusdale/sched/worker_lease.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// Between the reading of a worker's clock and the arrival of the answer.
constexpr Duration k_clock_tolerance = std::chrono::milliseconds{250};

std::uint64_t to_ms(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0));
}

}  // namespace

void WorkerLease::observe_clock(std::uint64_t clock_ms, TimePoint now) {
  m_clock_ms = clock_ms;
  m_read_at = now;
}

bool WorkerLease::is_reset(std::uint64_t clock_ms, TimePoint sent) const {
  if (!m_clock_ms) {
    return false;
  }
  const Duration passed = sent - m_read_at;
  const auto drift = std::chrono::duration_cast<Duration>(std::chrono::abs(passed) * k_clock_drift);
  const Duration least =
      std::chrono::milliseconds{*m_clock_ms} + passed - drift - k_clock_tolerance;
  return std::chrono::milliseconds{clock_ms} < least;
}

std::optional<std::uint64_t> WorkerLease::extend_by(TimePoint now, Duration lease) {
  if (!m_clock_ms) {
    return std::nullopt;
  }
  const Duration until = now - m_read_at + lease;
  const auto slow = std::chrono::duration_cast<Duration>(until * (1 + k_clock_drift));
  m_expires_at = std::max(m_expires_at, m_read_at + slow);
  return *m_clock_ms + to_ms(until);
}

void WorkerLease::assume_longest(TimePoint now) {
  const auto longest = std::chrono::duration_cast<Duration>(k_max_lease * (1 + k_clock_drift));
  m_expires_at = std::max(m_expires_at, now + longest);
}

}  // namespace arbutusdale::sched
