// Speed of the opportunistic tasks on one worker. Answers the load pattern in which the serving
// tasks' own load swings within seconds. A harmful image leaves the tails alone while that load is
// low and multiplies them while it is high, so harmful runs slow down when the tails rise, stop
// well below the target, and move to another worker. When a tail exceeds its target all the same,
// the likely culprits stop at once, and then everything.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/interference.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::sched {

/// Belief that a pair of images is harmful from which on it is treated as such.
inline constexpr double k_harmful = 0.5;

/// One opportunistic run as the control sees it.
struct BatchRunState {
  ImageId image = 0;
  double share = 0;                      // of the worker's processors in use
  std::uint32_t throttle_percent = 100;  // percent of full speed, as ordered last
  bool can_move = false;                 // little is lost when it goes on elsewhere
  Duration since_throttled{};            // since it was last slowed down
};

enum class ThrottleAction : std::uint8_t {
  keep,
  set_throttle,
  evict,  ///< stop it; it goes on elsewhere
};

struct ThrottleDecision {
  ThrottleAction action = ThrottleAction::keep;
  std::uint32_t throttle_percent = 100;
};

class ThrottleControl {
 public:
  /// Decides on each of `batch_runs`, in their order.
  std::vector<ThrottleDecision> decide(const std::vector<ServingSample>& serving,
                                       const std::vector<BatchRunState>& batch_runs,
                                       const InterferenceTable& table, TimePoint now);

  /// True when the worker's serving tasks have room for more harmless opportunistic work.
  [[nodiscard]] bool accepts_more(TimePoint now) const;

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

  double m_ratio = 0;        // highest tail over its target, last seen
  TimePoint m_paused_at{};   // when culprits were last stopped
  TimePoint m_low_since{};   // since when the ratio has been low
  TimePoint m_over_since{};  // since when the ratio has been over 1; valid while it is
};

}  // namespace arbutusdale::sched
