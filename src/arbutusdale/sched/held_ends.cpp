// Which ended runs may be acknowledged.
#include "arbutusdale/sched/held_ends.hpp"

namespace arbutusdale::sched {

void HeldEnds::hold(std::uint64_t sequence, TimePoint until, TimePoint now) {
  std::erase_if(m_ends, [now](const End& end) { return end.until <= now; });
  const bool is_held_anyway = !m_ends.empty() && m_ends.back().until >= until;
  if (!is_held_anyway && now < until) {
    m_ends.push_back({sequence, until});
  }
}

std::uint64_t HeldEnds::acknowledgeable(std::uint64_t stored, TimePoint now) const {
  for (const End& end : m_ends) {
    if (now < end.until && end.sequence <= stored) {
      return end.sequence - 1;
    }
  }
  return stored;
}

}  // namespace arbutusdale::sched
