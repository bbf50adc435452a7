// Known failure, listed in KNOWN-RED.txt: after two crashes in a row a task starts alone, so that
// the wait grows with the number of such tasks.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr int k_workers = 16;
constexpr std::uint64_t k_cpu_millis = 16'000;
constexpr Duration k_longest_wait = 3s;  // of rule LOST

/// Submits lasting jobs of one small task each.
void submit_small_serving(CrashFixture& f, std::uint32_t jobs) {
  for (std::uint32_t i = 1; i <= jobs; ++i) {
    f.lasting.insert(job_id(i));
    JobBuilder job(i);
    job.step(1, 500).set_long_running(true);
    f.submit(job);
  }
}

std::size_t workers_kept_for_suspects(const LeaderFixture& leader, TimePoint now) {
  const auto& workers = leader.scheduler->workers().all();
  const auto count = std::count_if(workers.begin(), workers.end(), [now](const auto& worker) {
    return worker->registered && (worker->isolated_runs > 0 || now < worker->reserved_until);
  });
  return static_cast<std::size_t>(count);
}

}  // namespace

// Guards against waits that grow with the number of tasks that two crashes in a row have made
// suspects, all of which would start alone.
Test(suspect_storm, any_number_of_tasks_that_crashed_twice_start_again_in_time) {
  for (const std::uint32_t jobs : {80U, 160U, 320U}) {
    CrashFixture f(k_workers, k_cpu_millis);
    f.lead();
    f.timer.advance(1s);
    submit_small_serving(f, jobs);
    f.crash_until_each_task_had(2, 1, jobs);
    f.timer.advance(f.fleet.return_delay + 200ms + k_longest_wait);
    std::uint32_t waiting = 0;
    for (std::uint32_t i = 1; i <= jobs; ++i) {
      waiting += f.running_tasks(i) == 0 ? 1 : 0;
    }
    cr_expect_eq(waiting, 0U, "%u of %u jobs have no run", waiting, jobs);
    f.expect_nothing_doubled();
  }
}

// Guards against suspects that reserve more workers than may run suspects, so that the rest of the
// fleet is kept from all other tasks.
Test(suspect_storm, reserved_workers_count_as_workers_with_suspects) {
  constexpr std::uint32_t k_jobs = 60;
  CrashFixture f(k_workers, k_cpu_millis);
  LeaderFixture& leader = f.lead();
  f.timer.advance(1s);
  submit_small_serving(f, k_jobs);
  f.crash_until_each_task_had(2, 1, k_jobs);
  std::size_t most_kept = 0;
  for (std::uint32_t i = 1; i <= 200; ++i) {
    f.submit(1'000 + i, 4);
    f.timer.advance(30ms);
    most_kept = std::max(most_kept, workers_kept_for_suspects(leader, f.timer.now()));
  }
  cr_expect_leq(most_kept, static_cast<std::size_t>(k_workers / 2), "%zu workers", most_kept);
  f.expect_nothing_doubled();
}
