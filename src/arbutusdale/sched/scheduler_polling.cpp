// Polls of workers: which runs are alive, which have ended, and when leases have expired.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/straggler.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

constexpr std::uint32_t k_poll_wait_ms = 700;
constexpr std::uint32_t k_frequent_poll_wait_ms = 350;
// The lease of adopted runs is renewed by the poll after the first answer, within this time.
constexpr Duration k_first_renewal_bound = std::chrono::milliseconds{1'500};
constexpr Duration k_poll_interval = std::chrono::milliseconds{40};
constexpr Duration k_poll_retry_interval = std::chrono::milliseconds{150};
// While ended runs are not acknowledged, polls are answered at once, so the next one is sent later.
constexpr Duration k_unstored_poll_interval = std::chrono::milliseconds{250};

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

void Scheduler::schedule_poll(Worker& worker, Duration delay) {
  if (worker.poll_in_flight) {
    return;  // its answer schedules the next poll
  }
  worker.poll_scheduled = true;
  const std::uint64_t serial = ++worker.poll_serial;
  m_timer.call_after(delay, [this, alive = m_alive, slot = worker.slot, serial] {
    if (!*alive) {
      return;
    }
    Worker& due = m_workers.at(slot);
    if (due.poll_serial == serial && !due.poll_in_flight) {
      due.poll_scheduled = false;
      send_poll(due);
    }
  });
}

void Scheduler::send_poll(Worker& worker) {
  const bool needed = worker.registered || !worker.runs.empty() ||
                      (worker.in_earlier_roster && !worker.has_answered);
  if (!may_poll() || !needed || !m_jobs_caught_up) {
    return;  // tick() tries again
  }
  const TimePoint now = m_timer.now();
  PollOrder order;
  order.fencing_token = m_options.fencing_token;
  order.acknowledged_through = worker.stored_through;
  // A worker that did not answer gets no further lease, so that the end of its runs is known.
  if (worker.has_answered && worker.in_roster && worker.unanswered_polls == 0) {
    order.lease_until_ms = worker.lease.extend(now);
  }
  if (worker.has_answered) {
    const std::uint32_t wait_ms =
        worker.polled_frequently ? k_frequent_poll_wait_ms : k_poll_wait_ms;
    order.wait_ms = worker.processed_through > worker.stored_through ? 0 : wait_ms;
  }
  worker.poll_in_flight = true;
  const PollContext context{worker.slot, ++worker.poll_serial, worker.entry.incarnation, now};
  m_orders.poll(worker.endpoint(), order,
                [this, alive = m_alive, context](const tl::expected<PollReply, OrderError>& reply) {
                  if (*alive) {
                    on_poll_reply(context, reply);
                    process_pending();
                  }
                });
}

void Scheduler::on_poll_reply(const PollContext& context,
                              const tl::expected<PollReply, OrderError>& reply) {
  Worker& worker = m_workers.at(context.slot);
  if (worker.poll_serial != context.serial) {
    return;  // the worker's incarnation has changed since
  }
  worker.poll_in_flight = false;
  if (!reply) {
    on_poll_error(worker, reply.error());
    return;
  }
  const TimePoint now = m_timer.now();
  if (reply->incarnation > worker.entry.incarnation) {
    begin_incarnation(worker, reply->incarnation);
  }
  worker.lease.observe_clock(reply->clock_ms, now);
  if (worker.unanswered_polls > 0 || !worker.has_answered) {
    m_place_due = true;
  }
  const bool first = !std::exchange(worker.has_answered, true);
  worker.unanswered_polls = 0;
  worker.needs_poll = false;
  worker.last_answer = now;
  for (const EndedRun& end : reply->ended) {
    if (end.sequence <= worker.processed_through) {
      continue;
    }
    worker.processed_through = end.sequence;
    apply_ended_run(worker, end);
  }
  update_runs(worker, *reply);
  drop_missing_runs(worker, *reply, context);
  control_throttling(worker);
  move_stragglers(worker);
  const bool unstored = worker.processed_through > worker.stored_through;
  const Duration pause = unstored ? k_unstored_poll_interval : k_poll_interval;
  schedule_poll(worker, first ? Duration::zero() : pause);
}

void Scheduler::on_poll_error(Worker& worker, const OrderError& error) {
  if (error.reason == OrderFailure::fenced) {
    m_on_fenced();
    return;
  }
  if (worker.unanswered_polls++ == 0) {
    EventLine(Event::worker_lost)
        .add("worker", worker.entry.id)
        .add("error", error.message)
        .add("runs", worker.runs.size())
        .write();
  }
  schedule_poll(worker, k_poll_retry_interval);
}

// Ignores the reply to the poll in flight, so that the next one can be sent at once.
void Scheduler::abandon_poll(Worker& worker) {
  worker.poll_in_flight = false;
  ++worker.poll_serial;
}

// All runs of the earlier incarnation have ended. Only the worker itself tells that it has
// restarted: a registration may be another writer's, and its runs would be started twice.
void Scheduler::begin_incarnation(Worker& worker, std::uint64_t incarnation) {
  const bool known = worker.entry.incarnation != 0;
  worker.entry.incarnation = incarnation;
  if (!known) {
    return;
  }
  EventLine(Event::worker_changed)
      .add("worker", worker.entry.id)
      .add("incarnation", incarnation)
      .add("runs", worker.runs.size())
      .write();
  worker.lease = WorkerLease{};
  worker.has_answered = false;
  worker.has_unwanted_runs = false;
  worker.processed_through = 0;
  worker.stored_through = 0;
  abandon_poll(worker);
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    resolve_run_after_restart(worker, ref);
  }
  stop_late_starts(worker);
}

