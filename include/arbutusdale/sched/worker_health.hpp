// Quarantine of a worker on which runs fail in a row.
//
// Tasks also fail through their own fault, so the failures of one step count only as long as its
// runs do not fail wherever they are started, see step_outcomes.hpp.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/advisor.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace arbutusdale::sched {

/// Whether a failure may begin a quarantine. It may not when too many workers are in quarantine.
enum class QuarantineLimit : std::uint8_t { open, reached };

/// Failures and quarantine of one worker.
class WorkerHealth {
 public:
  /// A run of the step has failed, or, without a step, the worker has refused a start as unhealthy.
  /// Returns true when a quarantine begins.
  bool note_failure(const std::optional<StepId>& step, QuarantineLimit limit, TimePoint now);
  void note_success(TimePoint now);
  /// When a run succeeded last; zero if none has.
  [[nodiscard]] TimePoint succeeded_at() const { return m_succeeded_at; }
  /// The failures of the step prove nothing. A quarantine that rests on them ends.
  void forgive(const StepId& step);
  [[nodiscard]] bool is_quarantined(TimePoint now) const { return now < m_quarantined_until; }
  /// Failures since the last success, but for those forgiven; at most a few.
  [[nodiscard]] std::uint32_t failures_in_row() const {
    return static_cast<std::uint32_t>(m_failures.size());
  }

 private:
  std::vector<std::optional<StepId>> m_failures;  // since the last success, the newest last
  std::uint32_t m_quarantines = 0;                // in a row
  TimePoint m_quarantined_until{};
  TimePoint m_succeeded_at{};
};

}  // namespace arbutusdale::sched
