// Tests of advised queues: tickets that are few, expire, are refused or do not come.
#include <chrono>
#include <cstdint>

#include "sched_world_test.hpp"
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

struct AdvisedBase : SchedBase {
  explicit AdvisedBase(int workers) : SchedBase(workers) { fleet.needs_tickets = true; }
};

}  // namespace

// Guards against a job of an advised queue that never starts.
Test(advice, a_step_runs_on_the_workers_that_may_run_it) {
  AdvisedBase base(6);
  base.fleet.advisor.allowed = {"w02", "w04"};
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(200ms);
  world.submit(advised_job(1, 6, 4'000));
  base.timer.advance(5s);
  cr_assert(world.state(1) == JobState::COMPLETED);
  cr_assert_eq(base.fleet.bad_tickets, 0U);
}

// Guards against a step that waits for ever when the first workers that were named must not run it.
Test(advice, more_workers_are_named_until_one_may_run_the_step) {
  AdvisedBase base(90);
  base.fleet.advisor.allowed = {"w85"};
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(200ms);
  world.submit(advised_job(1, 1, 4'000));
  base.timer.advance(4s);
  cr_assert(world.state(1) == JobState::COMPLETED);
  cr_assert_leq(base.fleet.advisor.calls, 3);
  cr_assert_leq(base.fleet.advisor.most_named, 100U);
}

// Guards against starts that carry expired tickets.
Test(advice, tickets_are_renewed_before_they_expire) {
  AdvisedBase base(2);
  base.fleet.advisor.allowed = {"w00", "w01"};
  base.fleet.advisor.valid_for = 700ms;
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(200ms);
  world.submit(advised_job(1, 12, 4'000));
  base.timer.advance(8s);
  cr_assert(world.state(1) == JobState::COMPLETED);
  cr_assert_eq(base.fleet.bad_tickets, 0U);
}

// Guards against a worker that is taken to hold a ticket of its earlier life.
Test(advice, a_restarted_worker_needs_a_new_ticket) {
  AdvisedBase base(1);
  base.fleet.advisor.allowed = {"w00"};
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(200ms);
  world.submit(advised_job(1, 2, 8'000));
  base.timer.advance(600ms);
  const int calls = base.fleet.advisor.calls;
  base.fleet.restart("w00");
  base.timer.advance(6s);
  cr_assert(world.state(1) == JobState::COMPLETED);
  cr_assert_gt(base.fleet.advisor.calls, calls);
}

// Guards against one step that keeps all others from being asked for, and against a service that
// is asked again at once when it refuses.
Test(advice, steps_take_turns_and_failed_calls_are_repeated) {
  AdvisedBase base(3);
  base.fleet.advisor.failures = 4;
  base.fleet.advisor.allowed = {"w00", "w01", "w02"};
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(200ms);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    world.submit(advised_job(i, 2, 1'000));
  }
  base.timer.advance(4s);
  for (std::uint32_t i = 1; i <= 5; ++i) {
    cr_assert(world.state(i) == JobState::COMPLETED, "job %u", i);
  }
  cr_assert_leq(base.fleet.advisor.calls, 20);
}
