// Tests of workers whose capacity shrinks and grows again while they run tasks. The workers start
// whatever they are told to start.
#include <chrono>
#include <cstdint>
#include <string>

#include "capacity_fixture_test.hpp"
#include "event_capture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

StartOrder start_order(std::uint32_t job, std::uint32_t run) {
  StartOrder order;
  order.task = {job_id(job), 0, 0, run};
  order.run = run;
  order.lease_until_ms = 60'000;
  return order;
}

}  // namespace

// Guards against the other tests passing because the fake fleet counts no start beyond a capacity,
// or not what is being stopped.
Test(capacity, the_fake_fleet_counts_starts_beyond_the_capacity) {
  FleetFixture fixture(1, 4'000);
  JobBuilder job = simple_job(1, 8, 1'500);
  fixture.log.jobs.apply_job_record({0, jobs::encode(job.record)});
  FakeWorker& worker = fixture.fleet.at("w00");
  worker.stop_time = 900ms;
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 600s; };
  const WorkerEndpoint endpoint{"w00", worker.entry.address, 1};
  const auto start = [&](std::uint32_t run) {
    fixture.fleet.start(endpoint, start_order(1, run), [](const auto&) {});
    fixture.timer.advance(20ms);
  };
  start(1);
  start(2);
  cr_assert_eq(fixture.fleet.over_capacity, 0U);
  fixture.fleet.stop(endpoint, {start_order(1, 1).task, 1, 0}, [](const auto&) {});
  fixture.timer.advance(20ms);
  start(3);
  cr_assert_eq(fixture.fleet.over_capacity, 1U, "the first run is being stopped");
  fixture.timer.advance(1s);
  cr_assert_eq(worker.runs.size(), 2U);
  fixture.fleet.set_capacity("w00", {8'000, k_memory_mib, 0});
  start(4);
  fixture.fleet.set_capacity("w00", {0, k_memory_mib, 0});
  start(5);
  cr_assert_eq(fixture.fleet.over_capacity, 1U, "the grace time has not passed");
  fixture.timer.advance(5s);
  start(6);
  cr_assert_eq(fixture.fleet.over_capacity, 2U);
  worker.guards_capacity = true;
  start(7);
  cr_assert_eq(fixture.fleet.over_capacity, 2U);
  cr_assert_eq(worker.runs.size(), 5U);
}

// Guards against starts beyond a capacity that has shrunk to less than what is committed, against
// runs that are stopped for it, and against tasks that wait forever once it has grown again.
Test(capacity, shrinks_below_what_is_committed_and_grows_again) {
  for (const std::uint64_t cpu_millis : {7'500U, 4'000U, 1'000U, 0U}) {
    CapacityFixture fixture;
    fixture.leader().submit(simple_job(1, 100));
    fixture.timer.advance(600ms);
    cr_assert_eq(fixture.fleet.running(), 16U);
    fixture.resize_all({cpu_millis, k_memory_mib, 0});
    fixture.timer.advance(k_announce_delay + 1500ms);
    for (const auto& [id, worker] : fixture.fleet.all()) {
      cr_assert(!fixture.is_over_capacity(id));
      cr_assert_eq(worker->runs.size(), cpu_millis / 1'000, "%zu runs, %lu", worker->runs.size(),
                   cpu_millis);
    }
    fixture.resize_all(k_whole);
    fixture.timer.advance(20s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
    cr_assert_eq(fixture.fleet.starts, 100U);
  }
}

// Guards against starts beyond a memory or a number of accelerators that has shrunk alone.
Test(capacity, shrinks_only_memory_or_only_accelerators) {
  for (const Resources& shrunk :
       {Resources{k_cpu_millis, 450, 4}, Resources{k_cpu_millis, 0, 4},
        Resources{k_cpu_millis, k_memory_mib, 1}, Resources{k_cpu_millis, k_memory_mib, 0}}) {
    CapacityFixture fixture;
    const Resources whole{k_cpu_millis, k_memory_mib, 4};
    fixture.resize_all(whole);
    fixture.timer.advance(2s);
    JobBuilder job(1);
    job.step(30, 1'000).set_accelerators(1);
    fixture.leader().submit(job);
    fixture.timer.advance(600ms);
    cr_assert_eq(fixture.fleet.running(), 8U);
    fixture.resize_all(shrunk);
    fixture.timer.advance(k_announce_delay + 1500ms);
    cr_assert(!fixture.is_over_capacity("w00"));
    fixture.resize_all(whole);
    fixture.timer.advance(12s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
    cr_assert_eq(fixture.fleet.starts, 30U);
  }
}

// Guards against starts in flight that are not counted when a smaller capacity is read.
Test(capacity, shrinks_while_starts_are_in_flight) {
  for (int offset_ms = 0; offset_ms <= 60; offset_ms += 3) {
    CapacityFixture fixture(1);
    fixture.fleet.start_latency = 40ms;
    fixture.resize("w00", {4'000, k_memory_mib, 0});
    fixture.timer.advance(k_announce_delay - std::chrono::milliseconds{offset_ms});
    fixture.leader().submit(simple_job(1, 6));
    fixture.leader().submit(simple_job(2, 12));
    fixture.timer.advance(3s);
    fixture.resize("w00", k_whole);
    fixture.timer.advance(8s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
    cr_assert_eq(fixture.fleet.starts, 18U);
  }
}

// Guards against the capacity of runs that are being stopped being given to others before they have
// ended, also when it shrinks meanwhile.
Test(capacity, shrinks_while_runs_are_being_stopped) {
  for (const std::uint64_t cpu_millis : {std::uint64_t{8'000}, std::uint64_t{3'000}}) {
    for (int offset_ms = -600; offset_ms <= 900; offset_ms += 100) {
      CapacityFixture fixture(1);
      fixture.fleet.at("w00").stop_time = 900ms;
      fixture.fleet.work_of = [](const jobs::TaskId& task) {
        return Duration{task.job == job_id(1) ? 600s : 1s};
      };
      JobBuilder lasting = simple_job(1, 8);
      lasting.record.mutable_spec()->mutable_steps(0)->set_long_running(true);
      fixture.leader().submit(lasting);
      fixture.resize("w00", {cpu_millis, k_memory_mib, 0});
      fixture.timer.advance(k_announce_delay + std::chrono::milliseconds{offset_ms});
      cr_assert_eq(fixture.fleet.running(), 8U);
      fixture.leader().submit(simple_job(2, 10));
      fixture.leader().cancel(1);
      fixture.timer.advance(500ms);
      cr_assert_eq(fixture.fleet.starts, 8U, "all runs are still being stopped (%d ms)", offset_ms);
      fixture.timer.advance(8s);
      fixture.expect_no_violation();
      cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
    }
  }
}

// Guards against a gang that is started beyond a capacity that has shrunk, that is broken up for
// it, or that waits forever once the capacity has grown again.
Test(capacity, shrinks_below_what_a_gang_needs) {
  CapacityFixture fixture;
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 3s; };
  const auto gang = [](std::uint32_t number) {
    JobBuilder job(number);
    job.step(4, 3'000).set_gang(true);
    return job;
  };
  fixture.leader().submit(gang(1));
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.running(), 4U);
  fixture.resize("w00", {4'000, k_memory_mib, 0});
  fixture.leader().submit(gang(2));
  fixture.timer.advance(2s);
  cr_assert(fixture.is_over_capacity("w00"));
  cr_assert_eq(fixture.fleet.running(), 4U, "nothing is stopped");
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.starts, 4U);
  fixture.resize("w00", k_whole);
  fixture.timer.advance(8s);
  fixture.expect_no_violation();
  cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.starts, 8U);
}

// Guards against opportunistic tasks that are stopped, or not resumed, when the capacity shrinks
// below what they use.
Test(capacity, shrinks_beside_opportunistic_tasks) {
  CapacityFixture fixture(1);
  fixture.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  fixture.leader().submit(opportunistic_job(1, 4, 1'800));
  fixture.timer.advance(500ms);
  cr_assert_eq(fixture.fleet.running(), 4U);
  fixture.resize("w00", {0, k_memory_mib, 0});
  fixture.timer.advance(2s);
  fixture.leader().submit(opportunistic_job(2, 4, 1'800));
  fixture.timer.advance(4s);
  cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.starts, 4U);
  fixture.resize("w00", k_whole);
  fixture.timer.advance(8s);
  fixture.expect_no_violation();
  cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
  cr_assert_eq(fixture.fleet.starts, 8U);
}

// Guards against a next leader that does not count runs that it adopts beyond the capacity, or
// stops them.
Test(capacity, the_next_leader_adopts_runs_beyond_the_capacity) {
  for (int offset_ms = 0; offset_ms <= 2'400; offset_ms += 100) {
    CapacityFixture fixture;
    fixture.fleet.work_of = [](const jobs::TaskId& task) {
      return Duration{task.job == job_id(1) ? 7s : 1s};
    };
    LeaderFixture& first = fixture.leader();
    first.submit(simple_job(1, 16));
    fixture.timer.advance(500ms);
    cr_assert_eq(fixture.fleet.running(), 16U);
    first.submit(simple_job(2, 10));
    fixture.resize("w00", {2'000, k_memory_mib, 0});
    fixture.timer.advance(std::chrono::milliseconds{offset_ms});
    first.frozen = true;
    first.lose_leadership();
    LeaderFixture& second = fixture.lead();
    second.submit(simple_job(3, 6));
    fixture.timer.advance(3s);
    cr_assert_eq(fixture.fleet.running(), 16U);
    fixture.timer.advance(10s);
    fixture.resize("w00", k_whole);
    fixture.timer.advance(4s);
    fixture.expect_no_violation();
    for (const std::uint32_t number : {1U, 2U, 3U}) {
      cr_assert_eq(second.state(number), JobState::COMPLETED);
    }
    cr_assert_eq(fixture.fleet.starts, 32U);
  }
}

// Guards against starts beyond the capacity of a worker that restarts with a smaller one.
Test(capacity, a_worker_restarts_with_a_smaller_capacity) {
  CapacityFixture fixture(1);
  fixture.leader().submit(simple_job(1, 40));
  fixture.timer.advance(600ms);
  fixture.fleet.restart("w00", 0);
  fixture.resize("w00", {3'000, k_memory_mib, 0});
  fixture.timer.advance(20s);
  fixture.expect_no_violation();
  cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
}

// Guards against a start on a worker that is over its capacity in a resource that the task itself
// does not need.
Test(capacity, starts_nothing_that_needs_none_of_what_is_exceeded) {
  for (const Resources& shrunk :
       {Resources{6'000, k_memory_mib, 4}, Resources{k_cpu_millis, 500, 4},
        Resources{k_cpu_millis, k_memory_mib, 3}}) {
    CapacityFixture fixture(1);
    fixture.resize_all({k_cpu_millis, k_memory_mib, 4});
    fixture.timer.advance(2s);
    fixture.fleet.work_of = [](const jobs::TaskId& task) {
      return Duration{task.job == job_id(1) ? 8s : 1s};
    };
    JobBuilder job(1);
    auto& step = job.step(4, 1'750);
    step.set_memory_mib(200);
    step.set_accelerators(1);
    fixture.leader().submit(job);
    fixture.timer.advance(600ms);
    cr_assert_eq(fixture.fleet.running(), 4U);
    fixture.resize_all(shrunk);
    fixture.timer.advance(2s);
    cr_assert(fixture.is_over_capacity("w00"));
    JobBuilder other(2);
    auto& light = other.step(2, shrunk.cpu_millis < k_cpu_millis ? 0 : 100);
    light.set_memory_mib(0);
    fixture.leader().submit(other);
    fixture.timer.advance(2s);
    cr_assert_eq(fixture.fleet.running(), 4U);
    fixture.timer.advance(8s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
    cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
  }
}

// Guards against opportunistic tasks that are started beside serving ones that reserve more than
// the worker still has, against serving tasks that are stopped for it, and against opportunistic
// tasks that wait forever once the capacity has grown again.
Test(capacity, shrinks_below_what_serving_tasks_reserve) {
  for (const std::uint64_t cpu_millis : {std::uint64_t{5'500}, std::uint64_t{0}}) {
    CapacityFixture fixture(1);
    fixture.fleet.work_of = [](const jobs::TaskId& task) {
      return Duration{task.job == job_id(1) ? 600s : 1s};
    };
    fixture.leader().submit(serving_job(1, 6));
    fixture.timer.advance(500ms);
    fixture.resize("w00", {cpu_millis, k_memory_mib, 0});
    fixture.timer.advance(2s);
    fixture.leader().submit(opportunistic_job(2, 4, 800));
    fixture.timer.advance(8s);
    cr_assert_eq(fixture.fleet.at("w00").runs.size(), 6U);
    fixture.resize("w00", k_whole);
    fixture.timer.advance(12s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.fleet.at("w00").runs.size(), 6U);
    cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
    cr_assert_eq(fixture.fleet.starts, 10U);
  }
}

// Guards against a start without an answer that is not counted while it may still be carried out:
// the worker can't be reached meanwhile, and its capacity shrinks.
Test(capacity, a_late_start_takes_effect_after_the_capacity_has_shrunk) {
  for (int cut_ms = 0; cut_ms <= 3'000; cut_ms += 250) {
    CapacityFixture fixture(1);
    FakeWorker& worker = fixture.fleet.at("w00");
    worker.start_delay = 1'900ms;
    fixture.resize("w00", {4'000, k_memory_mib, 0});
    fixture.timer.advance(1'500ms);
    fixture.leader().submit(simple_job(1, 8));
    fixture.timer.advance(50ms);
    worker.start_delay = 0s;
    worker.partitioned = cut_ms > 0;
    fixture.timer.advance(std::chrono::milliseconds{cut_ms});
    worker.partitioned = false;
    fixture.leader().submit(simple_job(2, 8));
    fixture.timer.advance(20s);
    fixture.resize("w00", k_whole);
    fixture.timer.advance(6s);
    fixture.expect_no_violation();
    cr_assert_eq(fixture.leader().state(1), JobState::COMPLETED);
    cr_assert_eq(fixture.leader().state(2), JobState::COMPLETED);
  }
}

// Guards against logs that do not tell which capacity a start was decided on.
Test(capacity, a_change_of_capacity_alone_is_logged) {
  CapacityFixture fixture(1);
  const EventCapture events(fixture.timer);
  fixture.leader().scheduler->on_worker_updated(fixture.announced.at("w00"));
  cr_assert_eq(events.read().find("worker_changed"), std::string::npos, "nothing has changed");
  for (const Resources& capacity : {Resources{5'500, k_memory_mib, 0}, Resources{5'500, 1'000, 0},
                                    Resources{5'500, 1'000, 3}}) {
    fixture.resize("w00", capacity);
    fixture.timer.advance(k_announce_delay + 10ms);
    const std::string text = events.read();
    cr_assert_neq(text.find(R"("event":"worker_changed","worker":"w00")"), std::string::npos);
    const std::string fields =
        fmt::format(R"("cpu_millis":{},"memory_mib":{},"accelerators":{})", capacity.cpu_millis,
                    capacity.memory_mib, capacity.accelerators);
    cr_assert_neq(text.find(fields), std::string::npos, "%s", text.c_str());
  }
}
