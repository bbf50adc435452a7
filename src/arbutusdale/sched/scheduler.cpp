// Lifecycle of jobs and tasks, takeover, and registrations.
#include "arbutusdale/sched/scheduler.hpp"

#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;
using proto::jobs::JobState;

constexpr Duration k_speed_lifetime = std::chrono::seconds{5};
constexpr std::size_t k_min_speed_samples = 3;  // workers
constexpr Duration k_evidence_interval = std::chrono::seconds{2};
// The last leases of an earlier leader were renewed before another daemon noticed its failure.
// Longer than the longest lease plus clock drift.
constexpr Duration k_earlier_lease_bound = std::chrono::milliseconds{6'500};
// Workers that can be reached have answered a new leader within this time.
constexpr Duration k_first_answer_time = std::chrono::milliseconds{400};
// Time to stop the runs of a draining worker and to learn of their ends and checkpoints.
constexpr Duration k_exit_margin = std::chrono::milliseconds{1'200};

// A task that the preceding leader held may have been started since, and the record of that start
// may have been shortened.
bool was_trimmed(const jobs::JobEntry& entry) {
  return entry.progress && entry.progress->locations_removed();
}

}  // namespace

Scheduler::Scheduler(WorkerOrders& orders, Advisor& advisor, ProgressLog& log, Timer& timer,
                     SchedulerOptions options, std::function<void()> on_fenced)
    : m_orders(orders),
      m_advisor(advisor),
      m_log(log),
      m_timer(timer),
      m_options(options),
      m_on_fenced(std::move(on_fenced)),
      m_alive(std::make_shared<bool>(true)),
      m_started_at(timer.now()) {}

Scheduler::~Scheduler() {
  *m_alive = false;
}

void Scheduler::take_over(const jobs::JobTable& jobs, jobs::ShardIndex shard) {
  m_has_predecessor = m_options.term > 1;
  m_jobs_caught_up = !m_has_predecessor;
  m_interference.restore(jobs.interference(shard), m_timer.now());
  m_affinity.update(m_interference, m_timer.now());
  for (const auto& listed : jobs.roster(shard).workers()) {
    Worker& worker = m_workers.get_or_add(listed.worker());
    worker.entry.id = listed.worker();
    worker.entry.address = listed.address();
    worker.entry.incarnation = listed.incarnation();
    worker.answered_address = listed.address();
    worker.in_earlier_roster = true;
    worker.in_roster = true;
    schedule_poll(worker, Duration::zero());
  }
  m_earlier_takeover = EarlierTakeover(jobs.takeover(shard), m_options.term, m_workers);
  for (const auto& [id, entry] : jobs.entries()) {
    if (entry.shard != shard) {
      continue;
    }
    add_job(id, entry, m_has_predecessor);
    if (entry.cancelled) {
      on_cancelled(id);
    }
  }
  process_pending();
}

void Scheduler::on_submitted(const jobs::JobId& job, const jobs::JobEntry& entry) {
  add_job(job, entry, m_has_predecessor && !m_jobs_caught_up);
  if (entry.cancelled) {
    on_cancelled(job);
  }
  process_pending();
}

void Scheduler::add_job(const jobs::JobId& id, const jobs::JobEntry& entry, bool taken_over) {
  const JobState recorded = entry.progress ? entry.progress->state() : JobState::QUEUED;
  if (recorded != JobState::QUEUED && recorded != JobState::RUNNING) {
    return;
  }
  Job* job = m_tasks.add(id, entry, m_timer.wall_ms(), m_timer.now());
  if (job == nullptr) {
    return;
  }
  job->taken_over = taken_over;
  job->moves = entry.moves;
  job->runs_through = entry.runs_through;
  restore_locations_of(*job, entry);
  take_over_recorded_runs(*job);
  if (!entry.progress && !entry.cancelled && move_on_arrival(*job)) {
    return;
  }
  EventLine(Event::job_owned)
      .add("job", id.view())
      .add("queue", job->terms().queue())
      .add("token", m_options.fencing_token)
      .add("inherited", taken_over ? 1 : 0)
      .add_ms("due_in_ms", job->due - m_timer.now())
      .write();
  open_due_occurrences(*job);
  if (!was_trimmed(entry)) {
    m_earlier_takeover.restore_held_tasks(*job);
  }
  const bool all_done = job->occurrences_done == job->occurrence_count();
  if (all_done) {
    finish_job(*job, JobState::COMPLETED);
  }
}

void Scheduler::restore_locations_of(Job& job, const jobs::JobEntry& entry) {
  if (!entry.progress || entry.progress->moves() != entry.moves || entry.progress->term() == 0) {
    return;
  }
  const std::uint32_t record_term = entry.progress->term();
  const bool is_valid =
      record_term + 1 == m_options.term || m_earlier_takeover.confirms_progress(job, record_term);
  if (is_valid) {
    job.record_term = record_term;
    restore_locations(job, *entry.progress, m_workers);
  }
}

void Scheduler::open_due_occurrences(Job& job) {
  enqueue_tasks(m_tasks.open_occurrences(job, m_timer.wall_ms()));
}

void Scheduler::enqueue_tasks(const std::vector<Step*>& steps) {
  for (Step* step : steps) {
    if (step->job->ending) {
      continue;
    }
    step->image = m_interference.intern(step->spec->image());
    for (Task& task : step->tasks) {
      if (task.phase != TaskPhase::blocked) {
        continue;
      }
      task.ready_at = m_timer.now();
      task.delay = StartDelay::none;
      task.phase = TaskPhase::waiting;
      m_ready.push(task, m_timer.now());
    }
  }
  m_place_due = m_place_due || !steps.empty();
}

// Lets a task that has lost a run wait again, unless it has another run or its job has ended.
void Scheduler::requeue(Task& task) {
  if (task.phase == TaskPhase::done || !task.runs.empty()) {
    return;
  }
  Job& job = *task.step->job;
  if (job.ending) {
    task.phase = TaskPhase::blocked;
    schedule_removal_if_idle(job);
    return;
  }
  if (task.step->pending_dependencies > 0) {
    // An earlier leader knew of ended runs that have not been reported to this one yet.
    task.phase = TaskPhase::blocked;
    return;
  }
  if (task.step->spec->long_running() && !job.has_waiting_lasting_tasks()) {
    job.incomplete_since_ms = m_timer.wall_ms();
  }
  task.phase = TaskPhase::waiting;
  task.ready_at = m_timer.now();
  task.delay = StartDelay::none;
  if (task.late_start.awaited_since == TimePoint{}) {
    task.late_start.awaited_since = task.ready_at;
  }
  m_ready.push(task, m_timer.now());
  m_place_due = true;
}

void Scheduler::finish_task(Task& task) {
  if (task.phase == TaskPhase::done) {
    return;
  }
  m_ready.remove(task);
  Job& job = *task.step->job;
  const std::vector<Step*> opened = TaskTable::complete(task);
  for (Run& run : task.runs) {
    stop_run(task, run, "another run of the task is done");
  }
  mark_dirty(job);
  enqueue_tasks(opened);
  if (job.occurrences_done == job.occurrence_count()) {
    finish_job(job, JobState::COMPLETED);
  }
}

void Scheduler::finish_job(Job& job, JobState state) {
  if (job.ending) {
    return;
  }
  job.ending = true;
  job.state = state;
  m_opportunistic_work.add_job_end(job, m_timer.now());
  m_has_urgent_progress = true;
  EventLine(Event::job_ended)
      .add("job", job.id.view())
      .add("state", proto::jobs::JobState_Name(state))
      .add_ms("late_ms", m_timer.now() - job.due)
      .add("done_core_ms", job.done_core_ms)
      .add("stopped_core_ms", job.stopped_core_ms)
      .write();
  stop_all_runs(job, "the job has ended");
  mark_dirty(job);
  schedule_removal_if_idle(job);
}

void Scheduler::stop_all_runs(Job& job, const char* reason) {
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        m_ready.remove(task);
        for (Run& run : task.runs) {
          stop_run(task, run, reason);
        }
      }
    }
  }
}

