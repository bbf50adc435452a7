// Projection of a run's duration from its progress.
#include "arbutusdale/sched/straggler.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

constexpr Duration k_stuck_time = std::chrono::milliseconds{1'300};
// Progress is reported in whole percents, so a slow run may need longer for the next one.
constexpr int k_stuck_progress_percent = 4;
// Before any progress, one percent is assumed to take 1/50 of the estimate, twice its share.
constexpr int k_unknown_rate_divisor = 50;
constexpr double k_min_speed = 0.05;
// The speed of a younger run is not meaningful.
constexpr Duration k_min_elapsed = std::chrono::milliseconds{500};
constexpr double k_min_elapsed_share = 0.6;  // of the estimate
// Estimates are rough, and a move costs a stop and a new start.
constexpr double k_estimate_margin = 1.5;
constexpr Duration k_move_cost = std::chrono::milliseconds{600};

}  // namespace

bool is_stuck(const RunProgress& progress) {
  const Duration moving = progress.elapsed - progress.since_progress;
  const Duration per_percent =
      progress.percent > 0 ? moving / progress.percent : progress.estimate / k_unknown_rate_divisor;
  return progress.percent < 100 &&
         progress.since_progress >= k_stuck_time + k_stuck_progress_percent * per_percent;
}

std::optional<double> speed_of(const RunProgress& progress) {
  if (progress.elapsed < k_min_elapsed || progress.estimate <= Duration::zero()) {
    return std::nullopt;
  }
  return static_cast<double>(progress.percent) / 100 *
         static_cast<double>(progress.estimate.count()) /
         static_cast<double>(progress.elapsed.count());
}

bool is_straggler(const RunProgress& progress, double typical_speed) {
  const double speed = std::clamp(typical_speed, k_min_speed, 1.0);
  const auto expected = std::chrono::duration_cast<Duration>(progress.estimate / speed);
  const auto part = std::chrono::duration_cast<Duration>(expected * k_min_elapsed_share);
  if (progress.elapsed < std::max(k_min_elapsed, part)) {
    return false;
  }
  const Duration projected = progress.elapsed * 100 / std::max(progress.percent, 1U);
  const auto again = std::chrono::duration_cast<Duration>(expected * k_estimate_margin);
  return projected - progress.elapsed > again + k_move_cost;
}

}  // namespace arbutusdale::sched
