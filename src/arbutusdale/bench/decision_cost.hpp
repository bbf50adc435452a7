// Cost of single decisions against the number of workers and of keys.
#pragma once

#include <cstdint>
#include <string>

namespace arbutusdale::bench {

/// Table of the time for one routing decision and one key decision, as ratios to the smallest
/// size; the absolute times are of this machine only.
std::string measure_decision_cost(std::uint64_t seed);

}  // namespace arbutusdale::bench
