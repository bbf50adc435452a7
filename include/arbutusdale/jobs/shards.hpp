// Division of a large fleet into shards. Each shard has a share of the jobs and of the workers, a
// partition of the store for its leader's records, and a leader of its own; the leaders work
// independently of each other. Every daemon computes the shard of a job and of a worker from its id
// and the number of shards alone, which is stored once and never changes afterwards.
#pragma once

#include "arbutusdale/jobs/ids.hpp"
#include "arbutusdale/store/metadata_store.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace arbutusdale::jobs {

/// Number of a shard, from 0.
using ShardIndex = std::uint32_t;

/// The first shard; the only one of a small fleet.
inline constexpr ShardIndex k_first_shard = 0;
/// Most shards of a fleet. Every daemon follows a partition for each.
inline constexpr std::uint32_t k_max_shards = 16;

/// Number of shards of a fleet.
struct ShardLayout {
  std::uint32_t count = 1;

  /// Shard that schedules the job, unless the job has been moved.
  [[nodiscard]] ShardIndex shard_of_job(const JobId& job) const;
  /// Shard whose leader sends orders to the worker. An incarnation under another id may be in
  /// another shard.
  [[nodiscard]] ShardIndex shard_of_worker(std::string_view worker) const;
};

/// Layout for a fleet of `workers`, proposed by a daemon that may use `cpu_share` of a core: a
/// leader with little processor time carries fewer workers.
ShardLayout choose_layout(std::size_t workers, double cpu_share, std::uint32_t max_shards);

/// Partition of the layout's record.
store::Partition layout_partition();
store::KeyedValue encode(const ShardLayout& layout);
/// Empty when the record is another one, cannot be read, or names a number of shards out of range.
std::optional<ShardLayout> decode_layout(const store::Record& record);

}  // namespace arbutusdale::jobs
