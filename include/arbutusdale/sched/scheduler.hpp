// The leader's scheduler: places tasks on workers, tracks their runs, and records progress.
//
// Invariants. A task without speculation has at most one run that may be alive: a run counts as
// ended only when its worker reports it, when the worker has restarted, or when its lease has
// expired. An ended run is acknowledged to the worker only after its effect is stored. The
// scheduler does I/O and reads the clock only through the interfaces passed to it.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/advice_calls.hpp"
#include "arbutusdale/sched/advisor.hpp"
#include "arbutusdale/sched/crash_rate.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/job_mover.hpp"
#include "arbutusdale/sched/opportunistic_work.hpp"
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/placement_round.hpp"
#include "arbutusdale/sched/ready_queue.hpp"
#include "arbutusdale/sched/sent_orders.hpp"
#include "arbutusdale/sched/serving_affinity.hpp"
#include "arbutusdale/sched/shard_room.hpp"
#include "arbutusdale/sched/start_window.hpp"
#include "arbutusdale/sched/suspect_limits.hpp"
#include "arbutusdale/sched/takeover_record.hpp"
#include "arbutusdale/sched/task_places.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/ticket_cache.hpp"
#include "arbutusdale/sched/worker_directory.hpp"
#include "arbutusdale/sched/worker_orders.hpp"
#include "arbutusdale/sched/worker_scarcity.hpp"
#include "arbutusdale/sched/worker_table.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// Durable log of progress, fenced by the leader's term.
class ProgressLog {
 public:
  ProgressLog() = default;
  ProgressLog(const ProgressLog&) = delete;
  ProgressLog& operator=(const ProgressLog&) = delete;
  virtual ~ProgressLog() = default;

  /// Calls `done(true)` once the entries are stored, `done(false)` when it is unknown whether they
  /// are.
  virtual void write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) = 0;
};

struct SchedulerOptions {
  std::uint64_t fencing_token = 0;
  std::uint32_t term = 1;  // number of this leadership; runs of a later term have higher numbers
  /// Least time between two writes of progress, but for the ends of jobs and what starts wait for.
  /// Every daemon reads what is written; with more time between writes a record stands for more
  /// ended tasks of its job.
  Duration write_interval{};
  /// Least time between two records of interference evidence, if longer than the usual one.
  Duration evidence_interval{};
  /// Content of the largest record that the store takes.
  std::size_t max_record_bytes = store::max_content_bytes({});
};

/// Times after which the leader must not send orders, because another daemon may lead by then.
struct OrderLimits {
  TimePoint start_until = TimePoint::max();
  TimePoint poll_until = TimePoint::max();  // polls extend leases
  /// What sets `start_until`, for the log.
  StartDelay reason = StartDelay::leadership_unconfirmed;
};

/// What a shard lacks for a job.
enum class Shortage : std::uint8_t {
  none,
  of_room,     ///< its workers could run the job, but have no room
  of_workers,  ///< no worker could run one of the job's steps, even if it were idle
};

/// Schedules the tasks of a fleet during one term of leadership. Not thread-safe.
class Scheduler final : public jobs::JobListener, public WorkerListener {
 public:
  /// `on_fenced` is called when a worker has seen a higher fencing token.
  Scheduler(WorkerOrders& orders, Advisor& advisor, ProgressLog& log, Timer& timer,
            SchedulerOptions options, std::function<void()> on_fenced);
  ~Scheduler() override;

  /// Lets jobs be moved to other shards; without a mover none is.
  void set_job_mover(JobMover* mover) { m_mover = mover; }

  /// Takes over the jobs of the shard that are known so far, with the roster and interference
  /// evidence. A task starts only after every worker that may run it has answered, or after all
  /// leases that an earlier leader may have granted have expired, see takeover_fence.hpp.
  void take_over(const jobs::JobTable& jobs, jobs::ShardIndex shard);

  void on_submitted(const jobs::JobId& job, const jobs::JobEntry& entry) override;
  void on_cancelled(const jobs::JobId& job) override;

  void on_worker_updated(const WorkerEntry& entry) override;
  void on_worker_gone(const std::string& id) override;
  void on_workers_loaded() override { m_workers_loaded = true; }

  /// Every job that an earlier leader may have known has been passed to the scheduler. Workers are
  /// not polled before that, since their answers may be about jobs that are not known yet.
  void on_jobs_caught_up();

  /// Sets until when the leader may start tasks and poll workers. The limits are compared with the
  /// time of each order, since a suspended process resumes without a tick in between.
  void set_order_limits(const OrderLimits& limits);

