// Outlier detection: error rate and latency of one worker compared with its whole service.
#pragma once

#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>

namespace arbutusdale::routing {

/// Exponentially weighted moving averages of error rate and latency.
class HealthAverage {
 public:
  explicit HealthAverage(double weight) : m_weight{weight} {}

  void record(bool failed, bool has_latency, Duration latency);

  [[nodiscard]] double error_rate() const { return m_error_rate; }
  [[nodiscard]] double latency_us() const { return m_latency_us; }
  [[nodiscard]] std::uint32_t samples() const { return m_samples; }
  [[nodiscard]] std::uint32_t latency_samples() const { return m_latency_samples; }

 private:
  /// Weight of the next sample; the average is a plain mean until the window is full.
  [[nodiscard]] double weight(std::uint32_t samples) const;

  double m_weight;
  double m_error_rate = 0.0;
  double m_latency_us = 0.0;
  std::uint32_t m_samples = 0;
  std::uint32_t m_latency_samples = 0;
};

enum class OutlierKind : std::uint8_t { none, errors, latency };

/// Compares a worker with its service; `none` also while the worker has too few samples.
OutlierKind detect_outlier(const HealthAverage& worker, const HealthAverage& service);

/// True for every result except a complete answer with a status below 500.
bool is_failure(AttemptResult result);

}  // namespace arbutusdale::routing
