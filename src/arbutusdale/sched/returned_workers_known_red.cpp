// Known failure, listed in KNOWN-RED.txt: late polls of the earlier incarnations of workers that
// return at once under their old ids.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "late_orders_test.hpp"
#include "returned_workers_soak_test.hpp"
#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr int k_workers = 8;
constexpr int k_returned = 6;
constexpr std::uint32_t k_tasks_per_worker = 8;

/// Eight workers, of which six return at once under their old ids while a poll of each, sent before
/// their crash, is still under way.
struct ReturnFixture : FleetFixture {
  LateOrders orders{fleet, timer};
  std::vector<std::unique_ptr<LeaderFixture>> leaders;  // by term
  std::vector<std::string> returned;

  ReturnFixture() : FleetFixture(k_workers) {
    fleet.work_of = [](const jobs::TaskId&) { return 500ms; };
    for (int i = 0; i < k_returned; ++i) {
      returned.push_back(fmt::format("w{:02}", i));
    }
    lead();
    timer.advance(1s);
  }

  LeaderFixture& lead() {
    const auto term = static_cast<std::uint32_t>(leaders.size() + 1);
    leaders.push_back(
        std::make_unique<LeaderFixture>(timer, fleet, log, term, /*jobs_caught_up=*/true, &orders));
    return *leaders.back();
  }
  LeaderFixture& leader() { return *leaders.back(); }

  /// Submits a job that fills all workers.
  void submit(std::uint32_t number) {
    JobBuilder job(number);
    job.step(k_workers * k_tasks_per_worker, 1'000);
    leader().submit(job);
  }

  /// Runs a job on all workers, so that polls acknowledge ends of each of them from then on.
  void acknowledge_ends() {
    submit(1);
    timer.advance(3s);
    cr_assert(leader().state(1) == jobs::JobState::COMPLETED);
  }

  /// The workers crash after a poll of each that is carried out `late_by` after it was sent, and
  /// return at once. The leader has an answer of the next incarnations in the end.
  void return_before_late_polls(Duration late_by) {
    for (const std::string& id : returned) {
      orders.delay_next_poll(id, late_by);
    }
    timer.advance(1s);
    cr_assert(!orders.awaits_poll_to_delay());
    for (const std::string& id : returned) {
      fleet.restart(id);
    }
    timer.advance(500ms);
  }

  void set_cut(Cut cut) {
    for (const std::string& id : returned) {
      orders.set_cut(id, cut);
    }
  }

  /// Starts a job on the returned workers and cuts them off before its tasks end.
  void cut_off_during_job(std::uint32_t number, Cut cut) {
    submit(number);
    timer.advance(200ms);
    cr_assert_gt(runs_on_returned(), 0U);
    set_cut(cut);
  }

  /// Runs on the returned workers.
  [[nodiscard]] std::size_t runs_on_returned() {
    std::size_t count = 0;
    for (const std::string& id : returned) {
      count += fleet.at(id).runs.size();
    }
    return count;
  }

  void expect_each_task_done_once(std::uint32_t job) {
    if (!fleet.violations.empty()) {
      std::fprintf(stderr, "%s\n", fleet.violations.front().c_str());
    }
    cr_expect_eq(fleet.started_after_done, 0U, "%lu starts after a success",
                 fleet.started_after_done);
    cr_expect_eq(fleet.doubled, 0U, "%lu starts beside a live run", fleet.doubled);
    cr_expect(leader().state(job) == jobs::JobState::COMPLETED);
  }
};

/// A leader of two workers, of which only w00 takes starts until w01 is ready.
struct PairFixture : FleetFixture {
  LateOrders orders{fleet, timer};
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  explicit PairFixture(Duration work)
      : FleetFixture(2), leader(timer, fleet, log, 1, /*jobs_caught_up=*/true, &orders) {
    fleet.work_of = [work](const jobs::TaskId&) { return work; };
    timer.advance(1s);
    set_other(WorkerState::draining);
  }
  void set_other(WorkerState state) {
    WorkerEntry entry = fleet.at("w01").entry;
    entry.state = state;
    leader.scheduler->on_worker_updated(entry);
  }
  /// Submits a job of one task.
  void submit(std::uint32_t number) {
    JobBuilder job(number);
    job.step(1, 1'000);
    leader.submit(job);
  }
};

}  // namespace

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
  f.leader.scheduler->on_worker_updated(f.worker.entry);
  f.submit(2);
  f.timer.advance(100ms);
  cr_assert_eq(f.worker.runs.size(), 1U);
  f.timer.advance(2'500ms);  // the run ends, and the late poll arrives
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

// Guards against the same while late starts may be carried out by the next incarnation, also before
// any other order reaches it, as in sched_late_start_test.
Test(returned_workers, a_series_of_returns_with_late_orders_doubles_and_loses_nothing) {
  expect_no_harm_by_returned_workers(LateKinds::all);
}
