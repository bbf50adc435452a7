// Evidence of the workers on which runs of a task may be alive, and how a job's progress records
// it.
//
// States of a task, by its flags: not located (it waits for all silent workers); located (for
// `earlier_workers`); located and held (for the job's `silent_workers`). `is_stored_first` stays
// set once a record has located or held the task; `claims_location` says that the job's newest
// record locates it, which it never does for a held one.
#include "arbutusdale/sched/takeover_fence.hpp"

#include "arbutusdale/sched/worker_table.hpp"

#include <algorithm>
#include <vector>

namespace arbutusdale::sched {
namespace {

using proto::jobs::JobProgress;
using proto::jobs::StepProgress;
using proto::jobs::StepSpec;

constexpr std::uint32_t k_first_run = 1;  // its number

/// The step that a dependency names by its index precedes the dependent one.
bool depends_on_any(const Step& step, const std::vector<bool>& steps) {
  const auto& after = step.spec->after();
  return std::any_of(after.begin(), after.end(),
                     [&steps](std::uint32_t before) { return steps[before]; });
}

void locate_dependents(const Step& step) {
  const auto& occurrences = step.job->occurrences;
  const auto found = std::find_if(
      occurrences.begin(), occurrences.end(),
      [&step](const auto& occurrence) { return occurrence->number == step.occurrence; });
  std::vector<bool> reached((*found)->steps.size());
  reached[step.index] = true;
  for (Step& other : (*found)->steps) {
    if (!depends_on_any(other, reached)) {
      continue;
    }
    reached[other.index] = true;
    for (Task& task : other.tasks) {
      locate(task);
    }
  }
}

// The starts of a gang's members must not wait for different writes.
bool may_be_stored_first(const Step& step) {
  return !step.spec->speculative() && !step.spec->gang();
}

// The record of the takeover names held tasks.
bool may_be_claimed(const Task& task) {
  const bool is_of_kind = task.step->spec->long_running() || !task.crashes.runs().empty();
  return task.is_located && !task.is_held && task.phase != TaskPhase::done &&
         (is_of_kind || task.is_stored_first) && may_be_stored_first(*task.step);
}

bool has_held_tasks(const Job& job) {
  return std::any_of(job.occurrences.begin(), job.occurrences.end(), [](const auto& occurrence) {
    const auto& steps = occurrence->steps;
    return std::any_of(steps.begin(), steps.end(),
                       [](const Step& step) { return step.has_held_tasks; });
  });
}

void forget_location(Task& task) {
  task.is_located = false;
  task.is_held = false;
  task.earlier_workers.clear();
}

// The record names a worker that has answered without a run of the task. A task with a run is left
// alone: its record names the worker of the run, in most cases as the only one.
bool names_answered_worker(const Task& task, const WorkerTable& workers) {
  const auto& earlier = task.earlier_workers;
  return task.runs.empty() &&
         std::any_of(earlier.begin(), earlier.end(), [&workers](WorkerSlot slot) {
           return !awaits_first_answer(workers.at(slot));
         });
}

bool is_recorded_otherwise(const Task& task, const WorkerTable& workers) {
  return task.phase != TaskPhase::done &&
         (task.claims_location != may_be_claimed(task) || names_answered_worker(task, workers));
}

void add_location(const Task& task, const Worker& worker, StepProgress& entry) {
  auto& location = *entry.add_locations();
  location.set_task(task.index);
  location.set_worker(worker.entry.id);
}

}  // namespace

void locate(Task& task) {
  task.is_located = true;
  task.is_held = false;
  task.earlier_workers.clear();
  task.step->has_located_tasks = true;
}

void hold(Task& task) {
  task.is_located = true;
  task.is_held = true;
  task.is_stored_first = true;
  task.step->has_held_tasks = true;
}

void note_live_run(Task& task, std::uint32_t number) {
  const StepSpec& spec = *task.step->spec;
  if (spec.speculative()) {
    return;  // another run may be alive
  }
  const bool has_limit = !spec.long_running() && task.step->job->terms().max_attempts() > 0;
  if (!has_limit || number == k_first_run) {
    locate(task);
  } else {
    forget_location(task);
  }
  // The step of a gang is done with the first of its runs, while the others are still alive.
  if (!spec.gang()) {
    locate_dependents(*task.step);
  }
}

bool awaits_first_answer(const Worker& worker) {
  return worker.in_earlier_roster && !worker.has_answered && !worker.has_ended;
}

bool awaits_silent_workers(const Job& job, const WorkerTable& workers) {
  return std::any_of(job.silent_workers.begin(), job.silent_workers.end(),
                     [&workers](WorkerSlot slot) { return awaits_first_answer(workers.at(slot)); });
}

std::vector<WorkerSlot> find_silent_workers(const WorkerTable& workers) {
  std::vector<WorkerSlot> silent;
  for (const auto& worker : workers.all()) {
    if (awaits_first_answer(*worker)) {
      silent.push_back(worker->slot);
    }
  }
  return silent;
}

void hold_tasks(Job& job, const std::vector<WorkerSlot>& silent_workers) {
  if (has_held_tasks(job)) {
    return;
  }
  job.silent_workers = silent_workers;
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      if (!may_be_stored_first(step)) {
        continue;
      }
      for (Task& task : step.tasks) {
        const bool is_unknown = !task.is_located && task.runs.empty();
        if (is_unknown && task.phase != TaskPhase::done) {
          hold(task);
        }
      }
    }
  }
}

