// Tests the bound on the size of progress records, and what is left out of large ones.
#include "arbutusdale/sched/progress_size.hpp"

#include <cstdint>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;

namespace {

proto::jobs::JobSubmitted job_of(std::uint32_t tasks, std::uint32_t max_attempts) {
  proto::jobs::JobSubmitted job;
  job.set_job("0123456789abcdef");
  job.mutable_terms()->set_max_attempts(max_attempts);
  job.mutable_spec()->add_steps()->set_tasks(tasks);
  return job;
}

/// Each of the tasks has failed `failures` times and crashed a worker once.
proto::jobs::JobProgress progress_of(std::uint32_t tasks, std::uint32_t failures) {
  proto::jobs::JobProgress progress;
  progress.set_job("0123456789abcdef");
  progress.set_state(proto::jobs::RUNNING);
  progress.set_moves(1'000);
  auto& step = *progress.add_steps();
  step.set_done(std::string((tasks + 7) / 8, '\xff'));
  for (std::uint32_t task = 0; task < tasks; ++task) {
    for (std::uint32_t i = 0; i < failures; ++i) {
      auto& failed = *step.add_failed();
      failed.set_task(task);
      failed.set_run(4'000'000'000U + i);
    }
    auto& crashed = *step.add_crashed();
    crashed.set_task(task);
    crashed.set_worker("worker");
    crashed.set_cleared(task % 2 == 0);
  }
  return progress;
}

}  // namespace

// Guards against a job that is accepted although its progress can exceed what the store takes.
Test(progress_size, the_bound_holds_for_every_task_done_and_failed_as_often_as_it_may) {
  for (const std::uint32_t tasks : {1U, 7U, 300U, 20'000U}) {
    for (const std::uint32_t attempts : {1U, 3U, 5U}) {
      auto progress = progress_of(tasks, attempts - 1);
      const auto bound = static_cast<std::size_t>(max_progress_bytes(job_of(tasks, attempts)));
      cr_expect(trim_progress(progress, attempts, bound), "%u tasks, %u attempts", tasks, attempts);
      cr_expect_eq(progress.steps(0).failed_size(), static_cast<int>(tasks * (attempts - 1)));
    }
    auto unlimited = progress_of(tasks, 50);
    const auto bound = static_cast<std::size_t>(max_progress_bytes(job_of(tasks, 0)));
    cr_expect(trim_progress(unlimited, 0, bound), "%u tasks without a limit", tasks);
  }
}

// Guards against a bound that overflows for huge numbers and lets such a job pass.
Test(progress_size, the_bound_does_not_overflow) {
  auto job = job_of(100'000, 4'000'000'000U);
  job.mutable_spec()->set_repeat_count(4'000'000'000U);
  cr_expect_gt(max_progress_bytes(job), 1e24);
}

// Guards against the loss of done tasks, of counted failures, or of suspects without need.
Test(progress_size, only_what_is_least_needed_is_left_out) {
  const auto full = progress_of(100, 2);
  auto untouched = full;
  cr_expect(trim_progress(untouched, 3, full.ByteSizeLong()));
  cr_expect_eq(untouched.SerializeAsString(), full.SerializeAsString());
  auto trimmed = full;
  cr_expect(trim_progress(trimmed, 3, full.ByteSizeLong() - 1));
  cr_expect_eq(trimmed.steps(0).crashed_size(), 50);
  cr_expect_eq(trimmed.steps(0).failed_size(), 200);
  auto smallest = full;
  cr_expect_not(trim_progress(smallest, 3, 100));
  cr_expect_eq(smallest.steps(0).done(), full.steps(0).done());
  cr_expect_eq(smallest.steps(0).failed_size(), 200);
  cr_expect_eq(smallest.steps(0).crashed_size(), 0);
}

// Guards against a task that counts as located although its worker was left out of the record.
Test(progress_size, a_record_that_leaves_out_locations_names_no_located_task) {
  auto full = progress_of(10, 1);
  auto& step = *full.mutable_steps(0);
  for (std::uint32_t task = 0; task < 10; ++task) {
    step.add_located(task);
    auto& location = *step.add_locations();
    location.set_task(task);
    location.set_worker("worker");
  }
  for (std::size_t bytes = full.ByteSizeLong(); bytes > 100; --bytes) {
    auto trimmed = full;
    trim_progress(trimmed, 3, bytes);
    cr_expect_eq(trimmed.steps(0).located_size(), trimmed.steps(0).locations_size());
  }
}
