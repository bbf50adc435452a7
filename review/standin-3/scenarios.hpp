// The cases that are scripts. Each returns its exit status.
#pragma once

#include "deployment.hpp"

namespace review {

int run_other_kind(const Options& options);
int run_gang_failures(const Options& options);
int run_crash_series(const Options& options);
int run_unknown_job(const Options& options);
int run_late_twice(const Options& options);

}  // namespace review
