// Seeded random numbers. Every use has its own seed, so that runs are reproducible.
#pragma once

#include <cstdint>
#include <random>

namespace arbutusdale {

using Random = std::mt19937_64;

/// Uniform index in [0, count); count >= 1. Same result on every standard library.
std::uint64_t random_index(Random& random, std::uint64_t count);

/// Uniform number in [0, 1).
double random_unit(Random& random);

}  // namespace arbutusdale
