// Tasks whose starts have no answer: what else may be ordered while these may be carried out late,
// also by the next incarnation of a worker that has restarted behind a cut.
#include <chrono>

#include "returned_workers_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr Duration k_lateness = 9s;
constexpr Duration k_late_phase = 3s;  // in which each start is late

/// A task whose first starts w00 leaves unanswered and carries out late.
struct LateStartFixture : PairFixture {
  LateStartFixture() : PairFixture(25s) {
    orders.least_delay = k_lateness;
    orders.most_delay = k_lateness;
    orders.shares.starts = 1;
  }
  void submit_step(bool is_lasting, bool is_gang) {
    JobBuilder job(1);
    auto& step = job.step(is_gang ? 2 : 1, 1'000);
    step.set_long_running(is_lasting);
    step.set_gang(is_gang);
    leader.submit(job);
    timer.advance(300ms);
  }
  /// Starts are answered again, and `calm` later w00 restarts under its id behind a cut that lasts
  /// until the late starts have been carried out.
  void restart_behind_cut(Duration calm) {
    timer.advance(k_late_phase);
    orders.shares.starts = 0;
    timer.advance(calm);
    orders.set_cut("w00", Cut::both);
    timer.advance(200ms);
    fleet.crash("w00");
    timer.advance(400ms);
    fleet.restart("w00");
    timer.advance(8s);
    orders.set_cut("w00", Cut::none);
    timer.advance(10s);
  }
  void expect_not_doubled(const char* kind) const {
    if (!fleet.violations.empty()) {
      std::fprintf(stderr, "%s\n", fleet.violations.front().c_str());
    }
    cr_expect_eq(fleet.doubled, 0U, "%s: %lu starts beside a live run", kind, fleet.doubled);
  }
};

/// A task whose start w00 has left unanswered. From then on w01 to w15 are ready and free.
struct HeldBackFixture : FleetFixture {
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  HeldBackFixture() : FleetFixture(16), leader(timer, fleet, log) {
    fleet.work_of = [](const jobs::TaskId&) { return 600s; };
    timer.advance(1s);
    set_others(WorkerState::draining);
    worker.start_delay = 30s;
    JobBuilder job(1);
    job.step(1, 2'000);
    leader.submit(job);
    timer.advance(500ms);
    worker.start_delay = 0s;
    set_others(WorkerState::ready);
  }
  void set_state(const std::string& id, WorkerState state) {
    WorkerEntry entry = fleet.at(id).entry;
    entry.state = state;
    leader.scheduler->on_worker_updated(entry);
  }
  void set_others(WorkerState state) {
    for (const auto& [id, other] : fleet.all()) {
      if (id != "w00") {
        set_state(id, state);
      }
    }
  }
};

}  // namespace

// Guards against a second run of a task that went elsewhere after two unanswered starts: these are
// carried out by the next incarnation, which the leader cannot reach.
Test(late_start, a_task_runs_nowhere_else_while_its_start_may_be_carried_out) {
  for (const bool is_lasting : {false, true}) {
    LateStartFixture f;
    f.submit_step(is_lasting, false);
    f.set_other(WorkerState::ready);
    f.restart_behind_cut(2s);
    f.expect_not_doubled(is_lasting ? "lasting" : "plain");
    cr_expect_eq(f.fleet.running(), 1U);
  }
}

// Guards against two runs of a task on one worker: starts under two run numbers are unanswered, and
// the next incarnation carries out both.
Test(late_start, a_worker_gets_no_second_run_beside_an_unanswered_start) {
  for (const bool is_lasting : {false, true}) {
    LateStartFixture f;
    f.submit_step(is_lasting, false);
    f.restart_behind_cut(5s);
    f.expect_not_doubled(is_lasting ? "lasting" : "plain");
  }
}

// Guards against the same for the members of a gang.
Test(late_start, a_gang_runs_nowhere_else_while_its_starts_may_be_carried_out) {
  LateStartFixture f;
  f.submit_step(false, true);
  f.set_other(WorkerState::ready);
  f.restart_behind_cut(2s);
  f.expect_not_doubled("gang");
}

// Guards against a task that is given up as ended when the lease of its silent worker expires: its
// start may still be carried out behind the cut.
Test(late_start, outlasts_the_lease_of_a_silent_worker) {
  LateStartFixture f;
  f.submit_step(false, false);
  f.set_other(WorkerState::ready);
  f.orders.shares.starts = 0;
  f.orders.set_cut("w00", Cut::both);
  f.timer.advance(7s);
  cr_expect_eq(f.fleet.running(), 0U);
  f.fleet.restart("w00");
  f.timer.advance(6s);
  f.orders.set_cut("w00", Cut::none);
  f.timer.advance(2s);
  f.expect_not_doubled("plain");
}

// Guards against a task that waits for a worker that has gone for good.
Test(late_start, does_not_hold_back_a_task_whose_worker_is_gone) {
  LateStartFixture f;
  f.submit_step(false, false);
  f.set_other(WorkerState::ready);
  f.orders.shares.starts = 0;
  f.fleet.crash("w00");
  f.timer.advance(3s);
  f.leader.scheduler->on_worker_gone("w00");
  f.timer.advance(6s);
  cr_expect_eq(f.fleet.at("w01").runs.size(), 1U);
}

// Guards against a task that waits for a silent worker after its late start can no longer be
// carried out.
Test(late_start, does_not_hold_back_a_task_for_longer_than_its_bound) {
  LateStartFixture f;
  f.submit_step(false, false);
  f.set_other(WorkerState::ready);
  f.orders.shares.starts = 0;
  f.orders.set_cut("w00", Cut::orders);
  f.fleet.crash("w00");
  f.timer.advance(k_late_order_bound + 1s);
  cr_expect_eq(f.fleet.at("w01").runs.size(), 1U);
}

// Guards against a run that is moved because it makes no progress while its first start may still
// be carried out: the move would be doubled by it.
Test(late_start, a_run_without_progress_stays_while_its_start_may_be_carried_out) {
  PairFixture f(20s);
  f.orders.delay_next_start("w00", k_lateness);
  f.submit(1);
  f.timer.advance(1s);
  f.set_other(WorkerState::ready);
  cr_assert_eq(f.worker.runs.size(), 1U);
  f.worker.runs.front().throttle_percent = 0;
  f.timer.advance(k_late_order_bound - 2s);
  cr_expect_eq(f.worker.runs.size(), 1U);
  f.timer.advance(6s);
  cr_expect_eq(f.worker.runs.size(), 0U);
  cr_expect_eq(f.fleet.at("w01").runs.size(), 1U);
}

// Guards against a task that waits for a worker that refuses its starts again and again: each
// refusal begins the wait anew. It leaves once its unanswered start can no longer be carried out,
// and not before.
Test(held_back, a_task_leaves_a_worker_that_refuses_its_starts) {
  HeldBackFixture fixture;
  fixture.worker.guards_capacity = true;
  fixture.fleet.set_capacity("w00", {0, 0, 0});  // the leader does not know of it yet
  fixture.timer.advance(k_late_order_bound - 2s);
  cr_assert_eq(fixture.fleet.running(), 0U);
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.running(), 1U);
}

// Guards against a task that waits until a draining worker exits, which may take many seconds.
Test(held_back, a_task_leaves_a_worker_that_drains_for_long) {
  HeldBackFixture fixture;
  fixture.set_state("w00", WorkerState::draining);
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.running(), 1U);
}
