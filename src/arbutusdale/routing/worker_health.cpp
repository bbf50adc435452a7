// A worker is compared with its service, so that a failure of all targets ejects none of them.
#include "worker_health.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

constexpr std::uint32_t k_min_error_samples = 5;
constexpr std::uint32_t k_min_latency_samples = 20;
constexpr double k_min_error_rate = 0.5;
constexpr double k_error_rate_margin = 0.3;  // above the error rate of the whole service
// For the average of 20 exponentially distributed latencies, 2.5 times the mean is more than five
// standard deviations away, so healthy workers are not ejected by chance.
constexpr double k_latency_factor = 2.5;

}  // namespace

double HealthAverage::weight(std::uint32_t samples) const {
  return std::max(m_weight, 1.0 / static_cast<double>(samples));
}

void HealthAverage::record(bool failed, bool has_latency, Duration latency) {
  ++m_samples;
  m_error_rate += weight(m_samples) * ((failed ? 1.0 : 0.0) - m_error_rate);
  if (!has_latency) {
    return;
  }
  ++m_latency_samples;
  const auto sample = static_cast<double>(latency.count());
  m_latency_us += weight(m_latency_samples) * (sample - m_latency_us);
}

OutlierKind detect_outlier(const HealthAverage& worker, const HealthAverage& service) {
  const double rate_limit = std::max(k_min_error_rate, service.error_rate() + k_error_rate_margin);
  if (worker.samples() >= k_min_error_samples && worker.error_rate() >= rate_limit) {
    return OutlierKind::errors;
  }
  if (worker.latency_samples() >= k_min_latency_samples &&
      worker.latency_us() > k_latency_factor * service.latency_us()) {
    return OutlierKind::latency;
  }
  return OutlierKind::none;
}

bool is_failure(AttemptResult result) {
  return result != AttemptResult::answered;
}

}  // namespace arbutusdale::routing
