// Arithmetic on the three resources that VMs have and tasks need.
#pragma once

#include <compare>
#include <cstdint>

namespace arbutusdale {

/// Amounts of processors, memory and accelerators. Never negative: `minus` saturates at zero.
struct Resources {
  std::uint64_t cpu_millis = 0;  // thousandths of a processor
  std::uint64_t memory_mib = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// True when `need` fits into `free` in every resource.
bool fits(const Resources& need, const Resources& free);

Resources plus(const Resources& a, const Resources& b);

/// Component-wise difference, zero where `b` is larger.
Resources minus(const Resources& a, const Resources& b);

bool is_zero(const Resources& amount);

}  // namespace arbutusdale
