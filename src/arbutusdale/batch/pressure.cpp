// Choice of the attempts to throttle, evict or relax.
#include "arbutusdale/batch/pressure.hpp"

#include <algorithm>
#include <map>

namespace arbutusdale::batch {
namespace {

constexpr std::uint32_t k_throttle_factor = 2;
constexpr std::uint32_t k_min_throttle_percent = 25;
constexpr std::uint32_t k_unthrottled_percent = 100;
constexpr std::uint32_t k_reports_to_relax = 3;
// Time lost by an eviction with a checkpoint: taking it, restoring it and waiting for the record.
constexpr double k_checkpoint_cost_ms = 3'000;
// An attempt whose removal lowers the ratio by less than this is not worth evicting.
constexpr double k_min_reduction = 0.005;

double ratio_reduction(const RunningAttempt& attempt, const PressureInput& input,
                       const InterferenceModel& model, const BatchPolicies& policies) {
  if (policies.interference == InterferencePolicy::none) {
    return attempt.share;
  }
  double reduction = 0;
  for (const ServiceState& service : input.services) {
    reduction = std::max(
        reduction, model.effect_upper_bound(service.service, attempt.job_class) * attempt.share);
  }
  return reduction;
}

double cost_of(const RunningAttempt& attempt) {
  const auto lost = static_cast<double>(attempt.run_ms);
  return k_checkpoint_cost_ms + (attempt.can_checkpoint ? 0.0 : lost);
}

// Throttles all attempts of the class that raises the p99 ratio most. Throttling one attempt at a
// time would take many measurements to have an effect.
PressureDecision throttle_worst_class(const PressureInput& input, const InterferenceModel& model,
                                      const BatchPolicies& policies) {
  std::map<ClassId, double> reduction;
  for (const RunningAttempt& attempt : input.attempts) {
    if (attempt.throttle_percent > k_min_throttle_percent) {
      reduction[attempt.job_class] += ratio_reduction(attempt, input, model, policies);
    }
  }
  PressureDecision decision;
  const auto worst =
      std::max_element(reduction.begin(), reduction.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (worst == reduction.end() || worst->second < k_min_reduction) {
    return decision;
  }
  decision.action = PressureAction::throttle;
  std::uint32_t highest = k_min_throttle_percent;
  for (const RunningAttempt& attempt : input.attempts) {
    if (attempt.job_class == worst->first && attempt.throttle_percent > k_min_throttle_percent) {
      decision.attempts.push_back(attempt.key);
      highest = std::max(highest, attempt.throttle_percent);
    }
  }
  decision.throttle_percent = std::max(k_min_throttle_percent, highest / k_throttle_factor);
  return decision;
}

PressureDecision evict_cheapest(const PressureInput& input, const InterferenceModel& model,
                                const BatchPolicies& policies) {
  PressureDecision decision;
  double best = 0;
  for (const RunningAttempt& attempt : input.attempts) {
    const double reduction = ratio_reduction(attempt, input, model, policies);
    const double reduction_per_ms = reduction / cost_of(attempt);
    if (reduction >= k_min_reduction && reduction_per_ms > best) {
      best = reduction_per_ms;
      decision = PressureDecision{PressureAction::evict, {attempt.key}, k_unthrottled_percent};
    }
  }
  return decision;
}

PressureDecision evict_newest(const PressureInput& input) {
  const auto newest = std::max_element(
      input.attempts.begin(), input.attempts.end(),
      [](const RunningAttempt& a, const RunningAttempt& b) { return a.started < b.started; });
  if (newest == input.attempts.end()) {
    return {};
  }
  return PressureDecision{PressureAction::evict, {newest->key}, k_unthrottled_percent};
}

// Relaxes the attempts with the strongest throttle by one step.
PressureDecision relax(const PressureInput& input) {
  std::uint32_t lowest = k_unthrottled_percent;
  for (const RunningAttempt& attempt : input.attempts) {
    lowest = std::min(lowest, attempt.throttle_percent);
  }
  PressureDecision decision;
  if (lowest >= k_unthrottled_percent) {
    return decision;
  }
  decision.action = PressureAction::relax;
  decision.throttle_percent = std::min(k_unthrottled_percent, lowest * k_throttle_factor);
  for (const RunningAttempt& attempt : input.attempts) {
    if (attempt.throttle_percent == lowest) {
      decision.attempts.push_back(attempt.key);
    }
  }
  return decision;
}

}  // namespace

PressureLimits pressure_limits(Weighting weighting) {
  // Measurements lag, so with `latency` batch work is throttled or evicted well before the target
  // is missed.
  return weighting == Weighting::latency ? PressureLimits{0.65, 0.8, 0.55}
                                         : PressureLimits{0.85, 0.95, 0.7};
}

double worst_ratio(const std::vector<ServiceState>& services) {
  double worst = 0;
  for (const ServiceState& service : services) {
    worst = std::max(worst, service.load > 0 ? service.p99_ratio : 0);
  }
  return worst;
}

PressureDecision decide_pressure(const PressureInput& input, const InterferenceModel& model,
                                 const PressureLimits& limits, const BatchPolicies& policies) {
  const double ratio = worst_ratio(input.services);
  if (ratio < limits.act) {
    const bool may_relax = ratio <= limits.relax && input.reports_below_relax >= k_reports_to_relax;
    return may_relax ? relax(input) : PressureDecision{};
  }
  if (policies.eviction == EvictionPolicy::newest) {
    return evict_newest(input);
  }
  const PressureDecision throttled = throttle_worst_class(input, model, policies);
  return throttled.action != PressureAction::none ? throttled
                                                  : evict_cheapest(input, model, policies);
}

}  // namespace arbutusdale::batch
