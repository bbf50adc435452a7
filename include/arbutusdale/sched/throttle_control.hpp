// Throttling of the opportunistic runs on one worker, for serving tasks whose own load swings
// within seconds. A harmful image does not affect the tail latencies while that load is low and
// multiplies them while it is high. Harmful runs are therefore slowed down when the tails rise,
// paused while the tails are still well below their targets, and moved to another worker. When a
// tail exceeds its target nevertheless, the likely causes are paused at once, and after a while all
// runs.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/task_table.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::sched {

/// A pair of images is treated as harmful from this belief on.
inline constexpr double k_harmful = 0.5;

/// An opportunistic run on the worker.
struct BatchRunState {
  ImageId image = 0;
  double share = 0;                      // of the worker's processors in use
  std::uint32_t throttle_percent = 100;  // of full speed, as ordered last; 0: paused
  bool can_move = false;                 // moving it to another worker loses little work
  Duration since_throttled{};            // since its last slow-down
};

enum class ThrottleAction : std::uint8_t {
  keep,
  set_throttle,
  evict,  ///< stop the run, which then continues on another worker
};

struct ThrottleDecision {
  ThrottleAction action = ThrottleAction::keep;
  std::uint32_t throttle_percent = 100;
  ThrottleReason reason = ThrottleReason::none;
};

/// Decides on the speed of the opportunistic runs of one worker, poll by poll.
class ThrottleControl {
 public:
  /// Returns one decision for each of `batch_runs`, in their order.
  std::vector<ThrottleDecision> decide(const std::vector<ServingSample>& serving,
                                       const std::vector<BatchRunState>& batch_runs,
                                       const InterferenceTable& table, TimePoint now);

  /// True when the tail latencies allow more harmless opportunistic work on the worker.
  [[nodiscard]] bool accepts_more(TimePoint now) const;
  /// Highest ratio of a tail to its target, at the last call of decide().
  [[nodiscard]] double tail_ratio() const { return m_ratio; }

 private:
  void throttle_harmful(std::vector<ThrottleDecision>& decisions,
                        const std::vector<BatchRunState>& batch_runs,
                        const std::vector<double>& harms) const;
  void pause_likely_causes(std::vector<ThrottleDecision>& decisions,
                           const std::vector<BatchRunState>& batch_runs,
                           const std::vector<double>& cause_scores, TimePoint now);
  void resume_harmless(std::vector<ThrottleDecision>& decisions,
                       const std::vector<BatchRunState>& batch_runs,
                       const std::vector<double>& harms, TimePoint now) const;

  double m_ratio = 0;        // highest ratio of a tail to its target, at the last call
  TimePoint m_paused_at{};   // when likely causes were last paused
  TimePoint m_low_since{};   // since when the ratio has been low
  TimePoint m_over_since{};  // since when the ratio has been over 1; valid only while it is
};

}  // namespace arbutusdale::sched
