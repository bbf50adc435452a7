// Starts without an answer. Such an order may be carried out long after it was sent, also by the
// next incarnation of a worker that restarts under its id and knows nothing of stops. As long as
// that can happen, the task has one run at most: the start is repeated under its run number, which
// starts nothing twice, and no other run of the task is ordered on any worker.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <vector>

namespace arbutusdale::sched {
namespace {

// A worker that answers polls and none of so many starts is given up for the run.
constexpr std::uint32_t k_max_starts_of_run = 20;

/// True when another start of the run may succeed after an answer with this failure.
bool is_worth_retry(OrderFailure reason) {
  switch (reason) {
    case OrderFailure::unknown:
    case OrderFailure::fenced:  // by a later order to this worker
    case OrderFailure::lease_expired:
    case OrderFailure::no_capacity:
    case OrderFailure::rejected:
    case OrderFailure::connection_refused:
      return true;
    case OrderFailure::superseded:
    case OrderFailure::invalid_ticket:
    case OrderFailure::incarnation_mismatch:
    case OrderFailure::invalid:
      return false;
  }
  return false;
}

/// True when the next incarnation of a worker would carry out a start of the task. A ticket is
/// valid in one incarnation only.
bool outlives_restart(const Task& task) {
  return !task.step->job->terms().advised();
}

/// True when a member of the gang no longer has its run of this number, so that the others end.
bool is_broken_gang(const Task& task, std::uint32_t number) {
  const Step& step = *task.step;
  return step.spec->gang() &&
         std::any_of(step.tasks.begin(), step.tasks.end(), [number](const Task& member) {
           return std::none_of(member.runs.begin(), member.runs.end(),
                               [number](const Run& run) { return run.number == number; });
         });
}

}  // namespace

// A later run of the task may have been started in the meantime; its worker counts then. A single
// order whose run a poll has listed has been carried out.
void Scheduler::note_late_start(const jobs::TaskId& id, std::uint32_t number,
                                const SentStart& sent) {
  Job* job = m_tasks.find(id.job);
  Task* task = job == nullptr ? nullptr : job->find_task(id);
  if (task == nullptr) {
    return;
  }
  const Run* run = task->find_run(number);
  if (run != nullptr && run->listed && !run->is_resent()) {
    return;
  }
  // The start is sent again at once, so the time is counted from now.
  task->duplicate_start_until = m_timer.now() + k_late_order_bound;
  if (number < task->last_run || !outlives_restart(*task)) {
    return;
  }
  const LateStart& late = task->late_start;
  const bool same_worker = late.is_set() && late.worker == sent.worker;
  const TimePoint awaited_since = same_worker ? late.awaited_since : TimePoint{};
  task->late_start = LateStart{sent.worker, number, sent.sent_at, awaited_since};
}

bool Scheduler::may_be_doubled(const Task& task) const {
  const LateStart& late = task.late_start;
  return late.is_set() &&
         m_workers.at(late.worker).may_carry_out_start_of(late.sent_at, m_timer.now());
}

bool Scheduler::may_retry_start(const Task& task, const Run& run) const {
  const Worker& worker = m_workers.at(run.worker);
  const bool takes_starts =
      worker.registered && !worker.has_ended && worker.entry.state == WorkerState::ready;
  return takes_starts && outlives_restart(task) && run.starts_sent < k_max_starts_of_run &&
         !is_broken_gang(task, run.number);
}

// The next answer to a poll shows that the worker can be reached. A gang that is not complete in
// time ends, and callers miss a lasting task, so these do not wait for the poll in flight.
void Scheduler::await_retry_of_start(Task& task, Run& run, OrderFailure reason) {
  const bool may_retry =
      run.phase == RunPhase::starting && is_worth_retry(reason) && may_retry_start(task, run);
  if (!may_retry) {
    stop_run(task, run, "its start was not answered");
    return;
  }
  if (task.step->spec->long_running() || task.step->spec->gang()) {
    poll_for_unbegun_run(m_workers.at(run.worker), run);
  }
}

// The order is idempotent, since it has the same run number.
void Scheduler::retry_unanswered_starts(Worker& worker) {
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Task& task = *ref.task;
    Run* run = task.find_run(ref.number);
    const bool is_unanswered =
        run != nullptr && run->phase == RunPhase::starting && run->sent && !run->start_in_flight;
    if (!is_unanswered) {
      continue;
    }
    if (!may_retry_start(task, *run)) {
      stop_run(task, *run, "its start was not answered");
      continue;
    }
    const std::size_t limit = worker.max_starts_in_flight(m_start_window.max_per_worker());
    const bool may_send = may_start() && worker.is_registration_current() &&
                          fits(worker.committed, worker.entry.capacity) &&
                          worker.starts_in_flight < limit && !is_start_window_full();
    if (!may_send) {
      continue;
    }
    send_start(task, *run);
  }
}

// The worker may be cut off, restart behind the cut, and carry out the start. A run that is being
// stopped leaves the wait to its task.
std::vector<RunRef> Scheduler::runs_without_late_start(const Worker& worker) const {
  std::vector<RunRef> runs;
  for (const RunRef& ref : worker.runs) {
    const Run* run = ref.task->find_run(ref.number);
    const bool is_stopping = run != nullptr && run->phase == RunPhase::stopping;
    if (is_stopping || !may_be_doubled(*ref.task)) {
      runs.push_back(ref);
    }
  }
  return runs;
}

// The new incarnation does not know which runs the earlier one was told to stop.
void Scheduler::stop_late_starts(Worker& worker) {
  std::vector<UnansweredStart> starts = worker.unanswered;
  // The stop of the highest run of a task also blocks the lower ones.
  std::sort(starts.begin(), starts.end(),
            [](const UnansweredStart& a, const UnansweredStart& b) { return a.run > b.run; });
  for (const UnansweredStart& start : starts) {
    const bool is_known =
        std::any_of(worker.runs.begin(), worker.runs.end(), [&start](const RunRef& ref) {
          return ref.number >= start.run && ref.task->step->job->task_id(*ref.task) == start.task;
        });
    if (is_known || m_timer.now() - start.sent_at > k_late_order_bound) {
      continue;
    }
    Task* task = find_reported_task(start.task);
    if (task != nullptr && task->phase == TaskPhase::waiting) {
      await_stop_of_late_start(*task, worker, start.run);
      continue;
    }
    stop_unwanted_run(worker, start.task, start.run);
  }
}

// The task waits until the new incarnation has confirmed that it will not carry out the start.
void Scheduler::await_stop_of_late_start(Task& task, Worker& worker, std::uint32_t number) {
  m_ready.remove(task);
  task.phase = TaskPhase::active;
  task.last_run = std::max(task.last_run, number);
  Run run;
  run.number = number;
  run.worker = worker.slot;
  run.progressed_at = m_timer.now();
  task.runs.push_back(run);
  worker.add_run(task, number);
  stop_run(task, task.runs.back(), "its worker has restarted");
}

}  // namespace arbutusdale::sched
