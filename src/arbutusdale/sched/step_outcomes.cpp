// Whether a step's runs fail everywhere.
#include "arbutusdale/sched/step_outcomes.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusdale::sched {
namespace {

constexpr Duration k_remembered = std::chrono::seconds{10};
// Fewer workers may all be bad ones by chance.
constexpr std::size_t k_least_failed_workers = 3;

}  // namespace

bool is_step_at_fault(const FailureEvidence& evidence) {
  const std::size_t failed = evidence.failed_workers;
  const std::size_t least = std::min(k_least_failed_workers, evidence.suitable_workers);
  if (failed < least || failed <= evidence.sound_workers) {
    return false;
  }
  return 2 * failed > evidence.suitable_workers || 2 * evidence.cleared_workers >= failed;
}

void StepOutcomes::note_failure(WorkerSlot worker, TimePoint now) {
  std::erase_if(m_failures,
                [now](const Failure& failure) { return now - failure.last_at > k_remembered; });
  const auto found =
      std::find_if(m_failures.begin(), m_failures.end(),
                   [worker](const Failure& failure) { return failure.worker == worker; });
  if (found == m_failures.end()) {
    m_failures.push_back({worker, now, now});
    return;
  }
  found->last_at = now;
}

std::vector<StepOutcomes::WorkerSlot> StepOutcomes::succeeded(TimePoint now) const {
  std::vector<WorkerSlot> workers;
  for (const auto& [worker, at] : m_succeeded_at) {
    if (now - at <= k_remembered) {
      workers.push_back(worker);
    }
  }
  return workers;
}

}  // namespace arbutusdale::sched
