// Looks at workers: what runs, what has ended, and when a lease has run out.
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

constexpr std::uint32_t k_hold_wait_ms = 700;
constexpr std::uint32_t k_watch_wait_ms = 350;
// The next look after the first extends the lease.
constexpr Duration k_first_extension = std::chrono::milliseconds{1'500};
constexpr Duration k_hold_pause = std::chrono::milliseconds{40};
constexpr Duration k_hold_retry = std::chrono::milliseconds{150};
// Ends that are not acknowledged make the next answer immediate, so it is asked for later.
constexpr Duration k_unstored_pause = std::chrono::milliseconds{250};

// Differs from every pace that is wanted, so that an order sets it.
constexpr std::uint32_t k_unknown_pace = 101;

constexpr double k_speed_weight = 0.4;      // of a new sample
constexpr std::uint32_t k_full_pace = 100;  // percent
constexpr std::uint32_t k_max_moves = 2;    // of one task, for slowness
// After a change of pace a run's progress says little for a while.
constexpr Duration k_repaced_time = std::chrono::milliseconds{2'500};
constexpr Duration k_opportunistic_patience = std::chrono::seconds{4};
constexpr Duration k_slow_worker_pause = std::chrono::seconds{3};

constexpr EnumNames<RunOutcome, 6> k_end_names{{
    {RunOutcome::done, "done"},
    {RunOutcome::failed, "failed"},
    {RunOutcome::stopped, "stopped"},
    {RunOutcome::lease_expired, "lapsed"},
    {RunOutcome::gang_member_ended, "broken"},
    {RunOutcome::gang_incomplete, "alone"},
}};

}  // namespace

void Scheduler::schedule_hold(Worker& worker, Duration delay) {
  if (worker.hold_in_flight) {
    return;  // its answer schedules the next one
  }
  worker.hold_due = true;
  const std::uint64_t serial = ++worker.hold_serial;
  m_timer.call_after(delay, [this, alive = m_alive, slot = worker.slot, serial] {
    if (!*alive) {
      return;
    }
    Worker& due = m_workers.at(slot);
    if (due.hold_serial == serial && !due.hold_in_flight) {
      due.hold_due = false;
      send_hold(due);
    }
  });
}

void Scheduler::send_hold(Worker& worker) {
  const bool needed =
      worker.registered || !worker.runs.empty() || (worker.inherited && !worker.settled);
  if (!m_may_poll || !needed || !m_jobs_caught_up) {
    return;  // tick() tries again
  }
  const TimePoint now = m_timer.now();
  PollOrder order;
  order.fencing_token = m_options.fencing_token;
  order.acknowledged_through = worker.durable_through;
  // A silent worker gets no longer lease, so that it is known when what it runs has ended.
  if (worker.settled && worker.recorded && worker.unanswered_holds == 0) {
    order.lease_until_ms = worker.lease.extend(now);
  }
  if (worker.settled) {
    const std::uint32_t wait_ms = worker.watched ? k_watch_wait_ms : k_hold_wait_ms;
    order.wait_ms = worker.seen_through > worker.durable_through ? 0 : wait_ms;
  }
  worker.hold_in_flight = true;
  const HoldContext context{worker.slot, ++worker.hold_serial, worker.entry.incarnation, now};
  m_orders.poll(worker.endpoint(), order,
                [this, alive = m_alive, context](const tl::expected<PollReply, OrderError>& reply) {
                  if (*alive) {
                    on_hold_reply(context, reply);
                    end_round();
                  }
                });
}

void Scheduler::on_hold_reply(const HoldContext& context,
                              const tl::expected<PollReply, OrderError>& reply) {
  Worker& worker = m_workers.at(context.slot);
  if (worker.hold_serial != context.serial) {
    return;  // the worker's incarnation has changed since
  }
  worker.hold_in_flight = false;
  if (!reply) {
    on_hold_error(worker, reply.error());
    return;
  }
  const TimePoint now = m_timer.now();
  if (reply->incarnation > worker.entry.incarnation) {
    adopt_incarnation(worker, reply->incarnation);
  }
  worker.lease.observe_clock(reply->clock_ms, now);
  if (worker.unanswered_holds > 0 || !worker.settled) {
    m_place_due = true;
  }
  const bool first = !std::exchange(worker.settled, true);
  worker.unanswered_holds = 0;
  worker.doubtful = false;
  worker.last_answer = now;
  for (const EndedRun& end : reply->ended) {
    if (end.sequence <= worker.seen_through) {
      continue;
    }
    worker.seen_through = end.sequence;
    apply_end(worker, end);
  }
  follow_running(worker, *reply);
  drop_missing(worker, *reply, context);
  control_pace(worker);
  move_stragglers(worker);
  const bool unstored = worker.seen_through > worker.durable_through;
  const Duration pause = unstored ? k_unstored_pause : k_hold_pause;
  schedule_hold(worker, first ? Duration::zero() : pause);
}

void Scheduler::on_hold_error(Worker& worker, const OrderError& error) {
  if (error.reason == OrderFailure::fenced) {
    m_on_fenced();
    return;
  }
  if (worker.unanswered_holds++ == 0) {
    EventLine(Event::worker_lost)
        .add("worker", worker.entry.id)
        .add("error", error.message)
        .add("runs", worker.runs.size())
        .write();
  }
  if (error.reason == OrderFailure::connection_refused && worker.left_soon && !worker.registered) {
    // The worker has removed its registration and its process is gone.
    worker.settled = true;
    worker.left = true;
    drop_all_runs(worker, "it has left");
    return;
  }
  schedule_hold(worker, k_hold_retry);
}

// Everything that ran in the earlier incarnation is gone, but a start that had no answer may still
// reach the new one.
void Scheduler::adopt_incarnation(Worker& worker, std::uint64_t incarnation) {
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
  // The new incarnation does not know what the earlier one was told to refuse.
  for (const UnansweredStart& start : worker.unanswered) {
    if (m_timer.now() - start.ordered_at <= k_late_order_bound) {
      stop_stray(worker, start.task, start.run);
    }
  }
  worker.lease = WorkerLease{};
  worker.settled = false;
  worker.has_strays = false;
  worker.seen_through = 0;
  worker.durable_through = 0;
  worker.hold_in_flight = false;
  ++worker.hold_serial;
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Run* run = ref.task->find_run(ref.number);
    const bool may_arrive =
        run != nullptr && run->phase != RunPhase::running && run->confirmed_at == TimePoint{};
    if (may_arrive) {
      stop_run(*ref.task, *run, "its worker has restarted");
      continue;
    }
    drop_run(*ref.task, ref.number);
  }
}

