// Known failure, listed in KNOWN-RED.txt: an unanswered start that reaches the next incarnation of
// a worker that restarts under the same id.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a start of the earlier leader that reaches the next incarnation of its worker
// before the new leader's first poll of it.
Test(late_start, a_late_start_of_the_earlier_leader_reaches_the_next_incarnation) {
  for (int restart_ms = 0; restart_ms < 300; restart_ms += 10) {
    FleetFixture f(2);
    f.fleet.work_of = [](const jobs::TaskId&) { return 30s; };
    LeaderFixture first(f.timer, f.fleet, f.log);
    f.timer.advance(1s);
    WorkerEntry w01 = f.fleet.at("w01").entry;
    w01.state = WorkerState::draining;
    first.scheduler->on_worker_updated(w01);
    FakeWorker& w = f.fleet.at("w00");
    w.start_delay = 4s;
    JobBuilder job(1);
    job.step(1, 2'000);
    first.submit(job);
    f.timer.advance(100ms);
    first.frozen = true;
    first.scheduler->set_order_limits({TimePoint{}, TimePoint{}});
    w.start_delay = 0s;
    f.timer.advance(2300ms);
    LeaderFixture second(f.timer, f.fleet, f.log, 2);
    f.timer.advance(200ms);
    WorkerEntry w00 = w.entry;
    w00.state = WorkerState::draining;
    second.scheduler->on_worker_updated(w00);
    f.timer.advance(1000ms);
    f.fleet.crash("w00");
    f.timer.advance(std::chrono::milliseconds{restart_ms + 200});
    f.fleet.restart("w00");
    f.timer.advance(3s);
    cr_expect_eq(f.fleet.doubled, 0U, "late, restart %d", restart_ms);
  }
}
