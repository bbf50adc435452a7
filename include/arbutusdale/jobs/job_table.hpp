// Replica of all jobs, which every daemon builds from the records of two kinds of partitions:
// submissions and cancellations, which any daemon writes, and progress, which only the leader
// writes.
#pragma once

#include "arbutusdale/jobs.pb.h"
#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/store/metadata_store.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace arbutusdale::jobs {

using proto::jobs::InterferenceEvidence;
using proto::jobs::JobProgress;
using proto::jobs::JobState;
using proto::jobs::JobSubmitted;
using proto::jobs::Leadership;
using proto::jobs::WorkerRoster;

/// Partitions of submissions and cancellations. A job's records may be in any of them.
std::vector<store::Partition> job_partitions();
/// Index of the partition to which the daemon writes.
std::size_t job_partition_of(const std::string& daemon);
/// Partition of the leader's records.
store::Partition leader_partition();

store::KeyedValue encode(const JobSubmitted& record);
store::KeyedValue encode(const JobProgress& record);
store::KeyedValue encode(const Leadership& record);
store::KeyedValue encode(const WorkerRoster& record);
store::KeyedValue encode(const InterferenceEvidence& record);
store::KeyedValue encode_cancellation(const JobId& job);
/// Tombstones of a job's submission and cancellation.
std::vector<store::KeyedValue> encode_submission_removal(const JobId& job);
/// Tombstone of a job's progress.
store::KeyedValue encode_progress_removal(const JobId& job);

/// Known state of one job.
struct JobEntry {
  std::shared_ptr<const JobSubmitted> submitted;  // null while only a cancellation is known
  std::shared_ptr<const JobProgress> progress;    // null before the first progress record
  bool cancelled = false;

  [[nodiscard]] JobState state() const;
};

/// Receives submissions and cancellations as their records are applied.
class JobListener {
 public:
  JobListener() = default;
  JobListener(const JobListener&) = delete;
  JobListener& operator=(const JobListener&) = delete;
  virtual ~JobListener() = default;

  virtual void on_submitted(const JobId& job, const JobEntry& entry) = 0;
  virtual void on_cancelled(const JobId& job) = 0;
};

class JobTable {
 public:
  /// The listener may be null.
  void set_listener(JobListener* listener) { m_listener = listener; }

  void apply_job_record(const store::Record& record);
  void apply_leader_record(const store::Record& record);

  [[nodiscard]] const JobEntry* find(const JobId& job) const;
  [[nodiscard]] const std::unordered_map<JobId, JobEntry>& entries() const { return m_jobs; }
  /// Number of accepted jobs of a queue of which no task has started.
  [[nodiscard]] std::uint32_t count_queued(const std::string& queue) const;

  /// The newest leadership record; empty before the first one.
  [[nodiscard]] const std::optional<Leadership>& leadership() const { return m_leadership; }
  /// Workers on which leaders may have started tasks.
  [[nodiscard]] const WorkerRoster& roster() const { return m_roster; }
  [[nodiscard]] const InterferenceEvidence& interference() const { return m_interference; }

 private:
  void apply_submission(const JobId& job, const store::Record& record);
  void apply_cancellation(const JobId& job, const store::Record& record);
  void apply_progress(const JobId& job, const store::Record& record);

  JobListener* m_listener = nullptr;
  std::unordered_map<JobId, JobEntry> m_jobs;
  std::optional<Leadership> m_leadership;
  WorkerRoster m_roster;
  InterferenceEvidence m_interference;
};

}  // namespace arbutusdale::jobs
