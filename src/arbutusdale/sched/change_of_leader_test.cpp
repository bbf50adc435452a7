// Tests of changes of leader: what the next one adopts, waits for and may order.
#include <chrono>
#include <cstdint>
#include <string>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

// Guards against a new leader that treats runs it has just adopted as expired, because it has not
// renewed their leases yet.
Test(scheduler, adopted_runs_live_until_the_earlier_leases_can_have_ended) {
  FleetFixture fixture(3);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  JobBuilder job(1);
  job.step(6, 1'000);
  first.submit(job);
  fixture.timer.advance(1s);
  first.frozen = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  fixture.timer.advance(1ms);
  // The first polls are in flight; no lease is renewed after them.
  second.scheduler->set_order_limits({TimePoint::max(), TimePoint{}});
  fixture.timer.advance(500ms);
  std::size_t known = 0;
  for (const auto& worker : second.scheduler->workers().all()) {
    known += worker->runs.size();
  }
  cr_assert_eq(known, 6U);
  cr_assert_eq(fixture.fleet.running(), 6U);
}

// Guards against a second run of a task that a new leader has started beside adopted ones: the
// lease granted with the start is shorter than the earlier leader's, which still holds for all runs
// of the worker when it can't be reached.
Test(scheduler, a_short_lease_does_not_hide_the_longer_one_of_the_earlier_leader) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder adopted(1);
  adopted.step(1, 1'000);
  first.submit(adopted);
  fixture.timer.advance(1s);
  first.frozen = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  JobBuilder job(2);
  job.step(1, 1'000);
  second.submit(job);
  fixture.timer.advance(100ms);
  const std::string shared = fixture.fleet.at("w00").runs.empty() ? "w01" : "w00";
  cr_assert_eq(fixture.fleet.at(shared).runs.size(), 2U);
  fixture.fleet.at(shared).partitioned = true;
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert_eq(fixture.fleet.running(), 2U, "both tasks run again once the leases have expired");
}

// Guards against adopted runs that are lost because a new leader extends no lease before it has
// stored a roster of its own: the worker is unreachable soon after its first answer.
Test(scheduler, the_second_poll_of_a_new_leader_extends_the_leases) {
  FleetFixture fixture(1);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(1, 1'000).set_long_running(true);
  first.submit(job);
  fixture.timer.advance(1s);
  first.scheduler->set_order_limits({TimePoint{}, TimePoint{}});
  fixture.timer.advance(4'500ms);
  first.frozen = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  fixture.timer.advance(15ms);
  fixture.fleet.at("w00").partitioned = true;
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.fleet.running(), 1U);
  cr_assert_eq(fixture.fleet.starts, 1U);
}

// Guards against a change of leader that starts running tasks a second time or loses them.
Test(scheduler, the_next_leader_adopts_what_runs) {
  FleetFixture fixture;
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 3s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log, 1);
  JobBuilder job(1);
  job.step(6, 1'000);
  job.step(3, 1'000).add_after(0);
  first.submit(job);
  fixture.timer.advance(1s);
  first.lose_leadership();
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  fixture.timer.advance(10s);
  cr_assert(first.fenced);
  cr_assert_not(second.fenced);
  cr_assert_eq(fixture.fleet.starts, 9U);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert(second.state(1) == JobState::COMPLETED);
}

// Guards against a second run of a task on a worker that is partitioned and whose registration is
// gone: the next leader knows of this worker only from the stored roster.
Test(scheduler, the_next_leader_waits_for_workers_of_the_roster) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log, 1);
  JobBuilder job(1);
  job.step(1, 8'000).set_long_running(true);
  first.submit(job);
  fixture.timer.advance(1s);
  const std::string cut_off = fixture.fleet.at("w00").runs.empty() ? "w01" : "w00";
  first.frozen = true;
  fixture.fleet.at(cut_off).partitioned = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  second.scheduler->on_worker_gone(cut_off);
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.starts, 1U);
  fixture.timer.advance(6s);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against a registration without a worker that holds up every change of leader and is polled
// as often as workers that run tasks.
Test(scheduler, a_registration_without_a_worker_holds_nothing_up) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  fixture.fleet.at("w01").partitioned = true;
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(30s);
  const std::uint64_t polls = fixture.fleet.polls;
  fixture.timer.advance(10s);
  // w00 answers about 14 polls in this time.
  cr_assert_leq(fixture.fleet.polls - polls, 25U);
  JobBuilder job(1);
  job.step(1, 1'000);
  job.step(1, 1'000).add_after(0);
  first.submit(job);
  fixture.timer.advance(1s);
  first.frozen = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.fleet.starts, 2U, "the second step starts as soon as the first is done");
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against new jobs that wait for workers whose answers concern only older jobs.
Test(scheduler, new_jobs_do_not_wait_for_the_takeover) {
  FleetFixture fixture(2);
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log, 1);
  fixture.timer.advance(1s);
  first.frozen = true;
  fixture.fleet.at("w00").partitioned = true;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2);
  fixture.timer.advance(300ms);
  JobBuilder job(1);
  job.step(2, 1'000);
  second.submit(job);
  fixture.timer.advance(2s);
  cr_assert(second.state(1) == JobState::COMPLETED);
}

// Guards against a leader that resumes after a suspension, or whose ticks are late, and that sends
// orders at a time when another daemon may lead.
Test(scheduler, sends_no_orders_beyond_its_limits_between_two_ticks) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(2, 2'000);
  leader.submit(job);
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.starts, 2U);
  const TimePoint limit = fixture.timer.now() + 500ms;
  leader.scheduler->set_order_limits({limit, limit});
  leader.frozen = true;
  fixture.timer.advance(2s);
  JobBuilder later(2);
  later.step(1, 2'000);
  leader.submit(later);
  fixture.timer.advance(6s);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert_eq(fixture.fleet.running(), 0U, "the leases expire");
}

// Guards against an ended run that is acknowledged and ignored because the next leader has not read
// the record of its job yet (shatra scale-1, seed 12: a task ran again after it was done).
Test(scheduler, the_next_leader_takes_no_ends_of_jobs_that_it_does_not_know_yet) {
  FleetFixture fixture(2);
  FakeProgressLog earlier(fixture.timer);
  LeaderFixture first(fixture.timer, fixture.fleet, earlier, 1);
  fixture.timer.advance(300ms);
  JobBuilder job(1);
  job.step(2, 1'000);
  first.submit(job);
  fixture.timer.advance(900ms);
  first.frozen = true;
  first.lose_leadership();
  earlier.down = true;
  fixture.timer.advance(300ms);
  fixture.log.term = 1;
  LeaderFixture second(fixture.timer, fixture.fleet, fixture.log, 2, false);
  fixture.timer.advance(500ms);
  second.submit(job);
  second.scheduler->on_jobs_caught_up();
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert(second.state(1) == JobState::COMPLETED);
}
