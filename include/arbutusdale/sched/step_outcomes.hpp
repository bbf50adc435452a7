// Where the runs of a step have failed and succeeded lately.
//
// A step whose runs fail wherever they are started says nothing about the workers. A worker that
// fails all that it starts shows in steps whose runs succeed elsewhere.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace arbutusdale::sched {

/// Workers that show whether a step or the workers are at fault.
struct FailureEvidence {
  std::size_t suitable_workers = 0;  // that may run the step
  std::size_t failed_workers = 0;    // on which its runs have failed lately
  std::size_t cleared_workers = 0;   // of these, with a success of another step since
  std::size_t sound_workers = 0;     // on which its runs have succeeded, or are at work
};

/// True when the step's runs fail wherever they are started: on several workers and on more than
/// they succeed on, if these are most of all workers, or have been cleared.
bool is_step_at_fault(const FailureEvidence& evidence);

class StepOutcomes {
 public:
  using WorkerSlot = std::uint32_t;  // index of a worker in the leader's table

  /// A worker on which a run has failed lately.
  struct Failure {
    WorkerSlot worker = 0;
    TimePoint first_at{};
    TimePoint last_at{};
  };

  void note_failure(WorkerSlot worker, TimePoint now);
  void note_success(WorkerSlot worker, TimePoint now) { m_succeeded_at[worker] = now; }
  [[nodiscard]] const std::vector<Failure>& failures() const { return m_failures; }
  /// Workers on which runs have succeeded lately.
  [[nodiscard]] std::vector<WorkerSlot> succeeded(TimePoint now) const;

 private:
  std::vector<Failure> m_failures;                 // one for each worker
  std::map<WorkerSlot, TimePoint> m_succeeded_at;  // the last time on each worker
};

}  // namespace arbutusdale::sched
