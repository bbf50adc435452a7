// Simulated large fleets under load: how the cost of placement grows with the number of workers.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t k_worker_cpu_millis = 16'000;
constexpr std::uint32_t k_first_batch_job = 1'000;
constexpr std::uint32_t k_first_check_job = 5'000;
constexpr std::uint32_t k_batch_images = 18;
constexpr std::uint32_t k_serving_images = 10;

JobBuilder serving_job(std::uint32_t number) {
  JobBuilder job(number);
  auto& step = job.step(14, 3'200);
  step.set_long_running(true);
  step.set_image("serving" + std::to_string(number % k_serving_images));
  step.set_tail_target_ms(24);
  return job;
}

JobBuilder batch_job(std::uint32_t number) {
  JobBuilder job(number, 2);
  auto& step = job.step(20, 1'800);
  step.set_opportunistic(true);
  step.set_image("batch" + std::to_string(number % k_batch_images));
  step.set_checkpointing(true);
  return job;
}

JobBuilder check_job(std::uint32_t number) {
  JobBuilder job(number);
  job.step(10, 2'000);
  return job;
}

Duration work_of(const jobs::TaskId& task) {
  const auto number = static_cast<std::uint32_t>(std::stoul(task.job.str(), nullptr, 16));
  if (number < k_first_batch_job) {
    return 600s;
  }
  return number < k_first_check_job ? Duration{2'700ms} : Duration{640ms};
}

/// Simulates six seconds of load in proportion to the number of workers. Returns the number of
/// workers examined per start.
double workers_examined_per_start(std::uint32_t workers) {
  FleetFixture fixture(static_cast<int>(workers), k_worker_cpu_millis);
  fixture.fleet.work_of = work_of;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  for (std::uint32_t i = 1; i <= workers / 3; ++i) {
    leader.submit(serving_job(i));
  }
  fixture.timer.advance(2s);
  std::uint32_t batch = k_first_batch_job;
  std::uint32_t check = k_first_check_job;
  const auto before = leader.scheduler->workers_examined();
  const auto starts_before = fixture.fleet.starts;
  for (int tenth = 0; tenth < 60; ++tenth) {
    for (std::uint32_t i = 0; i < workers / 100; ++i) {
      leader.submit(batch_job(batch++));
    }
    if (tenth % 2 == 0) {
      leader.submit(check_job(check++));
    }
    fixture.timer.advance(100ms);
  }
  return static_cast<double>(leader.scheduler->workers_examined() - before) /
         static_cast<double>(fixture.fleet.starts - starts_before);
}

/// A leader's process that gets little processor time: it takes `k_answer_time` to handle the
/// answer to a start, one after the other, and does not see answers that it has not handled in
/// time.
class SlowProcess final : public WorkerOrders {
 public:
  SlowProcess(FakeFleet& fleet, store::FakeTimer& timer) : m_fleet(fleet), m_timer(timer) {}

  std::size_t starts = 0;
  std::size_t unanswered = 0;
  std::size_t stops = 0;

  void poll(const WorkerEndpoint& to, const PollOrder& order, PollDone done) override {
    m_fleet.poll(to, order, std::move(done));
  }
  void start(const WorkerEndpoint& to, const StartOrder& order, Done done) override {
    ++starts;
    const TimePoint limit = m_timer.now() + k_start_limit;
    m_fleet.start(to, order, [this, limit, done = std::move(done)](const auto& reply) {
      m_busy_until = std::max(m_busy_until, m_timer.now()) + k_answer_time;
      const bool late = m_busy_until > limit;
      unanswered += late ? 1 : 0;
      const TimePoint handled_at = late ? limit : m_busy_until;
      m_timer.call_after(handled_at - m_timer.now(), [late, reply, done] {
        if (late) {
          done(tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "no answer"}));
        } else {
          done(reply);
        }
      });
    });
  }
  void stop(const WorkerEndpoint& to, const RunOrder& order, Done done) override {
    ++stops;
    m_fleet.stop(to, order, std::move(done));
  }
  void throttle(const WorkerEndpoint& to, const ThrottleOrder& order, Done done) override {
    m_fleet.throttle(to, order, std::move(done));
  }

 private:
  static constexpr Duration k_answer_time = 10ms;
  static constexpr Duration k_start_limit = 300ms;

  FakeFleet& m_fleet;
  store::FakeTimer& m_timer;
  TimePoint m_busy_until{};
};

}  // namespace

// Guards against a leader whose processor time per start grows with the fleet: with ten times the
// workers, at most twice as many may be examined per start.
Test(scale, workers_examined_per_start_grow_slower_than_the_fleet) {
  const double small = workers_examined_per_start(100);
  const double large = workers_examined_per_start(1'000);
  cr_assert_lt(large, 2 * small, "%.0f workers examined per start at 1,000 workers, %.0f at 100",
               large, small);
}

// Guards against a leader that sends thousands of starts at once after all leases have expired: the
// orders would queue in its own process until they time out, and would be stopped and sent again.
Test(scale, a_restart_of_everything_keeps_few_starts_in_flight) {
  FleetFixture fixture(350, k_worker_cpu_millis);
  fixture.fleet.work_of = work_of;
  fixture.fleet.start_latency = 20ms;
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log);
  fixture.timer.advance(200ms);
  for (std::uint32_t i = 1; i <= 110; ++i) {
    leader.submit(serving_job(i));
  }
  fixture.timer.advance(3s);
  cr_assert_eq(fixture.fleet.running(), 110U * 14U);
  cr_assert_leq(fixture.fleet.most_starts_in_flight, 100U);
}

// Guards against a leader that orders more starts than it can handle the answers of, all leases
// having expired: most starts count as unanswered, and their runs are stopped and ordered again.
Test(scale, a_slow_leader_lets_work_wait_that_it_cannot_carry) {
  FleetFixture fixture(350, k_worker_cpu_millis);
  fixture.fleet.work_of = work_of;
  SlowProcess process(fixture.fleet, fixture.timer);
  LeaderFixture leader(fixture.timer, fixture.fleet, fixture.log, 1, true, &process);
  fixture.timer.advance(200ms);
  for (std::uint32_t i = 1; i <= 60; ++i) {
    leader.submit(serving_job(i));
  }
  fixture.timer.advance(14s);
  cr_log_info("%zu starts, %zu unanswered, %zu stops, %zu run", process.starts, process.unanswered,
              process.stops, fixture.fleet.running());
  cr_assert_leq(process.stops, process.starts / 10, "%zu stops of %zu starts", process.stops,
                process.starts);
  cr_assert_eq(fixture.fleet.running(), 60U * 14U);
}
