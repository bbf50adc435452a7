// Decides when a leader hands over to a stronger daemon: soon when it lags, later when it carries
// its work. Handovers of one process are rare, so that daemons that are in touch but do not claim
// cannot keep the fleet without a leader.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <optional>

namespace arbutusdale::fleet {

/// State of a leader.
struct LeaderLoad {
  bool stronger_in_touch = false;
  std::optional<TimePoint> lagging_since;  // empty while it carries its work
  /// Another leader need not wait for leases to expire.
  bool can_be_taken_over_at_once = true;
};

class HandoverPolicy {
 public:
  /// Call at every tick of a leader. Returns true when it should hand over now, and counts that as
  /// a handover.
  bool should_hand_over(TimePoint now, const LeaderLoad& load);
  /// This daemon does not lead any more.
  void on_leadership_lost() { m_settled_since.reset(); }

 private:
  /// Since then a stronger daemon is in touch and could take over at once.
  std::optional<TimePoint> m_settled_since;
  std::optional<TimePoint> m_not_before;  // earliest next handover
  Duration m_min_interval = k_first_interval;

  static constexpr Duration k_first_interval = std::chrono::seconds{30};
};

}  // namespace arbutusdale::fleet
