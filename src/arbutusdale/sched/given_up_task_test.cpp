// Tasks that crash every worker that starts them are given up, and their jobs fail.
#include <chrono>
#include <cstdint>
#include <utility>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr std::uint32_t k_deadly = 100;  // number of the first deadly job

/// Orders to a fleet of which no start is answered.
class SilentStarts final : public WorkerOrders {
 public:
  SilentStarts(FakeFleet& fleet, store::FakeTimer& timer) : m_fleet(fleet), m_timer(timer) {}

  void poll(const WorkerEndpoint& to, const PollOrder& order, PollDone done) override {
    m_fleet.poll(to, order, std::move(done));
  }
  void start(const WorkerEndpoint& to, const StartOrder& order, Done done) override {
    m_fleet.start(to, order, [](const auto&) {});
    m_timer.call_after(300ms, [done = std::move(done)] {
      done(tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "no answer"}));
    });
  }
  void stop(const WorkerEndpoint& to, const RunOrder& order, Done done) override {
    m_fleet.stop(to, order, std::move(done));
  }
  void throttle(const WorkerEndpoint& to, const ThrottleOrder& order, Done done) override {
    m_fleet.throttle(to, order, std::move(done));
  }

 private:
  FakeFleet& m_fleet;
  store::FakeTimer& m_timer;
};

/// Submits a deadly job of one task beside two ordinary ones, and expects that it is given up.
void expect_one_given_up(CrashFixture& f, Duration time) {
  f.submit(1, 4);
  f.submit_deadly(k_deadly, 1);
  f.submit(2, 4);
  f.timer.advance(time);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 2);
  f.expect_nothing_doubled();
}

}  // namespace

// Guards against a task that crashes one worker after another, beside ordinary jobs and serving
// tasks that have to go on.
Test(crashing_task, is_given_up_and_all_other_jobs_complete) {
  CrashFixture f(8);
  f.lead();
  f.timer.advance(1s);
  f.submit_serving(1, 4);
  for (std::uint32_t i = 2; i <= 9; ++i) {
    f.submit(i, 4);
  }
  f.submit_deadly(k_deadly, 1);
  for (std::uint32_t i = 10; i <= 20; ++i) {
    f.timer.advance(1s);
    f.submit(i, 2);
  }
  f.timer.advance(40s);
  f.expect_given_up({k_deadly});
  cr_expect_leq(f.fleet.crashes, 3U, "%lu workers crashed", f.fleet.crashes);
  f.expect_completed(2, 20);
  cr_expect(f.state(1) == JobState::RUNNING);
  cr_expect_eq(f.running_tasks(1), 4U);
  f.expect_nothing_doubled();
}

// Guards against several deadly tasks of a step that hide behind each other.
Test(crashing_task, several_in_one_step_are_given_up) {
  CrashFixture f(8);
  f.lead();
  f.timer.advance(1s);
  f.submit_deadly(k_deadly, 4);
  f.is_deadly = [](const jobs::TaskId& task) {
    return task.job == job_id(k_deadly) || task.index % 3 == 0;
  };
  f.submit_deadly(k_deadly + 1, 6);
  f.submit(1, 6);
  f.timer.advance(60s);
  f.expect_given_up({k_deadly, k_deadly + 1});
  f.expect_completed(1, 1);
  f.expect_nothing_doubled();
}

// Guards against several deadly jobs at once that keep the fleet down.
Test(crashing_task, several_jobs_at_once_are_given_up) {
  CrashFixture f(8);
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 0; i < 5; ++i) {
    f.submit_deadly(k_deadly + i, 2);
    f.submit(1 + i, 3);
  }
  f.timer.advance(90s);
  f.expect_given_up({k_deadly, k_deadly + 1, k_deadly + 2, k_deadly + 3, k_deadly + 4});
  f.expect_completed(1, 5);
  f.expect_nothing_doubled();
}

