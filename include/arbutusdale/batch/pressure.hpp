// Reaction of batch work to a service that nears its p99 target on a worker: throttle first, then
// checkpoint and evict the cheapest offender, and relax when the service has recovered.
#pragma once

#include "arbutusdale/batch/interference.hpp"
#include "arbutusdale/batch/runner_model.hpp"

#include <cstdint>
#include <vector>

namespace arbutusdale::batch {

/// Limits of the p99 ratio, by weighting.
struct PressureLimits {
  double place = 0;  // no placement is expected to raise the ratio above this
  double act = 0;    // batch work gives way from here on
  double relax = 0;  // throttled work is let go again below this
};

PressureLimits pressure_limits(Weighting weighting);

/// One running attempt as the reaction sees it.
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

/// What to do on one worker now.
struct PressureDecision {
  PressureAction action = PressureAction::none;
  std::vector<AttemptKey> attempts;
  std::uint32_t throttle_percent = 100;
};

/// State of the worker that the decision depends on.
struct PressureInput {
  std::vector<ServiceState> services;
  std::vector<RunningAttempt> attempts;
  std::uint32_t reports_below_relax = 0;  // consecutive measurements below the relax limit
};

PressureDecision decide_pressure(const PressureInput& input, const InterferenceModel& model,
                                 const PressureLimits& limits, const BatchPolicies& policies);

/// Largest p99 ratio among the services that have load; 0 without one.
double worst_ratio(const std::vector<ServiceState>& services);

}  // namespace arbutusdale::batch
