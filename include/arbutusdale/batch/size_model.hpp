// Learned size and run time of a job's tasks, within bounds around the declaration.
#pragma once

#include "arbutusdale/core/resources.hpp"

#include <cstdint>

namespace arbutusdale::batch {

/// Mean and standard deviation of a quantity that changes over time; older samples lose their
/// weight exponentially.
class DecayingMoments {
 public:
  void observe(double value);
  [[nodiscard]] double mean() const { return m_mean; }
  [[nodiscard]] double deviation() const;
  [[nodiscard]] std::uint32_t count() const { return m_count; }

 private:
  double m_mean = 0;
  double m_variance = 0;
  std::uint32_t m_count = 0;  // at most the length of the averaging window
};

/// Learned size and run time of the tasks of one job.
class SizeModel {
 public:
  /// Samples needed before learned values replace the declared ones.
  static constexpr std::uint32_t k_min_samples = 8;
  static constexpr double k_min_factor = 0.25;
  static constexpr double k_max_factor = 4.0;

  /// Usage of a running task; samples of throttled tasks understate the need and must be left out.
  void observe_use(const Resources& used);
  void observe_run(std::uint64_t run_ms);

  /// Amounts to commit for a task: mean plus two standard deviations, within 0.25x to 4x of the
  /// declaration. Accelerators are always taken as declared.
  [[nodiscard]] Resources size(const Resources& declared) const;
  /// Expected run time; the declared one until enough runs have ended.
  [[nodiscard]] std::uint64_t expected_ms(std::uint64_t declared_ms) const;

 private:
  DecayingMoments m_cpu;
  DecayingMoments m_memory;
  DecayingMoments m_run;
};

}  // namespace arbutusdale::batch
