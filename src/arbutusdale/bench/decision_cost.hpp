// Measures the cost of single decisions as a function of the number of workers and of keys.
#pragma once

#include <cstdint>
#include <string>

namespace arbutusdale::bench {

/// Returns a table with the time of one routing decision and of one key decision, in nanoseconds
/// and as a ratio to the smallest size. The absolute times hold for the machine of the run only.
std::string measure_decision_cost(std::uint64_t seed);

}  // namespace arbutusdale::bench
