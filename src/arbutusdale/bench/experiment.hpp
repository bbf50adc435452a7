// Experiment files: JSON with comments that lists runs of the queue model.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <string>
#include <vector>

#include "queue_model.hpp"

namespace arbutusdale::bench {

/// Runs of an experiment. The file is `{"name": ..., "defaults": {...}, "runs": [{...}, ...]}`; the
/// members of a run are those of ModelOptions. A list of values is expanded to one run per value,
/// and several lists to one run per combination.
struct Experiment {
  std::string name;
  std::vector<ModelOptions> runs;
};

/// Parses an experiment file. Fails with `invalid_argument` if there is no list of runs or a member
/// of a run is wrong; the error names the member.
Result<Experiment> parse_experiment(const std::string& text);

/// Runs all, up to four in parallel, and returns a table with one line for each run.
std::string run_experiment(const Experiment& experiment);

}  // namespace arbutusdale::bench