  /// Repeats orders, checks leases and opens occurrences; call it every 100 ms.
  void tick();

  [[nodiscard]] std::size_t waiting_tasks() const { return m_ready.size(); }
  /// Room of the workers that are registered and ready, less what waiting tasks need.
  [[nodiscard]] ShardRoom room() const;
  /// Places for lasting tasks on these workers, once the other tasks have ended.
  [[nodiscard]] LastingRoom lasting_room() const;
  /// Number of times that placement has examined a worker, as a measure of its cost.
  [[nodiscard]] std::uint64_t workers_examined() const { return m_workers_examined; }
  [[nodiscard]] const WorkerTable& workers() const { return m_workers; }
  [[nodiscard]] TaskTable& tasks() { return m_tasks; }
  /// True when every worker that may have runs answers polls, so that another leader can take over
  /// without waiting for leases to expire.
  [[nodiscard]] bool can_be_taken_over_at_once() const;
  /// True when no progress waits to be stored.
  [[nodiscard]] bool is_flushed() const { return m_dirty.empty() && !m_flushing; }

 private:
  /// Waiting tasks that are reported apart.
  enum class WaitingKind : std::uint8_t {
    lasting,
    without_run,  ///< not lasting, and no task of the job has a run
  };

  /// Whether a worker answers a poll at once or waits for a run to end.
  enum class PollWait : std::uint8_t { for_end, none };

  /// A run on a worker that has crashed.
  struct CrashVictim {
    Task* task = nullptr;
    CrashedRun run;
  };

  /// A roster to be stored, and the workers that it names for the first time.
  struct RosterUpdate {
    store::KeyedValue entry;
    std::vector<WorkerSlot> additions;
  };

  // Jobs, tasks and progress, scheduler.cpp.
  void add_job(const jobs::JobId& id, const jobs::JobEntry& entry, bool taken_over);
  void open_due_occurrences(Job& job);
  void enqueue_tasks(const std::vector<Step*>& steps);
  void requeue(Task& task);
  void finish_task(Task& task);
  void finish_job(Job& job, proto::jobs::JobState state);
  void stop_all_runs(Job& job, const char* reason);
  void schedule_removal_if_idle(Job& job);
  /// Places waiting tasks, stores progress and removes ended jobs; called after every event.
  void process_pending();
  void move_runs_off_draining_worker(Worker& worker);
  /// True once no worker of the earlier roster may have runs that this leader does not know.
  [[nodiscard]] bool may_start_taken_over_jobs() const;
  /// Restores where an earlier leader's runs of the tasks may be alive, as far as that is recorded.
  void restore_locations_of(Job& job, const jobs::JobEntry& entry);
  /// Stores once, a moment after the takeover, for which workers the tasks of the jobs that were
  /// taken over wait, if there are any.
  void hold_tasks_of_silent_workers();
  [[nodiscard]] bool may_start() const { return m_timer.now() <= m_order_limits.start_until; }
  [[nodiscard]] bool may_poll() const { return m_timer.now() <= m_order_limits.poll_until; }
  /// Time after which all leases of earlier leaders have expired.
  [[nodiscard]] TimePoint earlier_leases_expire_at() const;

  // Storing of progress, scheduler_storage.cpp.
  /// Largest value of a record.
  [[nodiscard]] std::size_t max_value_bytes() const;
  void mark_dirty(Job& job);
  /// The job's starts are stored with the next write, or a little later.
  void mark_started(Job& job);
  void flush();
  [[nodiscard]] bool may_write_progress() const;
  /// Remembers since when the job has had lasting tasks without a run, if it has and did not know.
  void note_incomplete(Job& job) const;
  /// The job's progress, within what the store takes. A job whose progress never is fails.
  jobs::JobProgress storable_progress(Job& job);
  [[nodiscard]] std::vector<ProcessedEnds> unstored_ends();
  void on_flushed(bool stored, const std::vector<jobs::JobId>& written,
                  const std::vector<ProcessedEnds>& processed);

  // The roster of workers that may have runs, scheduler_roster.cpp.
  [[nodiscard]] bool may_have_runs(const Worker& worker) const;
  [[nodiscard]] bool is_roster_outdated() const;
  /// Workers that may get starts once the roster names them, and for which it has room.
  [[nodiscard]] std::vector<WorkerSlot> find_roster_additions() const;
  void note_workers_left_out(std::size_t count);
  /// The new roster, if the stored one has to change.
  [[nodiscard]] std::optional<RosterUpdate> roster_update();

