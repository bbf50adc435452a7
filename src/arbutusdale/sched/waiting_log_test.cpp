// Tests of what the log says of lasting tasks that wait while leaders change.
#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "event_capture_test.hpp"
#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// A lasting task on a fleet of one worker, under a series of leaders.
struct SeriesFixture : FleetFixture {
  EventCapture events{timer};
  std::vector<std::unique_ptr<LeaderFixture>> leaders;

  SeriesFixture() : FleetFixture(1) {
    fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  }

  void lead() {
    if (!leaders.empty()) {
      leaders.back()->kill();
    }
    const auto term = static_cast<std::uint32_t>(leaders.size() + 1);
    leaders.push_back(std::make_unique<LeaderFixture>(timer, fleet, log, term));
  }
  void submit() {
    JobBuilder job(1);
    job.step(1, 2'000).set_long_running(true);
    leaders.back()->submit(job);
  }
  /// Value of a field of the last `task_waiting` line since the last call; -1 if there is none.
  Duration last_waiting(const std::string& field) const {
    const std::string text = events.read();
    const std::size_t line = text.rfind("task_waiting");
    const std::string name = "\"" + field + "\":";
    const std::size_t found = line == std::string::npos ? line : text.find(name, line);
    std::int64_t value = -1;
    if (found != std::string::npos) {
      const char* begin = text.data() + found + name.size();
      std::from_chars(begin, text.data() + text.size(), value);
    }
    return std::chrono::milliseconds{value};
  }
};

}  // namespace

// Guards against a log in which a wait over several leaders looks short: a job that none of them
// has started.
Test(waiting_log, a_job_that_never_ran_has_waited_since_it_was_accepted) {
  SeriesFixture f;
  f.lead();
  f.timer.advance(1s);
  f.fleet.at("w00").partitioned = true;
  f.timer.advance(3s);
  f.submit();
  for (int i = 0; i < 4; ++i) {
    f.timer.advance(1500ms);
    f.lead();
  }
  (void)f.events.read();
  f.timer.advance(1s);
  const Duration waited = f.last_waiting("without_run_ms");
  cr_expect_geq(waited, 6500ms);
  cr_expect_leq(waited, 7s);
}

// Guards against the same for a task that has run: the time of its end does not reach the leaders
// after the one that has seen it.
Test(waiting_log, a_task_that_lost_its_run_has_waited_since_then_under_all_leaders) {
  SeriesFixture f;
  f.lead();
  f.timer.advance(1s);
  f.submit();
  f.timer.advance(2s);
  cr_assert_eq(f.fleet.running(), 1U);
  f.fleet.at("w00").partitioned = true;
  f.timer.advance(9s);  // its lease has expired meanwhile
  for (int i = 0; i < 4; ++i) {
    f.lead();
    f.timer.advance(1500ms);
  }
  const Duration waited = f.last_waiting("without_run_ms");
  cr_expect_geq(waited, 6s);
  cr_expect_leq(waited, 10s);
}

// Guards against a wait that counts from an earlier loss, although the task has run since.
Test(waiting_log, a_wait_begins_anew_once_the_task_has_run) {
  SeriesFixture f;
  f.lead();
  f.timer.advance(1s);
  f.submit();
  f.timer.advance(2s);
  f.fleet.restart("w00");
  f.timer.advance(20s);
  cr_assert_eq(f.fleet.running(), 1U);
  f.lead();
  f.timer.advance(2s);
  f.fleet.at("w00").partitioned = true;
  f.timer.advance(9s);
  f.lead();
  f.timer.advance(2s);
  const Duration waited = f.last_waiting("without_run_ms");
  cr_expect_geq(waited, 2s);
  cr_expect_leq(waited, 6s);
}
