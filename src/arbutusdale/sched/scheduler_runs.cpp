// What the replies to polls say of runs: which are alive, which have ended, and which are slow.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/straggler.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

// Differs from every wanted value, so that the next order sets it.
constexpr std::uint32_t k_unknown_throttle_percent = 101;

constexpr double k_speed_weight = 0.4;  // of a new sample
constexpr std::uint32_t k_full_speed_percent = 100;
constexpr std::uint32_t k_max_moves = 2;  // of one task, for slowness
// A run's progress is not comparable for a while after it was slowed down.
constexpr Duration k_throttle_settle_time = std::chrono::milliseconds{2'500};
constexpr Duration k_opportunistic_stuck_time = std::chrono::seconds{4};
constexpr Duration k_slow_penalty_time = std::chrono::seconds{3};

constexpr EnumNames<RunOutcome, 6> k_outcome_names{{
    {RunOutcome::done, "done"},
    {RunOutcome::failed, "failed"},
    {RunOutcome::stopped, "stopped"},
    {RunOutcome::lease_expired, "lapsed"},
    {RunOutcome::gang_member_ended, "broken"},
    {RunOutcome::gang_incomplete, "alone"},
}};

}  // namespace

// An earlier leader whose time of day was ahead may have opened an occurrence that is not due here.
Task* Scheduler::find_reported_task(const jobs::TaskId& id) {
  Job* job = m_tasks.find(id.job);
  if (job == nullptr) {
    return nullptr;
  }
  const bool is_open = id.occurrence < job->next_occurrence;
  if (!is_open && id.occurrence < job->occurrence_count()) {
    enqueue_tasks(m_tasks.open_occurrences_through(*job, id.occurrence));
  }
  return job->find_task(id);
}

void Scheduler::apply_ended_run(Worker& worker, const EndedRun& end) {
  EventLine(Event::run_ended)
      .add("job", end.task.job.view())
      .add("step", end.task.step)
      .add("task", end.task.index)
      .add("run", end.run)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("how", enum_name(k_outcome_names, end.outcome))
      .add("number", end.sequence)
      .write();
  Task* task = find_reported_task(end.task);
  if (task == nullptr) {
    return;
  }
  task->last_run = std::max(task->last_run, end.run);
  task->note_checkpoint(end.checkpoint, m_timer.now());
  const LateStart& late = task->late_start;
  if (late.worker == worker.slot && late.run <= end.run) {
    task->late_start = LateStart{};  // it was carried out
  }
  if (end.outcome == RunOutcome::done || end.outcome == RunOutcome::failed) {
    hold_end(worker, end, *task);
  }
  if (end.outcome == RunOutcome::done) {
    worker.health.note_success(m_timer.now());
    task->step->outcomes.note_success(worker.slot, m_timer.now());
    if (Run* run = task->find_run(end.run)) {
      run->is_done = true;
    }
    drop_run(*task, end.run);
    if (task->step->spec->gang()) {
      for (Task& member : task->step->tasks) {
        finish_task(member);
      }
    } else {
      finish_task(*task);
    }
    return;
  }
  if (end.outcome == RunOutcome::failed) {
    record_failed_run(*task, worker, end.run);
  }
  drop_run(*task, end.run);
}

// A late start must not follow an end that is acknowledged.
void Scheduler::hold_end(Worker& worker, const EndedRun& end, const Task& task) {
  const TimePoint now = m_timer.now();
  const TimePoint until = task.end_held_until();
  if (until <= now) {
    return;
  }
  worker.held_ends.hold(end.sequence, until, now);
  EventLine(Event::end_held)
      .add("job", end.task.job.view())
      .add("step", end.task.step)
      .add("task", end.task.index)
      .add("run", end.run)
      .add("worker", worker.entry.id)
      .add("number", end.sequence)
      .add_ms("held_ms", until - now)
      .write();
}

void Scheduler::update_runs(Worker& worker, const PollReply& reply) {
  worker.has_unwanted_runs = false;
  for (const RunningTask& row : reply.running) {
    update_run(worker, row);
  }
}

void Scheduler::update_run(Worker& worker, const RunningTask& row) {
  Task* task = find_reported_task(row.task);
  if (task == nullptr) {
    stop_unwanted_run(worker, row.task, row.run);
    return;
  }
  Job* job = task->step->job;
  Run* run = task->find_run(row.run);
  if (run == nullptr || run->worker != worker.slot) {
    const bool unwanted = task->phase == TaskPhase::done || job->ending || !task->runs.empty() ||
                          row.run < task->last_run;
    if (unwanted) {
      if (!job->ending) {
        log_unexpected_run(worker, row, *task);
      }
      stop_unwanted_run(worker, row.task, row.run);
      return;
    }
    m_ready.remove(*task);
    task->phase = TaskPhase::active;
    task->last_run = row.run;
    task->runs.push_back({});
    run = &task->runs.back();
    run->number = row.run;
    run->worker = worker.slot;
    run->order_sent_at = m_timer.now();
    run->throttle_percent = k_unknown_throttle_percent;
    worker.add_run(*task, row.run);
    const bool was_held = task->is_held;
    note_live_run(*task, row.run);
    // The stored record still says that the task runs only on silent workers.
    m_takeover_record_due = m_takeover_record_due || (was_held && !task->is_located);
    EventLine(Event::run_adopted)
        .add("job", row.task.job.view())
        .add("step", row.task.step)
        .add("task", row.task.index)
        .add("run", row.run)
        .add("worker", worker.entry.id)
        .add("incarnation", worker.entry.incarnation)
        .write();
  }
  run->listed = true;
  if (run->begun_at == TimePoint{}) {
    run->begun_at = m_timer.now();
  }
  settle_run(worker, *task, *run);
  if (run->phase == RunPhase::starting || run->confirmed_at == TimePoint{}) {
    run->confirmed_at = m_timer.now();
  }
  if (run->phase == RunPhase::starting) {
    run->phase = RunPhase::running;
  }
  if (row.progress_percent != run->progress_percent || run->progressed_at == TimePoint{}) {
    run->progressed_at = m_timer.now();
  }
  run->progress_percent = row.progress_percent;
  run->tail_ms_or_cpu_millis = row.tail_ms_or_cpu_millis;
  task->note_checkpoint(row.checkpoint, m_timer.now());
  if (job->state == JobState::QUEUED) {
    job->state = JobState::RUNNING;
    mark_dirty(*job);
  }
}

