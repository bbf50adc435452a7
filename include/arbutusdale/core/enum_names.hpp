// Tables that map enumerators to their names, in both directions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace arbutusdale {

template <typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

/// Name of `value`, or "unknown" when the table does not list it.
template <typename Enum, std::size_t N>
constexpr std::string_view enum_name(const EnumNames<Enum, N>& names, Enum value) {
  for (const auto& [enumerator, name] : names) {
    if (enumerator == value) {
      return name;
    }
  }
  return "unknown";
}

/// Enumerator called `name`, or nothing when the table does not list it.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> enum_value(const EnumNames<Enum, N>& names, std::string_view name) {
  for (const auto& [enumerator, listed] : names) {
    if (listed == name) {
      return enumerator;
    }
  }
  return std::nullopt;
}

}  // namespace arbutusdale
