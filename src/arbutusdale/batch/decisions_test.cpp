// Tests of the decisions that need no agents: placement, queue, sizes, interference, pressure,
// health.
#include "arbutusdale/batch/interference.hpp"
#include "arbutusdale/batch/placement.hpp"
#include "arbutusdale/batch/pressure.hpp"
#include "arbutusdale/batch/ready_queue.hpp"
#include "arbutusdale/batch/size_model.hpp"
#include "arbutusdale/batch/worker_health.hpp"

#include <map>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint k_start{std::chrono::seconds{1'000}};
const PlacementCost k_no_cost = [](std::uint32_t) { return std::optional<double>{0}; };

}  // namespace

// Guards against a choice that overcommits any resource, or that misses the only worker that fits.
Test(placement, fits_every_resource) {
  PlacementIndex index(PlacementPolicy::scored, 1);
  index.set(0, {{8'000, 1'024, 0}, {8'000, 1'024, 0}, true});
  index.set(1, {{1'000, 8'192, 0}, {1'000, 8'192, 0}, true});
  index.set(2, {{8'000, 8'192, 0}, {8'000, 8'192, 0}, false});
  cr_assert_not(index.choose({4'000, 4'096, 0}, k_no_cost));
  index.set(3, {{8'000, 8'192, 0}, {4'000, 4'096, 0}, true});
  cr_assert_eq(index.choose({4'000, 4'096, 0}, k_no_cost).value(), 3U);
  cr_assert_not(index.choose({4'001, 4'096, 0}, k_no_cost));
}

// Guards against a decision whose cost grows with the number of workers.
Test(placement, looks_at_a_bounded_number) {
  PlacementIndex index(PlacementPolicy::scored, 1);
  for (std::uint32_t slot = 0; slot < 14'000; ++slot) {
    const std::uint64_t cpu = 1'000 + 500 * (slot % 120);
    index.set(slot, {{64'000, 250'000, 0}, {cpu, 4 * cpu, 0}, true});
  }
  for (int i = 0; i < 1'000; ++i) {
    cr_assert(index.choose({1'000 + 10U * i, 2'000, 0}, k_no_cost));
    cr_assert_leq(index.last_candidates(), 60U);
  }
}

// Guards against accelerators that stay idle because tasks without accelerators have taken the
// processors of their VM.
Test(placement, keeps_accelerator_workers) {
  PlacementIndex index(PlacementPolicy::scored, 1);
  index.set(0, {{8'000, 8'192, 2}, {8'000, 8'192, 2}, true});
  index.set(1, {{2'000, 2'048, 0}, {2'000, 2'048, 0}, true});
  cr_assert_eq(index.choose({1'000, 1'024, 0}, k_no_cost).value(), 1U);
  cr_assert_not(index.choose({4'000, 1'024, 0}, k_no_cost), "both accelerators are still free");
  index.set(0, {{8'000, 8'192, 2}, {8'000, 8'192, 1}, true});
  cr_assert_eq(index.choose({4'000, 1'024, 0}, k_no_cost).value(), 0U);
  cr_assert_eq(index.choose({1'000, 1'024, 1}, k_no_cost).value(), 0U);
}

// Guards against urgent or high-priority work that waits behind older work of its team.
Test(queue, urgent_then_priority) {
  ReadyQueue queue;
  queue.set_capacity({100'000, 100'000, 0});
  queue.add({1, "a", 0, false, {}}, k_start);
  queue.add({2, "a", 5, false, {}}, k_start + 1s);
  queue.add({3, "a", 0, true, {}}, k_start + 2s);
  cr_assert_eq(queue.next(k_start + 3s).value(), 3U);
  queue.remove(3);
  cr_assert_eq(queue.next(k_start + 3s).value(), 2U);
}

// Guards against low-priority work that never runs while work of higher priority keeps arriving.
Test(queue, aging_prevents_starvation) {
  ReadyQueue queue;
  queue.set_capacity({100'000, 100'000, 0});
  queue.add({1, "a", 0, false, {}}, k_start);
  queue.add({2, "a", 9, false, {}}, k_start);
  std::map<std::uint32_t, int> served;
  for (auto now = k_start; now < k_start + 600s; now += 1s) {
    const std::uint32_t job = queue.next(now).value();
    ++served[job];
    queue.started(job, now);
  }
  cr_assert_geq(served[1], 2);
  cr_assert_gt(served[2], 100 * served[1]);
}

