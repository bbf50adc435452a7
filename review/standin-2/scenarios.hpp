// The cases that are shown by a script.
#pragma once

#include <string>

namespace review {

struct CaseOptions {
  std::string program;  // that the deploy file starts
  std::string record;   // file to which the calls, answers and runs are written
  bool has_trouble = true;
};

/// Each returns the exit status of its script: 0 if the rule held, 1 if not, 2 if it couldn't run.
int play_flapping_worker(const CaseOptions& options);
int play_advised_job(const CaseOptions& options);
int play_failing_job(const CaseOptions& options);
int play_fills_whole_worker(const CaseOptions& options);
int play_late_start(const CaseOptions& options);

}  // namespace review
