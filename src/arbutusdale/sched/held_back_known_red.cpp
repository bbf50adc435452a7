// Tasks that are held back for a worker that left a start unanswered, while other workers are free.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

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

// Guards against a task that waits until a draining worker exits, which may take many seconds.
Test(held_back, a_task_leaves_a_worker_that_drains_for_long) {
  HeldBackFixture fixture;
  fixture.set_state("w00", WorkerState::draining);
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.running(), 1U);
}
