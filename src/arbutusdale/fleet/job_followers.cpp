// The least recent of the partitions counts.
#include "arbutusdale/fleet/job_followers.hpp"

#include "arbutusdale/jobs/job_table.hpp"

#include <algorithm>

namespace arbutusdale::fleet {

JobFollowers::JobFollowers(store::MetadataStore& store, Timer& timer, std::uint32_t wait_ms,
                           Duration pause, store::PartitionListener& listener) {
  for (const store::Partition& partition : jobs::job_partitions()) {
    m_followers.push_back(std::make_unique<store::PartitionFollower>(
        store, timer, store::FollowerOptions{partition, wait_ms, pause}, listener));
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

void JobFollowers::set_pause(Duration pause) {
  for (const auto& follower : m_followers) {
    follower->set_pause(pause);
  }
}

std::optional<TimePoint> JobFollowers::fresh_as_of() const {
  std::optional<TimePoint> least;
  for (const auto& follower : m_followers) {
    const auto fresh = follower->fresh_as_of();
    if (!fresh) {
      return std::nullopt;
    }
    least = least ? std::min(*least, *fresh) : *fresh;
  }
  return least;
}

}  // namespace arbutusdale::fleet
