// Tests of the scheduler against faulty workers: single runs, dependencies, takeover, ended runs.
#include <chrono>
#include <cstdint>
#include <string>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

// Guards against a step that starts before the steps it depends on are done.
Test(scheduler, runs_dependent_steps_in_order) {
  FleetFixture fixture;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(4, 1'000);
  job.step(2, 1'000).add_after(0);
  leader.submit(job);
  fixture.timer.advance(900ms);
  cr_assert_eq(fixture.fleet.starts, 4U);
  cr_assert(leader.state(1) == JobState::RUNNING);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.starts, 6U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against ended runs that stay listed because they are never acknowledged.
Test(scheduler, acknowledges_ends_once_they_are_stored) {
  FleetFixture fixture(1);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(2, 1'000);
  fixture.timer.advance(200ms);
  fixture.log.down = true;
  leader.submit(job);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.at("w00").ended.size(), 2U);
  cr_assert(leader.state(1) != JobState::COMPLETED);
  fixture.log.down = false;
  fixture.timer.advance(1500ms);
  cr_assert_eq(fixture.fleet.at("w00").ended.size(), 0U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against starts on workers that a later leader would not know of.
Test(scheduler, starts_nothing_before_the_roster_is_stored) {
  FleetFixture fixture(1);
  fixture.log.down = true;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(2, 1'000);
  leader.submit(job);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.starts, 0U);
  fixture.log.down = false;
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.starts, 2U);
}

// Guards against a second run of a task whose start was not answered and is carried out later.
Test(scheduler, a_late_start_does_not_double_a_task) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->start_delay = 2s;
  }
  JobBuilder job(1);
  job.step(4, 1'000);
  leader.submit(job);
  fixture.timer.advance(700ms);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->start_delay = 0s;
  }
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against a restart elsewhere while a partitioned worker may still run the task, and against
// leases that are extended in the leader's view by orders that never arrive.
Test(scheduler, restarts_tasks_of_a_silent_worker_when_their_leases_have_ended) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(1, 8'000).set_long_running(true);
  leader.submit(job);
  fixture.timer.advance(1500ms);
  const std::string first = fixture.fleet.at("w00").runs.empty() ? "w01" : "w00";
  fixture.fleet.at(first).partitioned = true;
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.starts, 1U);
  fixture.timer.advance(2500ms);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against tasks that stay lost after their worker has restarted under the same id.
Test(scheduler, restarts_tasks_of_a_worker_that_restarted) {
  FleetFixture fixture(1);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(3, 1'000);
  leader.submit(job);
  fixture.timer.advance(500ms);
  fixture.fleet.restart("w00");
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.fleet.starts, 6U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against a second run of a task because of a registration with a wrong time of birth, at a
// time when the worker does not answer.
Test(scheduler, a_registration_alone_does_not_end_runs) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(1, 1'000).set_long_running(true);
  leader.submit(job);
  fixture.timer.advance(1500ms);
  FakeWorker& worker = fixture.fleet.at(fixture.fleet.at("w00").runs.empty() ? "w01" : "w00");
  worker.partitioned = true;
  WorkerEntry entry = worker.entry;
  ++entry.incarnation;
  leader.scheduler->on_worker_updated(entry);
  fixture.timer.advance(1s);
  worker.partitioned = false;
  fixture.timer.advance(8s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert_eq(fixture.fleet.starts, 1U);
}

// Guards against a job that can't succeed and is retried forever.
Test(scheduler, fails_a_job_after_its_attempts) {
  FleetFixture fixture(6);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->fails_all_runs = true;
  }
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(1, 1'000);
  leader.submit(job);
  fixture.timer.advance(20s);
  cr_assert(leader.state(1) == JobState::FAILED);
  cr_assert_eq(fixture.fleet.starts, 3U);
}

// Guards against a worker that fails all its runs and so uses up the attempts of many jobs.
Test(scheduler, a_failing_worker_fails_no_job) {
  FleetFixture fixture(4);
  fixture.fleet.at("w00").fails_all_runs = true;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  for (std::uint32_t i = 1; i <= 20; ++i) {
    JobBuilder job(i);
    job.step(2, 1'000);
    leader.submit(job);
    fixture.timer.advance(200ms);
  }
  fixture.timer.advance(5s);
  for (std::uint32_t i = 1; i <= 20; ++i) {
    cr_assert(leader.state(i) == JobState::COMPLETED, "job %u", i);
  }
}

// Guards against tasks of a cancelled job that continue or start later.
Test(scheduler, stops_everything_of_a_cancelled_job) {
  FleetFixture fixture(1, 2'000);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 30s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(5, 1'000);
  leader.submit(job);
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.fleet.running(), 2U);
  leader.cancel(1);
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.fleet.running(), 0U);
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert(leader.state(1) == JobState::CANCELLED);
  cr_assert_eq(leader.scheduler->tasks().jobs().size(), 0U);
}

// Guards against serving tasks that are lost with a worker which announced that it drains.
Test(scheduler, moves_serving_tasks_off_a_draining_worker) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(2, 2'000).set_long_running(true);
  leader.submit(job);
  fixture.timer.advance(1s);
  const std::string leaving = fixture.fleet.at("w00").runs.empty() ? "w01" : "w00";
  WorkerEntry entry = fixture.fleet.at(leaving).entry;
  entry.state = WorkerState::draining;
  leader.scheduler->on_worker_updated(entry);
  fixture.timer.advance(1500ms);
  cr_assert_eq(fixture.fleet.at(leaving).runs.size(), 0U);
  cr_assert_eq(fixture.fleet.running(), 2U);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against batch tasks that wait for their leases to expire because their worker has exited
// with them.
Test(scheduler, stops_batch_tasks_before_their_worker_exits) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 10s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(1, 2'000);
  leader.submit(job);
  fixture.timer.advance(500ms);
  const std::string leaving = fixture.fleet.at("w00").runs.empty() ? "w01" : "w00";
  WorkerEntry entry = fixture.fleet.at(leaving).entry;
  entry.state = WorkerState::draining;
  entry.remaining_ms = 3'000;
  leader.scheduler->on_worker_updated(entry);
  fixture.timer.advance(1'500ms);
  cr_assert_eq(fixture.fleet.at(leaving).runs.size(), 1U, "there is time left");
  fixture.timer.advance(1'500ms);
  cr_assert_eq(fixture.fleet.at(leaving).runs.size(), 0U);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against a second run of a task whose worker is unreachable: its registration has expired
// while the store was unavailable, and the partition refuses connections, but its runs continue.
Test(scheduler, a_refused_connection_does_not_end_the_runs_of_a_worker) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(2, 2'000);
  leader.submit(job);
  fixture.timer.advance(1s);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->refuses_connections = !worker->runs.empty();
    leader.scheduler->on_worker_gone(id);
    if (worker->runs.empty()) {
      leader.scheduler->on_worker_updated(worker->entry);
    }
  }
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert_gt(fixture.fleet.starts, 2U, "the tasks start again once the leases have expired");
}

// Guards against committing more than a worker's processors or memory.
Test(scheduler, never_commits_a_worker_beyond_its_capacity) {
  FleetFixture fixture(3, 4'000);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  for (std::uint32_t i = 1; i <= 12; ++i) {
    JobBuilder job(i);
    job.step(3, 1'500);
    leader.submit(job);
  }
  for (int i = 0; i < 100; ++i) {
    fixture.timer.advance(50ms);
    for (const auto& [id, worker] : fixture.fleet.all()) {
      cr_assert_leq(worker->runs.size() * 1'500, 4'000U);
    }
  }
}

// Guards against members of a gang that start without each other.
Test(scheduler, starts_a_gang_only_as_a_whole) {
  FleetFixture fixture(2, 2'000);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder filler(1);
  filler.step(2, 1'000);
  leader.submit(filler);
  fixture.timer.advance(300ms);
  JobBuilder gang(2);
  gang.step(4, 1'000).set_gang(true);
  leader.submit(gang);
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.starts, 2U);
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.starts, 6U);
  cr_assert(leader.state(2) == JobState::COMPLETED);
}

// Guards against occurrences that start before their time or not at all.
Test(scheduler, repeats_a_job_at_its_times) {
  FleetFixture fixture(1);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  job.step(1, 1'000);
  job.record.mutable_spec()->set_repeat_count(3);
  job.record.mutable_spec()->set_interval_ms(2'000);
  job.record.mutable_spec()->set_first_run_wall_ms(fixture.timer.wall_ms() + 1'000);
  leader.submit(job);
  fixture.timer.advance(990ms);
  cr_assert_eq(fixture.fleet.starts, 0U);
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.fleet.starts, 1U);
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.starts, 3U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against more tasks of a step on one worker than the step allows.
Test(scheduler, keeps_to_labels_and_limits_per_worker) {
  FleetFixture fixture(3);
  fixture.fleet.at("w02").entry.labels.emplace_back("special");
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  JobBuilder job(1);
  auto& spread = job.step(6, 100);
  spread.set_max_per_worker(2);
  auto& labelled = job.step(2, 100);
  labelled.set_required_label("special");
  leader.submit(job);
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.at("w00").runs.size(), 2U);
  cr_assert_eq(fixture.fleet.at("w01").runs.size(), 2U);
  cr_assert_eq(fixture.fleet.at("w02").runs.size(), 4U);
}

// Guards against a next leader that waits for a worker which is long gone.
Test(scheduler, the_roster_forgets_workers_that_have_gone) {
  FleetFixture fixture(2);
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log, 1);
  fixture.timer.advance(1s);
  cr_assert_eq(fixture.log.jobs.roster(jobs::k_first_shard).workers_size(), 2);
  fixture.fleet.at("w00").partitioned = true;
  first.scheduler->on_worker_gone("w00");
  fixture.timer.advance(10s);
  cr_assert_eq(fixture.log.jobs.roster(jobs::k_first_shard).workers_size(), 1);
}

// Guards against a change of leader that waits for workers that have left as planned: the tasks of
// taken over jobs would wait up to 6.5 s.
Test(scheduler, the_roster_forgets_a_draining_worker_without_runs) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  LeaderFixture first(fixture.timer, fixture.fleet, fixture.log, 1);
  fixture.timer.advance(1s);
  JobBuilder job(1);
  job.step(1, 1'000).set_long_running(true);
  first.submit(job);
  fixture.timer.advance(1s);
  FakeWorker& leaving = fixture.fleet.at(fixture.fleet.at("w00").runs.empty() ? "w01" : "w00");
  leaving.entry.state = WorkerState::draining;
  leaving.entry.remaining_ms = 2'000;
  first.scheduler->on_worker_updated(leaving.entry);
  fixture.timer.advance(2s);
  cr_assert_eq(fixture.fleet.starts, 2U);
  cr_assert_eq(fixture.log.jobs.roster(jobs::k_first_shard).workers_size(), 1);
  leaving.partitioned = true;
  first.scheduler->on_worker_gone(leaving.entry.id);
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.log.jobs.roster(jobs::k_first_shard).workers_size(), 1);
}

// Guards against runs that stay on a worker on which nothing makes progress.
Test(scheduler, moves_runs_that_stand_still) {
  FleetFixture fixture(3);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(300ms);
  JobBuilder job(1);
  job.step(2, 1'000);
  leader.submit(job);
  fixture.timer.advance(100ms);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    for (FakeRun& run : worker->runs) {
      run.throttle_percent = 0;  // the worker hangs; the scheduler has not asked for this
    }
  }
  fixture.timer.advance(4s);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.doubled, 0U);
}

// Guards against a task that is stopped and started elsewhere because one answer was lost.
Test(scheduler, sends_a_start_without_an_answer_again) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 3s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(300ms);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->start_delay = 5s;
  }
  JobBuilder job(1);
  job.step(1, 1'000);
  leader.submit(job);
  fixture.timer.advance(50ms);
  for (const auto& [id, worker] : fixture.fleet.all()) {
    worker->start_delay = 0s;
  }
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.fleet.starts, 1U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
  fixture.timer.advance(5s);
  cr_assert_eq(fixture.fleet.starts, 1U);
}

// Guards against a second run when a repeated start is refused at once although the first one has
// been carried out (steinbacher trouble-1, seeds 12 and 14: a partition that resets connections).
Test(scheduler, a_refused_repeat_does_not_prove_that_nothing_runs) {
  FleetFixture fixture(2);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 3s; };
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(300ms);
  FakeWorker& first = fixture.fleet.at("w00");
  first.start_delay = 550ms;
  JobBuilder job(1);
  job.step(1, 1'000);
  leader.submit(job);
  fixture.timer.advance(50ms);
  first.start_delay = 0s;
  first.refuses_connections = true;
  fixture.timer.advance(4s);
  first.refuses_connections = false;
  fixture.timer.advance(12s);
  cr_assert_eq(fixture.fleet.doubled, 0U);
  cr_assert(leader.state(1) == JobState::COMPLETED);
}

// Guards against a run that counts as ended because its end is beyond the first 500 of a reply.
Test(scheduler, a_run_whose_end_is_beyond_the_longest_reply_is_not_started_again) {
  FleetFixture f(1, 200'000);
  f.fleet.work_of = [](const jobs::TaskId&) { return 3s; };
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  JobBuilder job(1);
  job.step(600, 100);
  leader.submit(job);
  f.timer.advance(2500ms);
  f.fleet.work_of = [](const jobs::TaskId&) { return 1ms; };
  f.log.down = true;
  f.timer.advance(3s);
  f.log.down = false;
  f.timer.advance(10s);
  cr_expect_geq(f.fleet.starts, 600U);
  cr_assert_eq(f.fleet.started_after_done, 0U);
}
