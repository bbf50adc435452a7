// When a quarantine begins, and how long it lasts.
#include "arbutusdale/sched/worker_health.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusdale::sched {
namespace {

// One failed run proves little about the worker, since tasks also fail through their own fault.
constexpr std::size_t k_failures_for_quarantine = 2;
constexpr std::size_t k_most_failures = 8;  // that are remembered
constexpr Duration k_first_quarantine = std::chrono::seconds{2};
constexpr std::uint32_t k_max_doublings = 2;

}  // namespace

bool WorkerHealth::note_failure(const std::optional<StepId>& step, QuarantineLimit limit,
                                TimePoint now) {
  if (m_failures.size() == k_most_failures) {
    m_failures.erase(m_failures.begin());
  }
  m_failures.push_back(step);
  const std::size_t needed = m_quarantines > 0 ? 1 : k_failures_for_quarantine;
  if (m_failures.size() < needed || is_quarantined(now) || limit == QuarantineLimit::reached) {
    return false;
  }
  m_quarantined_until = now + k_first_quarantine * (1U << std::min(m_quarantines, k_max_doublings));
  ++m_quarantines;
  return true;
}

void WorkerHealth::note_success(TimePoint now) {
  m_succeeded_at = now;
  m_failures.clear();
  m_quarantines = 0;
}

void WorkerHealth::forgive(const StepId& step) {
  const std::size_t forgiven = std::erase(m_failures, step);
  if (forgiven > 0 && m_failures.size() < k_failures_for_quarantine) {
    m_quarantines = 0;
    m_quarantined_until = TimePoint{};
  }
}

}  // namespace arbutusdale::sched
