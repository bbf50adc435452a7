// A known failure, listed in KNOWN-RED.txt: a start without an answer that reaches the next
// incarnation of a worker which restarts under the same id.
#include <chrono>

#include "sched_world_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a second run of a task when its worker restarts, with nothing known of the stop
// order, between that order and the late start.
Test(late_start, does_not_double_a_task_after_a_restart) {
  SchedBase base(2);
  base.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  SchedWorld world(base.timer, base.fleet, base.log);
  base.timer.advance(1s);
  FakeWorker& first = base.fleet.at("w00");
  first.late_by = 2900ms;
  JobBuilder job(1);
  job.step(1, 2'000);
  world.submit(job);
  base.timer.advance(100ms);
  WorkerEntry entry = first.entry;
  entry.state = WorkerState::draining;
  world.scheduler->on_worker_updated(entry);
  base.timer.advance(2750ms);
  first.late_by = 0s;
  base.fleet.restart("w00");
  base.timer.advance(12s);
  cr_assert_eq(base.fleet.doubled, 0U);
}
