// Expansion of jobs into tasks, dependencies, and the progress record.
#include "arbutusdale/sched/task_table.hpp"

#include "arbutusdale/sched/crash_records.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"
#include "arbutusdale/sched/task_bits.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <algorithm>
#include <map>

#include <spdlog/spdlog.h>

namespace arbutusdale::sched {
namespace {

using proto::jobs::JobProgress;
using proto::jobs::JobSpec;
using proto::jobs::JobState;
using proto::jobs::StepProgress;
using proto::jobs::StepSpec;

// Occurrences start this much after their time, since the clocks of machines differ.
constexpr std::uint64_t k_occurrence_delay_ms = 60;

std::uint64_t due_wall_ms(const JobSpec& spec, std::uint32_t occurrence) {
  if (spec.repeat_count() == 0) {
    return 0;
  }
  return spec.first_run_wall_ms() + occurrence * spec.interval_ms() + k_occurrence_delay_ms;
}

}  // namespace

Run* Task::find_run(std::uint32_t number) {
  for (Run& run : runs) {
    if (run.number == number) {
      return &run;
    }
  }
  return nullptr;
}

std::uint32_t Job::occurrence_count() const {
  return std::max(spec().repeat_count(), 1U);
}

bool Job::has_runs() const {
  for (const auto& occurrence : occurrences) {
    for (const Step& step : occurrence->steps) {
      const bool any = std::any_of(step.tasks.begin(), step.tasks.end(),
                                   [](const Task& task) { return !task.runs.empty(); });
      if (any) {
        return true;
      }
    }
  }
  return false;
}

bool Job::has_waiting_lasting_tasks() const {
  for (const auto& occurrence : occurrences) {
    for (const Step& step : occurrence->steps) {
      const bool any = step.spec->long_running() &&
                       std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task& task) {
                         return task.phase == TaskPhase::waiting;
                       });
      if (any) {
        return true;
      }
    }
  }
  return false;
}

TimePoint Task::end_held_until() const {
  // Copies of a speculative task may start at any time, and a lasting one starts again anyway.
  if (step->spec->speculative() || step->spec->long_running()) {
    return TimePoint{};
  }
  if (!step->spec->gang()) {
    return duplicate_start_until;
  }
  TimePoint until{};
  for (const Task& member : step->tasks) {
    until = std::max(until, member.duplicate_start_until);
  }
  return until;
}

void Task::note_checkpoint(const std::string& reported, TimePoint now) {
  if (reported.empty() || reported == checkpoint) {
    return;
  }
  checkpoint = reported;
  checkpointed_at = now;
}

const std::string& Step::gang_checkpoint() const {
  const auto newest = std::max_element(
      tasks.begin(), tasks.end(),
      [](const Task& a, const Task& b) { return a.checkpointed_at < b.checkpointed_at; });
  return newest->checkpoint;
}

bool Job::has_started() const {
  return ordered || taken_over || state != JobState::QUEUED;
}

jobs::TaskId Job::task_id(const Task& task) const {
  return {id, task.step->occurrence, task.step->index, task.index};
}

Task* Job::find_task(const jobs::TaskId& task) {
  const auto found = std::find_if(
      occurrences.begin(), occurrences.end(),
      [&task](const auto& occurrence) { return occurrence->number == task.occurrence; });
  if (found == occurrences.end() || task.step >= (*found)->steps.size()) {
    return nullptr;
  }
  Step& step = (*found)->steps[task.step];
  return task.index < step.tasks.size() ? &step.tasks[task.index] : nullptr;
}

JobProgress Job::progress(const WorkerTable& workers, std::uint64_t wall_ms) const {
  JobProgress record;
  record.set_job(id.str());
  record.set_state(state);
  record.set_moves(moves);
  if (state != JobState::QUEUED && state != JobState::RUNNING) {
    record.set_ended_wall_ms(wall_ms);
    return record;
  }
  if (has_waiting_lasting_tasks()) {
    record.set_incomplete_since_wall_ms(incomplete_since_ms);
  }
  for (const auto& occurrence : occurrences) {
    for (const Step& step : occurrence->steps) {
      StepProgress entry;
      for (const Task& task : step.tasks) {
        if (task.phase == TaskPhase::done) {
          set_bit(*entry.mutable_done(), task.index);
        }
        for (const std::uint32_t run : task.failed_runs) {
          auto* failed = entry.add_failed();
          failed->set_task(task.index);
          failed->set_run(run);
        }
        save_crashes(task, workers, entry);
        save_locations(task, workers, entry);
      }
      const bool is_empty = entry.done().empty() && entry.failed().empty() &&
                            entry.unsettled().empty() && entry.crashed().empty() &&
                            entry.located().empty();
      if (is_empty) {
        continue;
      }
      entry.set_occurrence(step.occurrence);
      entry.set_step(step.index);
      *record.add_steps() = std::move(entry);
    }
  }
  return record;
}

Duration critical_path(const JobSpec& spec) {
  std::vector<std::uint64_t> ends_ms;
  std::uint64_t longest_ms = 0;
  for (const StepSpec& step : spec.steps()) {
    std::uint64_t begin_ms = 0;
    for (const std::uint32_t before : step.after()) {
      if (before < ends_ms.size()) {
        begin_ms = std::max(begin_ms, ends_ms[before]);
      }
    }
    ends_ms.push_back(begin_ms + step.estimated_ms());
    longest_ms = std::max(longest_ms, ends_ms.back());
  }
  return std::chrono::milliseconds{longest_ms};
}

