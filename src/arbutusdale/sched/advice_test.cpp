// Tests of advised queues: few eligible workers, expiring tickets, restarts, failing advice calls.
#include <chrono>
#include <cstdint>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

JobBuilder advised_job(std::uint32_t number, std::uint32_t tasks, std::uint64_t cpu_millis) {
  JobBuilder job(number);
  job.record.mutable_terms()->set_advised(true);
  job.step(tasks, cpu_millis);
  return job;
}

struct AdvisedFleetFixture : FleetFixture {
  explicit AdvisedFleetFixture(int workers) : FleetFixture(workers) { fleet.needs_tickets = true; }
};

}  // namespace

// Guards against a job of an advised queue that never starts.
Test(advice, a_step_runs_on_the_workers_that_may_run_it) {
  AdvisedFleetFixture fixture(6);
  fixture.fleet.advisor.allowed = {"w02", "w04"};
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  leader.submit(advised_job(1, 6, 4'000));
  fixture.timer.advance(5s);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.invalid_tickets, 0U);
}

// Guards against a step that waits forever when the first workers named must not run it.
Test(advice, more_workers_are_named_until_one_may_run_the_step) {
  AdvisedFleetFixture fixture(90);
  fixture.fleet.advisor.allowed = {"w85"};
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  leader.submit(advised_job(1, 1, 4'000));
  fixture.timer.advance(4s);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  cr_assert_leq(fixture.fleet.advisor.calls, 3);
  cr_assert_leq(fixture.fleet.advisor.most_named, 100U);
}

// Guards against starts that carry expired tickets.
Test(advice, tickets_are_renewed_before_they_expire) {
  AdvisedFleetFixture fixture(2);
  fixture.fleet.advisor.allowed = {"w00", "w01"};
  fixture.fleet.advisor.valid_for = 700ms;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  leader.submit(advised_job(1, 12, 4'000));
  fixture.timer.advance(8s);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.invalid_tickets, 0U);
}

// Guards against using the ticket of a worker's earlier incarnation.
Test(advice, a_restarted_worker_needs_a_new_ticket) {
  AdvisedFleetFixture fixture(1);
  fixture.fleet.advisor.allowed = {"w00"};
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  leader.submit(advised_job(1, 2, 8'000));
  fixture.timer.advance(600ms);
  const int calls = fixture.fleet.advisor.calls;
  fixture.fleet.restart("w00");
  fixture.timer.advance(6s);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  cr_assert_gt(fixture.fleet.advisor.calls, calls);
}

// Guards against one step that starves the others of advice calls, and against an immediate repeat
// of a call that the service has refused.
Test(advice, steps_take_turns_and_failed_calls_are_repeated) {
  AdvisedFleetFixture fixture(3);
  fixture.fleet.advisor.failures = 4;
  fixture.fleet.advisor.allowed = {"w00", "w01", "w02"};
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    leader.submit(advised_job(i, 2, 1'000));
  }
  fixture.timer.advance(4s);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    cr_assert(leader.state(i) == JobState::COMPLETED, "job %u", i);
  }
  cr_assert_leq(fixture.fleet.advisor.calls, 20);
}
