// Learned size and run time of a job's tasks, within bounds around the declaration.
#pragma once

#include "arbutusdale/core/resources.hpp"

#include <cstdint>

namespace arbutusdale::batch {

/// Mean and spread of a quantity that changes over time, with exponential forgetting.
class DecayingMoments {
 public:
  void observe(double value);
  [[nodiscard]] double mean() const { return m_mean; }
  [[nodiscard]] double deviation() const;
  [[nodiscard]] std::uint32_t count() const { return m_count; }

 private:
  double m_mean = 0;
  double m_variance = 0;
  std::uint32_t m_count = 0;  // stops at the length of the memory
};

/// Learned size of the tasks of one job.
class SizeModel {
 public:
  /// Samples before the declaration is left.
  static constexpr std::uint32_t k_min_samples = 8;
  static constexpr double k_min_factor = 0.25;
  static constexpr double k_max_factor = 4.0;

  /// Usage of a running task; samples of throttled tasks understate the need and must be left out.
  void observe_use(const Resources& used);
  void observe_run(std::uint64_t run_ms);

  /// Amounts to commit for a task: mean plus two deviations, within 0.25x to 4x of the
  /// declaration. Accelerators are always taken as declared.
  [[nodiscard]] Resources size(const Resources& declared) const;
  /// Expected run time, from the declaration until enough runs have ended.
  [[nodiscard]] std::uint64_t expected_ms(std::uint64_t declared_ms) const;

 private:
  DecayingMoments m_cpu;
  DecayingMoments m_memory;
  DecayingMoments m_run;
};

}  // namespace arbutusdale::batch
