// Stored form of what is known of crashes: the runs that ended with a crash of their worker, and
// the runs that have not settled yet, so that the next leader can attribute a crash that this
// leader does not live to see.
#pragma once

#include "arbutusdale/sched/task_table.hpp"

namespace arbutusdale::sched {

class WorkerTable;

/// Adds the crashes under the task and its unsettled runs to the record of its step.
void save_crashes(const Task& task, const WorkerTable& workers, proto::jobs::StepProgress& entry);

/// Restores crashes and unsettled runs from the record of one step.
void restore_crashes(Job& job, const proto::jobs::StepProgress& entry);

}  // namespace arbutusdale::sched