// A worker runs a task that counts as ended or runs elsewhere.
void Scheduler::log_unexpected_run(const Worker& worker, const RunningTask& row, const Task& task) {
  EventLine line(Event::run_unexpected);
  line.add("job", row.task.job.view())
      .add("step", row.task.step)
      .add("task", row.task.index)
      .add("run", row.run)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("last_run", task.last_run);
  if (!task.runs.empty()) {
    const Run& other = task.runs.front();
    line.add("other_run", other.number).add("other_worker", m_workers.at(other.worker).entry.id);
  }
  line.write();
}

// A run that the worker does not list has ended, if the poll was sent after the last answer to an
// order about the run.
void Scheduler::drop_missing_runs(Worker& worker, const PollReply& reply, const SentPoll& context) {
  if (reply.ended.size() >= k_max_listed_ends) {
    return;  // the end may not be listed yet
  }
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Run* run = ref.task->find_run(ref.number);
    if (run == nullptr) {
      continue;
    }
    const bool is_conclusive =
        run->phase == RunPhase::running ||
        (run->phase == RunPhase::stopping && run->stop_confirmed && !run->start_in_flight);
    if (!is_conclusive || run->confirmed_at >= context.sent) {
      continue;
    }
    const jobs::TaskId id = ref.task->step->job->task_id(*ref.task);
    const auto listed = std::find_if(
        reply.running.begin(), reply.running.end(),
        [&](const RunningTask& row) { return row.run == ref.number && row.task == id; });
    if (listed != reply.running.end()) {
      continue;
    }
    EventLine(Event::run_vanished)
        .add("job", id.job.view())
        .add("step", id.step)
        .add("task", id.index)
        .add("run", ref.number)
        .add("worker", worker.entry.id)
        .write();
    drop_run(*ref.task, ref.number);
  }
}

void Scheduler::drop_run(Task& task, std::uint32_t number) {
  const Run* run = task.find_run(number);
  if (run == nullptr) {
    requeue(task);
    return;
  }
  // The order of a run that has begun and ended is superseded on its worker.
  if (run->begun_at != TimePoint{} && number >= task.late_start.run) {
    task.late_start = LateStart{};
  }
  m_opportunistic_work.add_run(*task.step->job, *task.step, *run, m_timer.now());
  m_workers.at(run->worker).remove_run(task, number);
  mark_started(*task.step->job);
  std::erase_if(task.runs, [number](const Run& other) { return other.number == number; });
  m_place_due = true;
  if (task.phase == TaskPhase::done) {
    schedule_removal_if_idle(*task.step->job);
    return;
  }
  requeue(task);
}

void Scheduler::move_stragglers(Worker& worker) {
  const TimePoint now = m_timer.now();
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Task& task = *ref.task;
    const Step& step = *task.step;
    Run* run = task.find_run(ref.number);
    const bool comparable = run != nullptr && run->phase == RunPhase::running &&
                            !step.spec->long_running() && !step.spec->gang() &&
                            run->throttle_percent == k_full_speed_percent &&
                            now - run->throttled_at > k_throttle_settle_time;
    if (!comparable || task.moves >= k_max_moves || may_be_doubled(task)) {
      continue;
    }
    const RunProgress progress{now - run->order_sent_at, now - run->progressed_at,
                               run->progress_percent,
                               std::chrono::milliseconds{step.spec->estimated_ms()}};
    // Opportunistic runs are slower than their estimates when few processors are idle.
    const bool reserved = !step.spec->opportunistic();
    if (const auto speed = speed_of(progress); reserved && speed) {
      worker.speed += (*speed - worker.speed) * k_speed_weight;
      worker.speed_sampled_at = now;
    }
    const bool slow = reserved && m_typical_speed && is_straggler(progress, *m_typical_speed);
    // An opportunistic run without progress may only lack idle processors.
    const bool starved = !reserved && progress.since_progress < k_opportunistic_stuck_time;
    if (!slow && (starved || !is_stuck(progress))) {
      continue;
    }
    ++task.moves;
    task.failed_on.push_back(worker.slot);
    worker.slow_until = now + k_slow_penalty_time;
    stop_run(task, *run, slow ? "it is slower than expected" : "it makes no progress");
  }
}

// Drops a run of which no end has been reported. If the conclusion is wrong, the task runs twice.
void Scheduler::presume_ended(const Worker& worker, const RunRef& ref, const char* reason) {
  Task& task = *ref.task;
  EventLine(Event::run_presumed_ended)
      .add("job", task.step->job->id.view())
      .add("step", task.step->index)
      .add("task", task.index)
      .add("run", ref.number)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("reason", reason)
      .add_ms("lease_left_ms", leases_expire_at(worker) - m_timer.now())
      .write();
  drop_run(task, ref.number);
}

}  // namespace arbutusdale::sched
