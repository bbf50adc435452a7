// Stable hashes by xxHash.
#include "arbutusdale/core/hash.hpp"

#include <xxhash.h>

namespace arbutusdale {

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::uint32_t rendezvous_bucket(std::string_view key, std::uint32_t buckets) {
  std::uint32_t best = 0;
  std::uint64_t best_weight = 0;
  for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
    const std::uint64_t weight = stable_hash(key, bucket + 1);
    if (bucket > 0 && weight <= best_weight) {
      continue;
    }
    best = bucket;
    best_weight = weight;
  }
  return best;
}

}  // namespace arbutusdale
