// Tests of scheduled jobs under leaders whose times of day differ.
#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// The same steady clock with another time of day.
class OffsetTimer final : public Timer {
 public:
  OffsetTimer(store::FakeTimer& timer, std::int64_t offset_ms)
      : m_timer(timer), m_offset(offset_ms) {}
  [[nodiscard]] TimePoint now() const override { return m_timer.now(); }
  [[nodiscard]] std::uint64_t wall_ms() const override {
    return m_timer.wall_ms() + static_cast<std::uint64_t>(m_offset);
  }
  void call_after(Duration delay, std::function<void()> action) override {
    m_timer.call_after(delay, std::move(action));
  }

 private:
  store::FakeTimer& m_timer;
  std::int64_t m_offset;
};

/// A leader whose time of day is ahead of the fixture's.
struct FastLeader {
  OffsetTimer timer;
  TermLog term_log;
  bool frozen = false;
  store::FakeTimer& base;
  std::unique_ptr<Scheduler> scheduler;
  FastLeader(FleetFixture& f, std::int64_t offset_ms)
      : timer(f.timer, offset_ms), term_log(f.log, 1), base(f.timer) {
    scheduler = std::make_unique<Scheduler>(f.fleet, f.fleet.advisor, term_log, timer,
                                            SchedulerOptions{1, 1}, [] {});
    scheduler->take_over(f.log.jobs, jobs::k_first_shard);
    for (const auto& [id, worker] : f.fleet.all()) {
      scheduler->on_worker_updated(worker->entry);
    }
    scheduler->on_workers_loaded();
    scheduler->on_jobs_caught_up();
    f.log.jobs.set_listener(jobs::k_first_shard, scheduler.get());
    tick();
  }
  void tick() {
    base.call_after(100ms, [this] {
      if (!frozen) {
        scheduler->tick();
        tick();
      }
    });
  }
};

JobBuilder scheduled_job(FleetFixture& f, std::uint64_t in_ms, std::uint32_t tasks = 1) {
  JobBuilder job(1);
  job.step(tasks, 2'000);
  job.record.mutable_spec()->set_repeat_count(1);
  job.record.mutable_spec()->set_first_run_wall_ms(f.timer.wall_ms() + in_ms);
  job.record.mutable_spec()->set_interval_ms(60'000);
  job.record.set_accepted_wall_ms(f.timer.wall_ms());
  return job;
}

void freeze(FastLeader& leader) {
  leader.frozen = true;
  leader.scheduler->set_order_limits({TimePoint{}, TimePoint{}});
}

}  // namespace

// Guards against a success that is acknowledged and forgotten: the clock of the earlier leader was
// ahead, and the next one has not opened the occurrence yet.
Test(scheduled_job, an_end_of_an_occurrence_not_yet_due_is_not_forgotten) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 1500ms; };
  FastLeader first(f, 5'000);
  f.timer.advance(1s);
  f.log.jobs.apply_job_record({0, jobs::encode(scheduled_job(f, 5'500).record)});
  f.timer.advance(1s);
  cr_assert_eq(f.fleet.starts, 1U);
  freeze(first);
  f.timer.advance(2s);
  LeaderFixture second(f.timer, f.fleet, f.log, 2);
  f.timer.advance(10s);
  cr_assert_eq(f.fleet.started_after_done, 0U);
}

// Guards against a second run beside one whose occurrence the next leader has not opened yet.
Test(scheduled_job, a_run_of_an_occurrence_not_yet_due_is_not_doubled) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 30s; };
  FastLeader first(f, 5'000);
  f.timer.advance(1s);
  f.log.jobs.apply_job_record({0, jobs::encode(scheduled_job(f, 5'500).record)});
  f.timer.advance(1s);
  cr_assert_eq(f.fleet.starts, 1U);
  const std::string busy = f.fleet.at("w00").runs.empty() ? "w01" : "w00";
  freeze(first);
  f.timer.advance(2s);
  LeaderFixture second(f.timer, f.fleet, f.log, 2);
  f.timer.advance(1s);
  // Two answers at most; then the worker is cut off.
  f.fleet.at(busy).partitioned = true;
  f.timer.advance(10s);
  cr_assert_eq(f.fleet.doubled, 0U);
}

// Guards against the same when the worker is cut off just after its first answer.
Test(scheduled_job, a_run_of_an_occurrence_not_yet_due_behind_a_cut) {
  for (int cut_ms = 1; cut_ms <= 12; ++cut_ms) {
    FleetFixture f(2);
    f.fleet.work_of = [](const jobs::TaskId&) { return 30s; };
    FastLeader first(f, 5'000);
    f.timer.advance(1s);
    f.log.jobs.apply_job_record({0, jobs::encode(scheduled_job(f, 5'500).record)});
    f.timer.advance(1s);
    const std::string busy = f.fleet.at("w00").runs.empty() ? "w01" : "w00";
    freeze(first);
    f.timer.advance(2s);
    LeaderFixture second(f.timer, f.fleet, f.log, 2);
    f.timer.advance(std::chrono::milliseconds{cut_ms});
    f.fleet.at(busy).partitioned = true;
    f.timer.advance(10s);
    cr_expect_eq(f.fleet.doubled, 0U, "cut after %d ms", cut_ms);
  }
}

// The same with a small difference of the clocks and a planned handover.
Test(scheduled_job,
     an_end_is_not_forgotten_after_a_planned_handover_with_a_small_clock_difference) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 100ms; };
  FastLeader first(f, 500);
  f.timer.advance(1s);
  f.log.jobs.apply_job_record({0, jobs::encode(scheduled_job(f, 1'000).record)});
  f.timer.advance(630ms);
  cr_assert_eq(f.fleet.starts, 1U);
  freeze(first);
  f.log.term = 2;
  f.timer.advance(150ms);
  LeaderFixture second(f.timer, f.fleet, f.log, 2);
  f.timer.advance(5s);
  cr_assert_eq(f.fleet.started_after_done, 0U);
}

// Guards against an end that is forgotten although the clocks agree.
Test(scheduled_job, an_end_is_not_forgotten_with_equal_clocks) {
  FleetFixture f(2);
  f.fleet.work_of = [](const jobs::TaskId&) { return 1500ms; };
  FastLeader first(f, 0);
  f.timer.advance(1s);
  f.log.jobs.apply_job_record({0, jobs::encode(scheduled_job(f, 500).record)});
  f.timer.advance(1s);
  cr_assert_eq(f.fleet.starts, 1U);
  freeze(first);
  f.timer.advance(2s);
  LeaderFixture second(f.timer, f.fleet, f.log, 2);
  f.timer.advance(10s);
  cr_assert_eq(f.fleet.started_after_done, 0U);
}