// Guards against ordinary tasks that are given up because they were started beside deadly ones.
Test(crashing_task, no_other_job_of_a_burst_fails) {
  for (const int workers : {3, 4, 6}) {
    CrashFixture f(workers);
    f.lead();
    f.timer.advance(1s);
    for (std::uint32_t i = 1; i <= 30; ++i) {
      f.submit(i, 2);
      if (i % 10 == 5) {
        f.submit_deadly(k_deadly + i / 10, 1);
      }
      f.timer.advance(10ms);
    }
    f.timer.advance(90s);
    f.expect_given_up({k_deadly, k_deadly + 1, k_deadly + 2});
    f.expect_completed(1, 30);
    f.expect_nothing_doubled();
  }
}

// Guards against a count of crashes that ends with its leader: each is killed 1 s after a crash,
// before anything proves it.
Test(crashing_task, is_given_up_although_every_crash_ends_a_leader) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  f.submit(1, 4);
  f.submit_deadly(k_deadly, 1);
  f.submit(2, 4);
  while (f.leaders.size() < 12 && f.advance_to_crash(30s)) {
    f.timer.advance(1s);
    f.leaders.back()->kill();
    f.lead();
  }
  f.timer.advance(30s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 2);
  f.expect_nothing_doubled();
}

// Guards against a count of crashes that ends with its leader when there is none for some seconds,
// so that the worker has returned and its lease has expired before the next one begins.
Test(crashing_task, is_given_up_although_there_is_no_leader_for_a_while) {
  for (const Duration gap : {1s, 3s, 5s, 9s}) {
    CrashFixture f;
    f.lead();
    f.timer.advance(1s);
    f.submit(1, 4);
    f.submit_deadly(k_deadly, 1);
    f.submit(2, 4);
    while (f.leaders.size() < 12 && f.advance_to_crash(30s)) {
      f.leaders.back()->kill();
      f.timer.advance(gap);
      f.lead();
    }
    f.timer.advance(30s);
    f.expect_given_up({k_deadly});
    f.expect_completed(1, 2);
    f.expect_nothing_doubled();
  }
}

// Guards against a count of crashes that is lost because its leader can't store it: the log is down
// from each crash on until the next leader begins.
Test(crashing_task, is_given_up_although_the_log_is_down_after_every_crash) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  f.submit(1, 4);
  f.submit_deadly(k_deadly, 1);
  f.submit(2, 4);
  while (f.leaders.size() < 12 && f.advance_to_crash(30s)) {
    f.log.down = true;
    f.timer.advance(5s);
    f.leaders.back()->kill();
    f.timer.advance(1s);
    f.log.down = false;
    f.lead();
  }
  f.timer.advance(30s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 2);
  f.expect_nothing_doubled();
}

// Guards against a crash that is not counted in an outage of the log which its leader survives.
Test(crashing_task, is_given_up_after_an_outage_of_the_log) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  f.submit(1, 4);
  f.submit_deadly(k_deadly, 1);
  f.submit(2, 4);
  for (int i = 0; i < 4 && f.advance_to_crash(20s); ++i) {
    f.log.down = true;
    f.timer.advance(4s);
    f.log.down = false;
  }
  f.timer.advance(40s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 2);
  f.expect_nothing_doubled();
}

// Guards against a crash that is not counted because the worker crashed before it answered.
Test(crashing_task, is_given_up_when_it_crashes_workers_before_they_answer) {
  CrashFixture f;
  f.fleet.crash_delay = [](const jobs::TaskId&) { return 0ms; };
  f.lead();
  f.timer.advance(1s);
  expect_one_given_up(f, 60s);
}

// Guards against a crash that is not counted because the answer to the start was lost.
Test(crashing_task, is_given_up_when_the_answers_to_its_starts_are_lost) {
  CrashFixture f;
  SilentStarts orders(f.fleet, f.timer);
  LeaderFixture leader(f.timer, f.fleet, f.log, 1, true, &orders);
  f.timer.advance(1s);
  f.submit_deadly(k_deadly, 1);
  f.timer.advance(90s);
  f.expect_given_up({k_deadly});
  f.expect_nothing_doubled();
}

