// Bound and reduction of the size of progress records.
#include "arbutusdale/sched/progress_size.hpp"

#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>

namespace arbutusdale::sched {
namespace {

using proto::jobs::FailedRun;
using proto::jobs::JobProgress;
using proto::jobs::JobSubmitted;
using proto::jobs::StepProgress;
using proto::jobs::StepSpec;

constexpr std::uint32_t k_bits_per_byte = 8;
constexpr std::size_t k_failed_header_bytes = 2;  // tag and length
constexpr std::size_t k_step_header_bytes = 6;    // tag and length, at most
constexpr double k_job_bytes = 64;                // the other fields of the record, at most

/// Failed runs of a step that its record may have to name.
double max_failed_runs(const StepSpec& step, std::uint32_t max_attempts) {
  if (step.long_running()) {
    return 0;  // they are not counted
  }
  // The last attempt to fail ends the job. Without a limit only the newest of a task is needed.
  const double of_task = max_attempts > 0 ? max_attempts - 1.0 : 1.0;
  const bool counts_together = step.gang() && max_attempts > 0;
  return counts_together ? of_task : of_task * step.tasks();
}

double max_step_bytes(const StepSpec& step, std::uint32_t index, std::uint32_t occurrence,
                      std::uint32_t max_attempts) {
  StepProgress record;
  record.set_occurrence(occurrence);
  record.set_step(index);
  record.set_done(std::string((step.tasks() + k_bits_per_byte - 1) / k_bits_per_byte, '\xff'));
  FailedRun failed;
  failed.set_task(step.tasks());
  failed.set_run(std::numeric_limits<std::uint32_t>::max());
  const double failed_bytes = max_failed_runs(step, max_attempts) *
                              static_cast<double>(failed.ByteSizeLong() + k_failed_header_bytes);
  return static_cast<double>(record.ByteSizeLong() + k_step_header_bytes) + failed_bytes;
}

void remove_harmless_crashes(StepProgress& step) {
  auto& crashed = *step.mutable_crashed();
  const auto kept = std::remove_if(crashed.begin(), crashed.end(),
                                   [](const auto& run) { return run.cleared() || run.settled(); });
  crashed.erase(kept, crashed.end());
}

void keep_newest_failures(StepProgress& step) {
  std::map<std::uint32_t, std::uint32_t> newest;  // run by task
  for (const FailedRun& failed : step.failed()) {
    std::uint32_t& run = newest[failed.task()];
    run = std::max(run, failed.run());
  }
  step.clear_failed();
  for (const auto& [task, run] : newest) {
    FailedRun& failed = *step.add_failed();
    failed.set_task(task);
    failed.set_run(run);
  }
}

}  // namespace

double max_progress_bytes(const JobSubmitted& job) {
  const std::uint32_t occurrences = std::max(job.spec().repeat_count(), 1U);
  double bytes_per_occurrence = 0;
  std::uint32_t index = 0;
  for (const StepSpec& step : job.spec().steps()) {
    bytes_per_occurrence +=
        max_step_bytes(step, index, occurrences - 1, job.terms().max_attempts());
    ++index;
  }
  return k_job_bytes + bytes_per_occurrence * occurrences;
}

bool trim_progress(JobProgress& progress, std::uint32_t max_attempts, std::size_t max_bytes) {
  if (progress.ByteSizeLong() <= max_bytes) {
    return true;
  }
  for (StepProgress& step : *progress.mutable_steps()) {
    remove_harmless_crashes(step);
  }
  if (progress.ByteSizeLong() <= max_bytes) {
    return true;
  }
  remove_locations(progress);
  if (progress.ByteSizeLong() <= max_bytes) {
    return true;
  }
  for (StepProgress& step : *progress.mutable_steps()) {
    step.clear_unsettled();
    step.clear_crashed();
    if (max_attempts == 0) {
      keep_newest_failures(step);
    }
  }
  return progress.ByteSizeLong() <= max_bytes;
}

}  // namespace arbutusdale::sched
