// Tests of states of a few workers that must not keep the tasks of a mostly free fleet waiting.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "event_capture_test.hpp"
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

// Guards against a log that names a guard which no longer holds for a job that has waited for long:
// it may start beside serving tasks that it is believed to harm, and waits for a ticket alone.
Test(waiting_causes, the_log_names_what_keeps_a_starved_task_waiting) {
  FleetFixture fixture(4, 16'000);
  FakeFleet& fleet = fixture.fleet;
  const auto is_harmful = [](const FakeRun& run) { return run.task.job != job_id(1); };
  fleet.work_of = [](const jobs::TaskId& task) { return task.job == job_id(1) ? 600s : 4s; };
  fleet.tail_or_cpu_of = [&](const FakeWorker& worker, const FakeRun& run) -> std::uint64_t {
    const bool is_harmed = std::any_of(worker.runs.begin(), worker.runs.end(), is_harmful);
    return is_harmful(run) ? 1'000 : (is_harmed ? 200 : 10);
  };
  LeaderFixture leader(fixture.timer, fleet, fixture.log);
  JobBuilder serving(1);
  auto& step = serving.step(4, 2'000);
  step.set_long_running(true);
  step.set_tail_target_ms(24);
  step.set_max_per_worker(1);
  step.set_image("serving");
  leader.submit(serving);
  fixture.timer.advance(3s);
  const auto submit_harmful = [&](std::uint32_t number, bool advised) {
    JobBuilder job(number);
    job.record.mutable_terms()->set_advised(advised);
    auto& harmful = job.step(4, 1'000);
    harmful.set_opportunistic(true);
    harmful.set_image("harmful");
    leader.submit(job);
  };
  submit_harmful(2, false);
  fixture.timer.advance(30s);
  leader.cancel(2);
  fixture.timer.advance(30s);
  fleet.needs_tickets = true;
  const EventCapture events(fixture.timer);
  submit_harmful(3, true);
  fixture.timer.advance(5s);
  const std::string text = events.read();
  const std::string line = text.substr(std::min(text.rfind("task_waiting"), text.size()));
  cr_assert_neq(line.find(R"("excluded":"ticket:4")"), std::string::npos, "%s", line.c_str());
}
