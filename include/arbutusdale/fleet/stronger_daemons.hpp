// Whether daemons with much more processor time than this one exist and are in touch, as shown by
// their presence records. A weak daemon leaves the leadership to them.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/daemon_presence.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutusdale::fleet {

class StrongerDaemons {
 public:
  /// `cpu_share` is the fraction of a core that this daemon may use.
  explicit StrongerDaemons(double cpu_share);

  /// A presence record was read just after it was written.
  void on_presence(const jobs::DaemonPresence& presence, TimePoint now);
  /// A presence record was found in the store at the start; it may be old.
  void on_stored_presence(const jobs::DaemonPresence& presence, std::uint64_t wall_ms,
                          TimePoint now);

  /// A stronger daemon has reached the store within the last seconds.
  [[nodiscard]] bool are_in_touch(TimePoint now) const;
  /// A daemon that is about as strong as this one has reached the store within the last seconds and
  /// is not one of `leading`.
  [[nodiscard]] bool is_peer_idle(const std::set<std::string>& leading, TimePoint now) const;
  /// A stronger daemon existed within the last minute; it may have ended.
  [[nodiscard]] bool are_known(TimePoint now) const;

 private:
  [[nodiscard]] bool is_stronger(const jobs::DaemonPresence& presence) const;

  double m_cpu_share;
  std::optional<TimePoint> m_in_touch_at;
  std::optional<TimePoint> m_known_at;
  std::map<std::string, TimePoint> m_peers;  // name and newest presence of daemons as strong
};

}  // namespace arbutusdale::fleet
