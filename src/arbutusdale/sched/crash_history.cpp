// Rules by which a task becomes a suspect, and by which it counts as the cause of crashes.
#include "arbutusdale/sched/crash_history.hpp"

#include "arbutusdale/sched/crash_rate.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

// Crashes right after a start that prove the cause, if the last run was isolated. Two may be a
// coincidence on a fleet whose workers crash often.
constexpr std::size_t k_proving_crashes = 3;
// Crashes in a row, of unsettled runs and of any, that convict if their chance is below
// k_least_chance. Those of unsettled runs also do if the last run was isolated.
constexpr std::size_t k_max_unsettled_crashes = 4;
constexpr std::size_t k_max_crashes = 5;
// So many of them must be neither by another task nor under an earlier leader.
constexpr std::size_t k_min_judged_crashes = 3;
constexpr double k_least_chance = 1e-3;
// So many in a row convict however likely they are: many tasks that crash their workers at the same
// time make each other's crashes seem likely.
constexpr std::size_t k_max_crashes_in_a_row = 10;

}  // namespace

bool CrashHistory::add(CrashedRun run) {
  const bool known = std::any_of(m_runs.begin(), m_runs.end(), [&run](const CrashedRun& other) {
    return other.number == run.number;
  });
  if (known) {
    return false;
  }
  m_runs.push_back(std::move(run));
  return true;
}

void CrashHistory::clear() {
  m_runs.clear();
  m_cleared = 0;
}

std::vector<CrashedRun>::const_iterator CrashHistory::suspicious_begin() const {
  return m_runs.begin() + static_cast<std::ptrdiff_t>(m_cleared);
}

std::size_t CrashHistory::recent_unsettled_crashes() const {
  const auto count = std::count_if(suspicious_begin(), m_runs.end(),
                                   [](const CrashedRun& run) { return !run.settled; });
  return static_cast<std::size_t>(count);
}

std::size_t CrashHistory::recent_prompt_crashes() const {
  const auto count = std::count_if(suspicious_begin(), m_runs.end(),
                                   [](const CrashedRun& run) { return run.prompt; });
  return static_cast<std::size_t>(count);
}

bool CrashHistory::is_suspect() const {
  return recent_unsettled_crashes() > 0;
}

bool CrashHistory::is_weak_suspect() const {
  return recent_unsettled_crashes() == 1;
}

void CrashHistory::estimate_chance(const CrashRate& rate, std::size_t others) {
  for (CrashedRun& run : m_runs) {
    if (run.silent_at == TimePoint{}) {
      continue;
    }
    if (rate.is_explained(run.worker, run.silent_at)) {
      run.expected_crashes.reset();
      continue;
    }
    const auto expected = rate.expected_crashes(run.worker, run.begun_at, run.silent_at, others);
    if (expected) {
      run.expected_crashes = expected;
    }
  }
}

bool CrashHistory::is_cause() const {
  return m_runs.size() >= k_max_crashes_in_a_row || chance() < k_least_chance;
}

bool CrashHistory::is_proved() const {
  if (m_runs.empty()) {
    return false;
  }
  const CrashedRun& last = m_runs.back();
  if (!last.isolated || last.settled) {
    return false;
  }
  const bool is_prompt = last.begun && recent_prompt_crashes() >= k_proving_crashes;
  return is_prompt || recent_unsettled_crashes() >= k_max_unsettled_crashes;
}

double CrashHistory::chance() const {
  if (is_proved()) {
    return 0;
  }
  std::size_t crashes = 0;
  std::size_t unsettled = 0;
  double expected = 0;
  for (const CrashedRun& run : m_runs) {
    if (!run.expected_crashes) {
      continue;
    }
    ++crashes;
    unsettled += run.settled ? 0 : 1;
    expected += *run.expected_crashes;
  }
  const bool has_enough = m_runs.size() >= k_max_crashes || unsettled >= k_max_unsettled_crashes;
  return has_enough && crashes >= k_min_judged_crashes ? chance_of_crashes(crashes, expected) : 1;
}

std::string CrashHistory::workers() const {
  std::string ids;
  for (const CrashedRun& run : m_runs) {
    ids += (ids.empty() ? "" : ",") + run.worker;
  }
  return ids;
}

}  // namespace arbutusdale::sched