  // Moves of jobs to other shards, scheduler_moves.cpp.
  /// What this shard, which has `room`, lacks for a job.
  [[nodiscard]] Shortage shortage_for(const JobNeed& need, const ShardRoom& room,
                                      bool has_places) const;
  [[nodiscard]] bool may_move_jobs() const;
  [[nodiscard]] bool may_move(const Job& job) const;
  /// True when no task of the job has a run, and all that is known of earlier ones is stored.
  [[nodiscard]] bool is_at_rest(const Job& job) const;
  /// `own` must leave the job's need out. Empty when the job should stay for now.
  std::optional<jobs::ShardIndex> find_suitable_shard(Job& job, Duration waited,
                                                      const ShardRoom& own, bool has_places);
  /// The job belongs to the other shard from now on, and `job` is gone.
  void move_to(Job& job, jobs::ShardIndex shard);
  /// Returns true when a job that has just arrived belongs to another shard from now on.
  bool move_on_arrival(Job& job);
  void store_move(const jobs::JobMoved& record);
  void move_waiting_jobs();
  void remove_from_queue(Job& job);

  // Placement, scheduler_placement.cpp.
  void place_when_due();
  void place();
  /// What a placement round has found so far.
  struct RoundState;
  /// Why the round examines no task of the step.
  [[nodiscard]] StartDelay delay_of_step(const Step& step, const RoundState& round) const;
  /// True while a run that an earlier leader has started may be alive, of the task or, if it is one
  /// of a gang, of another member. Asked only before all workers of the earlier roster are known.
  [[nodiscard]] bool awaits_earlier_leader(const Task& task) const;
  /// Starts the task if it may start now and a worker is found for it.
  Visit visit_task(Task& task, RoundState& round);
  /// The same for a task that may have crashed a worker.
  Visit visit_suspect(Task& task, RoundState& round);
  /// The same for any other task; all members of a gang are started together.
  Visit visit_ordinary_task(Task& task, RoundState& round);
  void update_scarcity();
  /// Reserves room for lasting tasks that have waited for a while.
  void reserve_room();
  /// Moves a lasting run, if that makes room for one of the tasks in `waiting`.
  void make_room(const std::vector<Task*>& waiting);

  // Log lines on tasks that wait, scheduler_waiting.cpp.
  /// How long the waiting task has had no run. For a lasting one over all leaders, as far as it is
  /// known; it may be less, if other tasks of its job have waited longer.
  [[nodiscard]] Duration time_without_run(const Task& task) const;
  [[nodiscard]] const Task* find_longest_waiting_task(WaitingKind kind) const;
  [[nodiscard]] std::size_t count_waiting_suspects() const;
  void log_waiting_tasks();
  void log_waiting_task(const Task& task) const;
  [[nodiscard]] PlacementView placement_view() const;
  bool place_task(Task& task, PlacementRound& round);
  [[nodiscard]] bool is_starved(const Task& task) const;
  bool place_starved(Task& task);
  void place_sharing(std::vector<Task*> starved);
  bool place_gang(Step& step);
  /// True when an answer must come before another start is sent.
  [[nodiscard]] bool is_start_window_full() const;
  /// True when starts that wait to be stored would fill the window, so that no further one of these
  /// is decided. The others need not wait for the store.
  [[nodiscard]] bool is_start_window_reserved() const;
  void release_start_slot(Worker& worker);
  [[nodiscard]] std::uint32_t next_run_number(const Task& task) const;

  // Starts of suspects, scheduler_suspects.cpp.
  bool place_suspect(Task& task);
  /// Places a suspect in a group that has begun.
  bool place_in_group(Task& task);
  void update_suspect_group_size();
  /// The limit for a suspect that has waited as long as the task.
  [[nodiscard]] IsolationLimit isolation_limit_for(const Task& task) const;
  [[nodiscard]] bool may_isolate(const Task& task) const;

  // Orders and their answers, scheduler_orders.cpp.
  void start_run(Task& task, Worker& worker, std::uint32_t number);
  void send_start(Task& task, Run& run);
  void send_recorded_starts(const std::vector<PendingStart>& starts);
  void on_start_result(const jobs::TaskId& id, std::uint32_t number, const SentStart& sent,
                       const tl::expected<OrderReply, OrderError>& reply);
  void on_start_reply(const jobs::TaskId& id, std::uint32_t number, const SentStart& sent,
                      const tl::expected<OrderReply, OrderError>& reply);
  void on_start_error(Task& task, Run& run, const SentStart& sent, const OrderError& error);
  void stop_run(Task& task, Run& run, const char* reason);
  void send_stop(Task& task, Run& run);
  void restart_stop(Task& task, Run& run, const char* reason);
  void on_stop_reply(const RunOrder& order, const WorkerEndpoint& endpoint,
                     const tl::expected<OrderReply, OrderError>& reply);
  void stop_unwanted_run(Worker& worker, const jobs::TaskId& id, std::uint32_t number);