// An ended job without runs is removed from the table once its end is stored.
void Scheduler::schedule_removal_if_idle(Job& job) {
  if (job.ending && !job.has_runs()) {
    m_finished.insert(job.id);
  }
}

void Scheduler::on_cancelled(const jobs::JobId& id) {
  Job* job = m_tasks.find(id);
  if (job == nullptr || job->ending) {
    return;
  }
  finish_job(*job, JobState::CANCELLED);
  process_pending();
}

void Scheduler::process_pending() {
  place_when_due();
  flush();
  for (auto next = m_finished.begin(); next != m_finished.end();) {
    const Job* job = m_tasks.find(*next);
    if (job == nullptr || (job->end_stored && !job->has_runs())) {
      m_tasks.remove(*next);
      m_tickets.remove_job(*next);
      next = m_finished.erase(next);
    } else {
      ++next;
    }
  }
}

TimePoint Scheduler::earlier_leases_expire_at() const {
  return m_started_at + k_earlier_lease_bound;
}

bool Scheduler::may_start_taken_over_jobs() const {
  if (!m_has_predecessor || m_timer.now() > earlier_leases_expire_at()) {
    return true;
  }
  const auto& workers = m_workers.all();
  return m_workers_loaded && std::none_of(workers.begin(), workers.end(), [](const auto& worker) {
           return awaits_first_answer(*worker);
         });
}

