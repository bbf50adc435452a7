// Arrivals, service times and worker speeds of the queue model. The routers and the ideal queue get
// the same ones for the same options.
#pragma once

#include "arbutusdale/core/random.hpp"

#include <optional>
#include <vector>

#include "queue_model.hpp"

namespace arbutusdale::bench {

struct Arrival {
  TimePoint due{};
  Duration service{};  // at a worker that is not slowed down
  bool second_team = false;
  bool measured = false;
};

/// Poisson arrivals with exponential or log-normal service times.
class Workload {
 public:
  explicit Workload(const ModelOptions& options);

  /// Returns the next arrival in order of time, or nothing at the end of the run.
  std::optional<Arrival> next();
  /// Factor by which the service time at a worker is longer at `now`.
  [[nodiscard]] double slowdown(std::uint32_t worker, TimePoint now) const;
  [[nodiscard]] bool is_affected(std::uint32_t worker) const { return m_affected[worker]; }

  [[nodiscard]] TimePoint start() const { return m_start; }
  [[nodiscard]] TimePoint end() const { return m_end; }

 private:
  [[nodiscard]] double exponential(double mean);
  [[nodiscard]] Duration service_time();

  const ModelOptions m_options;
  Random m_random;
  double m_rate_per_us = 0.0;
  double m_second_team = 0.0;  // share of arrivals
  TimePoint m_start{std::chrono::seconds{1}};
  TimePoint m_measured_from;
  TimePoint m_end;
  double m_now_us = 0.0;  // since the start; a fraction, as rounding would distort high rates
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
