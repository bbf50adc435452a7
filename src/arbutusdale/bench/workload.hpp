// Arrivals, service times and worker speeds of the queue model; the same for the routers and for
// the ideal queue.
#pragma once

#include "arbutusdale/core/random.hpp"

#include <optional>
#include <vector>

#include "queue_model.hpp"

namespace arbutusdale::bench {

struct Arrival {
  TimePoint due{};
  Duration service{};  // at a worker of normal speed
  bool second_team = false;
  bool measured = false;
};

/// Poisson arrivals with exponential or log-normal service times.
class Workload {
 public:
  explicit Workload(const ModelOptions& options);

  /// Next arrival in order of time, or nothing at the end of the run.
  std::optional<Arrival> next();
  /// Factor on the service time at a worker.
  [[nodiscard]] double slowdown(std::uint32_t worker, TimePoint now) const;
  [[nodiscard]] bool is_affected(std::uint32_t worker) const { return m_affected[worker]; }

  [[nodiscard]] TimePoint start() const { return m_start; }
  [[nodiscard]] TimePoint end() const { return m_end; }

 private:
  [[nodiscard]] Duration exponential(double mean_us);
  [[nodiscard]] Duration service_time();

  const ModelOptions m_options;
  Random m_random;
  double m_rate_per_us = 0.0;
  double m_second_team = 0.0;  // share of arrivals
  TimePoint m_start{std::chrono::seconds{1}};
  TimePoint m_measured_from;
  TimePoint m_end;
  TimePoint m_now;
  std::vector<bool> m_affected;
};

/// Collects the latencies and outcomes of measured calls.
class Outcomes {
 public:
  void answered(Duration latency, Duration deadline);
  void refused() { ++m_refused; }
  void failed() { ++m_failed; }
  [[nodiscard]] ModelResult result(const ModelOptions& options);

 private:
  std::vector<Duration> m_latencies;
  std::uint64_t m_in_time = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_failed = 0;
};

/// Capacity of all slots in calls per microsecond.
double capacity_per_us(const ModelOptions& options);

}  // namespace arbutusdale::bench
