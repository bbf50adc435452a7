// Known failures, listed in KNOWN-RED.txt: tasks that crash every worker that starts them are
// started again for ever.
#include <chrono>
#include <cstdint>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

// Guards against a task that crashes one worker after another, beside ordinary jobs and serving
// tasks that have to go on.
Test(crashing_task, is_given_up_and_all_other_jobs_complete) {
  CrashFixture f(8);
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  f.submit_serving(1, 4);
  for (std::uint32_t i = 2; i <= 9; ++i) {
    f.submit(i, 4);
  }
  f.submit_deadly(100, 1);
  for (std::uint32_t i = 10; i <= 20; ++i) {
    f.timer.advance(1s);
    f.submit(i, 2);
  }
  f.timer.advance(40s);
  f.expect_given_up({100});
  f.expect_completed(2, 20);
  cr_expect(f.state(1) == JobState::RUNNING);
  cr_expect_eq(f.running_tasks(1), 4U);
  f.expect_nothing_doubled();
}
