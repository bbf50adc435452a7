// Estimate of the interference of job classes with services.
#include "arbutusdale/batch/interference.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusdale::batch {
namespace {

constexpr double k_base_prior_mean = 0.3;
constexpr double k_base_prior_variance = 0.09;
constexpr double k_effect_prior_variance = 0.25;
constexpr double k_noise_variance = 0.01;
// Limits the effect of an outlier on the model to that of a clear miss of the target.
constexpr double k_max_ratio = 3.0;
constexpr Duration k_decay_time = std::chrono::hours{2};

}  // namespace

std::size_t InterferenceModel::load_bucket(double load) {
  const double bounded = std::clamp(load, 0.0, 1.0) * k_load_buckets;
  return std::min(static_cast<std::size_t>(bounded), k_load_buckets - 1);
}

void InterferenceModel::decay(Coefficient& coefficient, double prior_variance, TimePoint now) {
  const double passed = std::chrono::duration<double>(now - coefficient.updated) /
                        std::chrono::duration<double>(k_decay_time);
  coefficient.updated = now;
  const double kept = std::exp(-std::max(0.0, passed));
  coefficient.variance = prior_variance + (coefficient.variance - prior_variance) * kept;
  coefficient.samples *= kept;
}

InterferenceModel::Service& InterferenceModel::initialize(Service& service, TimePoint now) {
  if (!service.started) {
    service.started = true;
    service.base.fill(Coefficient{k_base_prior_mean, k_base_prior_variance, 0, now});
  }
  return service;
}

InterferenceModel::Coefficient& InterferenceModel::effect_of(Service& service, ClassId job_class,
                                                             TimePoint now) {
  return service.effects.try_emplace(job_class, Coefficient{0, k_effect_prior_variance, 0, now})
      .first->second;
}

void InterferenceModel::observe(const std::string& service, const ServiceSample& sample,
                                TimePoint now) {
  Service& entry = initialize(m_services[service], now);
  Coefficient& base = entry.base.at(load_bucket(sample.load));
  decay(base, k_base_prior_variance, now);
  double predicted = base.mean;
  double spread = base.variance + k_noise_variance;
  for (const ClassShare& item : sample.shares) {
    Coefficient& effect = effect_of(entry, item.job_class, now);
    decay(effect, k_effect_prior_variance, now);
    predicted += effect.mean * item.share;
    spread += effect.variance * item.share * item.share;
  }
  const double error = std::min(sample.p99_ratio, k_max_ratio) - predicted;
  for (const ClassShare& item : sample.shares) {
    Coefficient& effect = effect_of(entry, item.job_class, now);
    const double gain = effect.variance * item.share / spread;
    effect.mean += gain * error;
    effect.variance *= 1 - gain * item.share;
    effect.samples += item.share >= k_negligible_share ? 1 : 0;
  }
  const double gain = base.variance / spread;
  base.mean += gain * error;
  base.variance *= 1 - gain;
  base.samples += 1;
}

const InterferenceModel::Coefficient* InterferenceModel::find(const std::string& service,
                                                              ClassId job_class) const {
  const auto entry = m_services.find(service);
  if (entry == m_services.end()) {
    return nullptr;
  }
  const auto effect = entry->second.effects.find(job_class);
  return effect == entry->second.effects.end() ? nullptr : &effect->second;
}

double InterferenceModel::effect(const std::string& service, ClassId job_class) const {
  const Coefficient* found = find(service, job_class);
  return found == nullptr ? 0 : std::max(0.0, found->mean);
}

double InterferenceModel::deviation(const std::string& service, ClassId job_class) const {
  const Coefficient* found = find(service, job_class);
  return std::sqrt(found == nullptr ? k_effect_prior_variance : found->variance);
}

double InterferenceModel::effect_upper_bound(const std::string& service, ClassId job_class) const {
  const Coefficient* found = find(service, job_class);
  const double mean = found == nullptr ? 0 : found->mean;
  return std::max(0.0, mean + deviation(service, job_class));
}

bool InterferenceModel::is_known(const std::string& service, ClassId job_class) const {
  const Coefficient* found = find(service, job_class);
  return found != nullptr && found->samples >= k_known_samples;
}

double InterferenceModel::base(const std::string& service, double load) const {
  const auto entry = m_services.find(service);
  return entry == m_services.end() ? k_base_prior_mean
                                   : entry->second.base.at(load_bucket(load)).mean;
}

}  // namespace arbutusdale::batch