void Scheduler::hold_tasks_of_silent_workers() {
  const bool is_due = m_has_predecessor && m_jobs_caught_up && !m_has_held_tasks &&
                      m_timer.now() - m_started_at >= k_first_answer_time;
  if (!is_due) {
    return;
  }
  m_has_held_tasks = true;
  if (may_start_taken_over_jobs()) {
    return;
  }
  const std::vector<WorkerSlot> silent = find_silent_workers(m_workers);
  for (const auto& [id, job] : m_tasks.jobs()) {
    if (!job->taken_over || job->ending) {
      continue;
    }
    hold_tasks(*job, silent);
    if (is_location_outdated(*job, m_workers)) {
      mark_dirty(*job);
    }
  }
  m_takeover_record_due = true;
}

bool Scheduler::can_be_taken_over_at_once() const {
  const auto& workers = m_workers.all();
  return may_start_taken_over_jobs() &&
         std::all_of(workers.begin(), workers.end(), [this](const auto& worker) {
           return !may_have_runs(*worker) || worker->is_reachable(m_timer.now());
         });
}

void Scheduler::on_worker_updated(const WorkerEntry& entry) {
  Worker& worker = m_workers.get_or_add(entry.id);
  const bool added = !worker.registered;
  const bool state_changed = !added && worker.entry.state != entry.state;
  const bool capacity_changed = !added && worker.entry.capacity != entry.capacity;
  const std::uint64_t known = worker.entry.incarnation;
  const bool may_have_restarted =
      known != 0 && entry.incarnation != known && entry.incarnation != worker.announced_incarnation;
  worker.announced_incarnation = entry.incarnation;
  worker.entry = entry;
  worker.entry.incarnation = known == 0 ? entry.incarnation : known;
  worker.registered = true;
  worker.has_ended = worker.has_ended && !may_have_restarted;
  worker.may_exit_at = m_timer.now() + std::chrono::milliseconds{entry.remaining_ms};
  if (added || state_changed || capacity_changed || may_have_restarted) {
    EventLine(added ? Event::worker_seen : Event::worker_changed)
        .add("worker", entry.id)
        .add("vm", entry.vm)
        .add("failure_domain", entry.failure_domain)
        .add("rack", entry.rack)
        .add("cpu_millis", entry.capacity.cpu_millis)
        .add("memory_mib", entry.capacity.memory_mib)
        .add("accelerators", entry.capacity.accelerators)
        .add("incarnation", entry.incarnation)
        .add("state", entry.state == WorkerState::ready ? "ready" : "draining")
        .add("remaining_ms", entry.remaining_ms)
        .write();
  }
  if (may_have_restarted) {
    if (worker.poll_in_flight) {
      note_unanswered_poll(worker);
      abandon_poll(worker);
    }
    ++worker.unanswered_polls;  // the next poll acknowledges nothing and extends no lease
    worker.fence.raise();
  }
  if (added || may_have_restarted) {
    schedule_poll(worker, Duration::zero());
    process_pending();
  }
}

