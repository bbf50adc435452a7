// Tests of the scenario language.
#include "script.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::scenario;

namespace {

std::string error_of(const std::string& text) {
  const auto script = parse_script("t.txt", text);
  return script ? std::string{} : script.error().message;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against statements that are parsed but dropped.
Test(script, parses_every_statement) {
  const auto script = parse_script("t.txt",
                                   "seed 7\n"
                                   "topology domains=a,b daemons=3 workers=5 cpu=4 shards=2\n"
                                   "declare service orders slots=4\n"
                                   "declare job cut tasks=9 seconds=2 checkpoint=yes\n"
                                   "load orders rate=5 keyed=0.5 until=9s\n"
                                   "at 3s inject log_outage for 4s\n"
                                   "at 5s restart a-entry-0 away=2s\n"
                                   "run 30s\n"
                                   "expect finished cut 9\n");
  cr_assert(script.has_value());
  cr_assert_eq(script->seed, 7U);
  cr_assert_eq(script->topology.domains.size(), 2U);
  cr_assert_eq(script->topology.worker.cpu_millis, 4'000U);
  cr_assert_eq(script->declaration.declaration.jobs(0).tasks(), 9U);
  cr_assert_eq(script->actions.size(), 2U);
  cr_assert(script->actions[0].injection.length == std::chrono::seconds{4});
  cr_assert(script->loads[0].until == std::chrono::seconds{9});
}

// Guards against errors that do not name the line.
Test(script, errors_name_the_line) {
  cr_assert(contains(error_of("seed 1\nfly away\nexpect invariants\n"), "t.txt:2:"));
  cr_assert(contains(error_of("at 3s inject fire\nexpect invariants\n"), "kill_daemon"));
  cr_assert(contains(error_of("at 3 drain vm\nexpect invariants\n"), "seconds"));
  cr_assert(contains(error_of("declare job j tasks=many\nexpect invariants\n"), "whole number"));
  cr_assert(contains(error_of("declare job j color=red\nexpect invariants\n"), "color"));
}

// Guards against a scenario that checks nothing and so cannot fail.
Test(script, needs_an_expectation) {
  cr_assert(contains(error_of("run 5s\n"), "expect"));
}

// Guards against an expectation that never fails.
Test(script, unmet_expectations_fail) {
  const auto script = parse_script("t.txt",
                                   "topology domains=a daemons=1 workers=1\n"
                                   "declare job cut tasks=2 seconds=500\n"
                                   "run 10s\n"
                                   "expect finished cut 2\n");
  cr_assert(script.has_value());
  cr_assert_eq(run_script(*script).failures.size(), 1U);
}

// Guards against a run whose outcome depends on anything other than its seed.
Test(script, same_seed_gives_the_same_trace) {
  const auto script = parse_script("t.txt",
                                   "seed 3\n"
                                   "topology domains=a daemons=2 workers=2\n"
                                   "declare service orders\n"
                                   "declare job cut tasks=6 seconds=2\n"
                                   "load orders rate=5 keyed=0.5 from=3s until=15s\n"
                                   "at 8s inject kill_daemon for 5s\n"
                                   "run 20s\n"
                                   "expect invariants\n");
  cr_assert(script.has_value());
  cr_assert(run_script(*script).trace == run_script(*script).trace);
}
