// Starts that get no answer and are not carried out either.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// A lasting task whose start and its repeat are lost on the way to the only worker.
struct LostStartFixture : FleetFixture {
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  explicit LostStartFixture(Duration submitted_after) : FleetFixture(1), leader(timer, fleet, log) {
    fleet.work_of = [](const jobs::TaskId&) { return 600s; };
    timer.advance(2s + submitted_after);
    worker.start_delay = 30s;
    JobBuilder job(1);
    job.step(1, 2'000).set_long_running(true);
    leader.submit(job);
    timer.advance(1s);
    worker.start_delay = 0s;
  }
};

}  // namespace

// Guards against a task that waits for two long polls once its stop is confirmed: no end of a run
// that never began is listed, and only a poll that is sent after the confirmation proves that there
// is none.
Test(unanswered_start, a_task_starts_again_once_its_stop_is_confirmed) {
  for (Duration phase = 0ms; phase < 700ms; phase += 100ms) {
    LostStartFixture fixture(phase);
    fixture.timer.advance(500ms);  // the repeat counts as unanswered after 200 ms of them
    cr_assert_eq(fixture.fleet.running(), 1U, "submitted %ld ms later",
                 std::chrono::duration_cast<std::chrono::milliseconds>(phase).count());
    cr_assert_eq(fixture.fleet.doubled, 0U);
  }
}
