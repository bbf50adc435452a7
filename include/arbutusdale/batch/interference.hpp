// Online estimate of how much batch work of a class raises the p99 latency of a service on the same
// VM.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::batch {

using ClassId = std::uint32_t;  // index of a job class in the runner's table

/// Share of a worker's processors that one job class uses.
struct ClassShare {
  ClassId job_class = 0;
  double share = 0;
};

/// One measurement of a service on one worker.
struct ServiceSample {
  double load = 0;       // busy share of the service's slots, 0 to 1
  double p99_ratio = 0;  // p99 over its target
  std::vector<ClassShare> shares;
};

/// Linear model of a service's p99 ratio: a base for each load bucket plus, for each job class,
/// effect x share. A Kalman filter with a diagonal covariance updates the coefficients; over time
/// each variance returns to its prior, so that old observations lose their weight.
class InterferenceModel {
 public:
  /// Observations with at least `k_negligible_share` after which a pair of service and job class
  /// counts as known.
  static constexpr double k_known_samples = 6;
  /// Share of a VM's processors up to which a class may run beside a service although the pair is
  /// not known.
  static constexpr double k_negligible_share = 0.05;

  void observe(const std::string& service, const ServiceSample& sample, TimePoint now);

  /// Expected rise of the p99 ratio per unit of share, never negative.
  [[nodiscard]] double effect(const std::string& service, ClassId job_class) const;
  /// Standard deviation of the effect.
  [[nodiscard]] double deviation(const std::string& service, ClassId job_class) const;
  /// Expected effect plus one standard deviation, never negative; for decisions that must not harm
  /// the service.
  [[nodiscard]] double effect_upper_bound(const std::string& service, ClassId job_class) const;
  /// False while there are too few observations of the pair; they lose their weight within hours.
  [[nodiscard]] bool is_known(const std::string& service, ClassId job_class) const;
  /// Expected p99 ratio at this load without batch work.
  [[nodiscard]] double base(const std::string& service, double load) const;

 private:
  static constexpr std::size_t k_load_buckets = 10;

  struct Coefficient {
    double mean = 0;
    double variance = 0;
    double samples = 0;
    TimePoint updated{};
  };
  struct Service {
    std::array<Coefficient, k_load_buckets> base;
    std::map<ClassId, Coefficient> effects;
    bool started = false;
  };

  static std::size_t load_bucket(double load);
  static void decay(Coefficient& coefficient, double prior_variance, TimePoint now);
  static Service& initialize(Service& service, TimePoint now);
  static Coefficient& effect_of(Service& service, ClassId job_class, TimePoint now);
  [[nodiscard]] const Coefficient* find(const std::string& service, ClassId job_class) const;

  std::map<std::string, Service> m_services;
};

}  // namespace arbutusdale::batch
