// Compares shares and bounds the age of the records.
#include "arbutusdale/fleet/stronger_daemons.hpp"

#include <algorithm>

namespace arbutusdale::fleet {
namespace {

// A change of leader costs some tenths of a second without starts, which a small gain is not worth.
constexpr double k_stronger_ratio = 1.5;
constexpr double k_peer_ratio = 0.9;
constexpr double k_millis = 1'000;
// Daemons that accept jobs write a presence record every two seconds.
constexpr Duration k_in_touch_time = std::chrono::seconds{5};
constexpr Duration k_known_time = std::chrono::seconds{60};
constexpr std::uint64_t k_known_time_ms = 60'000;

bool is_recent(const std::optional<TimePoint>& since, TimePoint now, Duration bound) {
  return since && now - *since <= bound;
}

}  // namespace

StrongerDaemons::StrongerDaemons(double cpu_share) : m_cpu_share(cpu_share) {}

bool StrongerDaemons::is_stronger(const jobs::DaemonPresence& presence) const {
  return presence.cpu_millis >= m_cpu_share * k_millis * k_stronger_ratio;
}

void StrongerDaemons::on_presence(const jobs::DaemonPresence& presence, TimePoint now) {
  if (presence.cpu_millis >= m_cpu_share * k_millis * k_peer_ratio) {
    m_peers[presence.daemon] = now;
  }
  if (is_stronger(presence)) {
    m_in_touch_at = now;
    m_known_at = now;
  }
}

void StrongerDaemons::on_stored_presence(const jobs::DaemonPresence& presence,
                                         std::uint64_t wall_ms, TimePoint now) {
  if (is_stronger(presence) && wall_ms <= presence.wall_ms + k_known_time_ms) {
    m_known_at = now;
  }
}

bool StrongerDaemons::are_in_touch(TimePoint now) const {
  return is_recent(m_in_touch_at, now, k_in_touch_time);
}

bool StrongerDaemons::is_peer_idle(const std::set<std::string>& leading, TimePoint now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    return now - peer.second <= k_in_touch_time && !leading.contains(peer.first);
  });
}

bool StrongerDaemons::are_known(TimePoint now) const {
  return is_recent(m_known_at, now, k_known_time);
}

}  // namespace arbutusdale::fleet
