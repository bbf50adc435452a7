// Experiment files: JSON with comments that lists runs of the queue model.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <string>
#include <vector>

#include "queue_model.hpp"

namespace arbutusdale::bench {

/// Runs of an experiment. The file is `{"name": ..., "defaults": {...}, "runs": [{...}, ...]}`; the
/// members of a run are those of ModelOptions, and a list of values stands for one run of each.
struct Experiment {
  std::string name;
  std::vector<ModelOptions> runs;
};

/// Reads an experiment; `invalid_argument` names the field that is wrong.
Result<Experiment> parse_experiment(const std::string& text);

/// Runs all, a few at a time, and returns a table with one line for each run.
std::string run_experiment(const Experiment& experiment);

}  // namespace arbutusdale::bench
