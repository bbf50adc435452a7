// Hashes for the placement of keys and workers; identical on every daemon and in every version.
#pragma once

#include <cstdint>
#include <string_view>

namespace arbutusdale {

/// XXH64 of `data`. Daemons derive ownership from it, so its values must never change.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

/// Index in [0, buckets) with the highest rendezvous weight for `key`; buckets >= 1.
std::uint32_t rendezvous_bucket(std::string_view key, std::uint32_t buckets);

}  // namespace arbutusdale
