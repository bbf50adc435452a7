// Encoding of what is known of taken-over jobs, and its use by the next leader.
//
// Invariant, from when the record is written until the term ends: a start of a task that the record
// holds, or that a progress record confirmed by it locates, is sent only after the job's progress
// is stored again. If a held task loses its location in another way, the record is written again.
#include "arbutusdale/sched/takeover_record.hpp"

#include "arbutusdale/sched/takeover_fence.hpp"
#include "arbutusdale/sched/task_bits.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace arbutusdale::sched {
namespace {

using proto::jobs::HeldTasks;
using proto::jobs::TakenOverJob;
using proto::jobs::TakenOverJobs;
using proto::jobs::Takeover;

constexpr std::size_t k_entry_header_bytes = 6;  // tag and length, at most

std::vector<WorkerSlot> still_silent(const std::vector<WorkerSlot>& slots,
                                     const WorkerTable& workers) {
  std::vector<WorkerSlot> silent;
  std::copy_if(slots.begin(), slots.end(), std::back_inserter(silent),
               [&workers](WorkerSlot slot) { return awaits_first_answer(workers.at(slot)); });
  return silent;
}

HeldTasks describe_held_tasks(const Step& step) {
  HeldTasks held;
  held.set_occurrence(step.occurrence);
  held.set_step(step.index);
  for (const Task& task : step.tasks) {
    if (task.is_held) {
      set_bit(*held.mutable_tasks(), task.index);
    }
  }
  return held;
}

TakenOverJob describe_job(const Job& job) {
  TakenOverJob entry;
  entry.set_job(job.id.str());
  entry.set_moves(job.moves);
  entry.set_record_term(job.record_term);
  for (const auto& occurrence : job.occurrences) {
    for (const Step& step : occurrence->steps) {
      HeldTasks held = describe_held_tasks(step);
      if (!held.tasks().empty()) {
        *entry.add_held() = std::move(held);
      }
    }
  }
  return entry;
}

TakenOverJobs describe_workers(const std::vector<WorkerSlot>& silent, const WorkerTable& workers) {
  TakenOverJobs group;
  for (const WorkerSlot slot : silent) {
    group.add_silent_workers(workers.at(slot).entry.id);
  }
  return group;
}

}  // namespace

Takeover make_takeover_record(TaskTable& tasks, const WorkerTable& workers, std::uint32_t term,
                              std::size_t max_bytes) {
  std::map<std::vector<WorkerSlot>, std::vector<const Job*>> groups;
  for (const auto& [id, job] : tasks.jobs()) {
    if (job->taken_over && !job->ending) {
      groups[still_silent(job->silent_workers, workers)].push_back(job.get());
    }
  }
  Takeover record;
  record.set_term(term);
  std::size_t bytes = record.ByteSizeLong();
  for (const auto& [silent, jobs] : groups) {
    TakenOverJobs group = describe_workers(silent, workers);
    bytes += group.ByteSizeLong() + k_entry_header_bytes;
    for (const Job* job : jobs) {
      TakenOverJob entry = describe_job(*job);
      const std::size_t entry_bytes = entry.ByteSizeLong() + k_entry_header_bytes;
      if (bytes + entry_bytes > max_bytes) {
        continue;
      }
      bytes += entry_bytes;
      *group.add_jobs() = std::move(entry);
    }
    if (group.jobs_size() > 0) {
      *record.add_groups() = std::move(group);
    }
  }
  return record;
}

EarlierTakeover::EarlierTakeover(const Takeover& record, std::uint32_t term, WorkerTable& workers) {
  if (record.term() == 0 || record.term() + 1 != term) {
    return;
  }
  for (const TakenOverJobs& group : record.groups()) {
    std::vector<WorkerSlot> silent;
    for (const std::string& id : group.silent_workers()) {
      // The roster names every worker that may have runs.
      if (const Worker* worker = workers.find(id)) {
        silent.push_back(worker->slot);
      }
    }
    for (const TakenOverJob& job : group.jobs()) {
      if (const auto id = jobs::JobId::parse(job.job())) {
        m_jobs.insert_or_assign(*id, Entry{job, m_silent_workers.size()});
      }
    }
    m_silent_workers.push_back(std::move(silent));
  }
}

const EarlierTakeover::Entry* EarlierTakeover::find(const Job& job) const {
  const auto found = m_jobs.find(job.id);
  const bool is_current = found != m_jobs.end() && found->second.job.moves() == job.moves;
  return is_current ? &found->second : nullptr;
}

bool EarlierTakeover::confirms_progress(const Job& job, std::uint32_t record_term) const {
  const Entry* entry = find(job);
  return entry != nullptr && record_term > 0 && entry->job.record_term() == record_term;
}

void EarlierTakeover::restore_held_tasks(Job& job) const {
  const Entry* entry = find(job);
  if (entry == nullptr) {
    return;
  }
  for (const HeldTasks& held : entry->job.held()) {
    for (std::uint32_t index = 0; index < held.tasks().size() * k_tasks_per_byte; ++index) {
      Task* task = job.find_task({job.id, held.occurrence(), held.step(), index});
      const bool is_held = task != nullptr && has_bit(held.tasks(), index) && !task->is_located &&
                           task->phase != TaskPhase::done;
      if (is_held) {
        hold(*task);
      }
    }
  }
  job.silent_workers = m_silent_workers[entry->group];
}

}  // namespace arbutusdale::sched
