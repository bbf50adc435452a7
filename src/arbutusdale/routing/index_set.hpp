// Set of small integers with constant-time insert, erase and random choice.
#pragma once

#include <cstdint>
#include <vector>

namespace arbutusdale::routing {

/// Unordered set of indices; memory grows with the largest index.
class IndexSet {
 public:
  [[nodiscard]] bool empty() const { return m_items.empty(); }
  [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(m_items.size()); }
  [[nodiscard]] std::uint32_t at(std::uint64_t position) const { return m_items[position]; }

  [[nodiscard]] bool contains(std::uint32_t index) const {
    return index < m_positions.size() && m_positions[index] != k_absent;
  }

  void insert(std::uint32_t index) {
    if (contains(index)) {
      return;
    }
    if (index >= m_positions.size()) {
      m_positions.resize(index + 1U, k_absent);
    }
    m_positions[index] = size();
    m_items.push_back(index);
  }

  void erase(std::uint32_t index) {
    if (!contains(index)) {
      return;
    }
    const std::uint32_t position = m_positions[index];
    m_items[position] = m_items.back();
    m_positions[m_items[position]] = position;
    m_items.pop_back();
    m_positions[index] = k_absent;
  }

 private:
  static constexpr std::uint32_t k_absent = 0xFFFFFFFF;

  std::vector<std::uint32_t> m_items;
  std::vector<std::uint32_t> m_positions;  // by index; k_absent when not in the set
};

}  // namespace arbutusdale::routing
