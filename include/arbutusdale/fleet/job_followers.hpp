// Followers of all partitions of submissions and cancellations. Daemons write to different ones,
// since a partition processes one append at a time: while the store is slow, a single partition
// would accept only a few jobs per second from all daemons together. A job whose deletion was
// missed is reported as deleted by the next scan of its partition.
#pragma once

#include "arbutusdale/core/timer.hpp"
#include "arbutusdale/store/deletion_reporter.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::fleet {

class JobFollowers {
 public:
  JobFollowers(store::MetadataStore& store, Timer& timer, std::uint32_t wait_ms,
               Duration read_delay, const std::string& daemon, store::PartitionListener& listener);

  void start();
  /// Calls `catch_up` on the follower of each partition.
  void catch_up();
  void set_read_delay(Duration read_delay);

  /// Every job accepted before this time has been delivered. Empty before all partitions have been
  /// scanned once.
  [[nodiscard]] std::optional<TimePoint> fresh_as_of() const;

 private:
  struct FollowedPartition {
    store::DeletionReporter reporter;
    store::PartitionFollower follower;

    FollowedPartition(store::MetadataStore& store, Timer& timer, store::FollowerOptions options,
                      store::PartitionListener& listener)
        : reporter(listener), follower(store, timer, std::move(options), reporter) {}
  };

  std::vector<std::unique_ptr<FollowedPartition>> m_partitions;
};

}  // namespace arbutusdale::fleet
