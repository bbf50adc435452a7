// Followers of all partitions of submissions and cancellations. Daemons write to different ones,
// since a partition takes one append at a time: while the store is slow, one partition for all
// daemons would accept a few jobs a second.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace arbutusdale::fleet {

class JobFollowers {
 public:
  JobFollowers(store::MetadataStore& store, Timer& timer, std::uint32_t wait_ms,
               Duration read_delay, store::PartitionListener& listener);

  void start();
  /// See PartitionFollower.
  void catch_up();
  void set_read_delay(Duration read_delay);

  /// Every job accepted before this time has been handed over. Nothing before all partitions have
  /// been read once.
  [[nodiscard]] std::optional<TimePoint> fresh_as_of() const;

 private:
  std::vector<std::unique_ptr<store::PartitionFollower>> m_followers;
};

}  // namespace arbutusdale::fleet
