// What must not count as a crash that a task has caused: workers that are cut off, crash of
// themselves, exit, or are named by registrations of another writer. Also cancels between crashes.
#include "arbutusdale/core/random.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr std::uint32_t k_deadly = 100;  // number of the deadly job

}  // namespace

// Guards against a job that is started again, or shown as failed, after it was cancelled between
// two crashes.
Test(crashing_task, stays_cancelled_between_two_crashes) {
  for (const Duration after : {5ms, 1000ms, 3'250ms, 4'000ms}) {
    CrashFixture f;
    f.lead();
    f.timer.advance(1s);
    f.submit_deadly(k_deadly, 1);
    cr_assert(f.advance_to_crash(5s));
    const std::uint32_t starts = f.starts_of(k_deadly);
    f.timer.advance(after);
    const std::uint32_t until_cancel = f.starts_of(k_deadly);
    f.leaders.back()->cancel(k_deadly);
    f.timer.advance(30s);
    cr_expect(f.state(k_deadly) == JobState::CANCELLED);
    cr_expect_eq(f.starts_of(k_deadly), until_cancel, "%u starts after the first crash",
                 f.starts_of(k_deadly) - starts);
  }
}

// Guards against innocent tasks that are given up, or run twice, because workers were cut off:
// their runs are lost several times, each soon after its start.
Test(crashing_task, runs_lost_behind_a_partition_are_never_given_up) {
  for (const bool refused : {false, true}) {
    for (const Duration age : {20ms, 300ms, 1'500ms}) {
      CrashFixture f(8);
      f.fleet.work_of = [](const jobs::TaskId&) { return 12s; };
      f.lead();
      f.timer.advance(1s);
      f.submit(1, 1);
      for (int i = 0; i < 5; ++i) {
        FakeWorker* worker = f.advance_to_start(1, 20s);
        cr_assert(worker != nullptr, "no start after %d partitions", i);
        f.timer.advance(age);
        bool& fault = refused ? worker->refuses_connections : worker->partitioned;
        fault = true;
        f.timer.call_after(8s, [&fault] { fault = false; });
      }
      f.timer.advance(30s);
      f.expect_completed(1, 1);
      f.expect_nothing_doubled();
    }
  }
}

// Guards against the same when each partition ends a leader, and the next one has to decide what
// the runs that it doesn't find say about their tasks.
Test(crashing_task, runs_lost_behind_a_partition_and_a_change_of_leader_are_never_given_up) {
  for (const bool refused : {false, true}) {
    CrashFixture f(8);
    f.fleet.work_of = [](const jobs::TaskId&) { return 12s; };
    f.lead();
    f.timer.advance(1s);
    f.submit(1, 1);
    for (int i = 0; i < 5; ++i) {
      FakeWorker* worker = f.advance_to_start(1, 30s);
      cr_assert(worker != nullptr, "no start after %d partitions", i);
      f.timer.advance(30ms);
      bool& fault = refused ? worker->refuses_connections : worker->partitioned;
      fault = true;
      f.timer.call_after(8s, [&fault] { fault = false; });
      f.timer.advance(500ms);
      f.leaders.back()->kill();
      f.timer.advance(1s);
      f.lead();
    }
    f.timer.advance(40s);
    f.expect_completed(1, 1);
    f.expect_nothing_doubled();
  }
}

// Guards against jobs that fail because workers crash of themselves: no task is hit twice, and the
// runs that are hit are of every age.
Test(crashing_task, crashes_without_a_cause_among_the_tasks_fail_no_job) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    CrashFixture f(8);
    f.lead();
    f.timer.advance(1s);
    std::uint32_t jobs = 0;
    std::uint32_t crashes = 0;
    for (int i = 0; i < 300; ++i) {
      if (i % 3 == 0) {
        f.submit(++jobs, 3);
      }
      f.timer.advance(100ms);
      std::vector<std::string> eligible;
      for (const auto& [id, worker] : f.fleet.all()) {
        const bool hit_before = std::any_of(
            worker->runs.begin(), worker->runs.end(),
            [&f](const FakeRun& run) { return f.fleet.counts_of(run.task).crashes > 0; });
        if (!worker->crashed && !worker->runs.empty() && !hit_before) {
          eligible.push_back(id);
        }
      }
      if (i % 10 == 5 && !eligible.empty()) {
        f.fleet.crash_and_return(eligible[random_index(random, eligible.size())]);
        ++crashes;
      }
    }
    f.timer.advance(40s);
    cr_expect_geq(crashes, 10U);
    f.expect_completed(1, jobs);
    f.expect_nothing_doubled();
  }
}

