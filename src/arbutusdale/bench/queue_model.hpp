// Discrete-event queue model of one failure domain: open-loop callers, daemons that run the real
// RequestRouter on simulated time, and workers that each have slots and a queue.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::bench {

enum class Scenario : std::uint8_t {
  steady,
  slow_workers,   ///< some workers take `slow_factor` times as long, for the whole run
  waves,          ///< batch work periodically slows down a changing subset of the workers
  daemon_killed,  ///< one daemon is killed in the middle of the measured time
  total_failure,  ///< every target closes the connection without an answer
  failing_fast,   ///< some workers immediately answer with errors
  team_calm,      ///< teams a and b at `load` each; results of team a only
  team_surge,     ///< team a at `load`, team b at `surge`; results of team a only
};

std::string_view to_string(Scenario scenario);
std::optional<Scenario> scenario_of(std::string_view name);

struct ModelOptions {
  Scenario scenario = Scenario::steady;
  routing::Policy policy = routing::Policy::slot_share;
  double load = 0.8;  // arrivals as a share of the capacity of all slots
  double surge = 2.0;
  std::uint32_t daemons = 9;
  double skew = 1.0;  // calls to the first daemon, as a multiple of the calls to each other one
  std::uint32_t workers = 50;
  std::uint32_t slots = 8;
  Duration mean_service = std::chrono::milliseconds{20};
  double spread = 0.0;  // sigma of log-normal service times; 0 for exponential ones
  Duration deadline = std::chrono::seconds{1};
  Duration link_delay{100};  // one way between daemon and worker, microseconds
  Duration warm_up = std::chrono::seconds{5};
  Duration measured = std::chrono::seconds{20};
  double affected_share = 0.05;  // share of workers in slow_workers and failing_fast
  double slow_factor = 4.0;
  double wave_share = 0.2;  // share of workers that a wave slows down
  double wave_factor = 2.5;
  bool retry_budget = true;
  std::uint64_t seed = 1;
};

/// Results over the calls that were due in the measured time. Latencies count from the due time.
struct ModelResult {
  double p50_ms = 0.0;
  double p99_ms = 0.0;
  double p999_ms = 0.0;
  double goodput = 0.0;           // calls answered within the deadline, as a share of the capacity
  double refused = 0.0;           // share of calls refused or dropped before they were sent
  double failed = 0.0;            // share of calls that ended without an answer in any other way
  double amplification = 0.0;     // attempts per call that was sent at least once
  double queued_at_worker = 0.0;  // share of attempts that waited for a slot at the worker
  double affected = 0.0;          // share of the answered calls served by affected workers
};

/// Runs the model with the real router in every daemon.
ModelResult run_model(const ModelOptions& options);

/// Runs the same arrivals and service times with one ideal queue in front of all slots.
ModelResult run_ideal(const ModelOptions& options);

}  // namespace arbutusdale::bench
