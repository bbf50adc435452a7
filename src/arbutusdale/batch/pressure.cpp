// Choice of the attempts that give way.
#include "arbutusdale/batch/pressure.hpp"

#include <algorithm>
#include <map>

namespace arbutusdale::batch {
namespace {

constexpr std::uint32_t k_throttle_factor = 2;
constexpr std::uint32_t k_least_percent = 25;
constexpr std::uint32_t k_full_percent = 100;
constexpr std::uint32_t k_calm_reports_to_relax = 3;
// Work lost by an eviction with a checkpoint: taking it, restoring it and waiting for the record.
constexpr double k_checkpoint_cost_ms = 3'000;
// An attempt whose removal lowers the ratio by less than this is not worth evicting.
constexpr double k_least_relief = 0.005;

double relief_of(const Offender& offender, const PressureInput& input,
                 const InterferenceModel& model, const BatchPolicies& policies) {
  if (policies.interference == InterferencePolicy::none) {
    return offender.share;
  }
  double relief = 0;
  for (const ServiceState& service : input.services) {
    relief = std::max(relief,
                      model.cautious_effect(service.service, offender.job_class) * offender.share);
  }
  return relief;
}

double cost_of(const Offender& offender) {
  const auto lost = static_cast<double>(offender.run_ms);
  return k_checkpoint_cost_ms + (offender.can_checkpoint ? 0.0 : lost);
}

// Throttles all attempts of the class that harms most; one attempt at a time would take many
// measurements to have an effect.
PressureDecision throttle_worst_class(const PressureInput& input, const InterferenceModel& model,
                                      const BatchPolicies& policies) {
  std::map<ClassId, double> relief;
  for (const Offender& offender : input.offenders) {
    if (offender.throttle_percent > k_least_percent) {
      relief[offender.job_class] += relief_of(offender, input, model, policies);
    }
  }
  PressureDecision decision;
  const auto worst =
      std::max_element(relief.begin(), relief.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (worst == relief.end() || worst->second < k_least_relief) {
    return decision;
  }
  decision.action = PressureAction::throttle;
  std::uint32_t highest = k_least_percent;
  for (const Offender& offender : input.offenders) {
    if (offender.job_class == worst->first && offender.throttle_percent > k_least_percent) {
      decision.attempts.push_back(offender.key);
      highest = std::max(highest, offender.throttle_percent);
    }
  }
  decision.throttle_percent = std::max(k_least_percent, highest / k_throttle_factor);
  return decision;
}

PressureDecision evict_cheapest(const PressureInput& input, const InterferenceModel& model,
                                const BatchPolicies& policies) {
  PressureDecision decision;
  double best = 0;
  for (const Offender& offender : input.offenders) {
    const double relief = relief_of(offender, input, model, policies);
    const double worth = relief / cost_of(offender);
    if (relief >= k_least_relief && worth > best) {
      best = worth;
      decision = PressureDecision{PressureAction::evict, {offender.key}, k_full_percent};
    }
  }
  return decision;
}

PressureDecision evict_newest(const PressureInput& input) {
  const auto newest =
      std::max_element(input.offenders.begin(), input.offenders.end(),
                       [](const Offender& a, const Offender& b) { return a.started < b.started; });
  if (newest == input.offenders.end()) {
    return {};
  }
  return PressureDecision{PressureAction::evict, {newest->key}, k_full_percent};
}

// Lets the attempts with the strongest throttle go one step.
PressureDecision relax(const PressureInput& input) {
  std::uint32_t lowest = k_full_percent;
  for (const Offender& offender : input.offenders) {
    lowest = std::min(lowest, offender.throttle_percent);
  }
  PressureDecision decision;
  if (lowest >= k_full_percent) {
    return decision;
  }
  decision.action = PressureAction::relax;
  decision.throttle_percent = std::min(k_full_percent, lowest * k_throttle_factor);
  for (const Offender& offender : input.offenders) {
    if (offender.throttle_percent == lowest) {
      decision.attempts.push_back(offender.key);
    }
  }
  return decision;
}

}  // namespace

PressureLimits pressure_limits(Weighting weighting) {
  // A lagging measurement shows a miss late, so `latency` gives way well before the target.
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
    const bool calm = ratio <= limits.relax && input.calm_reports >= k_calm_reports_to_relax;
    return calm ? relax(input) : PressureDecision{};
  }
  if (policies.eviction == EvictionPolicy::newest) {
    return evict_newest(input);
  }
  const PressureDecision throttled = throttle_worst_class(input, model, policies);
  return throttled.action != PressureAction::none ? throttled
                                                  : evict_cheapest(input, model, policies);
}

}  // namespace arbutusdale::batch
