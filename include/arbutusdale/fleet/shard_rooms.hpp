// Chooses the shard to which a job is moved, by the room that the leaders state in their
// heartbeats.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/job_mover.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace arbutusdale::fleet {

class ShardRooms final : public sched::JobMover {
 public:
  /// For the leader of `shard`.
  ShardRooms(const jobs::JobTable& jobs, jobs::ShardIndex shard) : m_jobs(jobs), m_shard(shard) {}

  std::optional<jobs::ShardIndex> find_target(std::uint64_t need_millis,
                                              const sched::ShardRoom& own, TimePoint now) override;

 private:
  /// A job that was moved a short time ago.
  struct RecentMove {
    jobs::ShardIndex to = 0;
    std::uint64_t need_millis = 0;
    TimePoint at{};
  };

  const jobs::JobTable& m_jobs;
  const jobs::ShardIndex m_shard;
  std::vector<RecentMove> m_recent;
};

}  // namespace arbutusdale::fleet
