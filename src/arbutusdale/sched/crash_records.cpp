// Conversion of crashes and unsettled runs to and from records.
#include "arbutusdale/sched/crash_records.hpp"

#include "arbutusdale/sched/worker_table.hpp"

#include <algorithm>
#include <limits>

namespace arbutusdale::sched {
namespace {

using proto::jobs::StepProgress;

std::uint32_t to_ms(Duration duration) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  constexpr std::int64_t max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, max));
}

void save_crashed_run(const Task& task, const CrashedRun& run, bool cleared, StepProgress& entry) {
  auto& record = *entry.add_crashed();
  record.set_task(task.index);
  record.set_run(run.number);
  record.set_worker(run.worker);
  record.set_begun(run.begun);
  record.set_settled(run.settled);
  record.set_isolated(run.isolated);
  record.set_prompt(run.prompt);
  record.set_cleared(cleared);
  record.set_age_ms(to_ms(run.age));
}

void save_unsettled_run(const Task& task, const Worker& worker, const CrashedRun& run,
                        StepProgress& entry) {
  auto& record = *entry.add_unsettled();
  record.set_task(task.index);
  record.set_run(run.number);
  record.set_worker(worker.entry.id);
  record.set_address(worker.answered_address);
  record.set_incarnation(worker.entry.incarnation);
  record.set_begun(run.begun);
  record.set_isolated(run.isolated);
}

void restore_crashed_run(Task& task, const proto::jobs::CrashedRun& record) {
  task.last_run = std::max(task.last_run, record.run());
  task.crashes.add({record.run(), record.worker(), record.begun(), record.settled(),
                    record.isolated(), record.prompt(),
                    std::chrono::milliseconds{record.age_ms()}});
  if (record.cleared()) {
    task.crashes.clear_suspicion();
  }
}

void restore_unsettled_run(Task& task, const proto::jobs::UnsettledRun& record) {
  task.last_run = std::max(task.last_run, record.run());
  task.recorded_runs.push_back({record.run(), record.worker(), record.address(),
                                record.incarnation(), record.begun(), record.isolated()});
}

}  // namespace

void save_crashes(const Task& task, const WorkerTable& workers, StepProgress& entry) {
  std::size_t saved = 0;
  for (const CrashedRun& run : task.crashes.runs()) {
    save_crashed_run(task, run, saved < task.crashes.cleared(), entry);
    ++saved;
  }
  for (const LostRun& lost : task.lost_runs) {
    if (!lost.run.settled) {
      save_unsettled_run(task, workers.at(lost.worker), lost.run, entry);
    }
  }
  for (const Run& run : task.runs) {
    const bool never_sent = run.phase == RunPhase::stopping && !run.sent && !run.listed;
    if (never_sent) {
      continue;
    }
    const Worker& worker = workers.at(run.worker);
    const CrashedRun crashed = worker.describe_run(run);
    if (!crashed.settled) {
      save_unsettled_run(task, worker, crashed, entry);
    }
  }
}

void restore_crashes(Job& job, const StepProgress& entry) {
  for (const auto& record : entry.crashed()) {
    Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), record.task()});
    if (task != nullptr) {
      restore_crashed_run(*task, record);
    }
  }
  for (const auto& record : entry.unsettled()) {
    Task* task = job.find_task({job.id, entry.occurrence(), entry.step(), record.task()});
    if (task != nullptr) {
      restore_unsettled_run(*task, record);
    }
  }
}

}  // namespace arbutusdale::sched
