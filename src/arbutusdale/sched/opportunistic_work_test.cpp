// Tests the account of the processor time of opportunistic runs.
#include "arbutusdale/sched/opportunistic_work.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "event_capture_test.hpp"
#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t k_task_cpu_millis = 2'000;

/// A job of two tasks that take as long as `work` on a fleet whose tasks all do.
JobBuilder opportunistic_job(std::uint32_t number, std::chrono::milliseconds estimate) {
  JobBuilder job(number, 2);
  auto& step = job.step(2, k_task_cpu_millis);
  step.set_opportunistic(true);
  step.set_image("batch");
  step.set_estimated_ms(static_cast<std::uint64_t>(estimate.count()));
  return job;
}

/// Value of the field in the last such line; nothing when there is none.
std::optional<std::uint64_t> last_value(const std::string& log, const std::string& field) {
  const std::size_t line = log.rfind(R"("event":"opportunistic_work")");
  const std::size_t at = line == std::string::npos ? line : log.find("\"" + field + "\":", line);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(log.substr(at + field.size() + 3));
}

/// A leader whose jobs of the given number have ended after `work`, and its last account.
struct AccountFixture : FleetFixture {
  EventCapture capture{timer};
  LeaderFixture leader{timer, fleet, log};

  explicit AccountFixture(Duration work) : FleetFixture(2, 8'000) {
    fleet.work_of = [work](const jobs::TaskId&) { return work; };
    timer.advance(200ms);
  }

  std::string log_after(Duration time) {
    timer.advance(time);
    return capture.read();
  }
};

}  // namespace

// Guards against processor time of late jobs that looks like that of jobs in time.
Test(opportunistic_work, is_counted_by_the_lateness_of_its_job) {
  AccountFixture fixture(10s);
  fixture.leader.submit(opportunistic_job(1, 10s));  // due after 21 s
  fixture.leader.submit(opportunistic_job(2, 4s));   // after 9 s
  fixture.leader.submit(opportunistic_job(3, 1s));   // after 3 s, and of no use after 9 s
  const std::string log = fixture.log_after(20s);
  // Two tasks of 10 s on two processors, less what it takes until the answer to the start.
  for (const char* outcome : {"in_time", "late", "expired"}) {
    const auto core_ms = last_value(log, outcome);
    cr_assert(core_ms.has_value(), "%s", log.c_str());
    cr_expect_geq(*core_ms, 39'000U, "%s", outcome);
    cr_expect_leq(*core_ms, 41'000U, "%s", outcome);
  }
  cr_expect_eq(last_value(log, "stopped"), std::uint64_t{0});
  cr_expect_geq(last_value(log, "done").value_or(0), 117'000U);
}

// Guards against stopped runs and cancelled jobs that are missing in the account.
Test(opportunistic_work, of_cancelled_jobs_is_counted_as_stopped) {
  AccountFixture fixture(5s);
  fixture.leader.submit(opportunistic_job(1, 5s));
  fixture.timer.advance(3s);
  fixture.leader.cancel(1);
  const std::string log = fixture.log_after(8s);
  cr_expect_geq(last_value(log, "stopped").value_or(0), 11'000U);
  cr_expect_eq(last_value(log, "done"), std::uint64_t{0});
}

// Guards against runs that look busy although they were paused most of the time, and against a
// change of speed without a reason.
Test(opportunistic_work, shows_how_long_runs_were_paused_and_why) {
  AccountFixture fixture(6s);
  fixture.fleet.work_of = [](const jobs::TaskId& task) {
    return task.job == job_id(1) ? Duration{600s} : Duration{6s};
  };
  fixture.fleet.tail_or_cpu_of = [](const FakeWorker& worker, const FakeRun& run) -> std::uint64_t {
    const bool disturbed =
        std::any_of(worker.runs.begin(), worker.runs.end(), [](const FakeRun& other) {
          return other.task.job != job_id(1) && other.throttle_percent > 0;
        });
    const bool serves = run.task.job == job_id(1);
    return serves ? (disturbed ? 400 : 30) : k_task_cpu_millis * run.throttle_percent / 100;
  };
  JobBuilder serving(1);
  auto& step = serving.step(2, 2'000);
  step.set_long_running(true);
  step.set_image("serving");
  step.set_tail_target_ms(150);
  step.set_max_per_worker(1);
  fixture.leader.submit(serving);
  fixture.timer.advance(1s);
  fixture.leader.submit(opportunistic_job(2, 6s));
  const std::string log = fixture.log_after(20s);
  cr_expect_geq(last_value(log, "paused").value_or(0), 2'000U);
  cr_expect_neq(log.find(R"("reason":"cause")"), std::string::npos);
  cr_expect_eq(log.find(R"("reason":"none")"), std::string::npos);
}
