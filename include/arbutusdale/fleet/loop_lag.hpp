// How late the event loop runs its periodic tick, smoothed. A lag that lasts means that the process
// gets too little processor time for its work.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <optional>

namespace arbutusdale::fleet {

class LoopLag {
 public:
  /// Call at every tick; ticks are due `k_tick_interval` apart.
  void on_tick(TimePoint now);

  [[nodiscard]] Duration lag() const { return m_lag; }
  /// Since when the lag has been over the limit without a break; empty while it is not.
  [[nodiscard]] std::optional<TimePoint> lagging_since() const { return m_lagging_since; }

  static constexpr Duration k_tick_interval = std::chrono::milliseconds{100};

 private:
  std::optional<TimePoint> m_ticked_at;
  Duration m_lag{};
  std::optional<TimePoint> m_lagging_since;
};

}  // namespace arbutusdale::fleet
