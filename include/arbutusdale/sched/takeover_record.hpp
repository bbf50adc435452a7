// What a new leader stores of the jobs that it has taken over while workers are silent, so that the
// next leader need not wait for workers that fall silent later. One record for all jobs: every
// daemon reads it, right after a restart that may have ended all of them.
#pragma once

#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace arbutusdale::sched {

class WorkerTable;

/// The record of the leader of `term`. Jobs for which `max_bytes` has no room are left out, so that
/// the next leader waits with them for all silent workers.
[[nodiscard]] proto::jobs::Takeover make_takeover_record(TaskTable& tasks,
                                                         const WorkerTable& workers,
                                                         std::uint32_t term, std::size_t max_bytes);

/// The record of the preceding leader. Empty if that one has stored none.
class EarlierTakeover {
 public:
  EarlierTakeover() = default;
  /// Ignores a record unless the leader of the term before `term` has written it: a leader in
  /// between may have started any task.
  EarlierTakeover(const proto::jobs::Takeover& record, std::uint32_t term, WorkerTable& workers);

  /// True if the preceding leader has found progress of that term in use, and has started none of
  /// the tasks that it locates without storing it again.
  [[nodiscard]] bool confirms_progress(const Job& job, std::uint32_t record_term) const;
  /// Holds the tasks of the job that the preceding leader held and that are not located.
  void restore_held_tasks(Job& job) const;

 private:
  struct Entry {
    proto::jobs::TakenOverJob job;
    std::size_t group = 0;  // index in m_silent_workers
  };

  [[nodiscard]] const Entry* find(const Job& job) const;

  std::vector<std::vector<WorkerSlot>> m_silent_workers;
  std::unordered_map<jobs::JobId, Entry> m_jobs;
};

}  // namespace arbutusdale::sched
