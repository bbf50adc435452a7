// Crashes of workers: what proves one, which tasks it is recorded for, and the end of jobs with a
// task that crashes the workers that start it.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

// A silent worker without runs is polled for this long to learn whether it has crashed.
constexpr Duration k_crash_proof_timeout = std::chrono::seconds{30};
// For this long after a worker crashed under runs that nobody knows of, starts are stored first.
constexpr Duration k_record_first_time = std::chrono::seconds{60};
// Time for the answer to the start, which begins the settling time.
constexpr Duration k_start_answer_margin = std::chrono::milliseconds{30};

}  // namespace

// Another incarnation answers at the address at which the worker had answered. All its runs have
// ended, and orders that are still under way are refused, since they name the worker.
void Scheduler::end_replaced_worker(Worker& worker) {
  constexpr const char* k_reason = "another incarnation answers at its address";
  if (std::exchange(worker.has_ended, true)) {
    return;
  }
  const std::vector<CrashVictim> victims = crash_victims(worker);
  worker.has_answered = false;
  worker.has_unwanted_runs = false;
  worker.unanswered.clear();
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    presume_ended(worker, ref, k_reason);
  }
  record_crashes(worker, victims, k_reason);
  m_place_due = true;
}

// The runs that were on the worker when it crashed, those that have been dropped since included.
std::vector<Scheduler::CrashVictim> Scheduler::crash_victims(Worker& worker) {
  // Without a silence, the worker has restarted between two polls.
  if (worker.silent_since == TimePoint{} && worker.entry.state != WorkerState::draining) {
    m_crash_rate.note_silence(worker.entry.id, m_timer.now());
  }
  std::vector<CrashVictim> victims;
  for (const RunRef& ref : worker.runs) {
    const Run* run = ref.task->find_run(ref.number);
    if (run == nullptr || run->stop_confirmed || !(run->sent || run->listed)) {
      continue;
    }
    CrashedRun crashed = worker.describe_run(*run);
    // Either incarnation of a restarted worker may have answered the start.
    crashed.begun = run->listed || (crashed.begun && worker.silent_since > run->begun_at);
    if (worker.silent_since == TimePoint{}) {
      crashed.silent_at = m_timer.now();
      crashed.begun_at = crashed.begun ? run->begun_at : crashed.silent_at;
    }
    victims.push_back({ref.task, std::move(crashed)});
  }
  for (const jobs::TaskId& id : std::exchange(worker.lost_tasks, {})) {
    Job* job = m_tasks.find(id.job);
    Task* task = job == nullptr ? nullptr : job->find_task(id);
    if (task == nullptr) {
      continue;
    }
    for (const LostRun& lost : task->lost_runs) {
      if (lost.worker == worker.slot) {
        victims.push_back({task, lost.run});
      }
    }
    std::erase_if(task->lost_runs,
                  [&worker](const LostRun& lost) { return lost.worker == worker.slot; });
  }
  return victims;
}

void Scheduler::record_crashes(const Worker& worker, const std::vector<CrashVictim>& victims,
                               const char* proof) {
  const bool has_exited = worker.entry.state == WorkerState::draining;
  const auto unsettled = std::count_if(victims.begin(), victims.end(),
                                       [](const auto& victim) { return !victim.run.settled; });
  EventLine(Event::worker_crashed)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("proof", proof)
      .add("planned", has_exited ? 1 : 0)
      .add("runs", victims.size())
      .add("unsettled", unsettled)
      .write();
  if (has_exited) {
    return;
  }
  const bool crashed_before = worker.in_earlier_roster && worker.last_answer == TimePoint{};
  if (crashed_before && victims.empty()) {
    m_record_first_until = m_timer.now() + k_record_first_time;
  }
  // A suspect's run that had not settled explains the crash without the others.
  const bool is_explained = std::any_of(victims.begin(), victims.end(), [](const auto& victim) {
    return (victim.run.isolated || victim.run.grouped) && !victim.run.settled;
  });
  for (const CrashVictim& victim : victims) {
    if (!is_explained || !victim.run.settled) {
      record_crash(*victim.task, victim.run);
    }
  }
  give_up_causes(victims);
}

// A worker that drains falls silent when it exits.
void Scheduler::note_silence(const Worker& worker) {
  if (worker.entry.state != WorkerState::draining) {
    m_crash_rate.note_silence(worker.entry.id, worker.silent_since);
  }
}

void Scheduler::record_crash(Task& task, const CrashedRun& run) {
  Job& job = *task.step->job;
  if (job.ending || task.phase == TaskPhase::done || !task.crashes.add(run)) {
    return;
  }
  estimate_chance(task);
  mark_dirty(job);
}

// Gives up the tasks that have caused crashes, the least likely victim first: the others may have
// lost their runs by its crashes alone.
void Scheduler::give_up_causes(const std::vector<CrashVictim>& victims) {
  while (Task* cause = find_cause(victims)) {
    give_up(*cause);
    for (const CrashVictim& victim : victims) {
      estimate_chance(*victim.task);
    }
  }
}

Task* Scheduler::find_cause(const std::vector<CrashVictim>& victims) {
  Task* cause = nullptr;
  for (const auto& [task, run] : victims) {
    const bool is_over = task->step->job->ending || task->phase == TaskPhase::done;
    if (is_over || !task->crashes.is_cause()) {
      continue;
    }
    if (cause == nullptr || task->crashes.chance() < cause->crashes.chance()) {
      cause = task;
    }
  }
  return cause;
}

