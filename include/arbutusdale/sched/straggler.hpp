// Finds runs that are much slower than expected or stand still. Answers workers that turn slow or
// hang while their health looks good: their runs move, and they get no new ones for a while.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// How far a run has come.
struct RunProgress {
  Duration elapsed{};         // since its start
  Duration since_progress{};  // since its percent last rose
  std::uint32_t percent = 0;
  Duration estimate{};  // of the whole run at full speed
};

/// True when the run stands still.
bool is_stuck(const RunProgress& progress);

/// Speed of the run as a multiple of what the estimate says. Nothing while it is too young to tell.
std::optional<double> speed_of(const RunProgress& progress);

/// True when starting the run again elsewhere is expected to end sooner. `typical_speed` is the
/// speed of runs on other workers, so that a wrong estimate alone makes no straggler.
bool is_straggler(const RunProgress& progress, double typical_speed);

}  // namespace arbutusdale::sched
