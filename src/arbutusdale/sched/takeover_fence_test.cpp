// Tests of the fence after a change of leader: a task waits only for the silent workers on which a
// run of it may be alive.
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

constexpr std::uint32_t k_job = 1;
constexpr Duration k_at_once = 500ms;

struct FenceFixture : CrashFixture {
  FenceFixture() : CrashFixture(4) {
    fleet.return_delay = 300ms;
    lead();
    timer.advance(1s);
    submit_serving(k_job, 1);
    timer.advance(2s);  // the run settles
  }

  [[nodiscard]] std::vector<std::string> workers_with_runs() {
    std::vector<std::string> ids;
    for (const auto& [id, worker] : fleet.all()) {
      if (!worker->runs.empty()) {
        ids.push_back(id);
      }
    }
    return ids;
  }
  /// Cuts off a worker of the roster without runs.
  void cut_off_idle_worker() {
    const auto& workers = fleet.all();
    const auto idle = std::find_if(workers.rbegin(), workers.rend(),
                                   [](const auto& entry) { return entry.second->runs.empty(); });
    cr_assert(idle != workers.rend());
    idle->second->partitioned = true;
  }
  void change_leader() {
    leaders.back()->kill();
    lead();
  }
};

}  // namespace

// Guards against a lasting task that waits for a silent worker of the roster on which it never ran,
// although the worker that its record names has restarted.
Test(takeover_fence, a_task_of_a_restarted_worker_does_not_wait_for_another_worker) {
  FenceFixture f;
  f.cut_off_idle_worker();
  f.leaders.back()->kill();
  f.fleet.crash_and_return(f.workers_with_runs().front());
  f.lead();
  f.timer.advance(f.fleet.return_delay + k_at_once);
  cr_expect_eq(f.running_tasks(k_job), 1U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against the same when the worker answers that the lease of the run has expired.
Test(takeover_fence, a_task_whose_lease_expired_does_not_wait_for_another_worker) {
  FenceFixture f;
  f.cut_off_idle_worker();
  f.leaders.back()->kill();
  f.timer.advance(8s);
  cr_assert_eq(f.running_tasks(k_job), 0U);
  f.lead();
  f.timer.advance(k_at_once);
  cr_expect_eq(f.running_tasks(k_job), 1U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against the same for a task of which this leader has seen a live run.
Test(takeover_fence, a_task_that_was_adopted_does_not_wait_for_another_worker) {
  FenceFixture f;
  f.cut_off_idle_worker();
  f.change_leader();
  f.timer.advance(300ms);
  f.fleet.crash_and_return(f.workers_with_runs().front());
  f.timer.advance(f.fleet.return_delay + k_at_once);
  cr_expect_eq(f.running_tasks(k_job), 1U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against the same for a step whose dependency had a live run under this leader, so that no
// earlier leader can have started it.
Test(takeover_fence, a_step_behind_an_adopted_run_does_not_wait_for_another_worker) {
  FenceFixture f;
  JobBuilder job(2);
  job.step(1, 1'000);
  job.step(1, 1'000).add_after(0);
  job.step(1, 1'000).add_after(1);
  f.submit(job);
  f.timer.advance(200ms);
  f.cut_off_idle_worker();
  f.change_leader();
  f.timer.advance(3'500ms);
  cr_expect(f.state(2) == JobState::COMPLETED);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against a second run of a task whose record names the silent worker.
Test(takeover_fence, a_task_of_the_silent_worker_waits_until_its_lease_has_expired) {
  FenceFixture f;
  f.fleet.at(f.workers_with_runs().front()).partitioned = true;
  f.change_leader();
  f.timer.advance(5s);
  cr_expect_eq(f.fleet.starts, 1U);
  f.timer.advance(6s);
  cr_expect_eq(f.fleet.starts, 2U);
  f.expect_nothing_doubled();
}

// Guards against a second run of a task whose first start was sent and never stored.
Test(takeover_fence, a_task_waits_if_its_first_start_may_not_have_been_stored) {
  FenceFixture f;
  f.log.down = true;
  f.submit_serving(2, 1);
  f.timer.advance(100ms);
  cr_assert_eq(f.running_tasks(2), 1U);
  for (const std::string& id : f.workers_with_runs()) {
    f.fleet.at(id).partitioned = true;
  }
  f.change_leader();
  f.log.down = false;
  f.timer.advance(5s);
  cr_expect_eq(f.fleet.starts, 2U);
  f.timer.advance(8s);
  cr_expect_eq(f.fleet.starts, 4U);
  f.expect_nothing_doubled();
}

// Guards against a second run of a task that the earlier leader has restarted on the silent worker:
// a restart that the next leader does not know of must not have been sent.
Test(takeover_fence, a_restart_that_is_not_stored_is_not_sent) {
  FenceFixture f;
  f.log.down = true;
  f.fleet.crash_and_return(f.workers_with_runs().front());
  f.timer.advance(1s);
  cr_expect_eq(f.fleet.starts, 1U);
  f.cut_off_idle_worker();
  f.change_leader();
  f.log.down = false;
  f.timer.advance(k_at_once);
  cr_expect_eq(f.fleet.starts, 2U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against a task that counts as not running since the leader that wrote its record was not
// the last one: a leader in between may have started it and stored nothing.
Test(takeover_fence, a_record_of_a_leader_before_the_last_proves_nothing) {
  FenceFixture f;
  const std::string worker = f.workers_with_runs().front();
  f.cut_off_idle_worker();
  f.leaders.back()->kill();
  f.leaders.push_back(nullptr);  // a term in which nothing was stored
  f.fleet.crash_and_return(worker);
  f.lead();
  f.timer.advance(5s);
  cr_expect_eq(f.fleet.starts, 1U);
  f.timer.advance(3s);
  cr_expect_eq(f.fleet.starts, 2U);
  f.expect_nothing_doubled();
}

// Guards against waits that begin anew with each leader: the worker that the first one waited for
// is back, and another one, on which nothing can have been started, is silent now.
Test(takeover_fence, a_task_that_waits_does_not_wait_for_workers_that_fall_silent_later) {
  FenceFixture f;
  const std::string serving = f.workers_with_runs().front();
  JobBuilder job(2);
  job.step(1, 7'000);  // not beside the serving task
  f.submit(job);
  f.timer.advance(100ms);
  std::string lost;
  for (const std::string& id : f.workers_with_runs()) {
    lost = id == serving ? lost : id;
  }
  cr_assert_neq(lost, "");
  std::vector<std::string> idle;
  for (const auto& [id, worker] : f.fleet.all()) {
    if (worker->runs.empty()) {
      idle.push_back(id);
    }
  }
  cr_assert_geq(idle.size(), 2U);
  f.leaders.back()->kill();
  f.fleet.crash_and_return(lost);
  f.fleet.at(idle[0]).partitioned = true;
  f.lead();
  f.timer.advance(2s);
  cr_assert_eq(f.running_tasks(2), 0U, "the first worker may run it");
  f.leaders.back()->kill();
  f.fleet.at(idle[0]).partitioned = false;
  f.fleet.at(idle[1]).partitioned = true;
  f.lead();
  f.timer.advance(k_at_once);
  cr_expect_eq(f.running_tasks(2), 1U);
  f.timer.advance(10s);
  cr_expect(f.state(2) == JobState::COMPLETED);
  f.expect_nothing_doubled();
}

// Guards against a second run of such a task: the leader that held it starts it, and is followed by
// one that would not wait for the worker.
Test(takeover_fence, a_held_task_that_was_started_is_no_longer_held) {
  FenceFixture f;
  f.cut_off_idle_worker();
  JobBuilder job(2);
  job.step(1, 1'000);
  f.submit(job);
  f.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  f.leaders.back()->kill();
  f.lead();
  f.timer.advance(10s);
  for (const std::string& id : f.workers_with_runs()) {
    f.fleet.at(id).partitioned = true;
  }
  f.change_leader();
  f.timer.advance(12s);
  f.expect_nothing_doubled();
}

// Guards against a start beyond the attempts: an earlier run has failed on a silent worker, and
// this leader has adopted the next one.
Test(takeover_fence, an_adopted_task_is_not_started_beyond_its_attempts) {
  CrashFixture f(4);
  f.fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  f.lead();
  f.timer.advance(1s);
  JobBuilder job(2);
  job.record.mutable_terms()->set_max_attempts(2);
  job.step(1, 1'000);
  f.submit(job);
  f.timer.advance(1s);
  const auto fail_run = [&f]() -> FakeWorker& {
    const auto& workers = f.fleet.all();
    const auto found = std::find_if(workers.begin(), workers.end(),
                                    [](const auto& entry) { return !entry.second->runs.empty(); });
    cr_assert(found != workers.end());
    found->second->fails_all_runs = true;
    f.timer.advance(100ms);
    found->second->fails_all_runs = false;
    return *found->second;
  };
  f.log.down = true;
  FakeWorker& silent = fail_run();
  f.timer.advance(200ms);
  silent.partitioned = true;
  f.leaders.back()->kill();
  f.log.down = false;
  f.lead();
  f.timer.advance(1s);
  fail_run();
  f.timer.advance(3s);
  silent.partitioned = false;
  f.timer.advance(3s);
  cr_expect_eq(f.fleet.starts, 2U);
}

// Guards against a leader that waits for a worker to which the one before it, which has outlived
// all earlier leases, has sent no order.
Test(takeover_fence, a_worker_that_was_silent_for_a_whole_term_is_not_awaited_again) {
  CrashFixture f(4);
  f.lead();
  f.timer.advance(1s);
  f.fleet.all().rbegin()->second->partitioned = true;
  f.timer.advance(1s);
  f.leaders.back()->kill();
  f.lead();
  f.timer.advance(10s);
  f.leaders.back()->kill();
  f.submit(3, 1);
  f.lead();
  f.timer.advance(k_at_once);
  cr_expect_eq(f.fleet.starts, 1U);
  f.expect_nothing_doubled();
}

// Guards against a record by which a held task runs nowhere, since the worker that runs it has
// answered: the next leader would start it beside that run.
Test(takeover_fence, a_held_task_whose_worker_has_answered_is_not_started_beside_its_run) {
  CrashFixture f(4);
  f.fleet.work_of = [](const jobs::TaskId& task) { return task.index == 0 ? 60s : 5s; };
  f.lead();
  f.timer.advance(1s);
  JobBuilder job(2);
  job.step(2, 7'000);  // on two workers
  f.submit(job);
  f.timer.advance(500ms);
  for (const auto& [id, worker] : f.fleet.all()) {
    worker->fails_all_runs = true;
  }
  f.timer.advance(20ms);
  for (const auto& [id, worker] : f.fleet.all()) {
    worker->fails_all_runs = false;
  }
  f.timer.advance(500ms);
  FakeWorker* runs_first = nullptr;
  for (const auto& [id, worker] : f.fleet.all()) {
    const bool is_first = !worker->runs.empty() && worker->runs.front().task.index == 0;
    runs_first = is_first ? worker.get() : runs_first;
  }
  cr_assert_neq(runs_first, nullptr);
  cr_assert_gt(runs_first->runs.front().number, 1U);
  runs_first->partitioned = true;
  f.leaders.back()->kill();
  f.lead();
  f.timer.advance(1s);
  runs_first->partitioned = false;
  f.timer.advance(4s);  // the other task ends, so that the job is stored again
  cr_assert_eq(f.running_tasks(2), 1U);
  runs_first->partitioned = true;
  f.leaders.back()->kill();
  f.lead();
  f.timer.advance(12s);
  f.expect_nothing_doubled();
}

// Guards against a lasting task that waits for a worker which fell silent under the third leader,
// since the second one, which left the task alone, has not stored its job again.
Test(takeover_fence, a_record_that_the_preceding_leader_left_as_it_was_still_locates_its_tasks) {
  FenceFixture f;
  const std::string serving = f.workers_with_runs().front();
  std::vector<std::string> idle;
  for (const auto& [id, worker] : f.fleet.all()) {
    if (id != serving) {
      idle.push_back(id);
    }
  }
  f.fleet.at(idle[0]).partitioned = true;
  f.change_leader();
  f.timer.advance(2s);
  f.leaders.back()->kill();
  f.fleet.at(idle[0]).partitioned = false;
  f.fleet.at(idle[1]).partitioned = true;
  f.fleet.crash_and_return(serving);
  f.lead();
  f.timer.advance(f.fleet.return_delay + k_at_once);
  cr_expect_eq(f.running_tasks(k_job), 1U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

// Guards against a takeover that every daemon has to read for seconds, while it reads back what it
// missed: the progress of each job, each with the names of all silent workers.
Test(takeover_fence, a_takeover_with_silent_workers_stores_little_for_each_job) {
  constexpr int workers = 40;
  constexpr std::uint32_t jobs = 60;
  constexpr std::uint64_t max_bytes_per_worker = 64;
  constexpr std::uint64_t max_bytes_per_job = 64;
  CrashFixture f(workers, 2'000);
  f.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t number = 1; number <= jobs; ++number) {
    f.submit(number, 20);
  }
  f.leaders.back()->kill();
  int silent = 0;
  for (const auto& [id, worker] : f.fleet.all()) {
    worker->partitioned = ++silent <= workers / 2;
  }
  f.lead();
  const std::uint64_t before = f.log.bytes;
  f.timer.advance(2s);
  cr_expect_leq(f.log.bytes - before, workers * max_bytes_per_worker + jobs * max_bytes_per_job);
}
