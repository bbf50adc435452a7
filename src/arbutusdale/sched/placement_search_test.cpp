// Tests of the search for a worker: the few that fit are found among many that don't.
#include <chrono>
#include <cstdint>
#include <string>

#include "capacity_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

/// Opportunistic tasks that wait longer are compared with all workers for that reason.
constexpr Duration k_before_starvation = 1'300ms;

/// A fleet of which only the last 10 workers have memory; the others fit better by processors.
struct MostlyShrunkFixture : FleetFixture {
  LeaderFixture leader{timer, fleet, log};

  MostlyShrunkFixture() : FleetFixture(60, k_cpu_millis) {
    for (int i = 0; i < 50; ++i) {
      const std::string id = fmt::format("w{:02}", i);
      fleet.set_capacity(id, {7'000, 0, 0});
      leader.scheduler->on_worker_updated(fleet.at(id).entry);
    }
    timer.advance(1s);
  }
};

}  // namespace

// Guards against tasks that wait forever because the same workers without room for them are
// examined first in each round and end the search before it reaches empty ones.
Test(capacity, empty_workers_behind_many_without_memory_are_found) {
  for (const bool opportunistic : {false, true}) {
    MostlyShrunkFixture fixture;
    fixture.leader.submit(opportunistic ? opportunistic_job(1, 4, 1'000) : simple_job(1, 4));
    fixture.timer.advance(k_before_starvation);
    cr_assert_eq(fixture.fleet.starts, 4U, "%lu starts", fixture.fleet.starts);
    fixture.timer.advance(10s);
    cr_assert_eq(fixture.leader.state(1), JobState::COMPLETED, "%lu starts, opportunistic: %d",
                 fixture.fleet.starts, static_cast<int>(opportunistic));
  }
}

// Guards against steps at the front of the queue that fit nowhere and use up the comparisons with
// all workers in each round, so that later steps wait forever.
Test(capacity, steps_that_fit_nowhere_do_not_hide_empty_workers_from_others) {
  for (const bool opportunistic : {false, true}) {
    MostlyShrunkFixture fixture;
    constexpr std::uint32_t k_too_large_jobs = 40;
    for (std::uint32_t number = 1; number <= k_too_large_jobs + 1; ++number) {
      JobBuilder job = opportunistic ? opportunistic_job(number, 4, 1'000) : simple_job(number, 4);
      auto& step = *job.record.mutable_spec()->mutable_steps(0);
      step.set_image(fmt::format("image{}", number));
      job.record.mutable_terms()->set_priority(number <= k_too_large_jobs ? 2 : 3);
      if (number <= k_too_large_jobs) {
        step.set_memory_mib(2 * k_memory_mib);
      }
      fixture.leader.submit(job);
      fixture.timer.advance(10ms);
    }
    fixture.timer.advance(k_before_starvation);
    cr_assert_eq(fixture.fleet.starts, 4U, "%lu starts", fixture.fleet.starts);
    fixture.timer.advance(10s);
    cr_assert_eq(fixture.leader.state(k_too_large_jobs + 1), JobState::COMPLETED,
                 "%lu starts, opportunistic: %d", fixture.fleet.starts,
                 static_cast<int>(opportunistic));
    cr_assert_eq(fixture.fleet.starts, 4U);
  }
}
