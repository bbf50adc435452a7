// Polls of workers, their incarnations, and the expiry of their leases.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/poll_pause.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

constexpr std::uint32_t k_poll_wait_ms = 700;
constexpr std::uint32_t k_frequent_poll_wait_ms = 350;
// The lease of adopted runs is renewed by the poll after the first answer, within this time.
constexpr Duration k_first_renewal_bound = std::chrono::milliseconds{1'500};
constexpr Duration k_poll_retry_interval = std::chrono::milliseconds{150};
// Stops of one worker that are confirmed within this time share a poll.
constexpr Duration k_confirming_poll_delay = std::chrono::milliseconds{10};
// A registered worker that has not answered so far may not exist.
constexpr std::uint32_t k_max_frequent_retries = 10;
constexpr Duration k_unknown_poll_interval = std::chrono::seconds{1};

// A connection that breaks is often the first sign of a restart, so the first retry is sent at
// once.
Duration poll_retry_interval(const Worker& worker) {
  if (worker.unanswered_polls == 1) {
    return Duration::zero();
  }
  const bool is_unknown = !worker.in_roster && worker.unanswered_polls > k_max_frequent_retries;
  return is_unknown ? k_unknown_poll_interval : k_poll_retry_interval;
}

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

// No end is listed of a run that never began. Only a poll that is sent after its stop was confirmed
// shows that it is not alive, and the poll in flight may wait long for another run to end.
void Scheduler::poll_for_unbegun_run(Worker& worker, const Run& run) {
  const bool never_began = run.begun_at == TimePoint{} && !run.start_in_flight;
  if (!never_began || std::exchange(worker.confirming_poll_due, true)) {
    return;
  }
  m_timer.call_after(k_confirming_poll_delay, [this, alive = m_alive, slot = worker.slot] {
    if (!*alive) {
      return;
    }
    Worker& due = m_workers.at(slot);
    due.confirming_poll_due = false;
    if (due.unanswered_polls == 0) {
      poll_at_once(due);
    }
  });
}

void Scheduler::poll_at_once(Worker& worker) {
  if (worker.poll_in_flight) {
    note_unanswered_poll(worker);
    abandon_poll(worker);
  }
  send_poll(worker, PollWait::none);
}

void Scheduler::send_poll(Worker& worker, PollWait wait) {
  const bool needed = worker.registered || !worker.runs.empty() ||
                      (worker.in_earlier_roster && !worker.has_answered) ||
                      awaits_crash_proof(worker);
  if (!may_poll() || !needed || worker.has_ended || !m_jobs_caught_up) {
    return;  // tick() tries again
  }
  const TimePoint now = m_timer.now();
  PollOrder order;
  order.fencing_token = fencing_token(worker);
  // A worker that did not answer may have restarted, and its next incarnation has ends of the same
  // numbers.
  if (worker.unanswered_polls == 0) {
    order.acknowledged_through = worker.held_ends.acknowledgeable(worker.stored_through, now);
    worker.acknowledged_through = order.acknowledged_through;
  }
  // A worker that did not answer gets no further lease, so that the end of its runs is known.
  if (worker.has_answered && worker.in_roster && worker.unanswered_polls == 0) {
    order.lease_until_ms = worker.lease.extend(now);
  }
  if (worker.has_answered) {
    const std::uint32_t wait_ms =
        worker.is_watched_closely() ? k_frequent_poll_wait_ms : k_poll_wait_ms;
    const bool is_unstored = worker.processed_through > worker.stored_through;
    // The first answer after a silence tells whether the worker has restarted, which is urgent:
    // until then, orders to its earlier incarnation may be carried out.
    const bool is_silent = worker.unanswered_polls > 0;
    // Listed ends are a reason to answer at once.
    const bool lists_ends = is_unstored || worker.holds_ends(now);
    order.wait_ms = lists_ends || is_silent || wait == PollWait::none ? 0 : wait_ms;
  }
  worker.poll_in_flight = true;
  // An order without a lease and an acknowledgement has no effect that outlives it.
  const bool binds = order.lease_until_ms.has_value() || order.acknowledged_through > 0;
  worker.binding_poll.reset();
  if (binds) {
    worker.binding_poll =
        BindingPoll{now, order.acknowledged_through, order.lease_until_ms.has_value()};
  }
  const SentPoll context{worker.slot, ++worker.poll_serial, worker.entry.address, now};
  m_orders.poll(worker.endpoint(), order,
                [this, alive = m_alive, context](const tl::expected<PollReply, OrderError>& reply) {
                  if (*alive) {
                    on_poll_reply(context, reply);
                    process_pending();
                  }
                });
}

void Scheduler::on_poll_reply(const SentPoll& context,
                              const tl::expected<PollReply, OrderError>& reply) {
  Worker& worker = m_workers.at(context.slot);
  if (worker.poll_serial != context.serial) {
    return;  // the worker's incarnation has changed since
  }
  worker.poll_in_flight = false;
  if (!reply) {
    if (reply.error().reason == OrderFailure::unknown) {
      note_unanswered_poll(worker);
    }
    on_poll_error(worker, context, reply.error());
    return;
  }
  const TimePoint now = m_timer.now();
  const bool has_restarted = note_incarnation(worker, reply->incarnation);
  if (!has_restarted && worker.silent_since != TimePoint{}) {
    m_crash_rate.forget_silence(worker.entry.id, worker.silent_since);
  }
  worker.lease.observe_clock(reply->clock_ms, now);
  if (worker.unanswered_polls > 0 || !worker.has_answered) {
    m_place_due = true;
  }
  const bool first = !worker.has_answered;
  // Orders to the earlier incarnation may still change what this one lists, until it has seen a
  // later token, with the next poll.
  worker.has_answered = !has_restarted;
  if (worker.has_answered) {
    worker.refuses_orders_until = worker.incarnation_seen_at;
  }
  m_roster_check_due = m_roster_check_due || first;
  worker.unanswered_polls = 0;
  worker.needs_poll = false;
  worker.last_answer = now;
  worker.last_alive = now;
  worker.silent_since = TimePoint{};
  worker.answered_address = context.address;
  for (const EndedRun& end : reply->ended) {
    if (end.sequence <= worker.processed_through) {
      continue;
    }
    log_missing_ends(worker, end);
    worker.processed_through = end.sequence;
    m_unstored_workers.insert(worker.slot);
    apply_ended_run(worker, end);
  }
  worker.listed_ends = reply->ended.size();
  update_runs(worker, *reply);
  drop_missing_runs(worker, *reply, context);
  forget_lost_runs(worker);
  retry_unanswered_starts(worker);
  control_throttling(worker);
  move_stragglers(worker);
  schedule_poll(worker, first ? Duration::zero() : poll_pause(worker, now));
}

void Scheduler::on_poll_error(Worker& worker, const SentPoll& context, const OrderError& error) {
  if (error.reason == OrderFailure::fenced) {
    m_on_fenced();
    return;
  }
  if (worker.silent_since == TimePoint{}) {
    worker.silent_since = m_timer.now();
    note_silence(worker);
  }
  // One incarnation has an address at a time.
  const bool is_replaced = error.reason == OrderFailure::incarnation_mismatch &&
                           context.address == worker.answered_address;
  if (is_replaced) {
    end_replaced_worker(worker);
    return;
  }
  if (worker.unanswered_polls++ == 0) {
    worker.fence.raise();
    EventLine(Event::worker_lost)
        .add("worker", worker.entry.id)
        .add("error", error.message)
        .add("runs", worker.runs.size())
        .write();
  }
  schedule_poll(worker, poll_retry_interval(worker));
}

void Scheduler::note_unanswered_poll(Worker& worker) {
  if (!worker.binding_poll) {
    return;
  }
  const BindingPoll& poll = *worker.binding_poll;
  EventLine(Event::poll_unanswered)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("acknowledged_through", poll.acknowledged_through)
      .add("lease", poll.extends_lease ? 1 : 0)
      .add_ms("sent_ms_ago", m_timer.now() - poll.sent_at)
      .write();
}

// The numbers of an incarnation's ends rise by one. One that this leader has not processed and that
// is not listed was forgotten because of an acknowledgement that was sent to an earlier
// incarnation.
void Scheduler::log_missing_ends(const Worker& worker, const EndedRun& next) {
  const std::uint64_t expected = worker.processed_through + 1;
  const bool is_known = worker.lists_all_ends || worker.processed_through > 0;
  if (!is_known || next.sequence == expected) {
    return;
  }
  EventLine(Event::ends_missing)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("from", expected)
      .add("through", next.sequence - 1)
      .write();
}

// Ignores the reply to the poll in flight, so that the next one can be sent at once.
void Scheduler::abandon_poll(Worker& worker) {
  worker.poll_in_flight = false;
  ++worker.poll_serial;
}

// Returns true when the worker is known to have restarted. A later incarnation may have an earlier
// birth, since the time of day can jump. Zero: the reply does not name it.
bool Scheduler::note_incarnation(Worker& worker, std::uint64_t incarnation) {
  if (incarnation == 0 || incarnation == worker.entry.incarnation) {
    return false;
  }
  const std::uint64_t earlier = std::exchange(worker.entry.incarnation, incarnation);
  if (earlier == 0) {
    return false;
  }
  begin_incarnation(worker);
  return true;
}

// All runs of the earlier incarnation have ended. Only the worker itself tells that it has
// restarted: a registration may be another writer's, and its runs would be started twice.
void Scheduler::begin_incarnation(Worker& worker) {
  worker.fence.raise();
  worker.incarnation_seen_at = m_timer.now();
  EventLine(Event::worker_changed)
      .add("worker", worker.entry.id)
      .add("incarnation", worker.entry.incarnation)
      .add("token", fencing_token(worker))
      .add("runs", worker.runs.size())
      .write();
  const std::vector<CrashVictim> victims = crash_victims(worker);
  worker.lease = WorkerLease{};
  worker.lease.assume_longest(m_timer.now());
  worker.has_answered = false;
  worker.has_unwanted_runs = false;
  worker.processed_through = 0;
  worker.stored_through = 0;
  worker.held_ends.clear();
  worker.acknowledged_through = 0;
  worker.listed_ends = 0;
  worker.lists_all_ends = worker.last_answer != TimePoint{};
  abandon_poll(worker);
  worker.unanswered_starts = 0;
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    resolve_run_after_restart(worker, ref);
  }
  stop_late_starts(worker);
  record_crashes(worker, victims, "it has restarted");
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
  const bool may_start = worker.may_still_start(id, m_timer.now());
  if (run->listed && !may_start) {
    presume_ended(worker, ref, k_reason);
    return;
  }
  if (run->phase == RunPhase::running && !may_start) {
    // Either incarnation may have answered the start. A poll that was sent after that answer tells
    // which.
    return;
  }
  restart_stop(task, *run, k_reason);
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
  const std::vector<RunRef> expired = runs_without_late_start(worker);
  if (expired.empty()) {
    return;
  }
  EventLine(Event::worker_lost)
      .add("worker", worker.entry.id)
      .add("reason", "its leases have expired")
      .add("runs", expired.size())
      .add_ms("silent_ms", now - worker.last_answer)
      .write();
  for (const RunRef& ref : expired) {
    remember_lost_run(worker, ref);
    presume_ended(worker, ref, "its leases have expired");
  }
  // Runs that it still lists have to be adopted again.
  worker.has_answered = false;
}

}  // namespace arbutusdale::sched
