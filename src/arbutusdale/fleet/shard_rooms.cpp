// Compares the registered workers and the stated rooms, less what was moved since.
#include "arbutusdale/fleet/shard_rooms.hpp"

#include "arbutusdale/sched/task_places.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace arbutusdale::fleet {
namespace {

// By then the target's heartbeats count the job as its own.
constexpr Duration k_recent_time = std::chrono::milliseconds{1'500};

bool counts_the_same(const sched::WorkerEntry& a, const sched::WorkerEntry& b) {
  return a.service == b.service && a.labels == b.labels && a.capacity == b.capacity &&
         a.state == b.state;
}

/// True when the job fits into its own shard, and the other one would have no more room with the
/// job, `left`, than this one has without it.
bool is_better_here(const sched::JobNeed& need, const sched::ShardRoom& own, std::int64_t left) {
  const std::vector<sched::LabelNeed> kinds = need.by_kind();
  return std::all_of(kinds.begin(), kinds.end(), [&](const sched::LabelNeed& kind) {
    const std::int64_t free = own.free_millis(need.service, kind.label);
    return free >= static_cast<std::int64_t>(kind.cpu_millis) && left <= free;
  });
}

}  // namespace

ShardRooms::ShardRooms(const jobs::JobTable& jobs, jobs::ShardIndex shard)
    : m_jobs(jobs), m_shard(shard), m_shards(jobs.layout().count) {}

void ShardRooms::on_worker_updated(const sched::WorkerEntry& entry) {
  Shard& shard = m_shards[m_jobs.layout().shard_of_worker(entry.id)];
  const auto [found, added] = shard.workers.try_emplace(entry.id, entry);
  if (!added && counts_the_same(found->second, entry)) {
    return;
  }
  found->second = entry;
  shard.is_outdated = true;
}

void ShardRooms::on_worker_gone(const std::string& id) {
  Shard& shard = m_shards[m_jobs.layout().shard_of_worker(id)];
  shard.is_outdated = shard.workers.erase(id) > 0 || shard.is_outdated;
}

const sched::ShardRoom& ShardRooms::registered_room(jobs::ShardIndex shard) {
  Shard& state = m_shards[shard];
  if (!std::exchange(state.is_outdated, false)) {
    return state.registered;
  }
  state.registered = {};
  for (const auto& [id, entry] : state.workers) {
    if (entry.state == sched::WorkerState::ready) {
      state.registered.add_worker(entry, entry.capacity.cpu_millis);
    }
  }
  return state.registered;
}

std::int64_t ShardRooms::room_left(jobs::ShardIndex shard, const sched::JobNeed& need) {
  auto stated = static_cast<std::int64_t>(m_jobs.leadership(shard)->free_cpu_millis());
  for (const RecentMove& move : m_recent) {
    stated -= move.to == shard ? static_cast<std::int64_t>(move.cpu_millis) : 0;
  }
  const sched::ShardRoom& registered = registered_room(shard);
  std::int64_t least = std::numeric_limits<std::int64_t>::max();
  for (const sched::LabelNeed& kind : need.by_kind()) {
    const auto capacity =
        static_cast<std::int64_t>(registered.capacity_millis(need.service, kind.label));
    const std::int64_t left =
        std::min(stated, capacity) - static_cast<std::int64_t>(kind.cpu_millis);
    least = std::min(least, left);
  }
  return least;
}

bool ShardRooms::may_have_places(jobs::ShardIndex shard, const sched::JobNeed& need) const {
  const auto& leadership = m_jobs.leadership(shard);
  if (!need.lasts || !leadership->has_free_workers()) {
    return true;
  }
  const auto& stated = leadership->free_workers();
  const sched::FreeWorkerCounts free{stated.step_millis(),
                                     {stated.counts().begin(), stated.counts().end()}};
  return sched::may_have_places_for(free, need);
}

std::optional<jobs::ShardIndex> ShardRooms::find_target(const sched::JobNeed& need,
                                                        const sched::ShardRoom& own,
                                                        bool own_has_places, TimePoint now) {
  std::erase_if(m_recent, [now](const RecentMove& move) { return now - move.at > k_recent_time; });
  std::optional<jobs::ShardIndex> best;
  std::int64_t best_left = 0;
  const bool own_can_host = own.can_host(need);
  for (jobs::ShardIndex shard = 0; shard < m_shards.size(); ++shard) {
    const auto& leadership = m_jobs.leadership(shard);
    const bool is_led = leadership && !leadership->released();
    if (shard == m_shard || !is_led || !registered_room(shard).can_host(need)) {
      continue;
    }
    const std::int64_t left = room_left(shard, need);
    const bool is_better = !own_has_places || !is_better_here(need, own, left);
    const bool is_suitable =
        !own_can_host || (left >= 0 && is_better && may_have_places(shard, need));
    if (is_suitable && (!best || left > best_left)) {
      best = shard;
      best_left = left;
    }
  }
  if (best) {
    m_recent.push_back({*best, need.cpu_millis(), now});
  }
  return best;
}

}  // namespace arbutusdale::fleet
