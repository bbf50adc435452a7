// The leader's table of jobs that have not ended: their occurrences, steps, tasks and runs.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/crash_history.hpp"
#include "arbutusdale/sched/step_outcomes.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::sched {

using WorkerSlot = std::uint32_t;  // index of a worker in the leader's worker table

/// Run numbers that one leader may use for a task.
inline constexpr std::uint32_t k_runs_per_term = 1'000;

enum class RunPhase : std::uint8_t {
  starting,  ///< the start has been sent and is unanswered
  running,   ///< the worker has confirmed it
  stopping,  ///< is being stopped, also after an unanswered start; its resources stay committed
};

/// Why the speed of an opportunistic run was changed last.
enum class ThrottleReason : std::uint8_t {
  none,         ///< it has not been changed
  tail_raised,  ///< a harmful image while a tail is raised or high
  cause,        ///< a likely cause of a tail over its target
  all,          ///< a tail stays over its target without the likely causes
  tail_low,     ///< the tails have been low for a while
};

/// What may start on the worker of a suspect's run until the run has settled.
enum class Isolation : std::uint8_t {
  none,     ///< anything: the run is no suspect's, or has settled
  grouped,  ///< other suspects with a single crash, if there are many
  alone,    ///< nothing
};

/// One attempt to execute a task on a worker.
struct Run {
  std::uint32_t number = 0;
  WorkerSlot worker = 0;
  RunPhase phase = RunPhase::starting;
  bool sent = false;              // its start has been sent
  bool start_in_flight = false;   // it has no answer yet
  std::uint32_t starts_sent = 0;  // more than one: the first ones had no answer
  bool listed = false;            // a poll reply has listed it, so it has begun on its worker
  bool stop_confirmed = false;    // the worker has answered the stop
  bool stop_in_flight = false;
  bool settled = false;  // a serving run: the next record no longer names it as unsettled
  Isolation isolation = Isolation::none;
  TimePoint order_sent_at{};  // the last start or stop
  TimePoint confirmed_at{};   // last confirmation of its start or stop, by an answer or a poll
  TimePoint begun_at{};       // first confirmation of its start; zero before
  TimePoint progressed_at{};  // last change of progress_percent
  std::string checkpoint;     // from which it starts, however often the start is sent
  std::uint32_t progress_percent = 0;
  std::uint32_t throttle_percent = 100;         // of full speed, as ordered last
  std::uint32_t wanted_throttle_percent = 100;  // ordered until the worker accepts it
  TimePoint throttled_at{};
  ThrottleReason throttle_reason = ThrottleReason::none;  // of the wanted speed
  TimePoint paused_since{};                               // zero while it is not paused
  Duration paused{};                                      // in all, before paused_since
  bool is_done = false;                     // its worker has reported that it has succeeded
  std::uint64_t tail_ms_or_cpu_millis = 0;  // see RunningTask
  TimePoint over_target_since{};            // zero while its tail is below the target

  [[nodiscard]] bool is_resent() const { return starts_sent > 1; }
  /// How long it has been paused so far, by the orders sent.
  [[nodiscard]] Duration paused_for(TimePoint now) const {
    return paused + (paused_since == TimePoint{} ? Duration::zero() : now - paused_since);
  }
};

/// A run that no worker reports any more, and of which it is not known whether its worker crashed.
struct LostRun {
  WorkerSlot worker = 0;
  CrashedRun run;  // what its record will be if the worker has crashed
};

/// A run that an earlier leader had started and that had not settled when it was recorded.
struct RecordedRun {
  std::uint32_t number = 0;
  std::string worker;   // id
  std::string address;  // at which the worker had answered
  std::uint64_t incarnation = 0;
  bool begun = false;
  bool isolated = false;
};

enum class TaskPhase : std::uint8_t {
  blocked,  ///< a step that it depends on is not done
  waiting,  ///< for a worker
  active,   ///< has at least one run
  done,
};

