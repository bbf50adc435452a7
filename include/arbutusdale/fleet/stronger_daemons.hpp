// Whether daemons with much more processor time than this one exist and are in touch, as shown by
// their presence records. A weak daemon leaves the leadership to them.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/jobs/daemon_presence.hpp"

#include <optional>

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
  /// A stronger daemon existed within the last minute; it may have ended.
  [[nodiscard]] bool are_known(TimePoint now) const;

 private:
  [[nodiscard]] bool is_stronger(const jobs::DaemonPresence& presence) const;

  double m_cpu_share;
  std::optional<TimePoint> m_in_touch_at;
  std::optional<TimePoint> m_known_at;
};

}  // namespace arbutusdale::fleet
