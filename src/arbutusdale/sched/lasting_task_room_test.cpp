// Tests of lasting tasks that wait for room on a fleet that shorter tasks keep full.
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
constexpr int k_workers = 16;
/// As much as five of the six short tasks of a worker use.
constexpr std::uint64_t k_lasting_cpu_millis = 20'000;
constexpr std::uint32_t k_first_job = 1;
constexpr std::uint32_t k_new_job = 100;
constexpr std::uint32_t k_first_short_job = 1'000;
/// After this time without a run a lasting task counts as lost.
constexpr Duration k_longest_wait = 3s;

std::uint32_t number_of(const jobs::JobId& job) {
  return static_cast<std::uint32_t>(std::stoul(job.str(), nullptr, 16));
}

bool is_short(const jobs::TaskId& task) {
  return number_of(task.job) >= k_first_short_job;
}

JobBuilder lasting_job(std::uint32_t number, std::uint32_t tasks, std::uint64_t cpu_millis) {
  JobBuilder job(number);
  auto& step = job.step(tasks, cpu_millis);
  step.set_long_running(true);
  step.set_image("serving");
  step.set_tail_target_ms(150);
  return job;
}

/// Work of a short task, between 600 and 1,000 ms, so that the tasks of a worker end one by one.
Duration short_work(const jobs::TaskId& task) {
  const std::uint32_t mixed = (number_of(task.job) * 7 + task.index) * 2'654'435'761U;
  return 600ms + std::chrono::milliseconds{mixed % 400};
}

/// A fleet on whose workers lasting tasks leave 24 processors. Short tasks of 4 processors, of
/// which some always wait, fill these.
struct FullFleetFixture : FleetFixture {
  LeaderFixture leader{timer, fleet, log};
  std::uint32_t next_short_job = k_first_short_job;

  FullFleetFixture() : FleetFixture(k_workers, k_worker_cpu_millis) {
    fleet.work_of = [](const jobs::TaskId& task) {
      return is_short(task) ? short_work(task) : Duration{600s};
    };
    timer.advance(200ms);
    JobBuilder first = lasting_job(k_first_job, 2 * k_workers, 20'000);
    first.record.mutable_spec()->mutable_steps(0)->set_max_per_worker(2);
    leader.submit(first);
    timer.advance(1s);
    run_short_jobs(2s);
  }

  /// Keeps the queue of short tasks longer than what the fleet can run at once.
  void run_short_jobs(Duration duration) {
    constexpr Duration k_interval = 100ms;
    for (Duration passed{}; passed < duration; passed += k_interval) {
      while (leader.scheduler->waiting_tasks() < 2 * k_workers) {
        submit_short_job();
      }
      timer.advance(k_interval);
    }
  }

  virtual void submit_short_job() {
    JobBuilder job(next_short_job++, 1);
    job.step(20, 4'000).set_estimated_ms(800);
    leader.submit(job);
  }

  [[nodiscard]] std::uint32_t running(std::uint32_t job) {
    std::uint32_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      count += static_cast<std::uint32_t>(
          std::count_if(worker->runs.begin(), worker->runs.end(),
                        [job](const FakeRun& run) { return number_of(run.task.job) == job; }));
    }
    return count;
  }
  [[nodiscard]] std::size_t short_runs() {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      count += static_cast<std::size_t>(
          std::count_if(worker->runs.begin(), worker->runs.end(),
                        [](const FakeRun& run) { return is_short(run.task); }));
    }
    return count;
  }
  void expect_no_violation() const {
    cr_assert_eq(fleet.over_capacity, 0U);
    cr_assert_eq(fleet.doubled, 0U);
  }
};

/// The same fleet, where short tasks fill the memory and leave processors free.
struct FullMemoryFixture : FullFleetFixture {
  FullMemoryFixture() { run_short_jobs(3s); }

  void submit_short_job() override {
    JobBuilder job(next_short_job++, 1);
    auto& step = job.step(20, 1'000);
    step.set_estimated_ms(800);
    step.set_memory_mib(25'000);
    leader.submit(job);
  }
};

}  // namespace

// Guards against a lasting task that waits for as long as shorter tasks fill each smaller room that
// becomes free on its workers.
Test(lasting_task_room, starts_although_short_tasks_fill_the_fleet) {
  FullFleetFixture fixture;
  fixture.leader.submit(lasting_job(k_new_job, 1, k_lasting_cpu_millis));
  fixture.run_short_jobs(k_longest_wait);
  cr_assert_eq(fixture.running(k_new_job), 1U);
  fixture.expect_no_violation();
}

// Guards against a lasting task that waits for memory while short tasks take what becomes free.
Test(lasting_task_room, starts_although_short_tasks_fill_the_memory) {
  FullMemoryFixture fixture;
  JobBuilder job = lasting_job(k_new_job, 1, k_lasting_cpu_millis);
  job.record.mutable_spec()->mutable_steps(0)->set_memory_mib(150'000);
  fixture.leader.submit(job);
  fixture.run_short_jobs(k_longest_wait);
  cr_assert_eq(fixture.running(k_new_job), 1U);
  fixture.expect_no_violation();
}

// Guards against room that is kept for lasting tasks on most of the fleet, or for ever: the workers
// that lasting tasks fill never have room, and the short tasks must go on.
Test(lasting_task_room, short_tasks_go_on_beside_lasting_tasks_that_never_fit) {
  FullFleetFixture fixture;
  const std::size_t before = fixture.short_runs();
  fixture.leader.submit(lasting_job(k_new_job, 4, 30'000));
  fixture.run_short_jobs(4s);
  cr_assert_eq(fixture.running(k_new_job), 0U);
  cr_assert_geq(fixture.short_runs(), before * 9 / 10);
}

// Guards against room that is reserved on many workers at once while many lasting tasks wait.
Test(lasting_task_room, short_tasks_go_on_beside_many_waiting_lasting_tasks) {
  FullFleetFixture fixture;
  const std::size_t before = fixture.short_runs();
  fixture.leader.submit(lasting_job(k_new_job, k_workers, k_lasting_cpu_millis));
  fixture.run_short_jobs(1'500ms);
  cr_assert_geq(fixture.short_runs(), before * 3 / 4);
  fixture.run_short_jobs(k_longest_wait);
  cr_assert_gt(fixture.running(k_new_job), 1U);
  fixture.expect_no_violation();
}
