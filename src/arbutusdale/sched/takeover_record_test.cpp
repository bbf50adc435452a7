// Tests of what a leader leaves to the next one about the jobs that it has taken over, and a soak
// in which runs fail, answers are lost, and only a part of a write is stored. Other seeds with
// ARBUTUSDALE_TAKEOVER_SEEDS and ARBUTUSDALE_TAKEOVER_FIRST_SEED.
#include "arbutusdale/core/random.hpp"

#include <chrono>
#include <cstdint>
#include <iterator>
#include <string>

#include "crashing_task_fixture_test.hpp"
#include "soak_draws_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t k_job = 1;
constexpr Duration k_at_once = 500ms;

std::string worker_of(CrashFixture& f, std::uint32_t number) {
  for (const auto& [id, worker] : f.fleet.all()) {
    for (const FakeRun& run : worker->runs) {
      if (run.task.job == job_id(number)) {
        return id;
      }
    }
  }
  return "";
}

}  // namespace

// Guards against a lasting task that waits for the worker that its record names although the
// preceding leader has learned from that worker that it does not run there.
Test(takeover_record,
     a_worker_that_has_answered_without_the_run_is_not_awaited_by_the_next_leader) {
  CrashFixture f(4);
  f.lead();
  f.timer.advance(1s);
  f.lasting.insert(job_id(k_job));
  JobBuilder job(k_job);
  job.step(1, 6'000).set_long_running(true);
  f.submit(job);
  f.timer.advance(2s);
  const std::string first = worker_of(f, k_job);
  cr_assert_neq(first, "");
  f.leaders.back()->kill();
  std::string silent;
  for (const auto& [id, worker] : f.fleet.all()) {
    silent = id == first ? silent : id;
  }
  for (const auto& [id, worker] : f.fleet.all()) {
    if (id != silent) {
      f.fleet.set_capacity(id, {4'000, worker->entry.capacity.memory_mib, 0});
    }
  }
  f.fleet.restart(first);
  f.fleet.at(silent).partitioned = true;
  f.lead();
  f.timer.advance(2s);
  cr_assert_eq(f.running_tasks(k_job), 0U, "no worker that answers has room for it");
  f.leaders.back()->kill();
  f.fleet.at(silent).partitioned = false;
  f.fleet.at(first).partitioned = true;
  f.lead();
  f.timer.advance(k_at_once);
  cr_expect_eq(f.running_tasks(k_job), 1U);
  f.timer.advance(10s);
  f.expect_nothing_doubled();
}

namespace {

struct RecordSoak : CrashFixture {
  Random random;

  explicit RecordSoak(std::uint64_t seed) : CrashFixture(8, 16'000), random(seed) {
    fleet.return_delay = 400ms;
    fleet.work_of = [this](const jobs::TaskId& task) -> Duration {
      return lasting.contains(task.job) ? Duration{600s} : Duration{400ms + 700ms * task.index};
    };
    lead();
    timer.advance(1s);
    for (std::uint32_t number = 1; number <= 4; ++number) {
      submit_serving(number, 3);
    }
  }
  [[nodiscard]] std::size_t draw(std::size_t count) { return random_index(random, count); }
  [[nodiscard]] Duration draw_ms(std::size_t max) { return std::chrono::milliseconds{draw(max)}; }
  FakeWorker& draw_worker() {
    auto next = fleet.all().begin();
    std::advance(next, static_cast<std::ptrdiff_t>(draw(fleet.all().size())));
    return *next->second;
  }
  void submit_batch(std::uint32_t number) {
    JobBuilder job(number);
    job.record.mutable_terms()->set_max_attempts(draw(3) == 0 ? 0 : 4);
    job.step(3, 1'000);
    job.step(2, 1'000).add_after(0);
    if (draw(4) == 0) {
      job.step(1, 1'000).set_long_running(true);
    }
    submit(job);
  }
  void change_leader() {
    log.drops_second_half = draw(2) == 0;
    timer.advance(draw_ms(400));
    if (draw(2) == 0) {
      leaders.back()->kill();
    } else {
      leaders.back()->lose_leadership();
    }
    timer.advance(draw_ms(900));
    log.drops_second_half = false;
    lead();
  }
  void disturb() {
    FakeWorker& worker = draw_worker();
    switch (draw(7)) {
      case 0:
      case 1:
        return change_leader();
      case 2:
        worker.partitioned = true;
        timer.call_after(500ms + draw_ms(6'000), [&worker] { worker.partitioned = false; });
        return;
      case 3:
        worker.drops_answers = true;
        timer.call_after(draw_ms(2'500), [&worker] { worker.drops_answers = false; });
        return;
      case 4:
        worker.fails_all_runs = true;
        timer.call_after(20ms + draw_ms(200), [&worker] { worker.fails_all_runs = false; });
        return;
      case 5:
        log.down = true;
        timer.call_after(draw_ms(1'200), [this] { log.down = false; });
        return;
      default:
        if (!worker.crashed) {
          fleet.return_mode = draw(2) == 0 ? Return::under_new_id : Return::under_same_id;
          fleet.crash_and_return(worker.entry.id);
        }
    }
  }
};

}  // namespace

// Guards against second runs after changes of leader of which a part of the last write is stored,
// while runs fail and answers are lost.
Test(takeover_record, writes_that_are_stored_in_part_double_nothing) {
  const std::uint64_t first = environment_number("ARBUTUSDALE_TAKEOVER_FIRST_SEED", 1);
  const std::uint64_t seeds = environment_number("ARBUTUSDALE_TAKEOVER_SEEDS", 20);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RecordSoak soak(seed);
    std::uint32_t jobs = 100;
    for (int i = 0; i < 50; ++i) {
      soak.submit_batch(++jobs);
      soak.timer.advance(soak.draw_ms(900));
      soak.disturb();
    }
    soak.timer.advance(30s);
    cr_expect_eq(soak.fleet.doubled, 0U, "seed %lu", seed);
    cr_expect_eq(soak.fleet.started_after_done, 0U, "seed %lu", seed);
    for (const std::string& violation : soak.fleet.violations) {
      std::fprintf(stderr, "seed %lu: %s\n", seed, violation.c_str());
    }
  }
}

// Guards against a start that the next leader does not know of: the record of the leader before the
// last locates the task, and the last one has confirmed it and started the task without storing it.
Test(takeover_record, a_task_of_a_confirmed_record_is_not_started_before_it_is_stored) {
  CrashFixture f(4);
  f.lead();
  f.timer.advance(1s);
  f.submit_serving(k_job, 1);
  f.timer.advance(2s);
  const std::string first = worker_of(f, k_job);
  f.leaders.back()->kill();
  for (const auto& [id, worker] : f.fleet.all()) {
    worker->partitioned = id != first && id == f.fleet.all().rbegin()->first;
  }
  f.lead();
  f.timer.advance(2s);
  f.log.down = true;
  f.fleet.at(first).fails_all_runs = true;
  f.timer.advance(50ms);
  f.fleet.at(first).fails_all_runs = false;
  cr_assert_eq(f.running_tasks(k_job), 0U);
  f.timer.advance(1s);
  cr_expect_eq(f.fleet.starts, 1U);
  f.expect_nothing_doubled();
}
