// What callers may ask of any daemon: submit a job, cancel it, read its state.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/fleet/job_followers.hpp"
#include "arbutusdale/jobs/configuration.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/store/group_commit.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::fleet {

enum class WriteOutcome : std::uint8_t {
  stored,
  not_stored,  ///< is not stored and never will be
  unknown,     ///< no answer of the store in time
};

class JobService {
 public:
  using Done = std::function<void(WriteOutcome)>;

  /// `incarnation` differs between all processes that ever wrote to the store.
  JobService(store::MetadataStore& store, Timer& timer, const jobs::JobTable& jobs,
             const JobFollowers& followers, const std::string& daemon,
             const std::string& incarnation);

  /// Stores a job. One that is known already is stored.
  void submit(const jobs::JobId& id, const jobs::JobSubmitted& record, TimePoint deadline,
              Done done);
  /// Cancels a job, also one that is not known (yet).
  void cancel(const jobs::JobId& id, TimePoint deadline, Done done);

  /// Drops the records of jobs that ended long ago.
  void delete_jobs(const std::vector<jobs::JobId>& jobs, TimePoint deadline, const Done& done);

  /// True while this daemon reads and writes the store without long delays.
  [[nodiscard]] bool is_available() const;
  /// True when a job that is not in the table does not exist.
  [[nodiscard]] bool is_job_table_current() const;

  /// Call every 100 ms.
  void tick();

 private:
  void write(std::vector<store::KeyedValue> entries, TimePoint deadline, Done done);

  Timer& m_timer;
  const jobs::JobTable& m_jobs;
  const JobFollowers& m_followers;
  std::vector<std::unique_ptr<store::GroupCommit>> m_writers;  // one for each partition
  std::size_t m_own_partition;  // index of the writer for callers' calls
};

}  // namespace arbutusdale::fleet
