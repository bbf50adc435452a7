// Arithmetic on resources.
#include "arbutusdale/core/resources.hpp"

namespace arbutusdale {
namespace {

template <typename T>
T saturating_minus(T a, T b) {
  return a > b ? static_cast<T>(a - b) : T{0};
}

}  // namespace

bool fits(const Resources& need, const Resources& free) {
  return need.cpu_millis <= free.cpu_millis && need.memory_mib <= free.memory_mib &&
         need.accelerators <= free.accelerators;
}

Resources plus(const Resources& a, const Resources& b) {
  return Resources{a.cpu_millis + b.cpu_millis, a.memory_mib + b.memory_mib,
                   a.accelerators + b.accelerators};
}

Resources minus(const Resources& a, const Resources& b) {
  return Resources{saturating_minus(a.cpu_millis, b.cpu_millis),
                   saturating_minus(a.memory_mib, b.memory_mib),
                   saturating_minus(a.accelerators, b.accelerators)};
}

bool is_zero(const Resources& amount) {
  return amount == Resources{};
}

}  // namespace arbutusdale
