// Waiting times before a handover, and the growing interval between two.
#include "arbutusdale/fleet/handover_policy.hpp"

#include <algorithm>

namespace arbutusdale::fleet {
namespace {

constexpr Duration k_lagging_time = std::chrono::seconds{1};
// A leader that carries its work waits for a while, since jobs wait during a change of leader, and
// as long as a worker is out of reach, for whose leases the next leader would wait anew.
constexpr Duration k_settle_time = std::chrono::seconds{5};
constexpr Duration k_max_interval = std::chrono::seconds{240};

}  // namespace

bool HandoverPolicy::should_hand_over(TimePoint now, const LeaderLoad& load) {
  if (!load.stronger_in_touch || !load.can_be_taken_over_at_once) {
    m_settled_since.reset();
  } else {
    m_settled_since = m_settled_since.value_or(now);
  }
  if (!load.stronger_in_touch) {
    return false;
  }
  const bool lags = load.lagging_since && now - *load.lagging_since >= k_lagging_time;
  const bool settled = m_settled_since && now - *m_settled_since >= k_settle_time;
  if ((!lags && !settled) || (m_not_before && now < *m_not_before)) {
    return false;
  }
  m_not_before = now + m_min_interval;
  m_min_interval = std::min(m_min_interval * 2, k_max_interval);
  return true;
}

}  // namespace arbutusdale::fleet