// Guards against a gang that is started again for ever because of one member.
Test(crashing_task, a_gang_with_a_deadly_member_is_given_up) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  f.is_deadly = [](const jobs::TaskId& task) { return task.index == 1; };
  JobBuilder gang(k_deadly);
  gang.step(3, 1'000).set_gang(true);
  f.submit_deadly(k_deadly, gang);
  f.submit(1, 4);
  f.timer.advance(90s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 1);
  f.expect_nothing_doubled();
}

// Guards against a serving task, which no failure ends, that is started again for ever.
Test(crashing_task, a_serving_task_is_given_up) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  JobBuilder serving(k_deadly);
  serving.step(2, 2'000).set_long_running(true);
  f.submit_deadly(k_deadly, serving);
  f.submit(1, 4);
  f.timer.advance(60s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 1);
  f.expect_nothing_doubled();
}

// Guards against a repeated job whose deadly step is started again for ever.
Test(crashing_task, a_repeated_job_with_a_deadly_step_is_given_up) {
  CrashFixture f;
  f.lead();
  f.timer.advance(1s);
  f.is_deadly = [](const jobs::TaskId& task) { return task.step == 1; };
  f.fleet.work_of = [](const jobs::TaskId&) { return 1s; };
  JobBuilder job(k_deadly);
  job.step(2, 1'000);
  job.step(1, 1'000).add_after(0);
  job.record.mutable_spec()->set_repeat_count(3);
  job.record.mutable_spec()->set_first_run_wall_ms(f.timer.wall_ms() + 500);
  job.record.mutable_spec()->set_interval_ms(15'000);
  f.submit_deadly(k_deadly, job);
  f.submit(1, 4);
  f.timer.advance(90s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 1);
  f.expect_nothing_doubled();
}

// Guards against a crash that is not noticed because the worker returns under the id that it had.
Test(crashing_task, is_given_up_when_workers_return_under_the_same_id) {
  CrashFixture f;
  f.fleet.return_mode = Return::under_same_id;
  f.lead();
  f.timer.advance(1s);
  expect_one_given_up(f, 60s);
}

// Guards against a crash that is not counted because the lease of the run has expired before the
// worker returns.
Test(crashing_task, is_given_up_when_workers_return_after_their_leases) {
  CrashFixture f;
  f.fleet.return_delay = 8s;
  f.lead();
  f.timer.advance(1s);
  expect_one_given_up(f, 90s);
}

// Guards against a task that seems settled when its worker crashes.
Test(crashing_task, is_given_up_when_it_crashes_workers_after_two_seconds) {
  CrashFixture f;
  f.fleet.crash_delay = [](const jobs::TaskId&) { return 2s; };
  f.lead();
  f.timer.advance(1s);
  expect_one_given_up(f, 90s);
}

// Guards against several tasks that crash workers after two seconds and start on the same workers
// again and again: crashes that they share tell nothing of each, so that more workers crash before
// all of them are given up.
Test(crashing_task, several_that_crash_workers_after_two_seconds_are_given_up) {
  CrashFixture f(16);
  f.fleet.crash_delay = [](const jobs::TaskId&) { return 2s; };
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 0; i < 3; ++i) {
    f.submit_deadly(k_deadly + i, 1);
    f.submit(1 + i, 4);
    f.timer.advance(700ms);
  }
  f.timer.advance(90s);
  f.expect_given_up({k_deadly, k_deadly + 1, k_deadly + 2});
  f.expect_completed(1, 3);
  f.expect_nothing_doubled();
}

// Guards against ordinary jobs that wait for a deadly one, or for the workers that it has crashed.
Test(crashing_task, holds_no_other_job_up_for_long) {
  CrashFixture f(4);
  f.lead();
  f.timer.advance(1s);
  f.submit_deadly(k_deadly, 3);
  for (std::uint32_t i = 1; i <= 20; ++i) {
    f.timer.advance(500ms);
    f.submit(i, 1);
  }
  f.timer.advance(60s);
  f.expect_given_up({k_deadly});
  f.expect_completed(1, 20);
  f.expect_nothing_doubled();
}
