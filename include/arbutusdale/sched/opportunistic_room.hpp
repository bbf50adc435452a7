// Processors of a worker that are left for opportunistic tasks, and whether one more starts there.
#pragma once

#include <cstdint>

namespace arbutusdale::sched {

/// In thousandths of a processor.
struct OpportunisticRoom {
  std::int64_t left = 0;    // by the other runs, as they are expected to use them
  std::int64_t used = 0;    // by opportunistic runs that started on idle processors
  std::int64_t shared = 0;  // by those that share the processors of others

  /// Processors that no run is expected to use; negative when overcommitted.
  [[nodiscard]] std::int64_t idle() const { return left - used - shared; }
};

/// True when enough processors are idle for an opportunistic task that needs this many. Runs that
/// share processors take none from it, so that starved jobs hold up no others.
bool has_idle_processors(const OpportunisticRoom& room, std::uint64_t cpu_millis);

/// True when a task of a job without runs may start although opportunistic runs use the processors
/// that it needs, which they then share with it. Answers a fleet that is mostly free of other tasks
/// and filled by the long opportunistic tasks of a few wide jobs: a later job would have no run
/// until enough of these tasks end. The processors of other runs are not shared. Such starts
/// overload a worker by half of what is left there and one task at most, so that many starved jobs
/// spread over the workers.
bool may_share_processors(const OpportunisticRoom& room, std::uint64_t cpu_millis);

}  // namespace arbutusdale::sched