// A run has ended with the earlier incarnation if it had begun there and no order is outstanding
// that could start it again.
void Scheduler::resolve_run_after_restart(Worker& worker, const RunRef& ref) {
  constexpr const char* k_reason = "its worker has restarted";
  Task& task = *ref.task;
  Run* run = task.find_run(ref.number);
  if (run == nullptr) {
    return;
  }
  const jobs::TaskId id = task.step->job->task_id(task);
  const bool may_start = worker.may_still_start(id, ref.number, m_timer.now());
  if (run->listed && !may_start) {
    presume_ended(worker, ref, k_reason);
    return;
  }
  if (run->phase == RunPhase::running && !may_start) {
    // Either incarnation may have answered the start; the next poll tells which.
    run->confirmed_at = m_timer.now();
    return;
  }
  restart_stop(task, *run, k_reason);
}

// The new incarnation does not know which runs the earlier one was told to stop.
void Scheduler::stop_late_starts(Worker& worker) {
  for (const UnansweredStart& start : worker.unanswered) {
    const bool is_known =
        std::any_of(worker.runs.begin(), worker.runs.end(), [&start](const RunRef& ref) {
          return ref.number == start.run && ref.task->step->job->task_id(*ref.task) == start.task;
        });
    if (!is_known && m_timer.now() - start.sent_at <= k_late_order_bound) {
      stop_unwanted_run(worker, start.task, start.run);
    }
  }
}

void Scheduler::apply_ended_run(Worker& worker, const EndedRun& end) {
  EventLine(Event::run_ended)
      .add("job", end.task.job.view())
      .add("step", end.task.step)
      .add("task", end.task.index)
      .add("run", end.run)
      .add("worker", worker.entry.id)
      .add("how", enum_name(k_outcome_names, end.outcome))
      .add("number", end.sequence)
      .write();
  Job* job = m_tasks.find(end.task.job);
  Task* task = job == nullptr ? nullptr : job->find_task(end.task);
  if (task == nullptr) {
    return;
  }
  task->last_run = std::max(task->last_run, end.run);
  if (!end.checkpoint.empty()) {
    task->checkpoint = end.checkpoint;
  }
  if (end.outcome == RunOutcome::done) {
    worker.note_success();
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

void Scheduler::record_failed_run(Task& task, Worker& worker, std::uint32_t number) {
  Job& job = *task.step->job;
  if (worker.note_failure(m_timer.now())) {
    EventLine(Event::worker_quarantined)
        .add("worker", worker.entry.id)
        .add("failures", worker.failures_in_row)
        .write();
  }
  task.failed_on.push_back(worker.slot);
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

void Scheduler::update_runs(Worker& worker, const PollReply& reply) {
  worker.has_unwanted_runs = false;
  for (const RunningTask& row : reply.running) {
    update_run(worker, row);
  }
}

void Scheduler::update_run(Worker& worker, const RunningTask& row) {
  Job* job = m_tasks.find(row.task.job);
  Task* task = job == nullptr ? nullptr : job->find_task(row.task);
  if (task == nullptr) {
    stop_unwanted_run(worker, row.task, row.run);
    return;
  }
  Run* run = task->find_run(row.run);
  if (run == nullptr || run->worker != worker.slot) {
    const bool unwanted = task->phase == TaskPhase::done || job->ending || !task->runs.empty() ||
                          row.run < task->last_run;
    if (unwanted) {
      log_unexpected_run(worker, row, *task);
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
    EventLine(Event::run_adopted)
        .add("job", row.task.job.view())
        .add("step", row.task.step)
        .add("task", row.task.index)
        .add("run", row.run)
        .add("worker", worker.entry.id)
        .write();
  }
  run->listed = true;
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
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
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
void Scheduler::drop_missing_runs(Worker& worker, const PollReply& reply,
                                  const PollContext& context) {
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Run* run = ref.task->find_run(ref.number);
    if (run == nullptr) {
      continue;
    }
    const bool is_conclusive = run->phase == RunPhase::running ||
                               (run->phase == RunPhase::stopping && run->stop_confirmed);
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
  m_workers.at(run->worker).remove_run(task, number);
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
    if (!comparable || task.moves >= k_max_moves) {
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

TimePoint Scheduler::leases_expire_at(const Worker& worker) const {
  if (!worker.lease.knows_clock()) {
    return worker.last_answer + k_late_order_bound;
  }
  // A worker has one lease for all its runs, which also an earlier leader may have extended.
  const TimePoint earlier = m_has_predecessor ? earlier_leases_expire_at() : TimePoint{};
  if (worker.lease.expires_at() != TimePoint{}) {
    return std::max(worker.lease.expires_at(), earlier);
  }
  // This leader has adopted the runs and has not renewed their leases yet.
  return std::max(earlier, worker.last_answer + k_first_renewal_bound);
}

void Scheduler::check_lease(Worker& worker) {
  const TimePoint now = m_timer.now();
  if (worker.runs.empty()) {
    return;
  }
  if (now <= leases_expire_at(worker)) {
    return;
  }
  EventLine(Event::worker_lost)
      .add("worker", worker.entry.id)
      .add("reason", "its leases have expired")
      .add("runs", worker.runs.size())
      .add_ms("silent_ms", now - worker.last_answer)
      .write();
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    presume_ended(worker, ref, "its leases have expired");
  }
  // Runs that it still lists have to be adopted again.
  worker.has_answered = false;
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
