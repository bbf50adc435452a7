// Distinguishes workers on which all tasks fail from jobs that fail on all workers, and quarantines
// the workers.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace arbutusdale::batch {

/// Most likely cause of a job's failures on a worker.
enum class FailureCause : std::uint8_t {
  worker,   ///< the job has succeeded on another worker
  unknown,  ///< not known: too few results of the job on other workers
  job,      ///< the job has failed on several workers and succeeded on none
};

enum class HealthState : std::uint8_t {
  healthy,
  suspect,      ///< gets one task at a time
  quarantined,  ///< gets no tasks
  probation,    ///< gets one task at a time after a quarantine
};

/// Consecutive failures on one worker, and its quarantine.
class WorkerHealth {
 public:
  /// Cause of the failures of a job, by the runner's index of the job.
  using CauseOf = std::function<FailureCause(std::uint32_t job)>;

  void observe_success();
  void observe_failure(std::uint32_t job, std::uint32_t task);

  /// True when the consecutive failures justify a quarantine.
  [[nodiscard]] bool must_quarantine(const CauseOf& cause_of) const;
  /// Starts a quarantine and returns its length. Each consecutive quarantine is twice as long as
  /// the one before, up to 64 min.
  Duration quarantine(TimePoint now);
  /// Restores a recorded quarantine of which `left` remains; with zero the worker is on probation.
  void restore(TimePoint now, Duration left);

  [[nodiscard]] HealthState state(TimePoint now, const CauseOf& cause_of) const;
  /// Text for the record of the quarantine.
  [[nodiscard]] std::string evidence() const;

 private:
  struct Failure {
    std::uint32_t job = 0;
    std::uint32_t task = 0;
  };

  std::deque<Failure> m_failures;   // since the last success, newest last
  std::uint32_t m_quarantines = 0;  // consecutive
  bool m_was_quarantined = false;
  TimePoint m_until{};
};

}  // namespace arbutusdale::batch
