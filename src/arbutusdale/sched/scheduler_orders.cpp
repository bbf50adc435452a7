// Placement of waiting tasks, and the orders that start, stop and pace runs.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/sched/placement_round.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

// Numbers of runs that one leader may use for a task.
constexpr std::uint32_t k_runs_per_term = 1'000;
constexpr Duration k_start_lease = std::chrono::milliseconds{2'500};
constexpr Duration k_starving_time = std::chrono::milliseconds{1'500};
constexpr Duration k_stop_retry = std::chrono::milliseconds{400};
// A worker that refused for want of room is looked at again before it is tried again.
constexpr Duration k_no_room_pause = std::chrono::milliseconds{300};
// Share of the fleet's processors in declared use below which it counts as idle.
constexpr double k_idle_fleet_share = 0.6;
// More starts at once than this would wait in our own process until they time out, and then be
// stopped and ordered again. Answers take 1 to 15 ms, so the window allows thousands a second.
constexpr std::size_t k_max_starts_in_flight = 64;
// Placement waits at most this long, which is little against the objectives of urgent jobs.
constexpr Duration k_round_interval = std::chrono::milliseconds{15};
constexpr Duration k_batch_round_interval = std::chrono::milliseconds{50};
constexpr Duration k_refused_pause = std::chrono::milliseconds{200};
// Steps for which no worker was found, after which the rest of the queue waits for the next round.
constexpr std::size_t k_max_unplaced_steps = 64;

const char* name_of(OrderFailure reason) {
  switch (reason) {
    case OrderFailure::fenced:
      return "fenced";
    case OrderFailure::superseded:
      return "superseded";
    case OrderFailure::too_late:
      return "too_late";
    case OrderFailure::no_room:
      return "no_room";
    case OrderFailure::bad_ticket:
      return "bad_ticket";
    case OrderFailure::unhealthy:
      return "unhealthy";
    case OrderFailure::no_listener:
      return "no_listener";
    case OrderFailure::other_incarnation:
      return "other_incarnation";
    case OrderFailure::invalid:
      return "invalid";
    case OrderFailure::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

std::uint32_t Scheduler::next_run_number(const Task& task) const {
  return std::max(task.last_run, (m_options.term - 1) * k_runs_per_term) + 1;
}

// Events come faster than tasks need to be placed, so they share rounds.
void Scheduler::place_when_due() {
  if (!m_place_due) {
    return;
  }
  const Duration passed = m_timer.now() - m_placed_at;
  if (passed >= k_round_interval) {
    m_place_due = false;
    m_placed_at = m_timer.now();
    place();
    return;
  }
  if (std::exchange(m_round_scheduled, true)) {
    return;
  }
  m_timer.call_after(k_round_interval - passed, [this, alive = m_alive] {
    if (*alive) {
      m_round_scheduled = false;
      end_round();
    }
  });
}

void Scheduler::place() {
  if (!m_may_start) {
    return;
  }
  const TimePoint now = m_timer.now();
  const bool inherited_allowed = inherited_may_start();
  const bool batch_due = now - m_batch_placed_at >= k_batch_round_interval;
  if (batch_due) {
    m_batch_placed_at = now;
  }
  const PlacementView view = placement_view();
  PlacementRound round(view);
  std::unordered_set<const Step*> unplaced;
  std::vector<Step*> unadvised;  // unplaced ones of advised queues, in the queue's order
  // Least need of an opportunistic image for which no worker was found in this round.
  std::unordered_map<ImageId, std::uint64_t> unplaced_cpu;
  m_ready.for_each([&](Task& task) {
    if (m_starts_in_flight >= k_max_starts_in_flight) {
      return false;  // an answer begins the next round
    }
    Step& step = *task.step;
    const bool opportunistic = step.spec->opportunistic();
    m_place_due = m_place_due || (opportunistic && !batch_due);
    const bool waits = (step.job->inherited && !inherited_allowed) || task.not_before > now ||
                       (opportunistic && !batch_due) || unplaced.contains(&step);
    if (waits) {
      return true;
    }
    const bool plain_batch =
        opportunistic && step.spec->required_label().empty() && !step.job->terms().advised();
    const auto refused = unplaced_cpu.find(step.image);
    if (plain_batch && refused != unplaced_cpu.end() && step.need.cpu_millis >= refused->second &&
        !is_starved(task)) {
      return true;
    }
    const bool placed =
        step.spec->gang() ? place_gang(step) : place_task(task, round) || place_starved(task);
    if (!placed) {
      unplaced.insert(&step);
      if (step.job->terms().advised()) {
        unadvised.push_back(&step);
      }
      if (plain_batch) {
        unplaced_cpu[step.image] = step.need.cpu_millis;
      }
    }
    // Placing a gang removes several tasks from the queue, so the walk must not go on.
    return !(placed && step.spec->gang()) && unplaced.size() < k_max_unplaced_steps;
  });
  m_placement_looks += round.looks();
  request_advice(unadvised);
}

PlacementView Scheduler::placement_view() const {
  return {m_workers, m_interference, m_scarcity, m_affinity, m_tickets, m_timer.now()};
}

void Scheduler::update_scarcity() {
  std::uint64_t capacity = 0;
  std::uint64_t committed = 0;
  for (const auto& worker : m_workers.all()) {
    capacity += worker->registered ? worker->entry.capacity.cpu_millis : 0;
    committed += worker->registered ? worker->committed.cpu_millis : 0;
  }
  m_fleet_is_idle =
      static_cast<double>(committed) < static_cast<double>(capacity) * k_idle_fleet_share;
  std::set<ImageId> waiting;
  m_ready.for_each([&waiting](const Task& task) {
    if (task.step->spec->opportunistic()) {
      waiting.insert(task.step->image);
    }
    return true;
  });
  m_scarcity.update(m_workers, m_interference, waiting, m_timer.now());
}

bool Scheduler::place_task(Task& task, PlacementRound& round) {
  const auto slot = round.choose(task);
  if (!slot) {
    return false;
  }
  Worker& worker = m_workers.at(*slot);
  if (task.step->spec->opportunistic() &&
      is_exploration(placement_view(), worker, task.step->image)) {
    worker.explored_at = m_timer.now();
  }
  order_start(task, worker, next_run_number(task));
  return true;
}

bool Scheduler::is_starved(const Task& task) const {
  return task.step->spec->opportunistic() && m_fleet_is_idle &&
         m_timer.now() - task.ready_at >= k_starving_time && !task.step->job->has_runs();
}

// A job of which nothing runs must not wait for ever while most of the fleet is free, only because
// its image is believed to harm all serving tasks.
bool Scheduler::place_starved(Task& task) {
  if (!is_starved(task)) {
    return false;
  }
  PlacementView view = placement_view();
  view.allows_harm = true;
  const auto slot = choose_worker(view, task);
  if (!slot) {
    return false;
  }
  order_start(task, m_workers.at(*slot), next_run_number(task));
  return true;
}

// All members start with one run number, or none does.
bool Scheduler::place_gang(Step& step) {
  std::uint32_t number = 0;
  for (const Task& task : step.tasks) {
    if (task.phase != TaskPhase::waiting) {
      return false;  // members of an earlier run have not all ended
    }
    number = std::max(number, next_run_number(task));
  }
  std::vector<std::pair<Task*, WorkerSlot>> chosen;
  for (Task& task : step.tasks) {
    const auto slot = choose_worker(placement_view(), task);
    if (!slot) {
      break;
    }
    m_workers.at(*slot).add_run(task, number);
    chosen.emplace_back(&task, *slot);
  }
  for (const auto& [task, slot] : chosen) {
    m_workers.at(slot).remove_run(*task, number);
  }
  if (chosen.size() < step.tasks.size()) {
    return false;
  }
  for (const auto& [task, slot] : chosen) {
    order_start(*task, m_workers.at(slot), number);
  }
  m_place_due = true;
  return true;
}

void Scheduler::order_start(Task& task, Worker& worker, std::uint32_t number) {
  m_ready.remove(task);
  Step& step = *task.step;
  Job& job = *step.job;
  const TimePoint now = m_timer.now();
  if (step.spec->same_rack() && step.gathered_rack.empty()) {
    step.gathered_rack = worker.entry.rack;
  }
  Run run;
  run.number = number;
  run.worker = worker.slot;
  run.ordered_at = now;
  run.progressed_at = now;
  task.runs.push_back(run);
  task.last_run = number;
  task.phase = TaskPhase::active;
  worker.add_run(task, number);

  observe::record_timing(observe::Timing::start_wait, now - task.ready_at);
  EventLine(Event::run_ordered)
      .add("job", job.id.view())
      .add("step", step.index)
      .add("task", task.index)
      .add("run", number)
      .add("worker", worker.entry.id)
      .add("image", step.spec->image())
      .add_ms("waited_ms", now - task.ready_at)
      .add("free_cpu_millis", worker.entry.capacity.cpu_millis - worker.committed.cpu_millis)
      .add("idle_cpu_millis", worker.idle_cpu_millis())
      .write();
  send_start(task, run);
}

void Scheduler::send_start(Task& task, const Run& run) {
  const Job& job = *task.step->job;
  Worker& worker = m_workers.at(run.worker);
  StartOrder order;
  order.task = job.task_id(task);
  order.run = run.number;
  order.payload = job.spec().payload();
  // A start that arrives late is refused; what runs lives on by the leases of the holds.
  order.lease_until_ms = worker.lease.until(m_timer.now(), k_start_lease).value_or(0);
  order.fencing_token = m_options.fencing_token;
  order.checkpoint = task.checkpoint;
  if (const std::string* ticket = m_tickets.find(*task.step, worker, m_timer.now())) {
    order.ticket = *ticket;
  }
  const Addressee addressee = worker.addressee();
  ++m_starts_in_flight;
  const TimePoint sent = m_timer.now();
  m_orders.start(addressee, order,
                 [this, alive = m_alive, id = order.task, number = run.number, addressee,
                  sent](const tl::expected<OrderReply, OrderError>& reply) {
                   if (*alive) {
                     note_start_answered();
                     observe::record_timing(observe::Timing::start_call, m_timer.now() - sent);
                     on_start_reply(id, number, addressee, reply);
                     end_round();
                   }
                 });
}

void Scheduler::note_start_answered() {
  m_place_due = m_place_due || m_starts_in_flight >= k_max_starts_in_flight;
  --m_starts_in_flight;
}

void Scheduler::on_start_reply(const jobs::TaskId& id, std::uint32_t number,
                               const Addressee& addressee,
                               const tl::expected<OrderReply, OrderError>& reply) {
  Job* job = m_tasks.find(id.job);
  Task* task = job == nullptr ? nullptr : job->find_task(id);
  Run* run = task == nullptr ? nullptr : task->find_run(number);
  if (run == nullptr) {
    return;  // has ended meanwhile
  }
  Worker& worker = m_workers.at(run->worker);
  const bool again = !reply && reply.error().reason == OrderFailure::unknown && !run->resent &&
                     run->phase == RunPhase::ordered && m_may_start;
  if (again) {
    // The same run number makes the order idempotent.
    run->resent = true;
    send_start(*task, *run);
    return;
  }
  if (!reply) {
    on_start_refused(*task, *run, worker, reply.error());
    return;
  }
  if (addressee.incarnation == worker.entry.incarnation) {
    worker.lease.observe_clock(reply->clock_ms, m_timer.now());
  }
  if (run->phase == RunPhase::ordered) {
    run->phase = RunPhase::running;
  }
  run->confirmed_at = m_timer.now();
  if (job->state == JobState::QUEUED) {
    job->state = JobState::RUNNING;
    mark_dirty(*job);
  }
}

void Scheduler::on_start_refused(Task& task, Run& run, Worker& worker, const OrderError& error) {
  // What a repeat is told says nothing of the first order, which may have been carried out or may
  // be.
  const bool unknown =
      error.reason == OrderFailure::unknown || (run.resent && error.reason != OrderFailure::fenced);
  EventLine(unknown ? Event::run_unanswered : Event::run_refused)
      .add("job", task.step->job->id.view())
      .add("step", task.step->index)
      .add("task", task.index)
      .add("run", run.number)
      .add("worker", worker.entry.id)
      .add("reason", name_of(error.reason))
      .add("error", error.message)
      .write();
  if (unknown) {
    worker.doubtful = true;
    std::erase_if(worker.unanswered, [this](const UnansweredStart& start) {
      return m_timer.now() - start.ordered_at > k_late_order_bound;
    });
    worker.unanswered.push_back({task.step->job->task_id(task), run.number, m_timer.now()});
    stop_run(task, run, "its start had no answer");
    return;
  }
  switch (error.reason) {
    case OrderFailure::fenced:
      m_on_fenced();
      return;
    case OrderFailure::unknown:
    case OrderFailure::no_room:
      worker.no_room_until = m_timer.now() + k_no_room_pause;
      break;
    case OrderFailure::no_listener:
      worker.doubtful = true;
      break;
    case OrderFailure::unhealthy:
      worker.note_failure(m_timer.now());
      worker.no_room_until = m_timer.now() + k_no_room_pause;
      break;
    case OrderFailure::bad_ticket:
      m_tickets.drop(*task.step, worker);
      break;
    case OrderFailure::invalid:
      task.not_before = m_timer.now() + k_refused_pause;
      break;
    case OrderFailure::other_incarnation:
      worker.settled = false;
      break;
    case OrderFailure::superseded:
    case OrderFailure::too_late:
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
  run.ordered_at = m_timer.now() - k_stop_retry;
  send_stop(task, run);
}

void Scheduler::send_stop(Task& task, Run& run) {
  const TimePoint now = m_timer.now();
  if (run.stop_confirmed || run.stop_in_flight || now - run.ordered_at < k_stop_retry) {
    return;
  }
  run.stop_in_flight = true;
  run.ordered_at = now;
  const Addressee addressee = m_workers.at(run.worker).addressee();
  const jobs::TaskId id = task.step->job->task_id(task);
  m_orders.stop(addressee, {id, run.number, m_options.fencing_token},
                [this, alive = m_alive, id, number = run.number,
                 addressee](const tl::expected<OrderReply, OrderError>& reply) {
                  if (*alive) {
                    on_stop_reply(id, number, addressee, reply);
                    end_round();
                  }
                });
}

void Scheduler::on_stop_reply(const jobs::TaskId& id, std::uint32_t number,
                              const Addressee& addressee,
                              const tl::expected<OrderReply, OrderError>& reply) {
  if (!reply && reply.error().reason == OrderFailure::fenced) {
    m_on_fenced();
    return;
  }
  Job* job = m_tasks.find(id.job);
  Task* task = job == nullptr ? nullptr : job->find_task(id);
  Run* run = task == nullptr ? nullptr : task->find_run(number);
  if (run == nullptr) {
    return;
  }
  run->stop_in_flight = false;
  Worker& worker = m_workers.at(run->worker);
  const bool same = addressee.incarnation == worker.entry.incarnation;
  const bool blocked = reply || reply.error().reason == OrderFailure::superseded;
  if (!blocked || !same) {
    return;  // tick() repeats the order
  }
  run->stop_confirmed = true;
  run->confirmed_at = m_timer.now();
}

void Scheduler::stop_stray(Worker& worker, const jobs::TaskId& id, std::uint32_t number) {
  worker.has_strays = true;
  EventLine(Event::run_stopping)
      .add("job", id.job.view())
      .add("step", id.step)
      .add("task", id.index)
      .add("run", number)
      .add("worker", worker.entry.id)
      .add("reason", "it is not to run")
      .write();
  m_orders.stop(worker.addressee(), {id, number, m_options.fencing_token},
                [this, alive = m_alive](const tl::expected<OrderReply, OrderError>& reply) {
                  // The next look at the worker repeats the order if it is still needed.
                  if (*alive && !reply && reply.error().reason == OrderFailure::fenced) {
                    m_on_fenced();
                  }
                });
}

}  // namespace arbutusdale::sched
