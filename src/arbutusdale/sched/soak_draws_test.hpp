// Random draws and settings of the soaks.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>

namespace arbutusdale::sched {

/// Draws from the random numbers of one run.
struct SoakDraws {
  Random random;

  bool chance(double share) { return random_unit(random) < share; }
  Duration ms(std::uint64_t least, std::uint64_t most) {
    return std::chrono::milliseconds{least + random_index(random, most - least + 1)};
  }
};

/// The number in an environment variable; `otherwise` when it is not set.
inline std::uint64_t environment_number(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

}  // namespace arbutusdale::sched
