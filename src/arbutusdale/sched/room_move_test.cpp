// Tests of lasting tasks that get room since a run of another lasting step moves.
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

constexpr std::uint64_t k_worker_cpu_millis = 64'000;
constexpr std::uint64_t k_task_cpu_millis = 20'000;  // three fit on a worker
constexpr std::uint32_t k_packed_job = 1;
constexpr std::uint32_t k_spread_job = 2;
constexpr std::uint32_t k_first_short_job = 1'000;
/// After this time without a run a lasting task counts as lost.
constexpr Duration k_longest_wait = 3s;
constexpr Duration k_settled = 12s;

JobBuilder lasting_job(std::uint32_t number, std::uint32_t tasks, std::uint32_t max_per_worker) {
  JobBuilder job(number);
  auto& step = job.step(tasks, k_task_cpu_millis);
  step.set_long_running(true);
  step.set_max_per_worker(max_per_worker);
  return job;
}

/// Idle workers, on which best fit packs the tasks of the first job together.
struct PackedFixture : FleetFixture {
  LeaderFixture leader{timer, fleet, log};
  std::uint32_t next_short_job = k_first_short_job;

  explicit PackedFixture(int workers = 3) : FleetFixture(workers, k_worker_cpu_millis) {
    fleet.work_of = [](const jobs::TaskId& task) {
      return task.job >= job_id(k_first_short_job) ? Duration{800ms} : Duration{600s};
    };
    timer.advance(200ms);
  }

  /// Keeps short tasks waiting that take all room that lasting ones leave.
  void run_short_jobs(Duration duration) {
    constexpr Duration k_interval = 100ms;
    for (Duration passed{}; passed < duration; passed += k_interval) {
      while (leader.scheduler->waiting_tasks() < 20) {
        JobBuilder job(next_short_job++, 1);
        job.step(20, 4'000).set_estimated_ms(800);
        leader.submit(job);
      }
      timer.advance(k_interval);
    }
  }

  [[nodiscard]] std::size_t running(std::uint32_t job) {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      count += static_cast<std::size_t>(
          std::count_if(worker->runs.begin(), worker->runs.end(),
                        [job](const FakeRun& run) { return run.task.job == job_id(job); }));
    }
    return count;
  }
  [[nodiscard]] std::uint32_t starts(std::uint32_t job, std::uint32_t tasks) const {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      count += fleet.counts_of({job_id(job), 0, 0, i}).starts;
    }
    return count;
  }
  void expect_no_violation() const {
    cr_expect_eq(fleet.over_capacity, 0U);
    cr_expect_eq(fleet.doubled, 0U);
  }
};

}  // namespace

// Guards against a lasting task that never starts, since the workers with room run a task of its
// step already and the others are full of lasting tasks that could run there.
Test(room_move, makes_room_where_the_step_may_run) {
  PackedFixture fixture;
  fixture.leader.submit(lasting_job(k_packed_job, 3, 0));
  fixture.timer.advance(k_settled);
  fixture.leader.submit(lasting_job(k_spread_job, 3, 1));
  fixture.timer.advance(k_longest_wait);
  cr_expect_eq(fixture.running(k_spread_job), 3U);
  cr_expect_eq(fixture.running(k_packed_job), 3U);
  cr_expect_eq(fixture.starts(k_packed_job, 3), 4U);
  fixture.expect_no_violation();
}

// Guards against the same while short tasks take all room that lasting ones leave.
Test(room_move, makes_room_on_a_fleet_full_of_short_tasks) {
  PackedFixture fixture;
  fixture.leader.submit(lasting_job(k_packed_job, 3, 0));
  fixture.timer.advance(k_settled);
  fixture.run_short_jobs(2s);
  fixture.leader.submit(lasting_job(k_spread_job, 3, 1));
  fixture.run_short_jobs(k_longest_wait);
  cr_expect_eq(fixture.running(k_spread_job), 3U);
  fixture.run_short_jobs(k_longest_wait);
  cr_expect_eq(fixture.running(k_packed_job), 3U);
  fixture.expect_no_violation();
}

// Guards against a run that is stopped although it has no place elsewhere.
Test(room_move, moves_no_run_without_a_place_for_it) {
  PackedFixture fixture;
  fixture.leader.submit(lasting_job(k_packed_job, 9, 0));
  fixture.timer.advance(k_settled);
  fixture.leader.submit(lasting_job(k_spread_job, 1, 1));
  fixture.timer.advance(k_settled);
  cr_expect_eq(fixture.starts(k_packed_job, 9), 9U);
  cr_expect_eq(fixture.running(k_spread_job), 0U);
}

// Guards against a run that is stopped although its caller limits how many tasks of the step may be
// away by the system's doing.
Test(room_move, moves_no_run_of_a_step_with_a_disruption_budget) {
  PackedFixture fixture;
  JobBuilder packed = lasting_job(k_packed_job, 3, 0);
  packed.record.mutable_spec()->mutable_steps(0)->set_disruption_budget(1);
  fixture.leader.submit(packed);
  fixture.timer.advance(k_settled);
  fixture.leader.submit(lasting_job(k_spread_job, 3, 1));
  fixture.timer.advance(k_settled);
  cr_expect_eq(fixture.starts(k_packed_job, 3), 3U);
  cr_expect_eq(fixture.running(k_spread_job), 2U);
}

// Guards against a second task of a step that is stopped while another one has no run.
Test(room_move, moves_one_task_of_a_step_at_a_time) {
  constexpr std::uint32_t k_tasks = 6;
  PackedFixture fixture(4);
  fixture.leader.submit(lasting_job(k_packed_job, k_tasks, 0));
  fixture.timer.advance(k_settled);
  fixture.leader.submit(lasting_job(k_spread_job, 4, 1));
  std::size_t fewest = k_tasks;
  for (Duration passed{}; passed < 2 * k_longest_wait; passed += 10ms) {
    fixture.timer.advance(10ms);
    fewest = std::min(fewest, fixture.running(k_packed_job));
  }
  cr_expect_eq(fixture.running(k_spread_job), 4U);
  cr_expect_eq(fewest, k_tasks - 1);
  cr_expect_eq(fixture.starts(k_packed_job, k_tasks), k_tasks + 2);
  fixture.expect_no_violation();
}
