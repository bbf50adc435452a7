// Orders that start and stop runs, and their answers.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

constexpr Duration k_start_lease = std::chrono::milliseconds{2'500};
constexpr Duration k_stop_retry_interval = std::chrono::milliseconds{400};
// A worker that lacked capacity is polled again before the next start is sent to it.
constexpr Duration k_refusal_backoff = std::chrono::milliseconds{300};
constexpr Duration k_invalid_order_backoff = std::chrono::milliseconds{200};

constexpr EnumNames<OrderFailure, 10> k_failure_names{{
    {OrderFailure::fenced, "fenced"},
    {OrderFailure::superseded, "superseded"},
    {OrderFailure::lease_expired, "too_late"},
    {OrderFailure::no_capacity, "no_room"},
    {OrderFailure::invalid_ticket, "bad_ticket"},
    {OrderFailure::rejected, "unhealthy"},
    {OrderFailure::connection_refused, "no_listener"},
    {OrderFailure::incarnation_mismatch, "other_incarnation"},
    {OrderFailure::invalid, "invalid"},
    {OrderFailure::unknown, "unknown"},
}};

Isolation isolation_of(const Task& task) {
  if (!task.crashes.is_suspect()) {
    return Isolation::none;
  }
  const bool joins_others = task.crashes.is_weak_suspect() && !task.step->spec->gang();
  return joins_others ? Isolation::grouped : Isolation::alone;
}

}  // namespace

void Scheduler::start_run(Task& task, Worker& worker, std::uint32_t number) {
  m_ready.remove(task);
  Step& step = *task.step;
  Job& job = *step.job;
  job.ordered = true;
  locate(task);
  const TimePoint now = m_timer.now();
  if (step.spec->same_rack() && step.chosen_rack.empty()) {
    step.chosen_rack = worker.entry.rack;
  }
  Run run;
  run.number = number;
  run.worker = worker.slot;
  run.isolation = isolation_of(task);
  run.checkpoint = step.spec->gang() ? step.gang_checkpoint() : task.checkpoint;
  run.order_sent_at = now;
  run.progressed_at = now;
  task.runs.push_back(run);
  task.last_run = number;
  task.phase = TaskPhase::active;
  worker.add_run(task, number, run.isolation);
  worker.last_start_at = now;
  if (worker.room.step == &step) {
    worker.room = {};
  }

  observe::record_timing(observe::Timing::start_wait, now - task.ready_at);
  EventLine(Event::run_ordered)
      .add("job", job.id.view())
      .add("step", step.index)
      .add("task", task.index)
      .add("run", number)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("image", step.spec->image())
      .add_ms("waited_ms", now - task.ready_at)
      .add("free_cpu_millis", minus(worker.entry.capacity, worker.committed).cpu_millis)
      .add("idle_cpu_millis", worker.idle_cpu_millis())
      .add("isolated", run.isolation == Isolation::alone ? 1 : 0)
      .write();
  const bool is_urgent = is_recorded_for_crash(task);
  if (is_urgent || task.is_stored_first) {
    m_pending_starts.push_back({job.task_id(task), number, worker.slot, is_urgent});
    ++m_starts_to_store;
    ++worker.starts_to_store;
    mark_dirty(job);
    return;
  }
  mark_started(job);
  send_start(task, *task.find_run(number));
}

// The runs may have been stopped, and the leadership may have ended, while they were stored.
void Scheduler::send_recorded_starts(const std::vector<PendingStart>& starts) {
  m_place_due = m_place_due || !starts.empty();
  for (const PendingStart& start : starts) {
    --m_starts_to_store;
    --m_workers.at(start.worker).starts_to_store;
    Job* job = m_tasks.find(start.task.job);
    Task* task = job == nullptr ? nullptr : job->find_task(start.task);
    Run* run = task == nullptr ? nullptr : task->find_run(start.run);
    if (run == nullptr || run->phase != RunPhase::starting) {
      continue;
    }
    const Worker& worker = m_workers.at(run->worker);
    const bool takes_start = worker.registered && worker.entry.state == WorkerState::ready &&
                             worker.is_registration_current() && !worker.has_ended &&
                             fits(worker.committed, worker.entry.capacity);
    if (!may_start() || !takes_start) {
      drop_run(*task, start.run);
      continue;
    }
    send_start(*task, *run);
  }
}

