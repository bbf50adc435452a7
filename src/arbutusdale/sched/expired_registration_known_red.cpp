// Known failure, listed in KNOWN-RED.txt: a worker behind a partition that refuses connections is
// taken for one that has exited.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a second run of a task whose worker is unreachable: its registration has expired
// while the store was unavailable, and the partition refuses connections, but its runs continue.
Test(expired_registration, a_refused_connection_does_not_end_the_runs_of_a_worker) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(2, 2'000);
  leader.submit(job);
  fixture.timer.advance(1s);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->refuses_connections = !worker->runs.empty();
    leader.scheduler->on_worker_gone(id, true);
    if (worker->runs.empty()) {
      leader.scheduler->on_worker_updated(worker->entry);
    }
  }
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert_gt(fixture.fleet.starts, 2U, "the tasks start again once the leases have expired");
}