/// Why the last placement round that got to a waiting task did not start it.
enum class StartDelay : std::uint8_t {
  none,                    ///< no round has got to it since it began to wait
  start_window,            ///< too many starts are unanswered
  earlier_leader,          ///< an earlier leader may have started it
  batch_interval,          ///< opportunistic tasks are placed less often than others
  step_unplaced,           ///< no worker was found for another task of its step
  not_before,              ///< its next start is put off
  round_limit,             ///< the round has examined as many suspects as it may
  isolation_limit,         ///< too many workers have a suspect, or are silent under one
  late_start,              ///< an unanswered start of it may still be carried out
  no_worker,               ///< no worker was found for it
  leadership_unconfirmed,  ///< the store has not confirmed lately that this daemon leads
  jobs_outdated,           ///< cancellations of some time ago may not be known yet
};

struct Step;
class WorkerTable;

/// The worker that left the last start of a task unanswered. As long as the order may be carried
/// out, a restart of the worker under its id can start the task there again.
struct LateStart {
  WorkerSlot worker = 0;
  std::uint32_t run = 0;      // the last one that it left unanswered
  TimePoint sent_at{};        // the last order without an answer; zero: no start is late
  TimePoint awaited_since{};  // when the task first waited for the worker; zero before

  [[nodiscard]] bool is_set() const { return sent_at != TimePoint{}; }
};

/// One task of a step, with its runs.
struct Task {
  Step* step = nullptr;
  std::uint32_t index = 0;
  TaskPhase phase = TaskPhase::blocked;
  std::uint32_t last_run = 0;  // highest run number so far
  std::vector<std::uint32_t> failed_runs;
  std::vector<WorkerSlot> failed_on;  // workers on which a run of it failed or was slow
  std::vector<Run> runs;
  LateStart late_start;
  /// Until then an unanswered start of any run of the task may be carried out, beside the run that
  /// has begun. Its worker's next incarnation knows nothing of that run and does not refuse it.
  TimePoint duplicate_start_until{};
  CrashHistory crashes;
  std::vector<LostRun> lost_runs;
  std::vector<RecordedRun> recorded_runs;  // until the scheduler has taken them over
  /// Every run that may be alive is in `runs`, or is an earlier leader's on one of
  /// `earlier_workers` that has not answered yet. See takeover_fence.hpp.
  bool is_located = false;
  std::vector<WorkerSlot> earlier_workers;
  bool is_held = false;                 // the same for the job's `silent_workers`
  bool claims_location = false;         // the newest record of the job names it as located
  bool is_stored_first = false;         // a record does, so no start is sent before it is stored
  TimePoint reserved_until{};           // a worker takes no other starts until then
  std::uint32_t failures_in_row = 0;    // of a lasting task, each soon after the start
  std::uint32_t moves = 0;              // slow runs stopped in order to restart elsewhere
  std::string checkpoint;               // the one reported last; empty: none
  TimePoint checkpointed_at{};          // when it was first reported
  TimePoint ready_at{};                 // since when it waits
  TimePoint not_before{};               // earliest next start
  TimePoint examined_at{};              // when a worker was last looked for
  StartDelay delay = StartDelay::none;  // as of the last round that got to it

  [[nodiscard]] Run* find_run(std::uint32_t number);
  /// Time until which an end of the task must not be acknowledged, see HeldEnds.
  [[nodiscard]] TimePoint end_held_until() const;
  /// Takes over a checkpoint that a worker has reported, if there is one.
  void note_checkpoint(const std::string& reported, TimePoint now);
};

struct Job;

/// One step of one occurrence of a job.
struct Step {
  Job* job = nullptr;
  const proto::jobs::StepSpec* spec = nullptr;
  std::uint32_t occurrence = 0;
  std::uint32_t index = 0;
  Resources need;
  std::uint32_t image = 0;  // id of the image's name in the interference table
  std::uint32_t pending_dependencies = 0;
  std::uint64_t remaining_ms = 0;  // estimated length of the longest chain that starts with it
  std::uint32_t tasks_done = 0;
  StepOutcomes outcomes;
  bool is_known_to_fail = false;  // its last failure was one of a step that fails everywhere
  bool has_located_tasks = false;
  bool has_held_tasks = false;
  std::string chosen_rack;          // of a same-rack step: the rack of its first start
  TimePoint next_full_search_at{};  // see PlacementRound
  TimePoint next_room_search_at{};  // see update_room_reservations
  std::vector<Task> tasks;

  [[nodiscard]] bool is_done() const { return tasks_done == tasks.size(); }
  /// Checkpoint from which all members of a gang start: the newest that any of them has reported.
  [[nodiscard]] const std::string& gang_checkpoint() const;
};

