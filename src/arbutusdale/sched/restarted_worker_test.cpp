// Starts that take effect in the next incarnation of a worker, which keeps its id.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// A leader of two workers, of which only w00 takes starts until w01 is ready.
struct RestartFixture : FleetFixture {
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  RestartFixture() : FleetFixture(2), leader(timer, fleet, log) {
    fleet.work_of = [](const jobs::TaskId&) { return 20s; };
    timer.advance(1s);
    set_state("w01", WorkerState::draining);
  }
  void set_state(const std::string& id, WorkerState state) {
    WorkerEntry entry = fleet.at(id).entry;
    entry.state = state;
    leader.scheduler->on_worker_updated(entry);
  }
  void submit() {
    JobBuilder job(1);
    job.step(1, 2'000);
    leader.submit(job);
  }
};

}  // namespace

// Guards against a second run of a task whose start was sent again and answered: after a restart of
// the worker, the first order is carried out by the new incarnation.
Test(restarted_worker, may_carry_out_the_first_order_of_a_start_that_was_sent_again) {
  RestartFixture fixture;
  fixture.worker.start_delay = 3s;
  fixture.submit();
  fixture.timer.advance(300ms);
  fixture.worker.start_delay = 0s;
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.fleet.starts, 1U);
  fixture.set_state("w01", WorkerState::ready);
  fixture.timer.advance(1s);
  fixture.fleet.restart("w00");
  fixture.set_state("w00", WorkerState::ready);
  fixture.timer.advance(6s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against a run of a task that is done: its start was sent again and answered, and the first
// order is carried out by the next incarnation of the worker.
Test(restarted_worker, may_carry_out_the_first_order_after_the_success_of_the_second) {
  RestartFixture fixture;
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 500ms; };
  fixture.worker.start_delay = 3s;
  fixture.submit();
  fixture.timer.advance(300ms);
  fixture.worker.start_delay = 0s;
  fixture.timer.advance(2s);
  cr_assert(fixture.leader.state(1) == jobs::JobState::COMPLETED);
  fixture.fleet.restart("w00");
  fixture.set_state("w00", WorkerState::ready);
  fixture.timer.advance(6s);
  cr_assert_eq(fixture.fleet.started_after_done, 0U);
}

