// Finds a shard for a job that the workers of its own shard can't run, or have no room for. The
// shards' shares of the jobs and of the workers differ by chance, serving tasks that last fill most
// of a fleet, and workers are lost, so some shards are full, or lack a kind of worker, while others
// are not.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/shards.hpp"
#include "arbutusdale/sched/job_need.hpp"
#include "arbutusdale/sched/shard_room.hpp"

#include <optional>

namespace arbutusdale::sched {

class JobMover {
 public:
  JobMover() = default;
  JobMover(const JobMover&) = delete;
  JobMover& operator=(const JobMover&) = delete;
  virtual ~JobMover() = default;

  /// False on a fleet with one shard.
  [[nodiscard]] virtual bool has_other_shards() const = 0;
  /// A shard whose workers can run the job. If those of `own` can, too, it must have places for the
  /// job's lasting tasks and, if `own` also has them, more room than `own` even with the job. Empty
  /// when there is none. The room counts as used by the job from then on.
  virtual std::optional<jobs::ShardIndex> find_target(const JobNeed& need, const ShardRoom& own,
                                                      bool own_has_places, TimePoint now) = 0;
};

}  // namespace arbutusdale::sched
