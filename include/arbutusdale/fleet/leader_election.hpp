// Decides when a daemon claims the leadership. A claim is a conditional append that succeeds only
// if the leader's partition has not grown, so at most one of several claims succeeds; these rules
// only keep daemons from claiming while the leader is healthy.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace arbutusdale::fleet {

/// Longest time between two records of a healthy leader.
inline constexpr Duration k_leader_heartbeat_interval = std::chrono::milliseconds{300};
/// A leader starts no tasks when its last successful append was sent longer ago.
inline constexpr Duration k_max_confirmation_age_for_starts = std::chrono::milliseconds{1'800};
/// A leader extends no leases when its last successful append was sent longer ago.
inline constexpr Duration k_max_confirmation_age_for_leases = k_max_confirmation_age_for_starts;
/// Other daemons claim after this long without a record of the leader. Longer than
/// k_max_confirmation_age_for_starts, so that a leader that is disconnected from the store has
/// stopped starting tasks before its successor starts any.
inline constexpr Duration k_election_timeout = std::chrono::milliseconds{2'200};

/// How current this daemon's view of the leader's partition is.
struct FollowerState {
  /// The partition has been read in full, and the job table is current.
  bool loaded = false;
  std::optional<TimePoint> fresh_as_of;
  Duration read_latency{};
  /// Daemons with much more processor time than this one have reached the store just now, or have
  /// existed a short time ago.
  bool stronger_in_touch = false;
  bool stronger_known = false;
  std::size_t shards_led = 0;  // by this daemon; it leaves further ones to daemons that lead fewer
};

class LeaderElection {
 public:
  /// `cpu_share` is the fraction of a core that the daemon may use.
  LeaderElection(const std::string& daemon, double cpu_share);

  /// A record of a leader has arrived, or this daemon has stepped down.
  void on_leader_activity(TimePoint now) { m_last_activity = now; }
  /// No daemon leads: there is no leadership record, or the newest one releases the leadership.
  void on_leadership_vacant(TimePoint now);
  /// The newest leadership record is from an earlier incarnation of this daemon, which has ended.
  void on_earlier_incarnation_led(TimePoint now);
  /// A daemon leads: the newest leadership record names it, or this daemon's claim has succeeded.
  void on_leadership_held() {
    m_vacant_since.reset();
    m_earlier_incarnation_led = false;
  }
  /// A claim has failed; another daemon may have claimed first.
  void on_claim_refused(TimePoint now) { m_last_activity = now; }

  /// Call at every tick while this daemon does not lead.
  [[nodiscard]] bool should_claim(TimePoint now, const FollowerState& state);

 private:
  /// Differs between daemons and is shorter on those with more processor time.
  Duration m_claim_delay;
  std::optional<TimePoint> m_vacant_since;
  /// Only this daemon knows of the vacancy; the others wait for the election timeout.
  bool m_earlier_incarnation_led = false;
  std::optional<TimePoint> m_last_activity;
  /// The view of the partition was too old for a claim. The delays count from then, so that they
  /// also order the claims of daemons that regain the store together.
  std::optional<TimePoint> m_last_stale;
};

}  // namespace arbutusdale::fleet
