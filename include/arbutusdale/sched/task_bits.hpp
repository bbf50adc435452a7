// Sets of tasks of a step as bytes of a record: bit i % 8 of byte i / 8 is task i.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace arbutusdale::sched {

inline constexpr std::uint32_t k_tasks_per_byte = 8;

[[nodiscard]] inline bool has_bit(const std::string& bits, std::uint32_t task) {
  const std::size_t byte = task / k_tasks_per_byte;
  const std::uint32_t bit = task % k_tasks_per_byte;
  return byte < bits.size() && ((static_cast<unsigned char>(bits[byte]) >> bit) & 1U) != 0;
}

inline void set_bit(std::string& bits, std::uint32_t task) {
  const std::size_t byte = task / k_tasks_per_byte;
  if (byte >= bits.size()) {
    bits.resize(byte + 1, '\0');
  }
  const std::uint32_t bit = task % k_tasks_per_byte;
  bits[byte] = static_cast<char>(static_cast<unsigned char>(bits[byte]) | (1U << bit));
}

}  // namespace arbutusdale::sched
