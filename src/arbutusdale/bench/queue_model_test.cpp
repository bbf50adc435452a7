// Tests of the queue model, and of those goals for the request path that can be checked on
// simulated time.
#include "queue_model.hpp"

#include "experiment.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::bench;

namespace {

ModelOptions short_run(Scenario scenario, double load) {
  ModelOptions options;
  options.scenario = scenario;
  options.load = load;
  options.spread = 0.3;
  options.warm_up = std::chrono::seconds{1};
  options.measured = std::chrono::seconds{4};
  return options;
}

}  // namespace

// Guards against an error in the ideal queue, which would make every ratio to it wrong. At 30% load
// no call waits, so the quantiles are those of the exponential service time.
Test(model, ideal_queue_without_load) {
  auto options = short_run(Scenario::steady, 0.3);
  options.spread = 0.0;
  options.link_delay = Duration{0};
  const auto ideal = run_ideal(options);
  cr_assert_float_eq(ideal.p50_ms, 13.86, 0.5);
  cr_assert_float_eq(ideal.p99_ms, 92.1, 4.0);
  cr_assert_float_eq(ideal.goodput, 0.3, 0.01);
}

// Guards against runs with the same seed that differ, which would make results incomparable.
Test(model, same_seed_same_result) {
  const auto options = short_run(Scenario::waves, 0.8);
  const auto first = run_model(options);
  const auto second = run_model(options);
  cr_assert_eq(first.p999_ms, second.p999_ms);
  cr_assert_eq(first.goodput, second.goodput);
}

// Guards against queueing at the daemons that raises the p99 latency at 80% load above the goal of
// 1.5 times that of the ideal queue.
Test(goals, tail_latency_at_80_percent) {
  const auto options = short_run(Scenario::steady, 0.8);
  cr_assert_leq(run_model(options).p99_ms, 1.5 * run_ideal(options).p99_ms);
}

// Guards against goodput that collapses under overload: at twice the capacity it stays at 95% or
// more of the goodput at full load.
Test(goals, goodput_at_twice_the_capacity) {
  const double peak = run_model(short_run(Scenario::steady, 1.0)).goodput;
  cr_assert_geq(run_model(short_run(Scenario::steady, 2.0)).goodput, 0.95 * peak);
}

// Guards against retries that multiply the load when every target fails.
Test(goals, amplification_under_total_failure) {
  const auto result = run_model(short_run(Scenario::total_failure, 0.5));
  cr_assert_leq(result.amplification, 1.1);
  cr_assert_geq(result.amplification, 1.05);
}

// Guards against a surge of one team that raises the p99 latency of another team by more than 10%.
Test(goals, surge_of_another_team) {
  const double calm = run_model(short_run(Scenario::team_calm, 0.3)).p99_ms;
  cr_assert_leq(run_model(short_run(Scenario::team_surge, 0.3)).p99_ms, 1.1 * calm);
}

// Guards against lists that are not expanded, and against misspelt members that are accepted.
Test(experiment, parse) {
  const auto experiment = parse_experiment(
      R"({"defaults": {"seed": 3}, "runs": [{"load": [0.5, 0.8], "policy": ["random", "slot_share"]}]})");
  cr_assert(experiment.has_value());
  cr_assert_eq(experiment->runs.size(), 4U);
  cr_assert_eq(experiment->runs[3].seed, 3U);
  cr_assert_not(parse_experiment(R"({"runs": [{"lod": 0.5}]})").has_value());
  cr_assert_not(parse_experiment(R"({"runs": [{"policy": "best"}]})").has_value());
  cr_assert_not(parse_experiment("[]").has_value());
}