// Guards against a worker that is drained and exits being taken for one that crashed.
Test(crashing_task, runs_on_workers_that_drain_and_exit_are_never_given_up) {
  CrashFixture f(8);
  f.fleet.work_of = [](const jobs::TaskId&) { return 2s; };
  f.fleet.return_delay = 500ms;
  LeaderFixture& leader = f.lead();
  f.timer.advance(1s);
  f.submit(1, 1);
  for (int i = 0; i < 4; ++i) {
    const FakeWorker* worker = f.advance_to_start(1, 20s);
    cr_assert(worker != nullptr, "no start after %d exits", i);
    f.timer.advance(50ms);
    WorkerEntry entry = worker->entry;
    entry.state = WorkerState::draining;
    entry.remaining_ms = 400;
    leader.scheduler->on_worker_updated(entry);
    f.timer.call_after(400ms, [&f, id = entry.id] { f.fleet.crash_and_return(id, true); });
  }
  f.timer.advance(30s);
  f.expect_completed(1, 1);
  f.expect_nothing_doubled();
}

// Guards against a live worker that counts as the successor of another one, because a registration
// of another writer names its address under another id.
Test(crashing_task, a_registration_with_the_address_of_another_worker_ends_no_run) {
  for (const Duration age : {0ms, 100ms, 2'000ms}) {
    CrashFixture f(3);
    f.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
    LeaderFixture& leader = f.lead();
    f.timer.advance(1s);
    f.submit(1, 3);
    f.timer.advance(20ms + age);
    const std::uint64_t starts = f.fleet.starts;
    for (const char* id : {"w00", "w01", "w02"}) {
      WorkerEntry odd = f.fleet.at(id).entry;
      odd.id = std::string("x-") + id;
      odd.incarnation = 7;
      leader.scheduler->on_worker_updated(odd);
    }
    f.timer.advance(12s);
    cr_expect_eq(f.fleet.starts, starts);
    cr_expect_eq(f.fleet.running(), 3U);
    f.timer.advance(20s);
    f.expect_completed(1, 1);
    f.expect_nothing_doubled();
  }
}

// Guards against a live worker that is taken for crashed, because its registration gives the
// address of another live worker, which answers that it is another one.
Test(crashing_task, a_live_worker_with_the_address_of_another_one_has_not_crashed) {
  for (const Duration age : {0ms, 100ms, 2'000ms}) {
    for (const Duration length : {2s, 4s, 12s}) {
      CrashFixture f(3);
      f.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
      LeaderFixture& leader = f.lead();
      f.timer.advance(1s);
      f.submit(1, 6);
      f.timer.advance(20ms + age);
      const WorkerEntry first = f.fleet.at("w00").entry;
      const WorkerEntry second = f.fleet.at("w01").entry;
      for (int round = 0; round < 3; ++round) {
        WorkerEntry odd = first;
        odd.address = second.address;
        leader.scheduler->on_worker_updated(odd);
        odd = second;
        odd.address = first.address;
        leader.scheduler->on_worker_updated(odd);
        f.timer.advance(length);
        leader.scheduler->on_worker_updated(first);
        leader.scheduler->on_worker_updated(second);
        f.timer.advance(3s);
      }
      f.timer.advance(40s);
      f.expect_completed(1, 1);
      f.expect_nothing_doubled();
    }
  }
}

// Guards against tasks that wait on an idle fleet since a rack was lost right after they had been
// started there: all of them are suspects, and few suspects are started alone at a time.
Test(crashing_task, tasks_of_a_lost_rack_start_again_at_once) {
  constexpr std::uint32_t k_jobs = 50;
  CrashFixture f(16, 16'000);
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    f.submit_serving(i, 1);
  }
  f.timer.advance(300ms);
  f.crash_all_with_runs();
  // The crashes are known when the workers have returned and were polled.
  f.timer.advance(f.fleet.return_delay + 200ms);
  f.timer.advance(3s);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    cr_expect_eq(f.running_tasks(i), 1U, "job %u", i);
  }
  f.expect_nothing_doubled();
}

// Guards against a deadly task that hides among the tasks of a lost rack, and against tasks of the
// rack that are given up for its crashes.
Test(crashing_task, is_given_up_among_the_tasks_of_a_lost_rack) {
  constexpr std::uint32_t k_jobs = 50;
  CrashFixture f(16, 16'000);
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    f.submit_serving(i, 1);
  }
  f.submit_deadly(k_deadly, 1);
  f.timer.advance(5ms);
  cr_assert(f.advance_to_crash(2s));
  f.crash_all_with_runs();
  f.timer.advance(30s);
  f.expect_given_up({k_deadly});
  cr_expect_leq(f.fleet.crashes, 3U, "%lu workers crashed", f.fleet.crashes);
  for (std::uint32_t i = 1; i <= k_jobs; ++i) {
    cr_expect_eq(f.running_tasks(i), 1U, "job %u", i);
  }
  f.expect_nothing_doubled();
}
