// Decides which tasks may start although workers are silent that may still run tasks of an earlier
// leader. Two kinds of evidence locate a task, so that it waits for its own workers only:
// - This leader has started it, or has seen a live run of it, which excludes another one. A live
// run
//   also shows that no step behind its own has been started.
// - The record that the preceding leader has left names every worker on which a run may be alive.
//   Only records of lasting tasks and of tasks with crashes do, since the later starts of such a
//   task are sent only after they are stored. A first start is sent at once, so a task without a
//   record may run anywhere.
#pragma once

#include "arbutusdale/sched/task_table.hpp"

#include <cstdint>

namespace arbutusdale::sched {

struct Worker;
class WorkerTable;

/// This leader knows every run of the task from now on.
void locate(Task& task);

/// The worker that runs the task has listed the run for the first time under this leader.
void note_live_run(Task& task);

/// True while the worker may have runs of an earlier leader that this one does not know.
[[nodiscard]] bool awaits_first_answer(const Worker& worker);

/// True if a run of the task that an earlier leader has started may be alive unknown to this one.
[[nodiscard]] bool may_have_unknown_run(const Task& task, const WorkerTable& workers);

/// Chooses the tasks that the next record of the job names as located, and has their later starts
/// stored first. Returns false when there are none.
bool claim_locations(Job& job);

/// Adds the task to the record of its step if it is named as located.
void save_locations(const Task& task, const WorkerTable& workers, proto::jobs::StepProgress& entry);

/// Restores what the leader of the term before `term` has recorded. A record of an earlier term
/// proves nothing: the leader in between may have started tasks without storing it.
void restore_locations(Job& job, const proto::jobs::JobProgress& progress, std::uint32_t term,
                       WorkerTable& workers);

/// Makes the record name no task as located.
void remove_locations(proto::jobs::JobProgress& progress);

}  // namespace arbutusdale::sched
