// Replica of all jobs, which every daemon builds from the records of two kinds of partitions:
// submissions and cancellations, which any daemon writes, and progress, which only the leader of
// the job's shard writes.
#pragma once

#include "arbutusdale/jobs.pb.h"
#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/jobs/shards.hpp"
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
using proto::jobs::JobMoved;
using proto::jobs::JobProgress;
using proto::jobs::JobState;
using proto::jobs::JobSubmitted;
using proto::jobs::Leadership;
using proto::jobs::Takeover;
using proto::jobs::WorkerRoster;

/// Partitions of submissions and cancellations. A job's records may be in any of them.
std::vector<store::Partition> job_partitions();
/// Index of the partition to which the daemon writes.
std::size_t job_partition_of(const std::string& daemon);
/// Partition of the records of a shard's leader.
store::Partition leader_partition(ShardIndex shard);

store::KeyedValue encode(const JobSubmitted& record);
store::KeyedValue encode(const JobProgress& record);
store::KeyedValue encode(const Leadership& record);
store::KeyedValue encode(const JobMoved& record);
store::KeyedValue encode(const WorkerRoster& record);
store::KeyedValue encode(const InterferenceEvidence& record);
store::KeyedValue encode(const Takeover& record);
store::KeyedValue encode_cancellation(const JobId& job);
/// Tombstones of a job's submission and cancellation.
std::vector<store::KeyedValue> encode_submission_removal(const JobId& job);
/// Tombstone of a job's progress.
store::KeyedValue encode_progress_removal(const JobId& job);
/// Tombstone of the record of a job's move.
store::KeyedValue encode_move_removal(const JobId& job);

/// Known state of one job.
struct JobEntry {
  std::shared_ptr<const JobSubmitted> submitted;  // null while only a cancellation is known
  std::shared_ptr<const JobProgress> progress;    // null before the first progress record
  bool cancelled = false;
  ShardIndex shard = k_first_shard;  // whose leader schedules the job
  std::uint32_t moves = 0;           // between shards
  std::uint32_t runs_through = 0;    // no run before the last move has a higher number

  [[nodiscard]] JobState state() const;
};

/// Receives submissions and cancellations of the jobs of one shard as their records are applied.
class JobListener {
 public:
  JobListener() = default;
  JobListener(const JobListener&) = delete;
  JobListener& operator=(const JobListener&) = delete;
  virtual ~JobListener() = default;

  /// The job is new, or another shard has handed it over.
  virtual void on_submitted(const JobId& job, const JobEntry& entry) = 0;
  virtual void on_cancelled(const JobId& job) = 0;
};

class JobTable {
 public:
  /// Call before the first listener is set. Before, all jobs are in the first shard.
  void set_layout(ShardLayout layout);
  [[nodiscard]] ShardLayout layout() const { return m_layout; }
  /// The listener may be null.
  void set_listener(ShardIndex shard, JobListener* listener) {
    m_shards.at(shard).listener = listener;
  }

  void apply_job_record(const store::Record& record);
  /// Applies a record of the leader of `shard`.
  void apply_leader_record(ShardIndex shard, const store::Record& record);

  [[nodiscard]] const JobEntry* find(const JobId& job) const;
  [[nodiscard]] const std::unordered_map<JobId, JobEntry>& entries() const { return m_jobs; }
  /// Number of accepted jobs of a queue of which no task has started.
  [[nodiscard]] std::uint32_t count_queued(const std::string& queue) const;

  /// The newest leadership record of the shard; empty before the first one.
  [[nodiscard]] const std::optional<Leadership>& leadership(ShardIndex shard) const {
    return m_shards.at(shard).leadership;
  }
  /// Workers of the shard on which leaders may have started tasks.
  [[nodiscard]] const WorkerRoster& roster(ShardIndex shard) const {
    return m_shards.at(shard).roster;
  }
  [[nodiscard]] const InterferenceEvidence& interference(ShardIndex shard) const {
    return m_shards.at(shard).interference;
  }
  /// What the last leader that recorded its takeover knew of the jobs.
  [[nodiscard]] const Takeover& takeover(ShardIndex shard) const {
    return m_shards.at(shard).takeover;
  }
  /// Jobs that the shard has handed over to others.
  [[nodiscard]] const std::unordered_set<JobId>& moved_from(ShardIndex shard) const {
    return m_shards.at(shard).moved;
  }

 private:
  struct Shard {
    JobListener* listener = nullptr;
    std::optional<Leadership> leadership;
    WorkerRoster roster;
    InterferenceEvidence interference;
    Takeover takeover;
    std::unordered_set<JobId> moved;
  };

  /// The job's entry, added if it is new.
  JobEntry& get_or_add(const JobId& job);
  void notify_submitted(const JobId& job, const JobEntry& entry);
  void apply_submission(const JobId& job, const store::Record& record);
  void apply_cancellation(const JobId& job, const store::Record& record);
  void apply_progress(const JobId& job, const store::Record& record);
  static void replace_progress(JobEntry& entry, std::shared_ptr<const JobProgress> progress);
  void apply_move(ShardIndex from, const JobId& job, const store::Record& record);

  ShardLayout m_layout;
  std::vector<Shard> m_shards{1};  // as many as m_layout says
  std::unordered_map<JobId, JobEntry> m_jobs;
};

}  // namespace arbutusdale::jobs
