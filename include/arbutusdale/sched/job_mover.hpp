// Finds a shard with room for a job that the workers of its own shard have none for. The shards'
// shares of the jobs differ by chance, and serving tasks that last fill most of a fleet, so some
// shards are full while others are not.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/shards.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// Processors of a shard, in thousandths.
struct ShardRoom {
  std::uint64_t capacity_millis = 0;
  /// Neither committed nor needed by tasks that wait. Negative when more is needed than there is.
  std::int64_t free_millis = 0;
};

class JobMover {
 public:
  JobMover() = default;
  JobMover(const JobMover&) = delete;
  JobMover& operator=(const JobMover&) = delete;
  virtual ~JobMover() = default;

  /// A shard that has more room than `own` even with the job, which needs `need_millis`; empty when
  /// there is none. The room counts as used by the job from then on.
  virtual std::optional<jobs::ShardIndex> find_target(std::uint64_t need_millis,
                                                      const ShardRoom& own, TimePoint now) = 0;
};

}  // namespace arbutusdale::sched
