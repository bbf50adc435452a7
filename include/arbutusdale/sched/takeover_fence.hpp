// Decides which tasks may start although workers are silent that may still run tasks of an earlier
// leader. Two kinds of evidence locate a task, so that it waits for its own workers only:
// - This leader has started it, or has seen a live run of it, which excludes another one. A live
//   run also shows that no step behind its own has been started.
// - The record that the preceding leader has left names every worker on which a run may be alive.
//   Only records of lasting tasks and of tasks with crashes do, since the later starts of such a
//   task are sent only after they are stored. A first start is sent at once, so a task without a
//   record may run anywhere.
// A run of any other task can be alive only on workers that have not answered this leader yet.
// While it waits for them, it is held: a record names these workers (takeover_record.hpp), and its
// further starts are stored first, so that the next leader does not wait for workers that fall
// silent later.
#pragma once

#include "arbutusdale/sched/task_table.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::sched {

struct Worker;
class WorkerTable;

/// This leader knows every run of the task from now on.
void locate(Task& task);

/// The worker that runs the task has listed the run `number` for the first time under this leader.
/// If the task has a limit of attempts, an earlier run may have failed on a worker that has not
/// answered, so only its first run locates it.
void note_live_run(Task& task, std::uint32_t number);

/// True while the worker may have runs of an earlier leader that this one does not know.
[[nodiscard]] bool awaits_first_answer(const Worker& worker);

/// True if a run of the task that an earlier leader has started may be alive unknown to this one.
[[nodiscard]] bool may_have_unknown_run(const Task& task, const WorkerTable& workers);

/// True if a run of a held task of the job may be alive unknown to this leader.
[[nodiscard]] bool awaits_silent_workers(const Job& job, const WorkerTable& workers);

/// Workers that may have runs of an earlier leader that this one does not know.
[[nodiscard]] std::vector<WorkerSlot> find_silent_workers(const WorkerTable& workers);

/// No run of the task is alive but on the silent workers of its job.
void hold(Task& task);

/// Holds the tasks of the job that are not located: since every other worker has answered, their
/// runs can only be alive on the silent ones. Does nothing if the preceding leader's record holds
/// tasks of the job, which wait for other workers.
void hold_tasks(Job& job, const std::vector<WorkerSlot>& silent_workers);

/// True if the job has to be stored for its record to locate the tasks that this leader locates, or
/// not to name workers that have answered without a run of them.
[[nodiscard]] bool is_location_outdated(const Job& job, const WorkerTable& workers);

/// Chooses the tasks that the next record of the job names as located, and has their later starts
/// stored first. Returns false when there are none.
bool claim_locations(Job& job);

/// Adds the task to the record of its step if it is named as located.
void save_locations(const Task& task, const WorkerTable& workers, proto::jobs::StepProgress& entry);

/// Restores what a leader has recorded. Only valid for a record of the preceding leader, or one
/// that it has confirmed (takeover_record.hpp): another one may have started tasks without storing
/// it.
void restore_locations(Job& job, const proto::jobs::JobProgress& progress, WorkerTable& workers);

/// Makes the record name no task as located.
void remove_locations(proto::jobs::JobProgress& progress);

}  // namespace arbutusdale::sched
