// Rules by which a task becomes a suspect, and by which it counts as the cause of crashes.
#include "arbutusdale/sched/crash_history.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

// Crashes right after a start that prove the cause, if the last run was isolated. Two may be a
// coincidence on a fleet whose workers crash often.
constexpr std::size_t k_proving_crashes = 3;
// Limits without a proof: crashes in a row of unsettled runs, and of any.
constexpr std::size_t k_max_unsettled_crashes = 4;
constexpr std::size_t k_max_crashes = 5;

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

bool CrashHistory::is_cause() const {
  if (m_runs.empty()) {
    return false;
  }
  const CrashedRun& last = m_runs.back();
  const bool proved =
      last.isolated && last.begun && !last.settled && recent_prompt_crashes() >= k_proving_crashes;
  return proved || recent_unsettled_crashes() >= k_max_unsettled_crashes ||
         m_runs.size() >= k_max_crashes;
}

std::string CrashHistory::workers() const {
  std::string ids;
  for (const CrashedRun& run : m_runs) {
    ids += (ids.empty() ? "" : ",") + run.worker;
  }
  return ids;
}

}  // namespace arbutusdale::sched