bool may_have_unknown_run(const Task& task, const WorkerTable& workers) {
  if (task.is_held && awaits_silent_workers(*task.step->job, workers)) {
    return true;
  }
  return !task.is_located ||
         std::any_of(task.earlier_workers.begin(), task.earlier_workers.end(),
                     [&workers](WorkerSlot slot) { return awaits_first_answer(workers.at(slot)); });
}

bool is_location_outdated(const Job& job, const WorkerTable& workers) {
  for (const auto& occurrence : job.occurrences) {
    for (const Step& step : occurrence->steps) {
      const bool is_outdated = std::any_of(
          step.tasks.begin(), step.tasks.end(),
          [&workers](const Task& task) { return is_recorded_otherwise(task, workers); });
      if (is_outdated) {
        return true;
      }
    }
  }
  return false;
}

bool claim_locations(Job& job) {
  bool any = false;
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        task.claims_location = may_be_claimed(task);
        task.is_stored_first = task.is_stored_first || task.claims_location;
        any = any || task.claims_location;
      }
    }
  }
  return any;
}

void save_locations(const Task& task, const WorkerTable& workers, StepProgress& entry) {
  if (!task.claims_location) {
    return;
  }
  entry.add_located(task.index);
  for (const Run& run : task.runs) {
    const bool never_sent = run.phase == RunPhase::stopping && !run.sent && !run.listed;
    if (!never_sent) {
      add_location(task, workers.at(run.worker), entry);
    }
  }
  for (const WorkerSlot slot : task.earlier_workers) {
    if (awaits_first_answer(workers.at(slot))) {
      add_location(task, workers.at(slot), entry);
    }
  }
  // After another restart the worker no longer knows that it was told to stop this run.
  if (task.late_start.is_set()) {
    add_location(task, workers.at(task.late_start.worker), entry);
  }
}

void restore_locations(Job& job, const JobProgress& progress, WorkerTable& workers) {
  for (const StepProgress& entry : progress.steps()) {
    for (const std::uint32_t index : entry.located()) {
      Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), index});
      if (task != nullptr) {
        locate(*task);
        task->claims_location = true;
        task->is_stored_first = true;  // as long as this record is the newest one
      }
    }
    for (const auto& location : entry.locations()) {
      Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), location.task()});
      // The roster names every worker that may have runs.
      const Worker* worker = workers.find(location.worker());
      if (task != nullptr && worker != nullptr) {
        task->earlier_workers.push_back(worker->slot);
      }
    }
  }
}

void remove_locations(JobProgress& progress) {
  for (StepProgress& step : *progress.mutable_steps()) {
    step.clear_located();
    step.clear_locations();
  }
  progress.set_locations_removed(true);
}

}  // namespace arbutusdale::sched
