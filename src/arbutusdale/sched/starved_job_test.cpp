// Tests that an opportunistic job without runs does not wait behind other opportunistic work on a
// fleet that is mostly free of reserved tasks.
#include "arbutusdale/sched/opportunistic_room.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr std::uint64_t k_worker_cpu_millis = 16'000;
constexpr std::uint64_t k_task_cpu_millis = 1'600;
constexpr Duration k_longest_wait = 3s;       // of a job without runs
constexpr std::uint32_t k_first_late = 100;   // number of the first job behind the wide ones
constexpr std::uint32_t k_harmful_jobs = 50;  // below k_first_late: jobs of the harmful image

JobBuilder opportunistic_job(std::uint32_t number, std::uint32_t tasks, const std::string& image) {
  JobBuilder job(number, 2);
  auto& step = job.step(tasks, k_task_cpu_millis);
  step.set_opportunistic(true);
  step.set_image(image);
  return job;
}

/// Fleet whose idle processors two wide opportunistic jobs take for a minute.
struct FilledFixture : FleetFixture {
  LeaderFixture leader;
  bool is_advised = false;  // the queue of all jobs

  explicit FilledFixture(int workers)
      : FleetFixture(workers, k_worker_cpu_millis), leader(timer, fleet, log) {
    fleet.work_of = [](const jobs::TaskId&) { return 60s; };
    for (const auto& [id, worker] : fleet.all()) {
      fleet.advisor.allowed.insert(id);
    }
    timer.advance(200ms);
  }

  void submit(JobBuilder job) {
    job.record.mutable_terms()->set_advised(is_advised);
    leader.submit(job);
  }

  /// Submits the wide jobs, and returns once they have taken what they can get.
  void fill() {
    const auto tasks = static_cast<std::uint32_t>(10 * fleet.all().size());
    submit(opportunistic_job(1, tasks, "wide1"));
    submit(opportunistic_job(2, tasks, "wide2"));
    timer.advance(5s);
  }

  [[nodiscard]] std::size_t runs_of(std::uint32_t number) {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      for (const FakeRun& run : worker->runs) {
        count += run.task.job == job_id(number) ? 1 : 0;
      }
    }
    return count;
  }

  void expect_all_run(std::uint32_t first, std::uint32_t count) {
    for (std::uint32_t number = first; number < first + count; ++number) {
      cr_expect_geq(runs_of(number), 1U, "job %u", number);
    }
  }
};

}  // namespace

// Guards against an opportunistic job that waits until tasks of wide jobs end, since a start needs
// idle processors and those jobs take them on all workers.
Test(starved_job, has_a_run_in_time_behind_wide_jobs) {
  FilledFixture fixture(8);
  fixture.fill();
  fixture.submit(opportunistic_job(k_first_late, 4, "late"));
  fixture.timer.advance(k_longest_wait);
  fixture.expect_all_run(k_first_late, 1);
}

// The same for more jobs than workers, of different images, some with required labels.
Test(starved_job, thirty_at_once_have_runs_in_time_behind_wide_jobs) {
  FilledFixture fixture(8);
  fixture.fill();
  constexpr std::uint32_t k_jobs = 30;
  for (std::uint32_t i = 0; i < k_jobs; ++i) {
    JobBuilder job = opportunistic_job(k_first_late + i, 4, "late" + std::to_string(i % 5));
    job.record.mutable_spec()->mutable_steps(0)->set_required_label(i % 3 == 1 ? "a" : "");
    fixture.submit(job);
  }
  fixture.timer.advance(k_longest_wait);
  fixture.expect_all_run(k_first_late, k_jobs);
}

// The same for jobs of an advised queue, which also wait for tickets.
Test(starved_job, has_a_run_in_time_behind_wide_jobs_of_an_advised_queue) {
  FilledFixture fixture(8);
  fixture.fleet.needs_tickets = true;
  fixture.is_advised = true;
  fixture.fill();
  constexpr std::uint32_t k_jobs = 4;
  for (std::uint32_t i = 0; i < k_jobs; ++i) {
    fixture.submit(opportunistic_job(k_first_late + i, 4, "late"));
  }
  fixture.timer.advance(k_longest_wait);
  fixture.expect_all_run(k_first_late, k_jobs);
}

// The same for a job whose image is also believed to harm the serving tasks of all workers.
Test(starved_job, has_a_run_in_time_behind_wide_jobs_although_its_image_is_harmful) {
  FilledFixture fixture(4);
  fixture.fleet.tail_or_cpu_of = [](const FakeWorker& worker, const FakeRun& run) -> std::uint64_t {
    const bool disturbed =
        std::any_of(worker.runs.begin(), worker.runs.end(), [](const FakeRun& other) {
          return other.task.job >= job_id(k_harmful_jobs) && other.throttle_percent > 0;
        });
    const bool serves = run.task.job == job_id(3);
    return serves ? (disturbed ? 400 : 30) : k_task_cpu_millis * run.throttle_percent / 100;
  };
  JobBuilder serving(3);
  auto& step = serving.step(4, 3'200);
  step.set_long_running(true);
  step.set_image("serving");
  step.set_tail_target_ms(150);
  step.set_max_per_worker(1);
  fixture.submit(serving);
  fixture.timer.advance(1s);
  fixture.submit(opportunistic_job(k_harmful_jobs, 4, "harmful"));
  fixture.timer.advance(10s);
  fixture.fill();
  fixture.submit(opportunistic_job(k_first_late, 4, "harmful"));
  fixture.timer.advance(k_longest_wait);
  fixture.expect_all_run(k_first_late, 1);
}

// Guards against a worker that such starts overload, and against jobs with runs that take what is
// meant for those without.
Test(starved_job, overloads_no_worker_and_starts_one_task_of_a_job) {
  FilledFixture fixture(1);
  fixture.fill();
  const std::size_t before = fixture.fleet.running();
  fixture.submit(opportunistic_job(k_first_late, 4, "late"));
  fixture.timer.advance(10s);
  cr_expect_eq(fixture.runs_of(k_first_late), 1U);
  cr_expect_eq(fixture.fleet.running(), before + 1);
  for (std::uint32_t i = 1; i < 30; ++i) {
    fixture.submit(opportunistic_job(k_first_late + i, 4, "late"));
  }
  fixture.timer.advance(10s);
  // Half as many processors again as the worker has.
  cr_expect_leq(fixture.fleet.running() * k_task_cpu_millis, k_worker_cpu_millis * 3 / 2);
}

// Guards against starved tasks on processors that other runs than opportunistic ones use, and
// against a worker that takes more and more of them.
Test(opportunistic_room, is_shared_up_to_half_of_what_is_left) {
  cr_expect(may_share_processors({8'000, 8'000, 0}, 1'600));
  cr_expect(may_share_processors({8'000, 8'000, 3'200}, 1'600));
  cr_expect_not(may_share_processors({8'000, 8'000, 4'000}, 1'600));
  cr_expect_not(may_share_processors({1'000, 0, 0}, 1'600));
  cr_expect_not(may_share_processors({-1'000, 0, 0}, 1'600));
}

// Guards against runs that share processors and keep others from starting on idle ones.
Test(opportunistic_room, shared_processors_stay_idle_for_others) {
  cr_expect(has_idle_processors({8'000, 6'400, 4'000}, 1'600));
  cr_expect_not(has_idle_processors({8'000, 8'000, 0}, 1'600));
}