void Scheduler::on_worker_gone(const std::string& id) {
  Worker* worker = m_workers.find(id);
  if (worker == nullptr || !std::exchange(worker->registered, false)) {
    return;
  }
  EventLine(Event::worker_gone).add("worker", id).add("runs", worker->runs.size()).write();
}

// Runs end with their worker, and nothing but the expiry of their leases would then prove it.
// Serving tasks move to other workers at once; the others may end in the time that is left.
void Scheduler::move_runs_off_draining_worker(Worker& worker) {
  const bool exits_soon = m_timer.now() + k_exit_margin >= worker.may_exit_at;
  for (const RunRef& ref : std::vector<RunRef>(worker.runs)) {
    Run* run = ref.task->find_run(ref.number);
    if (run != nullptr && (exits_soon || ref.task->step->spec->long_running())) {
      stop_run(*ref.task, *run, "its worker is draining");
    }
  }
}

void Scheduler::on_jobs_caught_up() {
  if (std::exchange(m_jobs_caught_up, true)) {
    return;
  }
  for (const auto& worker : m_workers.all()) {
    schedule_poll(*worker, Duration::zero());
  }
}

void Scheduler::set_order_limits(const OrderLimits& limits) {
  const bool could_start = may_start();
  m_order_limits = limits;
  m_place_due = m_place_due || (may_start() && !could_start);
}

void Scheduler::update_typical_speed() {
  std::vector<double> speeds;
  for (const auto& worker : m_workers.all()) {
    if (m_timer.now() - worker->speed_sampled_at <= k_speed_lifetime) {
      speeds.push_back(worker->speed);
    }
  }
  m_typical_speed.reset();
  if (speeds.size() >= k_min_speed_samples) {
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    m_typical_speed = *middle;
  }
}

void Scheduler::tick() {
  for (const auto& worker : m_workers.all()) {
    check_lease(*worker);
    if (worker->entry.state == WorkerState::draining) {
      move_runs_off_draining_worker(*worker);
    }
    if (!worker->poll_in_flight && !worker->poll_scheduled) {
      schedule_poll(*worker, Duration::zero());
    }
    for (const RunRef& ref : std::vector<RunRef>(worker->runs)) {
      Run* run = ref.task->find_run(ref.number);
      if (run != nullptr && run->phase == RunPhase::stopping) {
        send_stop(*ref.task, *run);
      }
    }
  }
  for (const auto& [id, job] : m_tasks.jobs()) {
    if (!job->ending && job->next_occurrence < job->occurrence_count()) {
      open_due_occurrences(*job);
    }
  }
  const Duration evidence_interval = std::max(k_evidence_interval, m_options.evidence_interval);
  if (m_timer.now() - m_evidence_saved_at >= evidence_interval) {
    m_evidence_saved_at = m_timer.now();
    m_evidence_due = true;
    m_affinity.update(m_interference, m_timer.now());
  }
  hold_tasks_of_silent_workers();
  m_ready.refresh(m_timer.now());
  move_waiting_jobs();
  update_scarcity();
  reserve_room();
  update_suspect_group_size();
  update_typical_speed();
  log_waiting_tasks();
  log_opportunistic_work();
  m_place_due = true;
  m_roster_check_due = true;
  process_pending();
}

}  // namespace arbutusdale::sched
