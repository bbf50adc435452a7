// Hashes of ids, the number of shards, and the record that stores it.
#include "arbutusdale/jobs/shards.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace arbutusdale::jobs {
namespace {

constexpr std::string_view k_layout_key = "layout";
// Workers that a leader with a whole core carries.
constexpr double k_workers_per_core = 320;
// With fewer workers a shard lacks the room for large steps, and tasks of one image meet more
// images on each worker.
constexpr double k_min_workers_per_shard = 48;

}  // namespace

ShardIndex ShardLayout::shard_of_job(const JobId& job) const {
  return static_cast<ShardIndex>(stable_hash(job.str()) % count);
}

ShardIndex ShardLayout::shard_of_worker(std::string_view worker) const {
  return static_cast<ShardIndex>(stable_hash(std::string(worker)) % count);
}

ShardLayout choose_layout(std::size_t workers, double cpu_share, std::uint32_t max_shards) {
  const double workers_per_shard =
      std::max(k_workers_per_core * cpu_share, k_min_workers_per_shard);
  const auto wanted = static_cast<std::uint32_t>(static_cast<double>(workers) / workers_per_shard);
  return {std::clamp(wanted, 1U, std::clamp(max_shards, 1U, k_max_shards))};
}

store::Partition layout_partition() {
  return {"arbutusdale.layout", 0};
}

store::KeyedValue encode(const ShardLayout& layout) {
  return {std::string(k_layout_key), std::to_string(layout.count)};
}

std::optional<ShardLayout> decode_layout(const store::Record& record) {
  if (record.entry.key != k_layout_key) {
    return std::nullopt;
  }
  const std::string& value = record.entry.value;
  ShardLayout layout;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, layout.count);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end && layout.count >= 1 &&
                     layout.count <= k_max_shards;
  return valid ? std::optional(layout) : std::nullopt;
}

}  // namespace arbutusdale::jobs
