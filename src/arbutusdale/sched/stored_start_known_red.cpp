// Known failure, listed in KNOWN-RED.txt: lasting tasks that a new leader starts again beside a
// backlog of other tasks. Their starts are stored before they are sent.
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr int k_workers = 40;
constexpr std::uint32_t k_lasting_jobs = 20;
constexpr std::uint32_t k_tasks = 20;  // of each job
constexpr std::size_t k_lasting_tasks = std::size_t{k_lasting_jobs} * k_tasks;

struct BacklogFixture : CrashFixture {
  BacklogFixture() : CrashFixture(k_workers) {
    for (const auto& [id, worker] : fleet.all()) {
      worker->entry.capacity.cpu_millis = 64'000;
    }
    lead();
    timer.advance(1s);
    for (std::uint32_t job = 1; job <= k_lasting_jobs; ++job) {
      submit_serving(job, k_tasks);
    }
    timer.advance(8s);  // the runs settle
  }
  void set_partitioned(bool is_partitioned) {
    for (const auto& [id, worker] : fleet.all()) {
      worker->partitioned = is_partitioned;
    }
  }
  [[nodiscard]] std::size_t lasting_runs() {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      for (const FakeRun& run : worker->runs) {
        count += lasting.contains(run.task.job) ? 1 : 0;
      }
    }
    return count;
  }
};

}  // namespace

// Guards against lasting tasks that wait while shorter ones take the starts in flight: theirs have
// to be stored first, and few are decided at a time.
Test(stored_start, lasting_tasks_of_an_earlier_leader_start_beside_a_backlog) {
  constexpr Duration k_bound = 3s;
  BacklogFixture f;
  cr_assert_eq(f.lasting_runs(), k_lasting_tasks);
  f.set_partitioned(true);
  f.leaders.back()->kill();
  f.timer.advance(7s);  // all leases expire
  f.log.latency = 400ms;
  f.fleet.start_latency = 200ms;
  for (std::uint32_t job = 101; job < 200; ++job) {
    f.submit(job, 40);
  }
  f.lead();
  f.timer.advance(2s);
  f.set_partitioned(false);
  f.timer.advance(k_bound);
  cr_expect_eq(f.lasting_runs(), k_lasting_tasks, "%zu of %zu run", f.lasting_runs(),
               k_lasting_tasks);
}
