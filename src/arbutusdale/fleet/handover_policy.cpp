// Waiting times before a handover, and the growing interval between two.
#include "arbutusdale/fleet/handover_policy.hpp"

#include <algorithm>

namespace arbutusdale::fleet {
namespace {

constexpr Duration k_lagging_time = std::chrono::seconds{1};
// A leader that carries its work waits for a while, since jobs wait during a change of leader.
constexpr Duration k_settle_time = std::chrono::seconds{5};
constexpr Duration k_max_interval = std::chrono::seconds{240};

}  // namespace

bool HandoverPolicy::should_hand_over(TimePoint now, const LeaderLoad& load) {
  if (!load.stronger_in_touch) {
    m_stronger_since.reset();
    return false;
  }
  m_stronger_since = m_stronger_since.value_or(now);
  const bool lags = load.lagging_since && now - *load.lagging_since >= k_lagging_time;
  const bool settled = now - *m_stronger_since >= k_settle_time;
  if ((!lags && !settled) || (m_not_before && now < *m_not_before)) {
    return false;
  }
  m_not_before = now + m_min_interval;
  m_min_interval = std::min(m_min_interval * 2, k_max_interval);
  return true;
}

}  // namespace arbutusdale::fleet
