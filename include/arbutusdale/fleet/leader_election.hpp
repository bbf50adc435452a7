// Decides when a daemon claims the leadership. A claim is an append under the condition that the
// leader's partition has not grown, so of several daemons at most one succeeds; these rules only
// keep daemons from claiming while the leader is well.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace arbutusdale::fleet {

/// Longest time between two records of a leader that is well.
inline constexpr Duration k_leader_heartbeat_interval = std::chrono::milliseconds{300};
/// A leader starts no tasks when its last append that succeeded was sent longer ago.
inline constexpr Duration k_max_confirmation_age_for_starts = std::chrono::milliseconds{1'800};
/// A leader extends no leases when its last append that succeeded was sent longer ago.
inline constexpr Duration k_max_confirmation_age_for_leases = k_max_confirmation_age_for_starts;
/// Followers wait this long for a record. Longer than k_max_confirmation_age_for_starts, so that a
/// leader that is cut off has stopped starting tasks before another one begins.
inline constexpr Duration k_election_timeout = std::chrono::milliseconds{2'200};

/// How well this daemon knows the leader's partition.
struct FollowerState {
  bool loaded = false;
  std::optional<TimePoint> fresh_as_of;
  Duration read_latency{};
};

class LeaderElection {
 public:
  /// `cpu_share` is the part of a core that the daemon may use.
  LeaderElection(const std::string& daemon, double cpu_share);

  /// A record of a leader has arrived.
  void on_leader_activity(TimePoint now) { m_last_activity = now; }
  /// The newest leadership record says that there is no leader, or there is no such record.
  void on_leadership_vacant(TimePoint now);
  /// The leader has released its leadership, or another daemon has claimed it.
  void on_leadership_held() { m_vacant_since.reset(); }
  /// A claim was refused; another daemon may have been faster.
  void on_claim_refused(TimePoint now) { m_last_activity = now; }

  [[nodiscard]] bool should_claim(TimePoint now, const FollowerState& state) const;

 private:
  Duration
      m_claim_delay;  // differs between daemons and is shorter on those with more processor time
  std::optional<TimePoint> m_vacant_since;
  std::optional<TimePoint> m_last_activity;
};

}  // namespace arbutusdale::fleet
