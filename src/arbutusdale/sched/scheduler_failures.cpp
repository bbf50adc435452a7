// Failed runs: attempts of their tasks, and whether they speak against the task or the worker.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

// Share of a service's workers that may be in quarantine at a time, so that the others can hold the
// work.
constexpr std::size_t k_workers_per_quarantine = 2;
// A lasting task that fails right after its start is started again after this time, which doubles
// with each such failure in a row. All of them stay below the time after which it counts as stuck.
constexpr Duration k_first_restart_delay = std::chrono::milliseconds{100};
constexpr Duration k_longest_restart_delay = std::chrono::seconds{1};
// A run that is at work for this long has succeeded so far.
constexpr Duration k_sound_run_time = std::chrono::seconds{1};

Duration restart_delay(std::uint32_t failures_in_row) {
  if (failures_in_row < 2) {
    return Duration::zero();
  }
  Duration delay = k_first_restart_delay;
  for (std::uint32_t i = 2; i < failures_in_row && delay < k_longest_restart_delay; ++i) {
    delay *= 2;
  }
  return std::min(delay, k_longest_restart_delay);
}

bool takes_work(const Worker& worker, const std::string& service) {
  return worker.registered && worker.entry.state == WorkerState::ready &&
         worker.entry.service == service;
}

/// True when the run has been at work for so long that it does not fail as the failed ones do.
bool is_sound(const Run& run, Duration failed_after, TimePoint now) {
  const bool has_begun = run.phase == RunPhase::running && run.begun_at != TimePoint{};
  return has_begun && now - run.begun_at >= std::max(k_sound_run_time, 2 * failed_after);
}

/// Workers on which runs of the step have succeeded lately or are at work.
std::size_t count_sound_workers(const Step& step, Duration failed_after, TimePoint now) {
  const std::vector<WorkerSlot> succeeded = step.outcomes.succeeded(now);
  std::set<WorkerSlot> workers(succeeded.begin(), succeeded.end());
  for (const Task& task : step.tasks) {
    for (const Run& run : task.runs) {
      if (is_sound(run, failed_after, now)) {
        workers.insert(run.worker);
      }
    }
  }
  return workers.size();
}

/// True when a run has succeeded on the worker since the failure, or one of another step has begun
/// since and is sound.
bool is_cleared(const Worker& worker, const Step& step, TimePoint failed_at, Duration failed_after,
                TimePoint now) {
  if (worker.health.succeeded_at() > failed_at) {
    return true;
  }
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const RunRef& ref) {
    const Run* run = ref.task->find_run(ref.number);
    return run != nullptr && ref.task->step != &step && run->begun_at > failed_at &&
           is_sound(*run, failed_after, now);
  });
}

FailureEvidence failure_evidence(const WorkerTable& workers, const Step& step,
                                 Duration failed_after, TimePoint now) {
  const std::string& label = step.spec->required_label();
  FailureEvidence evidence;
  for (const auto& worker : workers.all()) {
    const bool is_suitable = takes_work(*worker, step.job->terms().service()) &&
                             (label.empty() || worker->has_label(label));
    evidence.suitable_workers += is_suitable ? 1 : 0;
  }
  for (const StepOutcomes::Failure& failure : step.outcomes.failures()) {
    const Worker& worker = workers.at(failure.worker);
    ++evidence.failed_workers;
    evidence.cleared_workers +=
        is_cleared(worker, step, failure.first_at, failed_after, now) ? 1 : 0;
  }
  evidence.sound_workers = count_sound_workers(step, failed_after, now);
  return evidence;
}

QuarantineLimit quarantine_limit(const WorkerTable& workers, const std::string& service,
                                 TimePoint now) {
  std::size_t ready = 0;
  std::size_t quarantined = 0;
  for (const auto& worker : workers.all()) {
    if (!takes_work(*worker, service)) {
      continue;
    }
    ++ready;
    quarantined += worker->health.is_quarantined(now) ? 1 : 0;
  }
  const bool is_open = (quarantined + 1) * k_workers_per_quarantine <= ready;
  return is_open ? QuarantineLimit::open : QuarantineLimit::reached;
}

}  // namespace

void Scheduler::record_failed_run(Task& task, Worker& worker, std::uint32_t number) {
  Job& job = *task.step->job;
  const Run* run = task.find_run(number);
  const bool has_begun = run != nullptr && run->begun_at != TimePoint{};
  const Duration failed_after = has_begun ? m_timer.now() - run->begun_at : Duration::zero();
  blame_for_failure(*task.step, worker, failed_after);
  put_off_restart(task, failed_after);
  if (std::find(task.failed_on.begin(), task.failed_on.end(), worker.slot) ==
      task.failed_on.end()) {
    task.failed_on.push_back(worker.slot);
  }
  task.late_start = LateStart{};  // it was carried out; the next run is better off elsewhere
  const auto& failed = task.failed_runs;
  const bool counted = std::find(failed.begin(), failed.end(), number) != failed.end();
  if (counted || task.phase == TaskPhase::done || task.step->spec->long_running()) {
    return;
  }
  task.failed_runs.push_back(number);
  mark_dirty(job);
  std::size_t attempts = task.failed_runs.size();
  if (task.step->spec->gang()) {
    attempts = 0;
    for (const Task& member : task.step->tasks) {
      attempts += member.failed_runs.size();
    }
  }
  const std::uint32_t limit = job.terms().max_attempts();
  if (limit > 0 && attempts >= limit) {
    finish_job(job, JobState::FAILED);
  }
}

// The failure counts against the worker, unless the step is at fault. Those that have been counted
// until this was known are forgiven.
void Scheduler::blame_for_failure(Step& step, Worker& worker, Duration failed_after) {
  step.outcomes.note_failure(worker.slot, m_timer.now());
  const FailureEvidence evidence = failure_evidence(m_workers, step, failed_after, m_timer.now());
  if (!is_step_at_fault(evidence)) {
    step.is_known_to_fail = false;
    note_worker_failure(worker, step_id(step));
    return;
  }
  for (const auto& other : m_workers.all()) {
    other->health.forgive(step_id(step));
  }
  if (std::exchange(step.is_known_to_fail, true)) {
    return;
  }
  EventLine(Event::step_failing)
      .add("job", step.job->id.view())
      .add("step", step.index)
      .add("failed_workers", evidence.failed_workers)
      .add("cleared_workers", evidence.cleared_workers)
      .add("sound_workers", evidence.sound_workers)
      .add("suitable_workers", evidence.suitable_workers)
      .write();
}

void Scheduler::note_worker_failure(Worker& worker, const std::optional<StepId>& step) {
  const TimePoint now = m_timer.now();
  const QuarantineLimit limit = quarantine_limit(m_workers, worker.entry.service, now);
  if (!worker.health.note_failure(step, limit, now)) {
    return;
  }
  EventLine(Event::worker_quarantined)
      .add("worker", worker.entry.id)
      .add("failures", worker.health.failures_in_row())
      .write();
}

// Other tasks have no such delay, since their attempts are limited.
void Scheduler::put_off_restart(Task& task, Duration failed_after) {
  if (!task.step->spec->long_running()) {
    return;
  }
  const bool was_sound = failed_after >= k_sound_run_time;
  task.failures_in_row = was_sound ? 1 : task.failures_in_row + 1;
  task.not_before = std::max(task.not_before, m_timer.now() + restart_delay(task.failures_in_row));
}

}  // namespace arbutusdale::sched
