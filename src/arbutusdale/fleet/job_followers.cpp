// Combines the followers; the least recent of them determines how fresh the jobs are.
#include "arbutusdale/fleet/job_followers.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/jobs/job_table.hpp"

#include <algorithm>

namespace arbutusdale::fleet {

JobFollowers::JobFollowers(store::MetadataStore& store, Timer& timer, std::uint32_t wait_ms,
                           Duration read_delay, const std::string& daemon,
                           store::PartitionListener& listener) {
  for (const store::Partition& partition : jobs::job_partitions()) {
    m_partitions.push_back(std::make_unique<FollowedPartition>(
        store, timer,
        store::FollowerOptions{partition, wait_ms, read_delay,
                               stable_hash(daemon, partition.index)},
        listener));
  }
}

void JobFollowers::start() {
  for (const auto& partition : m_partitions) {
    partition->follower.start();
  }
}

void JobFollowers::catch_up() {
  for (const auto& partition : m_partitions) {
    partition->follower.catch_up();
  }
}

void JobFollowers::set_read_delay(Duration read_delay) {
  for (const auto& partition : m_partitions) {
    partition->follower.set_read_delay(read_delay);
  }
}

std::optional<TimePoint> JobFollowers::fresh_as_of() const {
  std::optional<TimePoint> oldest;
  for (const auto& partition : m_partitions) {
    const auto as_of = partition->follower.fresh_as_of();
    if (!as_of) {
      return std::nullopt;
    }
    oldest = oldest ? std::min(*oldest, *as_of) : *as_of;
  }
  return oldest;
}

}  // namespace arbutusdale::fleet
