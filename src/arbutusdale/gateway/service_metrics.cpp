// Names of the gateway's metrics.
#include "service_metrics.hpp"

#include <algorithm>

namespace arbutusdale::gateway {

ServiceMetrics::ServiceMetrics(observe::Registry& registry, const std::string& service)
    : m_latency(registry.histogram("arbutusdale_call_duration_seconds",
                                   "Time from the whole request to the end of its answer.",
                                   {{"service", service}})),
      m_queue_wait(registry.histogram("arbutusdale_queue_wait_seconds",
                                      "Time a call waited for a target, for each attempt.",
                                      {{"service", service}})),
      m_retries(registry.counter("arbutusdale_retries_total", "Attempts after the first.",
                                 {{"service", service}})),
      m_spills(registry.counter("arbutusdale_spills_total",
                                "Attempts passed to another failure domain.",
                                {{"service", service}})) {
  constexpr std::array<const char*, k_status_classes> k_classes{"1xx", "2xx", "3xx", "4xx", "5xx"};
  for (std::size_t verdict = 0; verdict < k_verdicts; ++verdict) {
    for (std::size_t index = 0; index < k_status_classes; ++index) {
      m_calls.at(verdict).at(index) =
          &registry.counter("arbutusdale_calls_total", "Ended calls by verdict and status class.",
                            {{"service", service},
                             {"verdict", std::string(to_string(static_cast<Verdict>(verdict)))},
                             {"status", k_classes.at(index)}});
    }
  }
}

void ServiceMetrics::call_ended(Verdict verdict, int status, double seconds) {
  const auto index = static_cast<std::size_t>(std::clamp(status / 100, 1, 5) - 1);
  m_calls.at(static_cast<std::size_t>(verdict)).at(index)->add();
  m_latency.record(seconds);
}

void ServiceMetrics::attempt_started(double queued_seconds, bool retry, bool spilled) {
  m_queue_wait.record(queued_seconds);
  m_retries.add(retry ? 1 : 0);
  m_spills.add(spilled ? 1 : 0);
}

}  // namespace arbutusdale::gateway