// Guards against a second run of a task whose start was answered by an incarnation that the leader
// did not know of yet: the registration of that incarnation then says that the worker restarted.
Test(restarted_worker, may_have_answered_a_start_before_its_registration_arrives) {
  RestartFixture fixture;
  fixture.fleet.restart("w00");
  fixture.submit();
  fixture.timer.advance(40ms);
  cr_assert_eq(fixture.fleet.starts, 1U);
  fixture.set_state("w01", WorkerState::ready);
  fixture.set_state("w00", WorkerState::ready);
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against a worker that restarts with an earlier birth, as after a step of its clock: the
// acknowledgement of the earlier incarnation's ends applies to those of the next one.
Test(restarted_worker, a_restart_with_an_earlier_birth_is_noticed) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 300ms; };
  for (auto& [id, worker] : f.fleet.all()) {
    worker->entry.incarnation = 10'000;
  }
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(30, 1'000);
  leader.submit(job);
  f.timer.advance(4s);
  cr_assert(leader.state(1) == jobs::JobState::COMPLETED);
  for (const char* id : {"w00", "w01"}) {
    f.fleet.restart(id, 0);
    f.fleet.at(id).entry.incarnation = 5'000;
    leader.scheduler->on_worker_updated(f.fleet.at(id).entry);
  }
  f.timer.advance(1s);
  JobBuilder next(2);
  next.step(4, 1'000);
  leader.submit(next);
  f.timer.advance(8s);
  cr_expect_eq(f.fleet.started_after_done, 0U);
  cr_expect_eq(f.fleet.doubled, 0U);
  cr_expect(leader.state(2) == jobs::JobState::COMPLETED);
}

// Guards against a first registration with a birth in the future, after which no restart counts.
Test(restarted_worker, a_first_registration_with_a_later_birth_hides_no_restart) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 300ms; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.fleet.add("w02", 8'000);
  WorkerEntry odd = f.fleet.at("w02").entry;
  odd.incarnation = 1'000'000;
  leader.scheduler->on_worker_updated(odd);
  for (const char* id : {"w00", "w01"}) {
    WorkerEntry entry = f.fleet.at(id).entry;
    entry.state = WorkerState::draining;
    leader.scheduler->on_worker_updated(entry);
  }
  leader.scheduler->on_worker_updated(f.fleet.at("w02").entry);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(8, 1'000);
  leader.submit(job);
  f.timer.advance(3s);
  f.fleet.restart("w02");
  leader.scheduler->on_worker_updated(f.fleet.at("w02").entry);
  f.timer.advance(1s);
  JobBuilder next(2);
  next.step(4, 1'000);
  leader.submit(next);
  f.timer.advance(8s);
  cr_expect_eq(f.fleet.started_after_done, 0U);
  cr_expect(leader.state(2) == jobs::JobState::COMPLETED);
}

// Guards against leases that a silent worker seems to hold for as long as it stays silent: each
// registration of its next incarnation abandons the poll in flight before it counts as unanswered.
Test(restarted_worker, registrations_of_a_silent_worker_do_not_extend_its_leases) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(2, 1'000);
  leader.submit(job);
  f.timer.advance(1s);
  const std::string busy = f.fleet.at("w00").runs.empty() ? "w01" : "w00";
  f.fleet.restart(busy);
  f.fleet.at(busy).partitioned = true;
  for (int i = 0; i < 80; ++i) {
    leader.scheduler->on_worker_updated(f.fleet.at(busy).entry);
    f.timer.advance(500ms);
  }
  cr_assert_eq(f.fleet.running(), 2U, "%zu of 2 tasks run after 40 s", f.fleet.running());
}

// Guards against an acknowledgement of ends of the next incarnation that are not stored: a write
// that was in flight when the worker restarted confirms only ends of the earlier one.
Test(restarted_worker, a_write_in_flight_does_not_confirm_ends_of_the_next_incarnation) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 300ms; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(16, 1'000);
  leader.submit(job);
  f.timer.advance(250ms);
  f.log.down = true;
  f.timer.advance(250ms);  // the ends of the first incarnations wait to be stored
  for (const char* id : {"w00", "w01"}) {
    f.fleet.restart(id);
    leader.scheduler->on_worker_updated(f.fleet.at(id).entry);
  }
  f.timer.advance(100ms);
  JobBuilder next(2);
  next.step(4, 1'000);
  leader.submit(next);
  f.timer.advance(700ms);  // the ends of the second job are processed, not stored
  f.log.down = false;
  // Find a moment at which an end is acknowledged (forgotten by the worker) and not stored.
  for (int i = 0; i < 100; ++i) {
    f.timer.advance(1ms);
    const auto* entry = f.log.jobs.find(job_id(2));
    const bool stored = entry->progress && (entry->state() == jobs::JobState::COMPLETED ||
                                            entry->progress->steps_size() > 0);
    const std::size_t unacknowledged =
        f.fleet.at("w00").ended.size() + f.fleet.at("w01").ended.size();
    if (!stored) {
      cr_assert_geq(unacknowledged, 4U, "at %d ms %zu ends are left", i, unacknowledged);
    }
  }
}

// Guards against a worker that gets no starts after a restart between two polls.
Test(restarted_worker, a_restart_between_two_polls_delays_no_start) {
  FleetFixture f(4);
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  const Worker& worker = *leader.scheduler->workers().all().front();
  const std::string id = worker.entry.id;
  for (int i = 0; i < 1'000 && worker.poll_in_flight; ++i) {
    f.timer.advance(1ms);
  }
  cr_assert(!worker.poll_in_flight);
  f.fleet.restart(id);
  f.timer.advance(1s);
  cr_assert_eq(worker.entry.incarnation, 2U);
  JobBuilder job(1);
  job.step(32, 1'000);
  leader.submit(job);
  f.timer.advance(500ms);
  cr_assert(!f.fleet.at(id).runs.empty());
}

// Guards against workers that get no starts for many seconds after a restart, since orders to their
// earlier incarnations have no answer.
Test(restarted_worker, gets_starts_at_once_though_earlier_orders_are_unanswered) {
  FleetFixture f(8);
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  for (const char* id : {"w00", "w01"}) {
    f.fleet.at(id).drops_answers = true;
  }
  f.timer.advance(2s);
  for (const char* id : {"w00", "w01"}) {
    f.fleet.restart(id);
    f.fleet.at(id).drops_answers = false;
  }
  f.timer.advance(500ms);
  JobBuilder job(1);
  job.step(64, 1'000);
  leader.submit(job);
  f.timer.advance(500ms);
  for (const auto& [id, worker] : f.fleet.all()) {
    cr_expect(!worker->runs.empty(), "%s", id.c_str());
  }
  cr_expect_eq(f.fleet.doubled, 0U);
  cr_expect_eq(f.fleet.started_after_done, 0U);
}

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

// Guards against a second run of a task that went elsewhere although its unanswered start may still
// reach the next incarnation of the worker: it returns to the worker, which answers again.
Test(late_start, a_task_returns_to_the_worker_that_left_its_start_unanswered) {
  RestartFixture fixture;
  fixture.worker.start_delay = 10s;
  fixture.submit();
  fixture.timer.advance(1s);
  fixture.set_state("w01", WorkerState::ready);
  fixture.worker.start_delay = 0s;
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.worker.runs.size(), 1U);
  cr_assert_eq(fixture.worker.runs.front().number, 1U);
}

// Guards against a run that is moved because it makes no progress and starts again on the same
// worker, since that left an earlier start of the task unanswered. It moves once that start can no
// longer be carried out.
Test(late_start, a_run_without_progress_moves_to_another_worker) {
  RestartFixture fixture;
  fixture.worker.start_delay = 10s;
  fixture.submit();
  fixture.timer.advance(1s);
  fixture.set_state("w01", WorkerState::ready);
  fixture.worker.start_delay = 0s;
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.worker.runs.size(), 1U);
  fixture.worker.runs.front().throttle_percent = 0;
  fixture.timer.advance(k_late_order_bound + 2s);
  cr_assert_eq(fixture.worker.runs.size(), 0U);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 1U);
  cr_assert_eq(fixture.fleet.at("w01").runs.front().number, 2U);
}

// Guards against a run that fails and starts again on the same worker, since that left an earlier
// start of the task unanswered.
Test(late_start, a_failed_run_is_followed_by_one_on_another_worker) {
  RestartFixture fixture;
  fixture.worker.start_delay = 10s;
  fixture.submit();
  fixture.timer.advance(1s);
  fixture.set_state("w01", WorkerState::ready);
  fixture.worker.start_delay = 0s;
  fixture.worker.fails_all_runs = true;
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 1U);
  cr_assert_eq(fixture.fleet.at("w01").runs.front().number, 2U);
}

// Guards against a task that hangs on a ready worker that leaves every start unanswered. It leaves
// once the last one can no longer be carried out, and not before.
Test(late_start, a_task_leaves_a_worker_that_leaves_all_its_starts_unanswered) {
  RestartFixture fixture;
  fixture.worker.start_delay = 60s;
  fixture.submit();
  fixture.timer.advance(1s);
  fixture.set_state("w01", WorkerState::ready);
  fixture.timer.advance(k_late_order_bound);
  cr_assert_eq(fixture.fleet.running(), 0U);
  const TimePoint give_up_at = fixture.timer.now() + 30s;
  while (fixture.fleet.running() == 0 && fixture.timer.now() < give_up_at) {
    fixture.timer.advance(100ms);
  }
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 1U);
}

// Guards against a second run of a task whose later run ended with a restart of its worker: the
// start of the earlier run reaches the next incarnation before that has confirmed a stop.
Test(late_start, an_earlier_run_is_not_started_by_the_next_incarnation) {
  for (int restart_ms = 0; restart_ms < 1'500; restart_ms += 50) {
    RestartFixture fixture;
    fixture.worker.start_delay = 5s;
    fixture.submit();
    fixture.timer.advance(1s);
    fixture.set_state("w01", WorkerState::ready);
    fixture.worker.start_delay = 0s;
    fixture.timer.advance(std::chrono::milliseconds{2'600 + restart_ms});
    cr_assert_eq(fixture.worker.runs.size(), 1U);
    fixture.fleet.restart("w00");
    fixture.timer.advance(10s);
    cr_expect_eq(fixture.fleet.doubled, 0U, "restart %d", restart_ms);
    cr_expect_eq(fixture.fleet.running(), 1U, "restart %d", restart_ms);
  }
}

// Guards against tasks that wait because another task of their step waits for the worker that left
// its start unanswered.
Test(late_start, a_task_that_awaits_a_late_start_holds_up_no_other_task) {
  RestartFixture fixture;
  fixture.worker.start_delay = 10s;
  JobBuilder job(1);
  job.step(5, 2'000);
  fixture.leader.submit(job);
  fixture.timer.advance(100ms);
  fixture.set_state("w00", WorkerState::draining);
  fixture.set_state("w01", WorkerState::ready);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 1U);
  fixture.leader.scheduler->on_worker_gone("w00");
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 4U);
}

// Guards against a serving task that waits for its draining worker to exit although its start was
// answered after a repeat, so that nothing of it is outstanding there.
Test(late_start, a_task_whose_repeated_start_was_answered_leaves_a_draining_worker) {
  RestartFixture fixture;
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  fixture.worker.start_delay = 3s;
  JobBuilder job(1);
  job.step(1, 2'000).set_long_running(true);
  fixture.leader.submit(job);
  fixture.timer.advance(300ms);
  fixture.worker.start_delay = 0s;
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.worker.runs.size(), 1U);
  fixture.set_state("w01", WorkerState::ready);
  fixture.set_state("w00", WorkerState::draining);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 1U);
}

// Guards against a run of a task that is done: its start was sent again and answered, and the first
// order reaches the next incarnation before the leader's first poll of it is answered (soak, seed
// 24).
Test(late_start, the_first_order_reaches_the_next_incarnation_before_its_first_answer) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 500ms; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  WorkerEntry w01 = f.fleet.at("w01").entry;
  w01.state = WorkerState::draining;
  leader.scheduler->on_worker_updated(w01);
  FakeWorker& w = f.fleet.at("w00");
  w.start_delay = 3s;
  JobBuilder job(1);
  job.step(1, 2'000);
  leader.submit(job);
  f.timer.advance(300ms);
  w.start_delay = 0s;
  f.timer.advance(2'600ms);
  cr_assert(leader.state(1) == jobs::JobState::COMPLETED);
  f.fleet.restart("w00");
  f.timer.advance(6s);
  cr_assert_eq(f.fleet.started_after_done, 0U);
}
