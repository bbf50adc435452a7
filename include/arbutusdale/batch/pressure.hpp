// Protects a service that nears its p99 target on a worker from batch work: throttles first, then
// checkpoints and evicts the attempt that costs least for its effect, and relaxes the throttles
// when the service has recovered.
#pragma once

#include "arbutusdale/batch/interference.hpp"
#include "arbutusdale/batch/runner_model.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::batch {

/// Limits of the p99 ratio, by weighting.
struct PressureLimits {
  double place = 0;  // highest ratio that may be expected after a placement
  double act = 0;    // at or above this ratio batch work is throttled or evicted
  double relax = 0;  // at or below this ratio throttles are relaxed
};

PressureLimits pressure_limits(Weighting weighting);

/// A running attempt that may be throttled or evicted.
struct RunningAttempt {
  AttemptKey key;
  ClassId job_class = 0;
  double share = 0;  // of the worker's processors
  std::uint32_t throttle_percent = 100;
  bool can_checkpoint = false;
  std::uint64_t run_ms = 0;
  TimePoint started{};
};

enum class PressureAction : std::uint8_t { none, throttle, evict, relax };

/// Action on one worker, and the attempts it applies to.
struct PressureDecision {
  PressureAction action = PressureAction::none;
  std::vector<AttemptKey> attempts;
  std::uint32_t throttle_percent = 100;
};

/// State of one worker that the decision depends on.
struct PressureInput {
  std::vector<ServiceState> services;
  std::vector<RunningAttempt> attempts;
  std::uint32_t reports_below_relax = 0;  // consecutive measurements below the relax limit
};

/// Chooses at most one action for the worker.
PressureDecision decide_pressure(const PressureInput& input, const InterferenceModel& model,
                                 const PressureLimits& limits, const BatchPolicies& policies);

/// Largest p99 ratio among the services that have load; 0 without one.
double worst_ratio(const std::vector<ServiceState>& services);

}  // namespace arbutusdale::batch
