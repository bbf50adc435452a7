// Soak of series of changes of leader under crashes, cuts and outages of the store. Checks that no
// task runs twice. ARBUTUSDALE_TAKEOVER_SEEDS sets the number of seeds and
// ARBUTUSDALE_TAKEOVER_FIRST_SEED the first one.
#include "arbutusdale/core/random.hpp"

#include <algorithm>
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

constexpr std::uint32_t k_serving_jobs = 6;
constexpr int k_events = 60;

struct TakeoverSoak : CrashFixture {
  Random random;

  explicit TakeoverSoak(std::uint64_t seed) : CrashFixture(8, 16'000), random(seed) {
    fleet.return_delay = 400ms;
    lead();
    timer.advance(1s);
    for (std::uint32_t number = 1; number <= k_serving_jobs; ++number) {
      submit_serving(number, 3);
    }
  }

  [[nodiscard]] Duration draw_ms(std::size_t max) {
    return std::chrono::milliseconds{random_index(random, max)};
  }
  std::string draw_worker() {
    auto next = fleet.all().begin();
    std::advance(next, static_cast<std::ptrdiff_t>(random_index(random, fleet.all().size())));
    return next->first;
  }
  void submit_batch(std::uint32_t number) {
    JobBuilder job(number);
    job.step(2, 1'000);
    job.step(2, 1'000).add_after(0);
    job.step(1, 1'000).add_after(1);
    submit(job);
  }
  void cut_off(const std::string& id) {
    FakeWorker& worker = fleet.at(id);
    worker.partitioned = true;
    timer.call_after(1s + draw_ms(8'000), [&worker] { worker.partitioned = false; });
  }
  void take_down_store() {
    log.down = true;
    timer.call_after(draw_ms(1'500), [this] { log.down = false; });
  }
  void change_leader() {
    if (random_index(random, 2) == 0) {
      leaders.back()->kill();
    } else {
      leaders.back()->lose_leadership();
    }
    timer.advance(draw_ms(1'000));
    lead();
  }
  void disturb() {
    switch (random_index(random, 6)) {
      case 0:
        return change_leader();
      case 1:
        return cut_off(draw_worker());
      case 2:
        return take_down_store();
      default: {
        const std::string id = draw_worker();
        if (!fleet.at(id).crashed) {
          fleet.crash_and_return(id);
        }
      }
    }
  }
};

}  // namespace

// Guards against a task that starts beside a live run which the new leader does not know.
Test(takeover_fence, a_series_of_changes_of_leader_doubles_and_loses_nothing) {
  const std::uint64_t first = environment_number("ARBUTUSDALE_TAKEOVER_FIRST_SEED", 1);
  const std::uint64_t seeds = environment_number("ARBUTUSDALE_TAKEOVER_SEEDS", 20);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    TakeoverSoak soak(seed);
    std::uint32_t jobs = k_serving_jobs;
    for (int i = 0; i < k_events; ++i) {
      soak.submit_batch(++jobs);
      soak.timer.advance(soak.draw_ms(700));
      soak.disturb();
    }
    soak.timer.advance(30s);
    soak.expect_nothing_doubled();
    cr_expect_eq(soak.fleet.doubled, 0U, "seed %lu", seed);
    for (std::uint32_t number = 1; number <= k_serving_jobs; ++number) {
      // A task whose workers crash ten times in a row is given up.
      const bool is_given_up = soak.state(number) == jobs::JobState::FAILED;
      cr_expect(is_given_up || soak.running_tasks(number) == 3, "seed %lu, job %u", seed, number);
    }
  }
}
