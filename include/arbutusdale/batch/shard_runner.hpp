// Runs the batch work of one shard while this daemon holds its term: takeover, placement,
// leases, progress records, eviction and drain.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/batch/task_trace.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/stream.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::batch {

/// What takes precedence; decides how early batch work is throttled or evicted for a service.
enum class Weighting : std::uint8_t {
  throughput,  ///< high batch throughput and few evictions
  latency,     ///< low tail latency of the services
};

std::string_view to_string(Weighting weighting);

/// Safety rule that the runner violates on purpose. Only for tests of the invariant checker, which
/// must report a violation for each.
enum class SeededFault : std::uint8_t {
  none,
  skip_takeover_wait,         ///< starts tasks before every worker has reported what it runs
  acknowledge_before_record,  ///< acknowledges ended attempts without waiting for the record
  ignore_capacity,            ///< places without checking the free capacity
  resume_without_stop_proof,  ///< resumes evicted work before the agent reports the stop
  start_cancelled,            ///< keeps starting tasks of cancelled jobs
};

std::string_view to_string(SeededFault fault);

/// How a worker is chosen.
enum class PlacementPolicy : std::uint8_t { scored, first_fit };
/// Which size of a task is used for placement.
enum class SizePolicy : std::uint8_t { learned, declared };
/// Whether the measured effect of batch work on services is estimated.
enum class InterferencePolicy : std::uint8_t { estimated, none };
/// Which attempt is evicted when a service misses its target. `cheapest` compares the cost with the
/// expected effect.
enum class EvictionPolicy : std::uint8_t { cheapest, newest };

/// Decision rules; the second value of each is the baseline that the first is compared with.
struct BatchPolicies {
  PlacementPolicy placement = PlacementPolicy::scored;
  SizePolicy sizes = SizePolicy::learned;
  InterferencePolicy interference = InterferencePolicy::estimated;
  EvictionPolicy eviction = EvictionPolicy::cheapest;
};

/// A VM of this shard from the VM list.
struct WorkerInfo {
  std::string id;
  std::string agent_address;
  std::string domain;
  std::string rack;
  Resources capacity;
  bool leaving = false;
};

struct ShardOptions {
  std::string domain;
  std::uint32_t shard = 0;
  std::uint64_t term = 0;  // log offset of the claim; fencing token for the shard's workers
  Weighting weighting = Weighting::throughput;
  Duration lease = std::chrono::seconds{30};
  /// Minimum; grows to keep the reports within `report_bytes_per_second`.
  Duration report_interval = std::chrono::seconds{1};
  std::uint32_t report_bytes_per_second = 10'000;  // answers of all agents of the shard
  Duration gone_after = std::chrono::seconds{60};  // absence from the list that proves a VM gone
  std::uint32_t default_max_tries = 4;
  bool agent_fencing = true;
  std::uint64_t seed = 1;
  BatchPolicies policies;
  /// Workers of the shard that this daemon saw in VM lists within `gone_after` before the term.
  /// A worker that the current list omits may still run attempts of an earlier term.
  std::vector<WorkerInfo> recently_listed;
  /// Minimum time between the first trusted list and the end of the takeover; `gone_after` for a
  /// daemon that has not followed the VM list that long, when the shard had a holder before.
  Duration takeover_wait = Duration{0};
  /// Source of the wall time in `until_ms` of quarantines; steady time is used without it.
  const Clock* clock = nullptr;
  TaskTrace* trace = nullptr;  // receives the stages of tasks
  SeededFault seeded_fault = SeededFault::none;
};

/// Counters and gauges of a shard, for metrics and status.
struct ShardStats {
  std::uint32_t pending = 0;
  std::uint32_t running = 0;
  std::uint32_t blocked = 0;  // may still run under an earlier term, so may not start yet
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t evictions = 0;
  std::uint64_t throttles = 0;
  std::uint64_t lost = 0;
  std::uint32_t workers_acquired = 0;
  std::uint32_t workers_unreachable = 0;
  std::uint32_t quarantined = 0;
  bool takeover_complete = false;
};

/// The batch work of one shard under one term. Lives as long as the term is held.
class ShardRunner {
 public:
  ShardRunner() = default;
  ShardRunner(const ShardRunner&) = delete;
  ShardRunner& operator=(const ShardRunner&) = delete;
  virtual ~ShardRunner() = default;

  /// Sets the workers of this shard in the current VM list. A list with fewer than half of the VMs
  /// known before is not trusted and proves no VM gone.
  virtual void set_workers(const std::vector<WorkerInfo>& workers, bool trusted, TimePoint now) = 0;

  /// The configuration or the recorded progress has changed.
  virtual void state_changed(TimePoint now) = 0;

  /// Sends the commands and proposes the records that are due. Never blocks.
  virtual void tick(TimePoint now) = 0;

  /// Stops starting tasks and proposing records; commands in flight may still complete.
  virtual void stop() = 0;

  [[nodiscard]] virtual const ShardStats& stats() const = 0;

  /// True when no attempt runs on the VM and every ended one is recorded.
  [[nodiscard]] virtual bool is_drained(const std::string& worker) const = 0;

  /// Why no task of the job starts now, as text for operators; empty when none is pending.
  [[nodiscard]] virtual std::string waiting_reason(const std::string& job) const = 0;
};

/// The referenced objects must outlive the runner. `stream` is the failure domain's stream.
std::unique_ptr<ShardRunner> make_shard_runner(ShardOptions options,
                                               const state::GlobalState& global,
                                               const state::DomainState& domain,
                                               state::Stream& stream,
                                               backplane::WorkerAgents& agents);

}  // namespace arbutusdale::batch
