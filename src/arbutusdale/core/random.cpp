// Random numbers that do not depend on the standard library's distributions.
#include "arbutusdale/core/random.hpp"

namespace arbutusdale {

std::uint64_t random_index(Random& random, std::uint64_t count) {
  return static_cast<std::uint64_t>(random_unit(random) * static_cast<double>(count)) % count;
}

double random_unit(Random& random) {
  constexpr int k_discarded_bits = 11;  // leaves the 53 bits of a double's mantissa
  constexpr double k_scale = 1.0 / 9007199254740992.0;
  return static_cast<double>(random() >> k_discarded_bits) * k_scale;
}

}  // namespace arbutusdale