void Scheduler::apply_end(Worker& worker, const EndedRun& end) {
  EventLine(Event::run_ended)
      .add("job", end.task.job.view())
      .add("step", end.task.step)
      .add("task", end.task.index)
      .add("run", end.run)
      .add("worker", worker.entry.id)
      .add("how", enum_name(k_end_names, end.outcome))
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
    note_failed_run(*task, worker, end.run);
  }
  drop_run(*task, end.run);
}

void Scheduler::note_failed_run(Task& task, Worker& worker, std::uint32_t number) {
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

void Scheduler::follow_running(Worker& worker, const PollReply& reply) {
  worker.has_strays = false;
  for (const RunningTask& row : reply.running) {
    follow_run(worker, row);
  }
}

void Scheduler::follow_run(Worker& worker, const RunningTask& row) {
  Job* job = m_tasks.find(row.task.job);
  Task* task = job == nullptr ? nullptr : job->find_task(row.task);
  if (task == nullptr) {
    stop_stray(worker, row.task, row.run);
    return;
  }
  Run* run = task->find_run(row.run);
  if (run == nullptr || run->worker != worker.slot) {
    const bool unwanted = task->phase == TaskPhase::done || job->ending || !task->runs.empty() ||
                          row.run < task->last_run;
    if (unwanted) {
      stop_stray(worker, row.task, row.run);
      return;
    }
    m_ready.remove(*task);
    task->phase = TaskPhase::active;
    task->last_run = row.run;
    task->runs.push_back({});
    run = &task->runs.back();
    run->number = row.run;
    run->worker = worker.slot;
    run->ordered_at = m_timer.now();
    run->pace = k_unknown_pace;
    worker.add_run(*task, row.run);
    EventLine(Event::run_adopted)
        .add("job", row.task.job.view())
        .add("step", row.task.step)
        .add("task", row.task.index)
        .add("run", row.run)
        .add("worker", worker.entry.id)
        .write();
  }
  if (run->phase == RunPhase::ordered || run->confirmed_at == TimePoint{}) {
    run->confirmed_at = m_timer.now();
  }
  if (run->phase == RunPhase::ordered) {
    run->phase = RunPhase::running;
  }
  if (row.progress_percent != run->percent || run->progressed_at == TimePoint{}) {
    run->progressed_at = m_timer.now();
  }
  run->percent = row.progress_percent;
  run->gauge = row.tail_ms_or_cpu_millis;
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
  if (job->state == JobState::QUEUED) {
    job->state = JobState::RUNNING;
    mark_dirty(*job);
  }
}

// A run that the worker does not list is over, if the look was sent after the last answer to an
// order about it.
void Scheduler::drop_missing(Worker& worker, const PollReply& reply, const HoldContext& context) {
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Run* run = ref.task->find_run(ref.number);
    if (run == nullptr) {
      continue;
    }
    const bool proved = run->phase == RunPhase::running ||
                        (run->phase == RunPhase::stopping && run->stop_confirmed);
    if (!proved || run->confirmed_at >= context.sent) {
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
    settle_ending(*task.step->job);
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
                            run->pace == k_full_pace && now - run->slowed_at > k_repaced_time;
    if (!comparable || task.moves >= k_max_moves) {
      continue;
    }
    const RunProgress progress{now - run->ordered_at, now - run->progressed_at, run->percent,
                               std::chrono::milliseconds{step.spec->estimated_ms()}};
    // Opportunistic runs are slower than their estimate when little is idle.
    const bool declared = !step.spec->opportunistic();
    if (const auto speed = speed_of(progress); declared && speed) {
      worker.speed += (*speed - worker.speed) * k_speed_weight;
      worker.speed_seen_at = now;
    }
    const bool slow = declared && m_usual_speed && is_straggler(progress, *m_usual_speed);
    // An opportunistic run without progress may just have no idle processors.
    const bool starved = !declared && progress.since_progress < k_opportunistic_patience;
    if (!slow && (starved || !is_stuck(progress))) {
      continue;
    }
    ++task.moves;
    task.failed_on.push_back(worker.slot);
    worker.slow_until = now + k_slow_worker_pause;
    stop_run(task, *run, slow ? "it is slower than expected" : "it stands still");
  }
}

TimePoint Scheduler::leases_end(const Worker& worker) const {
  if (!worker.lease.knows_clock()) {
    return worker.last_answer + k_late_order_bound;
  }
  if (worker.lease.lapses_at() != TimePoint{}) {
    return worker.lease.lapses_at();
  }
  // We have adopted its runs and not extended their leases yet.
  return std::max(inherited_leases_end(), worker.last_answer + k_first_extension);
}

void Scheduler::check_lease(Worker& worker) {
  const TimePoint now = m_timer.now();
  if (worker.runs.empty()) {
    return;
  }
  if (now <= leases_end(worker)) {
    return;
  }
  drop_all_runs(worker, "its leases have run out");
  // What it may still list has to be taken up anew.
  worker.settled = false;
}

void Scheduler::drop_all_runs(Worker& worker, const char* reason) {
  EventLine(Event::worker_lost)
      .add("worker", worker.entry.id)
      .add("reason", reason)
      .add("runs", worker.runs.size())
      .add_ms("silent_ms", m_timer.now() - worker.last_answer)
      .write();
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    drop_run(*ref.task, ref.number);
  }
}

}  // namespace arbutusdale::sched