  // Starts without an answer, scheduler_late_starts.cpp.
  void note_late_start(const jobs::TaskId& id, std::uint32_t number, const SentStart& sent);
  /// True when an unanswered start of the task may be carried out beside another run of it.
  [[nodiscard]] bool may_be_doubled(const Task& task) const;
  [[nodiscard]] bool may_retry_start(const Task& task, const Run& run) const;
  void await_retry_of_start(Task& task, Run& run, OrderFailure reason);
  void retry_unanswered_starts(Worker& worker);
  /// Runs of the worker but those that a late start may still begin, or begin again.
  [[nodiscard]] std::vector<RunRef> runs_without_late_start(const Worker& worker) const;
  void stop_late_starts(Worker& worker);
  void await_stop_of_late_start(Task& task, Worker& worker, std::uint32_t number);

  // Throttling of opportunistic runs, scheduler_throttling.cpp.
  void control_throttling(Worker& worker);
  void send_throttles(Worker& worker);
  void send_throttle(Worker& worker, Task& task, Run& run);
  /// Logs, at most once an interval, what became of the processor time of opportunistic runs.
  void log_opportunistic_work();

  // Advised queues, scheduler_advice.cpp.
  void request_advice(const std::vector<Step*>& unplaced);
  void request_advice_for(const Step& step);
  [[nodiscard]] std::vector<WorkerEndpoint> advice_candidates(const Step& step) const;
  void send_advice_request(const Step& step, const std::vector<WorkerEndpoint>& candidates);
  void on_advice(const StepId& step, const std::vector<WorkerEndpoint>& candidates, TimePoint sent,
                 const tl::expected<Advice, AdviceError>& advice);

  // Polls of workers, incarnations and leases, scheduler_polling.cpp.
  void send_poll(Worker& worker, PollWait wait = PollWait::for_end);
  void schedule_poll(Worker& worker, Duration delay);
  /// Sends a poll that does not wait for an end, instead of the one in flight.
  void poll_at_once(Worker& worker);
  /// Polls the worker a moment after it has confirmed the stop of a run that did not begin.
  void poll_for_unbegun_run(Worker& worker, const Run& run);
  void on_poll_reply(const SentPoll& context, const tl::expected<PollReply, OrderError>& reply);
  void on_poll_error(Worker& worker, const SentPoll& context, const OrderError& error);
  void note_unanswered_poll(Worker& worker);
  static void log_missing_ends(const Worker& worker, const EndedRun& next);
  static void abandon_poll(Worker& worker);
  bool note_incarnation(Worker& worker, std::uint64_t incarnation);
  void begin_incarnation(Worker& worker);
  void resolve_run_after_restart(Worker& worker, const RunRef& ref);
  [[nodiscard]] std::uint64_t fencing_token(const Worker& worker) const {
    return worker.fence.token(m_options.fencing_token);
  }
  void on_order_fenced(const WorkerEndpoint& endpoint, std::uint64_t token);
  void update_typical_speed();
  /// Time after which no known run of the worker is alive.
  [[nodiscard]] TimePoint leases_expire_at(const Worker& worker) const;
  void check_lease(Worker& worker);

  // Crashes of workers, scheduler_crashes.cpp.
  void end_replaced_worker(Worker& worker);
  [[nodiscard]] std::vector<CrashVictim> crash_victims(Worker& worker);
  void record_crashes(const Worker& worker, const std::vector<CrashVictim>& victims,
                      const char* proof);
  void note_silence(const Worker& worker);
  void record_crash(Task& task, const CrashedRun& run);
  void give_up_causes(const std::vector<CrashVictim>& victims);
  static Task* find_cause(const std::vector<CrashVictim>& victims);
  void estimate_chance(Task& task) const;
  void give_up(Task& task);
  /// True when a start of the task must be stored before it is sent, without a delay, so that a
  /// crash that ends the leader as well is still recorded for the task.
  [[nodiscard]] bool is_recorded_for_crash(const Task& task) const;
  void remember_lost_run(Worker& worker, const RunRef& ref);
  void forget_lost_runs(Worker& worker);
  void take_over_recorded_runs(Job& job);
  void take_over_recorded_run(Task& task, const RecordedRun& recorded);
  /// True while a crash of the worker would have to be recorded for tasks that it no longer runs.
  [[nodiscard]] bool awaits_crash_proof(const Worker& worker) const;
  void settle_run(Worker& worker, Task& task, Run& run);
  void poll_when_settled(const Worker& worker, const Task& task, const Run& run);

