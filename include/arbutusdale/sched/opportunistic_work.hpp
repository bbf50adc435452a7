// Account of the processor time of opportunistic runs by what became of it, so that operators see
// whether processors went to jobs that ended in time, to others, or to runs that were stopped.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/ready_queue.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace arbutusdale::sched {

/// What became of the processor time of opportunistic runs.
enum class WorkOutcome : std::uint8_t {
  in_time,    ///< of runs that are done, of jobs that completed within their objective
  late,       ///< the same, of jobs that completed later
  expired,    ///< the same, of jobs that completed too late to be of use to their callers
  abandoned,  ///< the same, of jobs that failed or were cancelled
  stopped,    ///< of runs that ended without being done
  paused,     ///< reserved by runs while they were paused; part of the others
};
inline constexpr std::size_t k_work_outcomes = 6;

/// Name of the outcome in the metrics and in the log.
std::string_view to_string(WorkOutcome outcome);

/// Sums of one leadership, in milliseconds of one processor. Also counts them in the metrics of the
/// process. A run counts with the processors that its task needs, whether it had them or not.
class OpportunisticWork {
 public:
  /// Counts a run that has ended. What a run that is done has used counts once its job has ended.
  void add_run(Job& job, const Step& step, const Run& run, TimePoint now);
  /// Counts what the done runs of a job that has ended have used.
  void add_job_end(const Job& job, TimePoint now);

  [[nodiscard]] std::uint64_t core_ms(WorkOutcome outcome) const {
    return m_core_ms.at(static_cast<std::size_t>(outcome));
  }
  [[nodiscard]] bool is_empty() const {
    return m_done_core_ms == 0 && core_ms(WorkOutcome::stopped) == 0;
  }
  /// Used by done runs, also of jobs that have not ended.
  [[nodiscard]] std::uint64_t done_core_ms() const { return m_done_core_ms; }

 private:
  void add(WorkOutcome outcome, std::uint64_t core_ms);

  std::array<std::uint64_t, k_work_outcomes> m_core_ms{};
  std::uint64_t m_done_core_ms = 0;
};

}  // namespace arbutusdale::sched
