// The limit on workers with suspects: sound tasks start again in time after a storm of crashes, and
// tasks that crash their workers take a bounded share of the fleet.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr int k_workers = 16;
constexpr std::uint64_t k_cpu_millis = 16'000;
constexpr Duration k_longest_wait = 3s;  // of rule LOST

std::size_t crashed_workers(CrashFixture& f) {
  const auto& workers = f.fleet.all();
  const auto count = std::count_if(workers.begin(), workers.end(),
                                   [](const auto& entry) { return entry.second->crashed; });
  return static_cast<std::size_t>(count);
}

}  // namespace

// Guards against sound tasks that wait on an idle fleet since two crashes in a row made them
// suspects that start alone, on few workers at a time.
Test(suspect_limit, tasks_that_crashed_twice_in_a_storm_start_again_in_time) {
  constexpr std::uint32_t k_jobs = 40;
  CrashFixture f(k_workers, k_cpu_millis);
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    f.submit_serving(i, 1);
  }
  f.crash_until_each_task_had(2, 1, k_jobs);
  f.timer.advance(f.fleet.return_delay + 200ms + k_longest_wait);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    cr_expect_eq(f.running_tasks(i), 1U, "job %u", i);
  }
  f.expect_nothing_doubled();
}

// Guards against many tasks that crash their workers, which are started on all workers at a time,
// so that nothing is left for the others.
Test(suspect_limit, deadly_tasks_take_at_most_half_of_the_fleet_at_a_time) {
  constexpr std::uint32_t k_deadly_jobs = 24;
  constexpr std::uint32_t k_sound_jobs = 10;
  CrashFixture f(k_workers, k_cpu_millis);
  f.lead();
  f.timer.advance(1s);
  std::set<std::uint32_t> deadly;
  for (std::uint32_t i = 1; i <= k_deadly_jobs; ++i) {
    deadly.insert(100 + i);
    f.submit_deadly(100 + i, 1);
  }
  std::size_t most_crashed = 0;
  for (std::uint32_t i = 1; i <= k_sound_jobs; ++i) {
    f.submit(i, 4);
    for (int step = 0; step < 300; ++step) {
      f.timer.advance(10ms);
      most_crashed = std::max(most_crashed, crashed_workers(f));
    }
    cr_expect_eq(f.starts_of(i), 4U, "job %u has had %u starts", i, f.starts_of(i));
  }
  f.timer.advance(30s);
  cr_expect_leq(most_crashed, static_cast<std::size_t>(k_workers / 2));
  f.expect_given_up(deadly);
  f.expect_completed(1, k_sound_jobs);
  f.expect_nothing_doubled();
}

// Guards against suspects that are never examined, since others before and behind them in the queue
// fit on no worker.
Test(suspect_limit, suspects_between_others_that_fit_nowhere_start_in_time) {
  constexpr std::uint32_t k_sound_jobs = 4;
  constexpr std::uint32_t k_others = 20;
  CrashFixture f(k_workers, k_cpu_millis);
  f.lead();
  f.timer.advance(1s);
  const auto submit_labelled = [&f](std::uint32_t number, const char* label) {
    f.lasting.insert(job_id(number));
    JobBuilder job(number);
    auto& step = job.step(1, 500);
    step.set_long_running(true);
    step.set_required_label(label);
    f.submit(job);
    f.timer.advance(2ms);
  };
  for (std::uint32_t i = 1; i <= k_others; ++i) {
    submit_labelled(500 + i, "r0");
  }
  for (std::uint32_t i = 1; i <= k_sound_jobs; ++i) {
    submit_labelled(i, "r1");
  }
  for (std::uint32_t i = 1; i <= k_others; ++i) {
    submit_labelled(600 + i, "r0");
  }
  f.timer.advance(150ms);
  for (const char* id : {"w00", "w01", "w02", "w03"}) {
    f.fleet.at(id).entry.capacity.cpu_millis = 100;  // when it returns
    f.fleet.crash_and_return(id);
  }
  for (const char* id : {"w04", "w05", "w06", "w07"}) {
    f.fleet.crash_and_return(id);
  }
  f.timer.advance(f.fleet.return_delay + 200ms + k_longest_wait);
  for (std::uint32_t i = 1; i <= k_sound_jobs; ++i) {
    cr_expect_eq(f.running_tasks(i), 1U, "job %u", i);
  }
}
