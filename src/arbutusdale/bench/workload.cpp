// Generates the workload of the queue model and summarises its outcomes.
#include "workload.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace arbutusdale::bench {
namespace {

constexpr Duration k_wave_period = std::chrono::seconds{3};
constexpr Duration k_wave_length = std::chrono::seconds{2};

bool has_two_teams(Scenario scenario) {
  return scenario == Scenario::team_calm || scenario == Scenario::team_surge;
}

double quantile_ms(const std::vector<Duration>& sorted, double q) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(sorted.size())));
  const auto index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
  return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

}  // namespace

double capacity_per_us(const ModelOptions& options) {
  return static_cast<double>(options.workers) * options.slots /
         static_cast<double>(options.mean_service.count());
}

Workload::Workload(const ModelOptions& options)
    : m_options{options},
      m_random{options.seed},
      m_measured_from{m_start + options.warm_up},
      m_end{m_measured_from + options.measured},
      m_affected(options.workers) {
  const double second = options.scenario == Scenario::team_surge ? options.surge : options.load;
  const double total = options.load + (has_two_teams(options.scenario) ? second : 0.0);
  m_rate_per_us = total * capacity_per_us(options);
  m_second_team = has_two_teams(options.scenario) ? second / total : 0.0;
  const auto affected = static_cast<std::uint32_t>(
      std::ceil(options.affected_share * static_cast<double>(options.workers)));
  for (std::uint32_t i = 0; i < affected; ++i) {  // evenly spaced over the workers
    m_affected[i * options.workers / affected] = true;
  }
}

double Workload::exponential(double mean) {
  return -std::log1p(-random_unit(m_random)) * mean;
}

Duration Workload::service_time() {
  const auto mean_us = static_cast<double>(m_options.mean_service.count());
  if (m_options.spread <= 0.0) {
    return Duration{static_cast<Duration::rep>(exponential(mean_us))};
  }
  // Box-Muller transform, because the results of std::normal_distribution depend on the standard
  // library.
  const double radius = std::sqrt(-2.0 * std::log1p(-random_unit(m_random)));
  const double normal = radius * std::cos(2.0 * std::numbers::pi * random_unit(m_random));
  const double sigma = m_options.spread;
  return Duration{
      static_cast<Duration::rep>(mean_us * std::exp(sigma * normal - sigma * sigma / 2.0))};
}

std::optional<Arrival> Workload::next() {
  m_now_us += exponential(1.0 / m_rate_per_us);
  Arrival arrival;
  arrival.due = m_start + Duration{static_cast<Duration::rep>(m_now_us)};
  if (arrival.due >= m_end) {
    return std::nullopt;
  }
  arrival.service = service_time();
  arrival.second_team = random_unit(m_random) < m_second_team;
  arrival.measured = arrival.due >= m_measured_from && !arrival.second_team;
  return arrival;
}

double Workload::slowdown(std::uint32_t worker, TimePoint now) const {
  if (m_options.scenario == Scenario::slow_workers) {
    return m_affected[worker] ? m_options.slow_factor : 1.0;
  }
  if (m_options.scenario != Scenario::waves) {
    return 1.0;
  }
  const Duration age = now - m_start;
  if (age % k_wave_period >= k_wave_length) {
    return 1.0;
  }
  constexpr std::uint64_t k_scale = 1000;
  const auto wave = static_cast<std::uint64_t>(age / k_wave_period);
  const auto drawn = stable_hash(std::to_string(worker), m_options.seed * k_scale + wave) % k_scale;
  const bool hit = static_cast<double>(drawn) < m_options.wave_share * k_scale;
  return hit ? m_options.wave_factor : 1.0;
}

void Outcomes::answered(Duration latency, Duration deadline) {
  m_latencies.push_back(latency);
  m_in_time += latency <= deadline ? 1 : 0;
}

ModelResult Outcomes::result(const ModelOptions& options) {
  std::sort(m_latencies.begin(), m_latencies.end());
  const auto calls = static_cast<double>(m_latencies.size() + m_refused + m_failed);
  ModelResult result;
  result.p50_ms = quantile_ms(m_latencies, 0.5);
  result.p99_ms = quantile_ms(m_latencies, 0.99);
  result.p999_ms = quantile_ms(m_latencies, 0.999);
  result.goodput = static_cast<double>(m_in_time) /
                   (capacity_per_us(options) * static_cast<double>(options.measured.count()));
  result.refused = static_cast<double>(m_refused) / std::max(1.0, calls);
  result.failed = static_cast<double>(m_failed) / std::max(1.0, calls);
  return result;
}

}  // namespace arbutusdale::bench
