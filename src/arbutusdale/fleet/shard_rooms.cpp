// Compares the stated rooms, less what was moved since.
#include "arbutusdale/fleet/shard_rooms.hpp"

namespace arbutusdale::fleet {
namespace {

// By then the target's heartbeats count the job as its own.
constexpr Duration k_recent_time = std::chrono::milliseconds{1'500};

}  // namespace

std::optional<jobs::ShardIndex> ShardRooms::find_target(std::uint64_t need_millis,
                                                        const sched::ShardRoom& own,
                                                        TimePoint now) {
  std::erase_if(m_recent, [now](const RecentMove& move) { return now - move.at > k_recent_time; });
  const auto need = static_cast<std::int64_t>(need_millis);
  std::optional<jobs::ShardIndex> best;
  std::int64_t best_free = own.free_millis + need;  // with the job, more is left there than here
  for (jobs::ShardIndex shard = 0; shard < m_jobs.layout().count; ++shard) {
    const auto& leadership = m_jobs.leadership(shard);
    if (shard == m_shard || !leadership || leadership->released()) {
      continue;
    }
    auto free = static_cast<std::int64_t>(leadership->free_cpu_millis());
    for (const RecentMove& move : m_recent) {
      free -= move.to == shard ? static_cast<std::int64_t>(move.need_millis) : 0;
    }
    if (free >= need && free > best_free) {
      best = shard;
      best_free = free;
    }
  }
  if (best) {
    m_recent.push_back({*best, need_millis, now});
  }
  return best;
}

}  // namespace arbutusdale::fleet
