// Tells workers that fail every task from jobs that fail on every worker, and keeps the former
// out of use for a while.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace arbutusdale::batch {

/// How much a failure of a job says about the worker it happened on.
enum class FailureCause : std::uint8_t {
  worker,   ///< the job has succeeded on another worker
  unknown,  ///< too little is known of the job
  job,      ///< the job has failed on several workers and succeeded on none
};

enum class HealthState : std::uint8_t {
  healthy,
  suspect,      ///< gets one task at a time
  quarantined,  ///< gets none
  probation,    ///< gets one task at a time after a quarantine
};

/// Failures in a row of one worker, and its quarantine.
class WorkerHealth {
 public:
  /// Cause of the failures of a job, by the runner's index of the job.
  using CauseOf = std::function<FailureCause(std::uint32_t job)>;

  void observe_success();
  void observe_failure(std::uint32_t job, std::uint32_t task);

  /// True when the failures in a row justify a quarantine.
  [[nodiscard]] bool must_quarantine(const CauseOf& cause_of) const;
  /// Begins a quarantine, each one in a row twice as long as the one before. Returns its length.
  Duration quarantine(TimePoint now);
  /// Takes over a recorded quarantine that has `left` to run; zero leads to probation.
  void restore(TimePoint now, Duration left);

  [[nodiscard]] HealthState state(TimePoint now, const CauseOf& cause_of) const;
  [[nodiscard]] std::string evidence() const;

 private:
  struct Failure {
    std::uint32_t job = 0;
    std::uint32_t task = 0;
  };

  std::deque<Failure> m_failures;   // since the last success, newest last
  std::uint32_t m_quarantines = 0;  // in a row
  bool m_was_quarantined = false;
  TimePoint m_until{};
};

}  // namespace arbutusdale::batch
