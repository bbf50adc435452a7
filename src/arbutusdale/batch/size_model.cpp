// Learned sizes and run times.
#include "arbutusdale/batch/size_model.hpp"

#include <algorithm>
#include <cmath>

namespace arbutusdale::batch {
namespace {

// Length of the exponential averaging window; older samples lose their weight.
constexpr std::uint32_t k_window_samples = 64;
constexpr double k_deviations = 2.0;
// Memory is not compressible: a task that outgrows it cannot run more slowly instead, so memory
// gets extra slack.
constexpr double k_memory_slack = 1.1;

std::uint64_t learned(const DecayingMoments& moments, std::uint64_t declared, double slack) {
  if (moments.count() < SizeModel::k_min_samples || declared == 0) {
    return declared;
  }
  const double need = (moments.mean() + k_deviations * moments.deviation()) * slack;
  const auto base = static_cast<double>(declared);
  const double bounded =
      std::clamp(need, base * SizeModel::k_min_factor, base * SizeModel::k_max_factor);
  return static_cast<std::uint64_t>(std::ceil(bounded));
}

}  // namespace

void DecayingMoments::observe(double value) {
  m_count = std::min(m_count + 1, k_window_samples);
  const double gain = 1.0 / m_count;
  const double error = value - m_mean;
  m_mean += gain * error;
  m_variance = (1 - gain) * (m_variance + gain * error * error);
}

double DecayingMoments::deviation() const {
  return std::sqrt(m_variance);
}

void SizeModel::observe_use(const Resources& used) {
  m_cpu.observe(static_cast<double>(used.cpu_millis));
  m_memory.observe(static_cast<double>(used.memory_mib));
}

void SizeModel::observe_run(std::uint64_t run_ms) {
  m_run.observe(static_cast<double>(run_ms));
}

Resources SizeModel::size(const Resources& declared) const {
  return Resources{learned(m_cpu, declared.cpu_millis, 1.0),
                   learned(m_memory, declared.memory_mib, k_memory_slack), declared.accelerators};
}

std::uint64_t SizeModel::expected_ms(std::uint64_t declared_ms) const {
  return m_run.count() < k_min_samples ? declared_ms : static_cast<std::uint64_t>(m_run.mean());
}

}  // namespace arbutusdale::batch
