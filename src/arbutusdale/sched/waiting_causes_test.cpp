// Tests of states of a few workers that must not keep the tasks of a mostly free fleet waiting.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr Duration k_longest_wait = 3s;  // of a job without a start, on a mostly free fleet

/// Submits a small job every 200 ms to a leader whose fleet is nearly empty, and notes how long
/// a job waits at most until a start of it is ordered.
struct SteadyLoad : FleetFixture {
  static constexpr std::uint32_t k_tasks = 12;  // of each job

  LeaderFixture leader;
  std::uint32_t submitted = 0;
  Duration longest_wait{};

  explicit SteadyLoad(int workers) : FleetFixture(workers, 16'000), leader(timer, fleet, log) {
    timer.advance(1s);
  }

  void run(Duration length) {
    const TimePoint end = timer.now() + length;
    while (timer.now() < end) {
      submit_one();
      timer.advance(200ms);
    }
  }

 private:
  void submit_one() {
    const jobs::JobId job = job_id(++submitted);
    JobBuilder builder(submitted);
    builder.step(k_tasks, 1'000);
    leader.submit(builder);
    observe(job, timer.now());
  }

  void observe(const jobs::JobId& id, TimePoint since) {
    longest_wait = std::max(longest_wait, timer.now() - since);
    const Job* job = leader.scheduler->tasks().find(id);
    if (job != nullptr && !job->ordered) {
      timer.call_after(20ms, [this, id, since] { observe(id, since); });
    }
  }
};

}  // namespace

// Guards against workers that answer polls but no starts and take all starts that may be in flight,
// so that the tasks of other jobs are not examined.
Test(waiting_causes, workers_without_answers_to_starts_hold_up_no_jobs) {
  SteadyLoad load(48);
  for (int i = 0; i < 24; ++i) {
    load.fleet.at(fmt::format("w{:02}", i)).start_delay = 30s;
  }
  load.run(12s);
  cr_assert_lt(load.longest_wait, k_longest_wait, "%ld ms",
               static_cast<long>(load.longest_wait.count() / 1'000));
}