void Scheduler::send_start(Task& task, Run& run) {
  if (!std::exchange(run.sent, true) && run.isolation != Isolation::none) {
    poll_when_settled(m_workers.at(run.worker), task, run);
  }
  run.start_in_flight = true;
  ++run.starts_sent;
  const Job& job = *task.step->job;
  Worker& worker = m_workers.at(run.worker);
  StartOrder order;
  order.task = job.task_id(task);
  order.run = run.number;
  order.payload = job.spec().payload();
  // A start that arrives late is refused; the lease of a started run is renewed by polls.
  order.lease_until_ms = worker.lease.extend_by(m_timer.now(), k_start_lease).value_or(0);
  order.fencing_token = fencing_token(worker);
  order.checkpoint = run.checkpoint;
  if (const std::string* ticket = m_tickets.find(*task.step, worker, m_timer.now())) {
    order.ticket = *ticket;
  }
  ++m_starts_in_flight;
  worker.note_start_sent(m_timer.now());
  const SentStart sent{worker.endpoint(), run.worker, order.fencing_token, m_timer.now()};
  m_orders.start(sent.endpoint, order,
                 [this, alive = m_alive, id = order.task, number = run.number,
                  sent](const tl::expected<OrderReply, OrderError>& reply) {
                   if (*alive) {
                     on_start_result(id, number, sent, reply);
                     on_start_reply(id, number, sent, reply);
                     process_pending();
                   }
                 });
}

// Concerns the worker, whatever has become of the run.
void Scheduler::on_start_result(const jobs::TaskId& id, std::uint32_t number, const SentStart& sent,
                                const tl::expected<OrderReply, OrderError>& reply) {
  const TimePoint now = m_timer.now();
  Worker& worker = m_workers.at(sent.worker);
  const bool is_lost = !reply && reply.error().reason == OrderFailure::unknown;
  const StartResult result = is_lost ? StartResult::unanswered : StartResult::answered;
  release_start_slot(worker);
  worker.note_start_result(result, now);
  m_start_window.on_result(result, sent.sent_at, now);
  observe::record_timing(observe::Timing::start_call, now - sent.sent_at);
  // An incarnation that is not known yet has taken the start. Its clock starts anew, so that its
  // lease is the longest one.
  if (reply && worker.lease.is_reset(reply->clock_ms, sent.sent_at)) {
    worker.lease.assume_longest(now);
  }
  if (is_lost) {
    worker.note_unanswered_start(id, number, sent.sent_at);
    note_late_start(id, number, sent);
  }
}

void Scheduler::on_start_reply(const jobs::TaskId& id, std::uint32_t number, const SentStart& sent,
                               const tl::expected<OrderReply, OrderError>& reply) {
  Job* job = m_tasks.find(id.job);
  Task* task = job == nullptr ? nullptr : job->find_task(id);
  Run* run = task == nullptr ? nullptr : task->find_run(number);
  if (run == nullptr) {
    return;  // has ended in the meantime
  }
  run->start_in_flight = false;
  Worker& worker = m_workers.at(run->worker);
  const bool again = !reply && reply.error().reason == OrderFailure::unknown && !run->is_resent() &&
                     run->phase == RunPhase::starting && may_start() &&
                     worker.is_registration_current() &&
                     fits(worker.committed, worker.entry.capacity);
  if (again) {
    // The order is idempotent, since it has the same run number.
    send_start(*task, *run);
    return;
  }
  if (!reply) {
    on_start_error(*task, *run, sent, reply.error());
    return;
  }
  if (sent.endpoint.incarnation == worker.entry.incarnation &&
      !worker.lease.is_reset(reply->clock_ms, sent.sent_at)) {
    worker.lease.observe_clock(reply->clock_ms, m_timer.now());
    worker.last_alive = m_timer.now();
  }
  if (run->phase == RunPhase::starting) {
    run->phase = RunPhase::running;
  }
  run->confirmed_at = m_timer.now();
  if (run->begun_at == TimePoint{}) {
    run->begun_at = m_timer.now();
  }
  if (job->state == JobState::QUEUED) {
    job->state = JobState::RUNNING;
    mark_dirty(*job);
  }
}

void Scheduler::on_start_error(Task& task, Run& run, const SentStart& sent,
                               const OrderError& error) {
  Worker& worker = m_workers.at(run.worker);
  if (error.reason == OrderFailure::fenced && sent.fencing_token == fencing_token(worker)) {
    m_on_fenced();
    return;
  }
  // The answer to a repeated start proves nothing about the first one, which may have been carried
  // out or may still be.
  const bool unknown = error.reason == OrderFailure::unknown || run.is_resent();
  EventLine(unknown ? Event::run_unanswered : Event::run_refused)
      .add("job", task.step->job->id.view())
      .add("step", task.step->index)
      .add("task", task.index)
      .add("run", run.number)
      .add("worker", worker.entry.id)
      .add("incarnation", sent.endpoint.incarnation)
      .add("reason", enum_name(k_failure_names, error.reason))
      .add("error", error.message)
      .write();
  if (unknown) {
    worker.needs_poll = true;
    await_retry_of_start(task, run, error.reason);
    return;
  }
  switch (error.reason) {
    case OrderFailure::unknown:
    case OrderFailure::no_capacity:
      worker.backoff_until = m_timer.now() + k_refusal_backoff;
      break;
    case OrderFailure::connection_refused:
      worker.needs_poll = true;
      break;
    case OrderFailure::rejected:
      note_worker_failure(worker, std::nullopt);
      worker.backoff_until = m_timer.now() + k_refusal_backoff;
      break;
    case OrderFailure::invalid_ticket:
      m_tickets.remove(*task.step, worker);
      break;
    case OrderFailure::invalid:
      task.not_before = m_timer.now() + k_invalid_order_backoff;
      break;
    case OrderFailure::incarnation_mismatch:
      worker.has_answered = false;
      break;
    case OrderFailure::fenced:  // by a later order to this worker
    case OrderFailure::superseded:
    case OrderFailure::lease_expired:
      break;
  }
  drop_run(task, run.number);
}

