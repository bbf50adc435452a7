// Detection of runs that are much slower than expected or make no progress. A worker may slow down
// or hang while it still answers polls; its runs are moved, and new tasks avoid it for a while.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace arbutusdale::sched {

/// Progress of a run.
struct RunProgress {
  Duration elapsed{};         // since its start
  Duration since_progress{};  // since `percent` last changed
  std::uint32_t percent = 0;
  Duration estimate{};  // duration of the whole run at full speed
};

/// True when the run makes no progress.
bool is_stuck(const RunProgress& progress);

/// Speed of the run as a multiple of what the estimate implies. Empty while the run is too young.
std::optional<double> speed_of(const RunProgress& progress);

/// True when starting the run again elsewhere is expected to end sooner. `typical_speed` is the
/// speed of runs on other workers, so that a wrong estimate alone makes no straggler.
bool is_straggler(const RunProgress& progress, double typical_speed);

}  // namespace arbutusdale::sched