void Scheduler::estimate_chance(Task& task) const {
  const std::size_t workers = m_workers.count_registered();
  task.crashes.estimate_chance(m_crash_rate, workers > 0 ? workers - 1 : 0);
}

// The task would crash each worker that starts it.
void Scheduler::give_up(Task& task) {
  Job& job = *task.step->job;
  const CrashedRun& last = task.crashes.runs().back();
  EventLine(Event::task_given_up)
      .add("job", job.id.view())
      .add("step", task.step->index)
      .add("task", task.index)
      .add("crashes", task.crashes.runs().size())
      .add("workers", task.crashes.workers())
      .add("last_run", last.number)
      .add("isolated", last.isolated ? 1 : 0)
      .add_ms("last_run_age_ms", last.age)
      .write();
  for (const CrashedRun& run : task.crashes.runs()) {
    m_crash_rate.explain_silence(run.worker, run.silent_at);
  }
  finish_job(job, JobState::FAILED);
}

bool Scheduler::is_recorded_for_crash(const Task& task) const {
  return task.crashes.is_suspect() || m_timer.now() < m_record_first_until;
}

// The lease of the run has expired on a silent worker, which may have crashed or be cut off.
void Scheduler::remember_lost_run(Worker& worker, const RunRef& ref) {
  Task& task = *ref.task;
  const Run* run = task.find_run(ref.number);
  if (run == nullptr || run->stop_confirmed || task.step->job->ending) {
    return;
  }
  task.lost_runs.push_back({worker.slot, worker.describe_run(*run)});
  worker.lost_tasks.push_back(task.step->job->task_id(task));
}

// The worker has not crashed.
void Scheduler::forget_lost_runs(Worker& worker) {
  for (const jobs::TaskId& id : std::exchange(worker.lost_tasks, {})) {
    Job* job = m_tasks.find(id.job);
    Task* task = job == nullptr ? nullptr : job->find_task(id);
    if (task == nullptr) {
      continue;
    }
    std::erase_if(task->lost_runs,
                  [&worker](const LostRun& lost) { return lost.worker == worker.slot; });
  }
}

void Scheduler::take_over_recorded_runs(Job& job) {
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        for (const RecordedRun& recorded : std::exchange(task.recorded_runs, {})) {
          take_over_recorded_run(task, recorded);
        }
      }
    }
  }
}

// The earlier leader may have ended before it noticed that the worker had crashed. If it has not,
// its first answer shows so.
void Scheduler::take_over_recorded_run(Task& task, const RecordedRun& recorded) {
  Worker& worker = m_workers.get_or_add(recorded.worker);
  if (worker.entry.id.empty()) {
    worker.entry.id = recorded.worker;
    worker.entry.address = recorded.address;
    worker.answered_address = recorded.address;
    worker.entry.incarnation = recorded.incarnation;
  }
  if (worker.has_answered || task.phase == TaskPhase::done) {
    return;
  }
  // The roster may be older than the record: it is not written for a restart alone.
  worker.entry.incarnation = recorded.incarnation;
  worker.answered_address = recorded.address;
  CrashedRun run;
  run.number = recorded.number;
  run.worker = recorded.worker;
  run.begun = recorded.begun;
  run.isolated = recorded.isolated;
  task.lost_runs.push_back({worker.slot, std::move(run)});
  worker.lost_tasks.push_back(task.step->job->task_id(task));
  schedule_poll(worker, Duration::zero());
}

bool Scheduler::awaits_crash_proof(const Worker& worker) const {
  const TimePoint since = std::max(worker.last_answer, m_started_at);
  return !worker.lost_tasks.empty() && m_timer.now() - since <= k_crash_proof_timeout;
}

// The poll in flight may last longer than that, and other suspects wait for the worker.
void Scheduler::poll_when_settled(const Worker& worker, const Task& task, const Run& run) {
  const Duration delay = k_settling_time + k_start_answer_margin;
  m_timer.call_after(delay, [this, alive = m_alive, slot = worker.slot,
                             id = task.step->job->task_id(task), number = run.number] {
    Job* job = *alive ? m_tasks.find(id.job) : nullptr;
    Task* started = job == nullptr ? nullptr : job->find_task(id);
    const Run* found = started == nullptr ? nullptr : started->find_run(number);
    Worker* polled = found == nullptr ? nullptr : &m_workers.at(slot);
    if (polled == nullptr || found->isolation == Isolation::none || polled->unanswered_polls > 0) {
      return;
    }
    poll_at_once(*polled);
  });
}

// Ends the isolation of a run that has settled, and forgets crashes that its task has not caused.
void Scheduler::settle_run(Worker& worker, Task& task, Run& run) {
  const bool is_serving = task.step->spec->long_running();
  if (task.crashes.runs().empty() && (!is_serving || run.settled)) {
    return;
  }
  const CrashedRun present = worker.describe_run(run);
  // The record of a batch task changes soon in any case.
  if (is_serving && present.settled && !std::exchange(run.settled, true)) {
    mark_started(*task.step->job);
  }
  if (present.age >= k_clearing_time) {
    task.crashes.clear();
    mark_started(*task.step->job);
  }
  if (run.isolation == Isolation::none || !present.settled) {
    return;
  }
  run.isolation = Isolation::none;
  worker.end_isolation(task, run.number);
  task.crashes.clear_suspicion();
  mark_started(*task.step->job);
  m_place_due = true;
}

}  // namespace arbutusdale::sched
