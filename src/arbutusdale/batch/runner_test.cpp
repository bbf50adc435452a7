// Tests of the shard runner in its normal course.
#include "test_world.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

// Guards against a break anywhere on the way from acquisition to acknowledgement.
Test(runner, runs_a_job_to_its_end) {
  World world;
  world.add_vm("vm-1");
  world.add_vm("vm-2");
  world.take_over();
  world.add_job(World::job("plan", 8));
  world.run(2s);
  cr_assert_eq(world.agents.running(), 8U);
  world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  world.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  world.run(4s);
  cr_assert_eq(world.succeeded("plan"), 8U);
  cr_assert(world.agents.vm("vm-1").attempts.empty(), "ended attempts are acknowledged");
  cr_assert_eq(world.agents.most_at_once, 1U);
  cr_assert_eq(world.runner->stats().succeeded, 8U);
}
