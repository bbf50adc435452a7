// Exponential smoothing of the lag of ticks.
#include "arbutusdale/fleet/loop_lag.hpp"

#include <algorithm>

namespace arbutusdale::fleet {
namespace {

constexpr int k_smoothing_divisor = 5;  // a new sample has a weight of 1/5
constexpr Duration k_lag_limit = std::chrono::milliseconds{100};
// Bounds the effect of a process that was suspended once for seconds.
constexpr Duration k_max_sample = std::chrono::milliseconds{500};

}  // namespace

void LoopLag::on_tick(TimePoint now) {
  if (m_ticked_at) {
    const Duration late = now - *m_ticked_at - k_tick_interval;
    m_lag += (std::clamp(late, Duration::zero(), k_max_sample) - m_lag) / k_smoothing_divisor;
  }
  m_ticked_at = now;
  if (m_lag <= k_lag_limit) {
    m_lagging_since.reset();
  } else if (!m_lagging_since) {
    m_lagging_since = now;
  }
}

}  // namespace arbutusdale::fleet