  // Failed runs, scheduler_failures.cpp.
  void record_failed_run(Task& task, Worker& worker, std::uint32_t number);
  void blame_for_failure(Step& step, Worker& worker, Duration failed_after);
  /// Without a step, the worker has refused a start as unhealthy.
  void note_worker_failure(Worker& worker, const std::optional<StepId>& step);
  void put_off_restart(Task& task, Duration failed_after);

  // What polls say of runs, scheduler_runs.cpp.
  /// The task that a worker has named; null if it is not one of a job that is known.
  Task* find_reported_task(const jobs::TaskId& id);
  void apply_ended_run(Worker& worker, const EndedRun& end);
  void hold_end(Worker& worker, const EndedRun& end, const Task& task);
  void update_runs(Worker& worker, const PollReply& reply);
  void update_run(Worker& worker, const RunningTask& row);
  void drop_missing_runs(Worker& worker, const PollReply& reply, const SentPoll& context);
  void drop_run(Task& task, std::uint32_t number);
  void move_stragglers(Worker& worker);
  void presume_ended(const Worker& worker, const RunRef& ref, const char* reason);
  void log_unexpected_run(const Worker& worker, const RunningTask& row, const Task& task);

  WorkerOrders& m_orders;
  Advisor& m_advisor;
  ProgressLog& m_log;
  Timer& m_timer;
  const SchedulerOptions m_options;
  std::function<void()> m_on_fenced;
  std::shared_ptr<bool> m_alive;  // false after destruction; callbacks check it

  JobMover* m_mover = nullptr;
  TaskTable m_tasks;
  WorkerTable m_workers;
  ReadyQueue m_ready;
  InterferenceTable m_interference;
  CrashRate m_crash_rate;
  WorkerScarcity m_scarcity;
  ServingAffinity m_affinity;
  TicketCache m_tickets;
  std::set<jobs::JobId> m_dirty;    // jobs with progress to be stored
  std::set<jobs::JobId> m_started;  // jobs with starts to be stored
  TimePoint m_written_at{};         // last write
  bool m_has_urgent_progress = false;
  TimePoint m_store_starts_at{};  // at the latest, while there are such jobs
  std::vector<PendingStart> m_pending_starts;
  /// Includes every worker with ended runs whose effects are not stored.
  std::set<WorkerSlot> m_unstored_workers;
  bool m_roster_check_due =
      true;  // at every tick, and when a worker has answered for the first time
  std::size_t m_workers_left_out = 0;  // of the roster, for lack of room
  TimePoint m_record_first_until{};    // starts are stored before they are sent
  std::set<jobs::JobId> m_finished;    // jobs to remove once their end is stored
  TimePoint m_started_at{};
  TimePoint m_evidence_saved_at{};
  TimePoint m_waiting_logged_at{};  // last lines on tasks that wait
  OpportunisticWork m_opportunistic_work;
  TimePoint m_work_logged_at{};  // last line on it
  bool m_evidence_due = false;
  bool m_flushing = false;
  /// Median speed of the workers with a recent sample; empty while there are too few.
  std::optional<double> m_typical_speed;
  bool m_fleet_is_idle = false;  // as of the last tick
  /// Number of suspects that start together, as of the last tick.
  std::uint32_t m_suspect_group_size = 1;
  bool m_suspects_wait = false;  // a round since the last tick has examined one
  bool m_workers_loaded = false;
  bool m_jobs_caught_up = false;
  bool m_has_predecessor = false;
  bool m_has_held_tasks = false;  // hold_tasks_of_silent_workers has done its work
  bool m_takeover_record_due = false;
  EarlierTakeover m_earlier_takeover;
  OrderLimits m_order_limits;
  bool m_place_due = false;
  bool m_round_scheduled = false;
  std::size_t m_starts_in_flight = 0;
  std::size_t m_starts_to_store = 0;  // to be sent once they are stored
  StartWindow m_start_window;
  AdviceCalls m_advice_calls;
  TimePoint m_placed_at{};        // last placement round
  TimePoint m_batch_placed_at{};  // last round with opportunistic tasks
  std::uint64_t m_workers_examined = 0;
};

}  // namespace arbutusdale::sched
