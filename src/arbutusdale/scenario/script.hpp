// Scenario language: one statement per line, run on the fake clock.
//
//   seed 7
//   topology domains=halle-a,halle-b daemons=2 workers=4 cpu=8 memory_gib=32 shards=2
//   declare service orders
//   declare job cutting-plan tasks=40 cpu=2 memory_gib=2 seconds=6 checkpoint=yes
//   load orders rate=12 keyed=0.4 from=4s until=60s
//   at 10s inject kill_daemon on halle-a-entry-0 for 15s
//   at 20s drain halle-a-vm-0
//   at 30s restart halle-b-entry-1 away=5s
//   run 120s
//   expect invariants
//   expect finished cutting-plan 40
//   expect answered >= 0.95
//
// Empty lines and lines that start with '#' are ignored.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include "world.hpp"

namespace arbutusdale::scenario {

struct TimedAction {
  enum class Kind : std::uint8_t { inject, drain, cancel, restart };
  Duration at{};
  Kind kind = Kind::inject;
  std::string subject;
  Injection injection;
  Duration away = std::chrono::seconds{5};
};

struct LoadStatement {
  std::string service;
  double rate = 10;
  double keyed = 0;
  Duration from{};
  Duration until = std::chrono::seconds{60};
};

struct Expectation {
  enum class Kind : std::uint8_t { invariants, finished, answered };
  Kind kind = Kind::invariants;
  std::string job;
  std::uint64_t tasks = 0;
  double share = 0;  // of the requests
  std::size_t line = 0;
};

struct Script {
  std::uint64_t seed = 1;
  Topology topology;
  state::PlanRequest declaration;
  std::vector<LoadStatement> loads;
  std::vector<TimedAction> actions;
  std::vector<Expectation> expectations;
  Duration length = std::chrono::seconds{60};
};

struct ScriptOutcome {
  std::vector<std::string> failures;
  std::vector<std::string> trace;
};

/// Parses a scenario; an error names the file and the line, and what is allowed there.
Result<Script> parse_script(const std::string& file, const std::string& text);

ScriptOutcome run_script(const Script& script);

}  // namespace arbutusdale::scenario
