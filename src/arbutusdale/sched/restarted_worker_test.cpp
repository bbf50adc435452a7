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
