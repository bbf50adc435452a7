// Calls that every daemon serves: submission and cancellation of jobs, and whether its job table is
// recent enough to report a job's state.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/job_followers.hpp"
#include "arbutusdale/jobs/configuration.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/store/group_commit.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::fleet {

/// Outcome of a call that writes to the store.
enum class WriteOutcome : std::uint8_t {
  stored,
  not_stored,  ///< not stored and never will be
  unknown,     ///< no reply from the store in time; may be stored, now or later
};

class JobService {
 public:
  using Done = std::function<void(WriteOutcome)>;

  /// `incarnation` is unique among all processes that ever wrote to the store. `cpu_share` is the
  /// fraction of a core that this daemon may use.
  JobService(store::MetadataStore& store, Timer& timer, const jobs::JobTable& jobs,
             const JobFollowers& followers, const std::string& daemon,
             const std::string& incarnation, double cpu_share,
             const store::RecordLimits& limits = {});

  /// Largest content of a submission's record, in bytes, that the store takes. A larger one must
  /// not be submitted: its append would never succeed, and would hold up those behind it.
  [[nodiscard]] std::size_t max_submission_bytes() const { return m_max_submission_bytes; }

  /// Largest progress of a job, in bytes, that the store takes; a job whose progress may exceed it
  /// must not be submitted.
  [[nodiscard]] std::size_t max_progress_bytes() const { return m_max_progress_bytes; }

  /// Stores a job; a job that is already known counts as stored.
  void submit(const jobs::JobId& id, const jobs::JobSubmitted& record, TimePoint deadline,
              Done done);
  /// Cancels a job, which need not be known (yet).
  void cancel(const jobs::JobId& id, TimePoint deadline, Done done);

  /// Deletes the submissions and cancellations of jobs. The outcome is `stored` only if every
  /// partition has stored the deletion.
  void delete_jobs(const std::vector<jobs::JobId>& jobs, TimePoint deadline, const Done& done);

  /// True while this daemon reads the store without long delays and can serve calls.
  [[nodiscard]] bool is_available() const;
  /// True while the table is recent enough that a job missing from it does not exist.
  [[nodiscard]] bool is_job_table_current() const;

  /// Call every 100 ms.
  void tick();

 private:
  /// The daemon's presence record, if the last one was written some time ago.
  [[nodiscard]] std::optional<store::KeyedValue> due_presence();
  void write(std::vector<store::KeyedValue> entries, TimePoint deadline, Done done);

  Timer& m_timer;
  const jobs::JobTable& m_jobs;
  const JobFollowers& m_followers;
  std::vector<std::unique_ptr<store::GroupCommit>> m_writers;  // one for each job partition
  const std::string m_daemon;
  const std::uint32_t m_cpu_millis;
  const std::size_t m_max_submission_bytes;
  const std::size_t m_max_progress_bytes;
  std::optional<TimePoint> m_presence_written_at;
  std::size_t m_own_partition;  // index of the writer for submissions and cancellations
};

}  // namespace arbutusdale::fleet
