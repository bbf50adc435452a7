// Sums of the processor time of opportunistic runs, and their metrics.
#include "arbutusdale/sched/opportunistic_work.hpp"

#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <string>

namespace arbutusdale::sched {
namespace {

using proto::jobs::JobState;

constexpr EnumNames<WorkOutcome, k_work_outcomes> k_outcome_names{{
    {WorkOutcome::in_time, "in_time"},
    {WorkOutcome::late, "late"},
    {WorkOutcome::expired, "expired"},
    {WorkOutcome::abandoned, "abandoned"},
    {WorkOutcome::stopped, "stopped"},
    {WorkOutcome::paused, "paused"},
}};
constexpr std::uint64_t k_millis = 1'000;  // of a processor

std::uint64_t core_ms_of(const Step& step, Duration time) {
  const auto time_ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return time_ms <= 0 ? 0 : step.need.cpu_millis * static_cast<std::uint64_t>(time_ms) / k_millis;
}

WorkOutcome outcome_of(const Job& job, TimePoint now) {
  if (job.state != JobState::COMPLETED) {
    return WorkOutcome::abandoned;
  }
  switch (lateness_at(job, now)) {
    case Lateness::in_time:
      return WorkOutcome::in_time;
    case Lateness::late:
      return WorkOutcome::late;
    case Lateness::expired:
      break;
  }
  return WorkOutcome::expired;
}

}  // namespace

std::string_view to_string(WorkOutcome outcome) {
  return enum_name(k_outcome_names, outcome);
}

void OpportunisticWork::add_run(Job& job, const Step& step, const Run& run, TimePoint now) {
  if (!step.spec->opportunistic() || run.begun_at == TimePoint{}) {
    return;
  }
  add(WorkOutcome::paused, core_ms_of(step, run.paused_for(now)));
  const std::uint64_t used = core_ms_of(step, now - run.begun_at);
  if (!run.is_done) {
    job.stopped_core_ms += used;
    add(WorkOutcome::stopped, used);
    return;
  }
  job.done_core_ms += used;
  m_done_core_ms += used;
}

void OpportunisticWork::add_job_end(const Job& job, TimePoint now) {
  add(outcome_of(job, now), job.done_core_ms);
}

void OpportunisticWork::add(WorkOutcome outcome, std::uint64_t core_ms) {
  if (core_ms == 0) {
    return;
  }
  m_core_ms.at(static_cast<std::size_t>(outcome)) += core_ms;
  observe::process_metrics()
      .counter("arbutusdale_opportunistic_core_milliseconds_total",
               "Processor time of opportunistic runs by what became of it",
               {{"outcome", std::string(to_string(outcome))}})
      .add(core_ms);
}

}  // namespace arbutusdale::sched