/// One execution of a job; a repeated job has several.
struct Occurrence {
  std::uint32_t number = 0;
  std::uint32_t steps_done = 0;
  std::vector<Step> steps;  // never resized, since tasks point into it
};

struct Job {
  jobs::JobId id;
  std::shared_ptr<const proto::jobs::JobSubmitted> submitted;
  proto::jobs::JobState state = proto::jobs::JobState::QUEUED;
  bool ending = false;             // completed, failed or cancelled: nothing starts any more
  bool end_stored = false;         // the record of its end is stored
  bool taken_over = false;         // an earlier leader may have started tasks of it
  bool ordered = false;            // this leader has decided to start a task of it
  std::uint32_t moves = 0;         // between shards
  std::uint32_t runs_through = 0;  // no run before the last move has a higher number
  /// Term of the stored progress that locates tasks, as this leader found it; 0: not usable.
  std::uint32_t record_term = 0;
  std::vector<WorkerSlot> silent_workers;  // may run its held tasks, until they have answered
  TimePoint next_move_search_at{};
  std::uint32_t next_occurrence = 0;
  std::uint32_t occurrences_done = 0;
  /// Since when at least one lasting task has had no run, over all leaders; 0: not known. For log
  /// lines only, since the clocks of machines differ.
  std::uint64_t incomplete_since_ms = 0;
  TimePoint due{};                    // when its objective ends
  Duration objective{};               // longest duration from acceptance to completion
  std::uint64_t done_core_ms = 0;     // used by its opportunistic runs that are done
  std::uint64_t stopped_core_ms = 0;  // used by those that ended otherwise
  std::vector<std::unique_ptr<Occurrence>> occurrences;

  [[nodiscard]] const proto::jobs::JobSpec& spec() const { return submitted->spec(); }
  [[nodiscard]] const proto::jobs::QueueTerms& terms() const { return submitted->terms(); }
  [[nodiscard]] std::uint32_t occurrence_count() const;
  [[nodiscard]] bool has_runs() const;
  /// True when a task may have been started, by this leader or an earlier one.
  [[nodiscard]] bool has_started() const;
  [[nodiscard]] bool has_waiting_lasting_tasks() const;
  [[nodiscard]] jobs::TaskId task_id(const Task& task) const;
  [[nodiscard]] Task* find_task(const jobs::TaskId& id);
  /// Record of the job's progress, or of its end at `wall_ms`. Its runs are on `workers`.
  [[nodiscard]] proto::jobs::JobProgress progress(const WorkerTable& workers,
                                                  std::uint64_t wall_ms) const;
};

/// Duration of the longest chain of dependent steps, by the caller's estimates.
Duration critical_path(const proto::jobs::JobSpec& spec);

/// All jobs that have not ended, by id.
class TaskTable {
 public:
  /// Adds a job with its recorded progress, if any. Null when the job is known already or its
  /// submission is not known yet.
  Job* add(const jobs::JobId& id, const jobs::JobEntry& entry, std::uint64_t wall_ms,
           TimePoint now);
  [[nodiscard]] Job* find(const jobs::JobId& id);
  void remove(const jobs::JobId& id) { m_jobs.erase(id); }
  [[nodiscard]] std::unordered_map<jobs::JobId, std::unique_ptr<Job>>& jobs() { return m_jobs; }

  /// Opens the occurrences that are due. Returns all steps whose tasks may start now.
  std::vector<Step*> open_occurrences(Job& job, std::uint64_t wall_ms);
  /// Opens the occurrences up to `last`, which an earlier leader has opened: it counts as due even
  /// if this daemon's time of day is behind. Returns all steps whose tasks may start now.
  std::vector<Step*> open_occurrences_through(Job& job, std::uint32_t last);
  /// Marks a task as done. Returns the steps that may start because of it.
  static std::vector<Step*> complete(Task& task);

 private:
  static void restore(Job& job, const proto::jobs::JobProgress& progress);
  static Occurrence& open_occurrence(Job& job, std::uint32_t number);
  static std::vector<Step*> startable_steps(Job& job);

  std::unordered_map<jobs::JobId, std::unique_ptr<Job>> m_jobs;
};

}  // namespace arbutusdale::sched
