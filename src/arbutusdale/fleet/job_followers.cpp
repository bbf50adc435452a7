// Combines the followers; the least recent of them determines how fresh the jobs are.
#include "arbutusdale/fleet/job_followers.hpp"

#include "arbutusdale/jobs/job_table.hpp"

#include <algorithm>

namespace arbutusdale::fleet {

JobFollowers::JobFollowers(store::MetadataStore& store, Timer& timer, std::uint32_t wait_ms,
                           Duration read_delay, store::PartitionListener& listener) {
  for (const store::Partition& partition : jobs::job_partitions()) {
    m_followers.push_back(std::make_unique<store::PartitionFollower>(
        store, timer, store::FollowerOptions{partition, wait_ms, read_delay}, listener));
  }
}

void JobFollowers::start() {
  for (const auto& follower : m_followers) {
    follower->start();
  }
}

void JobFollowers::catch_up() {
  for (const auto& follower : m_followers) {
    follower->catch_up();
  }
}

void JobFollowers::set_read_delay(Duration read_delay) {
  for (const auto& follower : m_followers) {
    follower->set_read_delay(read_delay);
  }
}

std::optional<TimePoint> JobFollowers::fresh_as_of() const {
  std::optional<TimePoint> oldest;
  for (const auto& follower : m_followers) {
    const auto as_of = follower->fresh_as_of();
    if (!as_of) {
      return std::nullopt;
    }
    oldest = oldest ? std::min(*oldest, *as_of) : *as_of;
  }
  return oldest;
}

}  // namespace arbutusdale::fleet
