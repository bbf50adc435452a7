// Quarantine and probation of workers.
#include "arbutusdale/batch/worker_health.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace arbutusdale::batch {
namespace {

constexpr std::size_t k_failures_kept = 16;
// Consecutive failures of distinct tasks, caused by the worker, that lead to a quarantine.
constexpr std::size_t k_failures_for_quarantine = 4;
// Consecutive failures, except those caused by the jobs, that make a worker suspect.
constexpr std::size_t k_failures_for_suspicion = 4;
// Distinct jobs with failures of unknown cause that lead to a quarantine as well, when there are
// `k_failures_for_quarantine` consecutive failures in all.
constexpr std::size_t k_unknown_cause_jobs_for_quarantine = 3;
constexpr Duration k_first_quarantine = std::chrono::minutes{1};
constexpr std::uint32_t k_max_doublings = 6;  // 64 min

}  // namespace

void WorkerHealth::observe_success() {
  m_failures.clear();
  m_quarantines = 0;
  m_was_quarantined = false;
}

void WorkerHealth::observe_failure(std::uint32_t job, std::uint32_t task) {
  m_failures.push_back({job, task});
  if (m_failures.size() > k_failures_kept) {
    m_failures.pop_front();
  }
}

bool WorkerHealth::must_quarantine(const CauseOf& cause_of) const {
  std::set<std::pair<std::uint32_t, std::uint32_t>> tasks;
  std::set<std::uint32_t> unknown_jobs;
  for (const Failure& failure : m_failures) {
    const FailureCause cause = cause_of(failure.job);
    if (cause == FailureCause::worker) {
      tasks.insert({failure.job, failure.task});
    } else if (cause == FailureCause::unknown) {
      unknown_jobs.insert(failure.job);
    }
  }
  // On probation one more failure caused by the worker is enough.
  const std::size_t limit = m_was_quarantined ? 1 : k_failures_for_quarantine;
  return tasks.size() >= limit || (m_failures.size() >= k_failures_for_quarantine &&
                                   unknown_jobs.size() >= k_unknown_cause_jobs_for_quarantine);
}

Duration WorkerHealth::quarantine(TimePoint now) {
  const std::uint32_t doublings = std::min(m_quarantines, k_max_doublings);
  const Duration length = k_first_quarantine * (1U << doublings);
  ++m_quarantines;
  m_was_quarantined = true;
  m_until = now + length;
  m_failures.clear();
  return length;
}

void WorkerHealth::restore(TimePoint now, Duration left) {
  m_was_quarantined = true;
  m_quarantines = 1;
  m_until = now + std::clamp(left, Duration{0}, k_first_quarantine * (1U << k_max_doublings));
}

HealthState WorkerHealth::state(TimePoint now, const CauseOf& cause_of) const {
  if (m_was_quarantined) {
    return now < m_until ? HealthState::quarantined : HealthState::probation;
  }
  const auto counts = [&cause_of](const Failure& failure) {
    return cause_of(failure.job) != FailureCause::job;
  };
  const auto count = std::count_if(m_failures.begin(), m_failures.end(), counts);
  return static_cast<std::size_t>(count) >= k_failures_for_suspicion ? HealthState::suspect
                                                                     : HealthState::healthy;
}

std::string WorkerHealth::evidence() const {
  return std::to_string(m_failures.size()) + " failures in a row without a success";
}

}  // namespace arbutusdale::batch
