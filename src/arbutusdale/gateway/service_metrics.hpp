// Metrics of one service; the registry is searched only at construction.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/observe/metrics.hpp"

#include <array>
#include <string>

namespace arbutusdale::gateway {

class ServiceMetrics {
 public:
  ServiceMetrics(observe::Registry& registry, const std::string& service);

  void call_ended(Verdict verdict, int status, double seconds);
  void attempt_started(double queued_seconds, bool retry, bool spilled);

 private:
  static constexpr std::size_t k_verdicts = 3;
  static constexpr std::size_t k_status_classes = 5;

  std::array<std::array<observe::Counter*, k_status_classes>, k_verdicts> m_calls{};
  observe::Histogram& m_latency;
  observe::Histogram& m_queue_wait;
  observe::Counter& m_retries;
  observe::Counter& m_spills;
};

}  // namespace arbutusdale::gateway
