// Workers that return under their old ids, many at once, while orders to their earlier incarnations
// are carried out late.
#include <chrono>

#include "returned_workers_fixture_test.hpp"
#include "returned_workers_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a task that starts again after its success: a poll that was sent before the
// restart acknowledges ends of the next incarnation by number, before the leader has seen them.
Test(returned_workers,
     an_end_is_not_forgotten_because_of_an_acknowledgement_sent_before_the_restart) {
  for (const Cut cut : {Cut::answers, Cut::orders, Cut::both}) {
    ReturnFixture fixture;
    fixture.acknowledge_ends();
    fixture.return_before_late_polls(2'400ms);
    fixture.cut_off_during_job(2, cut);
    fixture.timer.advance(2s);  // the runs end, and the late polls arrive
    fixture.set_cut(Cut::none);
    fixture.timer.advance(20s);
    fixture.expect_each_task_done_once(2);
  }
}

// Guards against the same by a change of leader: the next one does not know of the polls that the
// earlier one has sent, and its own orders do not reach the workers before these polls.
Test(returned_workers,
     an_end_is_not_forgotten_because_of_an_acknowledgement_of_the_earlier_leader) {
  for (const Cut cut : {Cut::orders, Cut::both}) {
    ReturnFixture fixture;
    fixture.acknowledge_ends();
    fixture.return_before_late_polls(2'400ms);
    fixture.cut_off_during_job(2, cut);
    fixture.leader().kill();
    fixture.timer.advance(1s);
    fixture.lead();
    fixture.timer.advance(1s);  // the late polls arrive
    fixture.set_cut(Cut::none);
    fixture.timer.advance(30s);
    fixture.expect_each_task_done_once(2);
  }
}

// Guards against the same when the leader changes between the return and the cut. Passes, since the
// workers have seen an order of the later term.
Test(returned_workers,
     an_acknowledgement_of_the_earlier_leader_is_refused_after_an_order_of_the_next_one) {
  for (const Cut cut : {Cut::answers, Cut::orders, Cut::both}) {
    ReturnFixture fixture;
    fixture.acknowledge_ends();
    fixture.return_before_late_polls(3'400ms);
    fixture.leader().kill();
    fixture.timer.advance(500ms);
    fixture.lead();
    fixture.timer.advance(500ms);
    fixture.cut_off_during_job(2, cut);
    fixture.timer.advance(2s);  // the runs end, and the late polls arrive
    fixture.set_cut(Cut::none);
    fixture.timer.advance(20s);
    fixture.expect_each_task_done_once(2);
  }
}

// Guards against lasting tasks that wait although their workers are back: these get no starts while
// an order to their earlier incarnation may be carried out, and all other workers are full.
Test(returned_workers, lasting_tasks_of_a_crashed_failure_domain_start_soon_after_its_return) {
  constexpr std::uint32_t k_domain_workers = 4;
  constexpr std::uint32_t k_domains = 4;
  constexpr std::uint32_t k_tasks = k_domain_workers * k_domains * k_tasks_per_worker;
  constexpr Duration k_longest_wait = 3s;
  FleetFixture f(k_domain_workers * k_domains);
  f.fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(k_tasks, 1'000).set_long_running(true);
  leader.submit(job);
  f.timer.advance(5s);
  cr_assert_eq(f.fleet.running(), k_tasks);
  const std::vector<std::string> domain{"w00", "w01", "w02", "w03"};
  for (const std::string& id : domain) {
    f.fleet.crash(id);
  }
  f.timer.advance(1'300ms);
  for (const std::string& id : domain) {
    f.fleet.restart(id);
  }
  f.timer.advance(k_longest_wait);
  cr_expect_eq(f.fleet.running(), k_tasks, "%zu of %u tasks run", f.fleet.running(), k_tasks);
  cr_expect_eq(f.fleet.doubled, 0U);
}

// Guards against a second run beside one that the next incarnation has started before the leader
// knew of it: the lease of the start is one on the earlier clock, so that it lasts longer on the
// next one, which starts anew.
Test(returned_workers, a_start_sent_before_the_restart_is_known_holds_no_longer_lease) {
  PairFixture f(20s);
  f.timer.advance(9s);
  f.orders.delay_next_poll("w00", 15s);
  f.fleet.restart("w00");
  f.timer.advance(400ms);
  f.submit(1);
  f.timer.advance(100ms);
  cr_assert_eq(f.worker.runs.size(), 1U);
  f.orders.set_cut("w00", Cut::both);
  f.set_other(WorkerState::ready);
  f.timer.advance(10s);
  cr_expect_eq(f.fleet.running(), 1U);
  cr_expect_eq(f.fleet.doubled, 0U, "%lu starts beside a live run", f.fleet.doubled);
}

// Guards against an end that is forgotten because of a poll that counts neither as answered nor as
// unanswered: the registration of the next incarnation abandons it while it is under way.
Test(returned_workers, an_end_is_not_forgotten_because_of_an_abandoned_poll) {
  PairFixture f(500ms);
  f.submit(1);
  f.timer.advance(3s);
  cr_assert(f.leader.state(1) == jobs::JobState::COMPLETED);
  f.orders.delay_next_poll("w00", 2'400ms);
  for (int i = 0; i < 1'000 && f.orders.awaits_poll_to_delay(); ++i) {
    f.timer.advance(1ms);
  }
  cr_assert(!f.orders.awaits_poll_to_delay());
  f.fleet.restart("w00");
  f.orders.set_cut("w00", Cut::answers);
  f.submit(2);  // no start is sent between the registration and the first answer
  f.timer.advance(50ms);
  cr_assert_eq(f.worker.runs.size(), 1U);
  f.leader.scheduler->on_worker_updated(f.worker.entry);
  f.timer.advance(2'550ms);  // the run ends, and the late poll arrives
  f.orders.set_cut("w00", Cut::none);
  f.timer.advance(20s);
  cr_expect_eq(f.fleet.started_after_done, 0U, "%lu starts after a success",
               f.fleet.started_after_done);
  cr_expect_eq(f.fleet.doubled, 0U);
  cr_expect(f.leader.state(2) == jobs::JobState::COMPLETED);
}

// Guards against tasks that run twice or not at all after series of returns, cuts and changes of
// leader, while polls and stops are carried out late.
Test(returned_workers, a_series_of_returns_with_late_polls_doubles_and_loses_nothing) {
  expect_no_harm_by_returned_workers(LateKinds::polls_and_stops);
}

// Guards against the same while starts are late too, within one incarnation.
Test(returned_workers, a_series_of_returns_with_late_starts_doubles_and_loses_nothing) {
  expect_no_harm_by_returned_workers(LateKinds::starts_within_incarnation);
}
