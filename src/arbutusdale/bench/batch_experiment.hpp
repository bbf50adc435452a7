// Compares the batch policies with their baselines on simulated workers.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"

#include <cstdint>
#include <string>

namespace arbutusdale::bench {

struct BatchExperimentOptions {
  std::uint64_t seed = 1;
  std::uint32_t minutes = 60;  // simulated time
};

/// Results of one run of one shard.
struct BatchFigures {
  double tasks_per_hour = 0;
  double core_seconds_per_hour = 0;  // of tasks that succeeded
  std::uint64_t evictions = 0;
  double over_target = 0;         // share of service samples above the p99 target
  std::uint64_t urgent = 0;       // urgent tasks declared
  std::uint64_t urgent_late = 0;  // urgent tasks not started within 2.1 s
  double urgent_p50_s = 0;
  double urgent_p99_s = 0;  // confirmation to start; an unstarted task counts up to the end
  std::uint64_t urgent_unstarted = 0;
  double appends_per_task = 0;
  double bytes_per_task = 0;
};

/// Runs one simulation with the given policies.
BatchFigures run_batch(const BatchExperimentOptions& options, batch::Weighting weighting,
                       const batch::BatchPolicies& policies);

/// Runs the full policy and each baseline with both weightings, and returns a Markdown table.
std::string run_batch_experiment(const BatchExperimentOptions& options);

}  // namespace arbutusdale::bench
