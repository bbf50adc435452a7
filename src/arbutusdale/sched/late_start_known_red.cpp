// Known failure, listed in KNOWN-RED.txt: an unanswered start that reaches the next incarnation of
// a worker that restarts under the same id.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a second run of a task whose worker restarts between the stop order and the late
// start: the new incarnation does not know of the stop.
Test(late_start, does_not_double_a_task_after_a_restart) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  FakeWorker& first = fixture.fleet.at("w00");
  first.start_delay = 2900ms;
  JobBuilder job(1);
  job.step(1, 2'000);
  leader.submit(job);
  fixture.timer.advance(100ms);
  WorkerEntry entry = first.entry;
  entry.state = WorkerState::draining;
  leader.scheduler->on_worker_updated(entry);
  fixture.timer.advance(2750ms);
  first.start_delay = 0s;
  fixture.fleet.restart("w00");
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}
