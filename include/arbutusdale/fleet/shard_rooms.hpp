// Chooses the shard to which a job is moved, by the registrations of the shards' workers and by the
// room that the leaders state in their heartbeats.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/sched/job_mover.hpp"
#include "arbutusdale/sched/worker_directory.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::fleet {

class ShardRooms final : public sched::JobMover, public sched::WorkerListener {
 public:
  /// For the leader of `shard`.
  ShardRooms(const jobs::JobTable& jobs, jobs::ShardIndex shard);

  [[nodiscard]] bool has_other_shards() const override { return m_shards.size() > 1; }
  std::optional<jobs::ShardIndex> find_target(const sched::JobNeed& need,
                                              const sched::ShardRoom& own, bool own_has_places,
                                              TimePoint now) override;

  /// Registrations of the workers of all shards.
  void on_worker_updated(const sched::WorkerEntry& entry) override;
  void on_worker_gone(const std::string& id) override;
  void on_workers_loaded() override {}

 private:
  struct Shard {
    std::unordered_map<std::string, sched::WorkerEntry> workers;  // registered, by id
    sched::ShardRoom registered;  // of those that are ready, as if nothing ran on them
    bool is_outdated = false;     // `registered` has to be built again
  };

  /// A job that was moved a short time ago.
  struct RecentMove {
    jobs::ShardIndex to = 0;
    std::uint64_t cpu_millis = 0;
    TimePoint at{};
  };

  /// Capacity of the workers that are registered as ready.
  const sched::ShardRoom& registered_room(jobs::ShardIndex shard);
  /// What would be left of the scarcest kind of worker that the job needs at once. The leaders
  /// state one figure for all their workers, which bounds that of each kind.
  [[nodiscard]] std::int64_t room_left(jobs::ShardIndex shard, const sched::JobNeed& need);
  /// True unless the leader states that its workers lack places for tasks of the job that last.
  [[nodiscard]] bool may_have_places(jobs::ShardIndex shard, const sched::JobNeed& need) const;

  const jobs::JobTable& m_jobs;
  const jobs::ShardIndex m_shard;
  std::vector<Shard> m_shards;
  std::vector<RecentMove> m_recent;
};

}  // namespace arbutusdale::fleet