void Scheduler::stop_run(Task& task, Run& run, const char* reason) {
  if (run.phase == RunPhase::stopping) {
    return;
  }
  run.phase = RunPhase::stopping;
  EventLine(Event::run_stopping)
      .add("job", task.step->job->id.view())
      .add("step", task.step->index)
      .add("task", task.index)
      .add("run", run.number)
      .add("worker", m_workers.at(run.worker).entry.id)
      .add("reason", reason)
      .write();
  run.order_sent_at = m_timer.now() - k_stop_retry_interval;
  send_stop(task, run);
}

void Scheduler::send_stop(Task& task, Run& run) {
  const TimePoint now = m_timer.now();
  if (run.stop_confirmed || run.stop_in_flight || now - run.order_sent_at < k_stop_retry_interval) {
    return;
  }
  run.stop_in_flight = true;
  run.order_sent_at = now;
  const Worker& worker = m_workers.at(run.worker);
  const jobs::TaskId id = task.step->job->task_id(task);
  const RunOrder order{id, run.number, fencing_token(worker)};
  m_orders.stop(worker.endpoint(), order,
                [this, alive = m_alive, order,
                 endpoint = worker.endpoint()](const tl::expected<OrderReply, OrderError>& reply) {
                  if (*alive) {
                    on_stop_reply(order, endpoint, reply);
                    process_pending();
                  }
                });
}

void Scheduler::on_stop_reply(const RunOrder& order, const WorkerEndpoint& endpoint,
                              const tl::expected<OrderReply, OrderError>& reply) {
  if (!reply && reply.error().reason == OrderFailure::fenced) {
    on_order_fenced(endpoint, order.fencing_token);
  }
  Job* job = m_tasks.find(order.task.job);
  Task* task = job == nullptr ? nullptr : job->find_task(order.task);
  Run* run = task == nullptr ? nullptr : task->find_run(order.run);
  if (run == nullptr) {
    return;
  }
  run->stop_in_flight = false;
  Worker& worker = m_workers.at(run->worker);
  const bool same_incarnation = endpoint.incarnation == worker.entry.incarnation;
  const bool blocked = reply || reply.error().reason == OrderFailure::superseded;
  if (!blocked || !same_incarnation) {
    return;  // tick() repeats the order
  }
  run->stop_confirmed = true;
  run->confirmed_at = m_timer.now();
  if (task->step->spec->long_running()) {
    poll_for_unbegun_run(worker, *run);
  }
}

// A worker refuses an order also because it has seen a later one of this leader.
void Scheduler::on_order_fenced(const WorkerEndpoint& endpoint, std::uint64_t token) {
  const Worker* worker = m_workers.find(endpoint.id);
  if (worker == nullptr || token == fencing_token(*worker)) {
    m_on_fenced();
  }
}

// The confirmation of an earlier incarnation does not bind the present one.
void Scheduler::restart_stop(Task& task, Run& run, const char* reason) {
  run.stop_confirmed = false;
  run.stop_in_flight = false;
  if (run.phase == RunPhase::stopping) {
    run.order_sent_at = TimePoint{};
    send_stop(task, run);
    return;
  }
  stop_run(task, run, reason);
}

void Scheduler::stop_unwanted_run(Worker& worker, const jobs::TaskId& id, std::uint32_t number) {
  worker.has_unwanted_runs = true;
  EventLine(Event::run_stopping)
      .add("job", id.job.view())
      .add("step", id.step)
      .add("task", id.index)
      .add("run", number)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("reason", "it is not expected there")
      .write();
  const RunOrder order{id, number, fencing_token(worker)};
  m_orders.stop(worker.endpoint(), order,
                [this, alive = m_alive, endpoint = worker.endpoint(),
                 order](const tl::expected<OrderReply, OrderError>& reply) {
                  // The next poll of the worker repeats the order if it is still needed.
                  if (*alive && !reply && reply.error().reason == OrderFailure::fenced) {
                    on_order_fenced(endpoint, order.fencing_token);
                  }
                });
}

}  // namespace arbutusdale::sched
