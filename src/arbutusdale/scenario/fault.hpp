// Faults that a scenario can inject.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusdale::scenario {

enum class Fault : std::uint8_t {
  kill_daemon,
  pause_daemon,        // longer than the lease and the peers' failure detection
  append_answer_lost,  // appends take effect, their answers do not arrive
  append_refused,
  log_outage,
  log_trimmed,
  log_slow,
  cut_domains,         // failure domains cannot reach each other
  cut_platform,        // one failure domain cannot reach the platform
  cut_agents,          // one daemon cannot reach the agents
  cut_peers,           // one daemon cannot reach the other daemons
  agent_unreachable,   // commands do not arrive, tasks keep running
  agent_answers_lost,  // commands take effect, their answers do not arrive
  silent_connection,   // targets accept and never answer
  target_crash,
  worker_crash,
  worker_fails_tasks,
  vm_list_empty,
  vm_list_halved,
  vm_list_frozen,
  message_duplicated,
  message_reordered,
  operators_race,
  cancellation_wave,
};

inline constexpr std::size_t k_fault_count = 24;

std::string_view to_string(Fault fault);
std::optional<Fault> fault_from_name(std::string_view name);
const std::array<Fault, k_fault_count>& all_faults();

/// One injection. `subject` names a daemon; a worker fault affects a worker of that daemon's
/// failure domain, or the worker that `subject` names.
struct Injection {
  Fault fault = Fault::kill_daemon;
  std::string subject;  // daemon, worker or failure domain; a random daemon when empty
  Duration length = std::chrono::seconds{15};
};

}  // namespace arbutusdale::scenario