// Guards against a team that takes more than its weight, or more than its quota.
Test(queue, shares_and_quotas) {
  ReadyQueue queue;
  queue.set_capacity({100'000, 100'000, 0});
  queue.set_team("a", {std::nullopt, 3});
  queue.set_team("b", {std::nullopt, 1});
  queue.add({1, "a", 0, false, {1'000, 0, 0}}, k_start);
  queue.add({2, "b", 9, false, {1'000, 0, 0}}, k_start);
  std::map<std::uint32_t, int> served;
  for (int i = 0; i < 80; ++i) {
    const std::uint32_t job = queue.next(k_start).value();
    ++served[job];
    queue.charge(job == 1 ? "a" : "b", {1'000, 0, 0});
  }
  cr_assert_eq(served[1], 60);
  queue.set_team("a", {Resources{60'500, 1'000, 0}, 3});
  queue.charge("b", {90'000, 0, 0});
  cr_assert_eq(queue.next(k_start).value(), 2U);
  cr_assert(quota_share({128'000, 1'280, 256}, 1, 32, 4) == (Resources{1'000, 10, 2}));
}

// Guards against a deferred job that loses its waiting time, or that blocks others while deferred.
Test(queue, deferred_jobs_keep_their_age) {
  ReadyQueue queue;
  queue.add({1, "a", 0, false, {}}, k_start);
  queue.add({2, "a", 0, false, {}}, k_start + 1s);
  queue.defer(1, k_start + 5s);
  cr_assert_eq(queue.next(k_start + 2s).value(), 2U);
  cr_assert_eq(queue.next(k_start + 5s).value(), 1U);
  queue.remove(1);
  queue.remove(2);
  cr_assert_not(queue.next(k_start + 6s));
}

// Guards against sizes outside 0.25x to 4x of the declaration, or that follow a single sample.
Test(sizes, learned_within_bounds) {
  const Resources declared{1'000, 1'000, 1};
  SizeModel small;
  SizeModel large;
  small.observe_use({10, 10, 0});
  cr_assert(small.size(declared) == declared);
  for (int i = 0; i < 30; ++i) {
    small.observe_use({10, 10, 0});
    large.observe_use({9'000, 9'000, 0});
  }
  cr_assert(small.size(declared) == (Resources{250, 250, 1}));
  cr_assert(large.size(declared) == (Resources{4'000, 4'000, 1}));
}

// Guards against an estimate that attributes the effect to the wrong class, or whose old
// observations never lose their weight.
Test(interference, separates_noisy_from_quiet) {
  InterferenceModel model;
  TimePoint now = k_start;
  for (int i = 0; i < 300; ++i) {
    now += 1s;
    const double noisy = (i % 3) * 0.1;
    const double quiet = (i % 4) * 0.1;
    model.observe("web", {0.5, 0.4 + 2.0 * noisy, {{0, noisy}, {1, quiet}}}, now);
  }
  cr_assert_float_eq(model.effect("web", 0), 2.0, 0.3);
  cr_assert_lt(model.effect("web", 1), 0.2);
  cr_assert(model.is_known("web", 0));
  cr_assert_not(model.is_known("web", 7));
  const double before = model.deviation("web", 0);
  model.observe("web", {0.5, 0.4, {{0, 0}}}, now + 8h);
  cr_assert_gt(model.deviation("web", 0), 2 * before);
}

// Guards against an eviction before throttling, and against the eviction of the attempt without a
// checkpoint, which would lose its work.
Test(pressure, throttles_then_evicts_the_cheapest) {
  InterferenceModel model;
  const PressureLimits limits = pressure_limits(Weighting::throughput);
  PressureInput input;
  input.services = {{"web", 1.2, 0.5}};
  input.attempts = {{{0, 1, 1}, 0, 0.2, 100, false, 600'000, k_start},
                    {{0, 2, 1}, 0, 0.2, 100, true, 600'000, k_start + 1s}};
  PressureDecision decision = decide_pressure(input, model, limits, {});
  cr_assert(decision.action == PressureAction::throttle);
  cr_assert_eq(decision.attempts.size(), 2U);
  for (RunningAttempt& attempt : input.attempts) {
    attempt.throttle_percent = 25;
  }
  decision = decide_pressure(input, model, limits, {});
  cr_assert(decision.action == PressureAction::evict);
  cr_assert_eq(decision.attempts.front().task, 2U);
  input.services.front().p99_ratio = 0.5;
  cr_assert(decide_pressure(input, model, limits, {}).action == PressureAction::none);
  input.reports_below_relax = 3;
  cr_assert(decide_pressure(input, model, limits, {}).action == PressureAction::relax);
  input.services.front().p99_ratio = 0.85;
  input.reports_below_relax = 0;
  cr_assert(decide_pressure(input, model, limits, {}).action == PressureAction::none);
  const PressureLimits early = pressure_limits(Weighting::latency);
  cr_assert(decide_pressure(input, model, early, {}).action == PressureAction::evict);
  BatchPolicies newest;
  newest.eviction = EvictionPolicy::newest;
  input.services.front().p99_ratio = 1.2;
  cr_assert_eq(decide_pressure(input, model, limits, newest).attempts.front().task, 2U);
}

// Guards against the quarantine of a healthy worker because of a job that fails everywhere, and
// against a failing worker that is not quarantined.
Test(health, bad_worker_is_told_from_bad_job) {
  WorkerHealth health;
  for (std::uint32_t task = 0; task < 8; ++task) {
    health.observe_failure(0, task);
  }
  cr_assert_not(health.must_quarantine([](std::uint32_t) { return FailureCause::job; }));
  cr_assert_not(health.must_quarantine([](std::uint32_t) { return FailureCause::unknown; }));
  const auto proved = [](std::uint32_t) { return FailureCause::worker; };
  cr_assert(health.must_quarantine(proved));
  cr_assert(health.quarantine(k_start) == 1min);
  cr_assert(health.state(k_start + 59s, proved) == HealthState::quarantined);
  cr_assert(health.state(k_start + 60s, proved) == HealthState::probation);
  health.observe_failure(0, 9);
  cr_assert(health.must_quarantine(proved), "one failure on probation is enough");
  cr_assert(health.quarantine(k_start + 61s) == 2min);
  health.observe_success();
  cr_assert(health.state(k_start + 62s, proved) == HealthState::healthy);
}