Job* TaskTable::add(const jobs::JobId& id, const jobs::JobEntry& entry, std::uint64_t wall_ms,
                    TimePoint now) {
  if (m_jobs.contains(id) || !entry.submitted) {
    return nullptr;
  }
  auto job = std::make_unique<Job>();
  job->id = id;
  job->submitted = entry.submitted;
  job->objective =
      std::chrono::duration_cast<Duration>(critical_path(job->spec()) * job->terms().stretch()) +
      std::chrono::milliseconds{job->terms().latency_target_ms()};
  const std::uint64_t accepted_ms = std::min(entry.submitted->accepted_wall_ms(), wall_ms);
  job->due = now - std::chrono::milliseconds{wall_ms - accepted_ms} + job->objective;
  if (entry.progress) {
    restore(*job, *entry.progress);
  }
  Job* added = job.get();
  m_jobs.emplace(id, std::move(job));
  return added;
}

// Restores finished tasks, failed runs and crashes from the record. Opens the occurrences up to the
// last recorded one.
void TaskTable::restore(Job& job, const JobProgress& progress) {
  job.state = progress.state();
  job.incomplete_since_ms = progress.incomplete_since_wall_ms();
  std::uint32_t opened = 0;
  for (const StepProgress& entry : progress.steps()) {
    opened = std::max(opened, entry.occurrence() + 1);
  }
  while (job.next_occurrence < std::min(opened, job.occurrence_count())) {
    open_occurrence(job, job.next_occurrence++);
  }
  for (const StepProgress& entry : progress.steps()) {
    for (std::uint32_t i = 0; i < entry.done().size() * k_tasks_per_byte; ++i) {
      Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), i});
      if (task != nullptr && has_bit(entry.done(), i)) {
        complete(*task);
      }
    }
    for (const auto& failed : entry.failed()) {
      Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), failed.task()});
      if (task != nullptr) {
        task->failed_runs.push_back(failed.run());
        task->last_run = std::max(task->last_run, failed.run());
      }
    }
    restore_crashes(job, entry);
  }
}

Job* TaskTable::find(const jobs::JobId& id) {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : found->second.get();
}

Occurrence& TaskTable::open_occurrence(Job& job, std::uint32_t number) {
  auto occurrence = std::make_unique<Occurrence>();
  occurrence->number = number;
  const auto& specs = job.spec().steps();
  occurrence->steps.resize(static_cast<std::size_t>(specs.size()));
  for (std::uint32_t i = 0; i < occurrence->steps.size(); ++i) {
    const StepSpec& spec = specs[static_cast<int>(i)];
    Step& step = occurrence->steps[i];
    step.job = &job;
    step.spec = &spec;
    step.occurrence = number;
    step.index = i;
    step.need = Resources{spec.cpu_millis(), spec.memory_mib(), spec.accelerators()};
    step.pending_dependencies = static_cast<std::uint32_t>(spec.after_size());
    step.tasks.resize(spec.tasks());
    for (std::uint32_t t = 0; t < spec.tasks(); ++t) {
      step.tasks[t].step = &step;
      step.tasks[t].index = t;
    }
  }
  for (std::size_t i = occurrence->steps.size(); i-- > 0;) {
    Step& step = occurrence->steps[i];
    step.remaining_ms += step.spec->estimated_ms();
    for (const std::uint32_t before : step.spec->after()) {
      Step& earlier = occurrence->steps[before];
      earlier.remaining_ms = std::max(earlier.remaining_ms, step.remaining_ms);
    }
  }
  job.occurrences.push_back(std::move(occurrence));
  return *job.occurrences.back();
}

std::vector<Step*> TaskTable::startable_steps(Job& job) {
  std::vector<Step*> steps;
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      if (step.pending_dependencies == 0 && !step.is_done()) {
        steps.push_back(&step);
      }
    }
  }
  return steps;
}

std::vector<Step*> TaskTable::open_occurrences(Job& job, std::uint64_t wall_ms) {
  while (job.next_occurrence < job.occurrence_count() &&
         due_wall_ms(job.spec(), job.next_occurrence) <= wall_ms) {
    open_occurrence(job, job.next_occurrence++);
  }
  return startable_steps(job);
}

std::vector<Step*> TaskTable::open_occurrences_through(Job& job, std::uint32_t last) {
  while (job.next_occurrence < job.occurrence_count() && job.next_occurrence <= last) {
    open_occurrence(job, job.next_occurrence++);
  }
  return startable_steps(job);
}

std::vector<Step*> TaskTable::complete(Task& task) {
  if (task.phase == TaskPhase::done) {
    return {};
  }
  task.phase = TaskPhase::done;
  Step& step = *task.step;
  ++step.tasks_done;
  if (!step.is_done()) {
    return {};
  }
  Job& job = *step.job;
  const auto found = std::find_if(
      job.occurrences.begin(), job.occurrences.end(),
      [&step](const auto& occurrence) { return occurrence->number == step.occurrence; });
  Occurrence& occurrence = **found;
  ++occurrence.steps_done;
  if (occurrence.steps_done == occurrence.steps.size()) {
    ++job.occurrences_done;
  }
  std::vector<Step*> opened;
  for (Step& other : occurrence.steps) {
    const auto& after = other.spec->after();
    const auto count = std::count(after.begin(), after.end(), step.index);
    if (count == 0) {
      continue;
    }
    other.pending_dependencies -= static_cast<std::uint32_t>(count);
    if (other.pending_dependencies == 0) {
      opened.push_back(&other);
    }
  }
  return opened;
}

}  // namespace arbutusdale::sched
