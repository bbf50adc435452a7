// Soak of one leader at a time under series of faults of workers. Checks that no job waits at the
// end on a fleet that is mostly free. The variable ARBUTUSDALE_WAITING_SEEDS sets the number of
// seeds, ARBUTUSDALE_WAITING_FIRST_SEED the first one; ARBUTUSDALE_WAITING_SHAPE leaves out the
// tests of all other shapes, and ARBUTUSDALE_WAITING_FIGURES prints the figures of each run.
// ARBUTUSDALE_WAITING_ALL_MOMENTS looks at all moments in every shape, not only in that of waves.
#pragma once

#include "arbutusdale/observe/event_log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sched_fixture_test.hpp"
#include "soak_draws_test.hpp"
#include "waiting_calm_test.hpp"
#include "waiting_faults_test.hpp"
#include "waiting_shapes_test.hpp"
#include "waiting_watch_test.hpp"
#include <criterion/criterion.h>

namespace arbutusdale::sched {

/// A fleet of which less than half is in use, under overlapping faults that begin before the
/// traffic ends.
class WaitingSoak {
 public:
  WaitingSoak(const WaitingSoakShape& shape, std::uint64_t seed)
      : m_shape(shape),
        m_draws{Random(seed)},
        m_fixture(shape.workers, k_waiting_worker_cpu_millis),
        m_faults(m_shape, m_draws, m_fixture, [this] { lead(); }),
        m_watch(m_shape, m_fixture),
        m_calm_waits(m_fixture, m_watch) {
    FakeFleet& fleet = m_fixture.fleet;
    fleet.work_of = [](const jobs::TaskId& task) { return work_of(number_of(task.job)); };
    fleet.crashes_worker = [](const jobs::TaskId& task) {
      return kind_of(number_of(task.job)) == WaitingJob::deadly && task.index == 0;
    };
    fleet.crash_delay = [](const jobs::TaskId& task) {
      return crash_delay_of(number_of(task.job));
    };
    fleet.tail_or_cpu_of = tail_or_cpu_of;
    fleet.return_mode = m_draws.chance(0.5) ? Return::under_same_id : Return::under_new_id;
    for (auto& [id, worker] : fleet.all()) {
      worker->guards_capacity = true;
      fleet.advisor.allowed.insert(id);
    }
    fleet.needs_tickets = m_draws.chance(0.3);
    if (std::getenv("ARBUTUSDALE_TEST_EVENTS") != nullptr) {
      write_events();
    }
    lead();
  }

  /// Descriptions of the tasks that wait in the end.
  std::vector<std::string> run() {
    constexpr std::chrono::seconds k_finish{14};  // from the end of the traffic to the check
    advance(std::chrono::milliseconds{500});
    for (std::uint32_t i = 0; i < m_shape.lasting_jobs; ++i) {
      submit(++m_lasting);
    }
    advance(std::chrono::seconds{2});
    play_traffic();
    const TimePoint check_at = now() + k_finish;
    while (now() < check_at) {
      advance(std::chrono::milliseconds{100});
      observe();
      if (now() + k_longest_wait >= check_at) {
        m_watch.measure_waits();
      }
    }
    return m_watch.waiting();
  }

  /// Goes on after run(), and describes the tasks that wait at any moment of calm times: lasting
  /// tasks all day, jobs from the end of run() on.
  std::vector<std::string> run_on() {
    constexpr std::chrono::seconds k_more{10};
    std::set<std::string> found;
    const TimePoint end = now() + k_more;
    while (now() < end) {
      advance(std::chrono::milliseconds{100});
      observe();
      for (const std::string& task : m_watch.waiting_jobs()) {
        found.insert(task + " after the end of the traffic");
      }
    }
    found.insert(m_calm_waits.found().begin(), m_calm_waits.found().end());
    return {found.begin(), found.end()};
  }

  /// Figures of the run so far.
  [[nodiscard]] WaitingFigures figures() const {
    WaitingFigures figures = m_watch.figures();
    figures.calm_moments = m_calm_waits.calm_moments();
    return figures;
  }

 private:
  static Duration work_of(std::uint32_t number) {
    switch (kind_of(number)) {
      case WaitingJob::lasting:
        return std::chrono::seconds{600};
      case WaitingJob::batch:
        return std::chrono::milliseconds{2'200};
      default:
        // The late ones crash their workers before they are done.
        return std::chrono::milliseconds{number < k_first_late_deadly ? 800 : 12'000};
    }
  }
  static std::uint64_t tail_or_cpu_of(const FakeWorker& worker, const FakeRun& run) {
    if (kind_of(number_of(run.task.job)) != WaitingJob::lasting) {
      return 1'000;
    }
    const auto harmful =
        std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto& other) {
          const std::uint32_t number = number_of(other.task.job);
          return kind_of(number) == WaitingJob::batch && number % 3 != 0;
        });
    return 10 + 12 * static_cast<std::uint64_t>(harmful);
  }

  /// Writes the events of the leaders to the standard error output.
  void write_events() {
    constexpr std::size_t k_unlimited = 1'000'000;
    observe::open_event_log(2, "test", m_fixture.timer, {k_unlimited, k_unlimited, k_unlimited});
    flush_events();
  }
  void flush_events() {
    observe::flush_event_log();
    m_fixture.timer.call_after(std::chrono::milliseconds{5}, [this] { flush_events(); });
  }
  [[nodiscard]] TimePoint now() const { return m_fixture.timer.now(); }
  void advance(Duration time) {
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      m_fixture.fleet.advisor.allowed.insert(id);
    }
    m_fixture.timer.advance(time);
  }

  void observe() {
    m_watch.observe();
    m_calm_waits.observe(m_faults.disturbed_until());
  }

  void lead() {
    if (!m_leaders.empty()) {
      m_leaders.back()->kill();
    }
    const auto term = static_cast<std::uint32_t>(m_leaders.size() + 1);
    m_leaders.push_back(
        std::make_unique<LeaderFixture>(m_fixture.timer, m_fixture.fleet, m_fixture.log, term));
  }

  void submit(std::uint32_t number) {
    const WaitingJob kind = kind_of(number);
    const std::uint64_t cpu_millis = m_shape.sizes.of(number);
    JobBuilder job(number, kind == WaitingJob::batch ? 2 : 0);
    job.record.mutable_terms()->set_advised(m_fixture.fleet.needs_tickets);
    if (kind == WaitingJob::lasting) {
      auto& step = job.step(k_waiting_lasting_tasks, cpu_millis);
      step.set_long_running(true);
      step.set_image(fmt::format("serving{}", number % 3));
      step.set_tail_target_ms(24);
      step.set_max_per_worker(number % 2 == 0 ? 1 : 0);
    } else if (kind == WaitingJob::batch) {
      auto& step = job.step(4, cpu_millis);
      step.set_opportunistic(true);
      step.set_image(fmt::format("batch{}", number % 9));
      step.set_checkpointing(true);
    } else {
      job.step(4, cpu_millis).set_max_per_worker(number % 5 == 0 ? 1 : 0);
    }
    m_watch.add(number);
    m_leaders.back()->submit(job);
  }

  void submit_some() {
    if (m_draws.chance(m_shape.batch_chance)) {
      submit(k_first_batch + ++m_batch);
    }
    if (m_draws.chance(m_shape.brief_chance)) {
      submit(k_first_brief + ++m_brief);
    }
    if (m_draws.chance(m_shape.deadly_chance)) {
      submit(k_first_deadly + ++m_deadly);
    }
    if (m_shape.late_deadly_chance > 0 && m_draws.chance(m_shape.late_deadly_chance)) {
      submit(k_first_late_deadly + ++m_late_deadly);
    }
  }

  void play_traffic() {
    const TimePoint begin = now();
    while (now() < begin + m_shape.traffic) {
      for (int i = 0; i < m_shape.submissions; ++i) {
        submit_some();
      }
      if (m_draws.chance(m_shape.fault_chance_at(now() - begin))) {
        m_faults.inject();
      }
      advance(std::chrono::milliseconds{200});
      observe();
    }
  }

  WaitingSoakShape m_shape;
  SoakDraws m_draws;
  FleetFixture m_fixture;
  WaitingFaults m_faults;
  WaitingWatch m_watch;
  CalmWaits m_calm_waits;
  std::vector<std::unique_ptr<LeaderFixture>> m_leaders;  // by term
  std::uint32_t m_lasting = 0;
  std::uint32_t m_batch = 0;
  std::uint32_t m_brief = 0;
  std::uint32_t m_deadly = 0;
  std::uint32_t m_late_deadly = 0;
};

struct WaitingSeeds {
  std::uint64_t first = 1;
  std::uint64_t count = 0;
};

/// The seeds that the environment chooses, or else these.
inline WaitingSeeds chosen_seeds(WaitingSeeds otherwise) {
  return {environment_number("ARBUTUSDALE_WAITING_FIRST_SEED", otherwise.first),
          environment_number("ARBUTUSDALE_WAITING_SEEDS", otherwise.count)};
}

/// When the soak looks for tasks that wait.
enum class WaitingMoments : std::uint8_t { at_the_end, all };

/// Skips the test if the environment chooses another shape.
inline void skip_unless_chosen(const WaitingSoakShape& shape) {
  const char* chosen = std::getenv("ARBUTUSDALE_WAITING_SHAPE");
  if (chosen != nullptr && shape.name != chosen) {
    cr_skip_test("another shape is chosen");
  }
}

/// Plays the seeds and fails the test if a task waits in any.
inline void expect_no_task_waits(const WaitingSoakShape& shape, WaitingSeeds otherwise,
                                 WaitingMoments moments = WaitingMoments::at_the_end) {
  skip_unless_chosen(shape);
  const WaitingSeeds seeds = chosen_seeds(otherwise);
  const bool checks_all =
      moments == WaitingMoments::all || std::getenv("ARBUTUSDALE_WAITING_ALL_MOMENTS") != nullptr;
  const bool prints_runs = std::getenv("ARBUTUSDALE_WAITING_FIGURES") != nullptr;
  std::uint64_t failed = 0;
  WaitingFigures sum;
  for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
    WaitingSoak soak(shape, seed);
    std::vector<std::string> waiting = soak.run();
    if (checks_all) {
      const std::vector<std::string> others = soak.run_on();
      waiting.insert(waiting.end(), others.begin(), others.end());
    }
    failed += waiting.empty() ? 0 : 1;
    const WaitingFigures figures = soak.figures();
    sum.add(figures);
    if (prints_runs) {
      fmt::print(stderr, "{} seed {}: {}\n", shape.name, seed, figures.text());
    }
    for (const std::string& task : waiting) {
      fmt::print(stderr, "{} seed {}: {}\n", shape.name, seed, task);
    }
  }
  fmt::print(stderr, "{}, {} runs: {}\n", shape.name, seeds.count, sum.text());
  cr_assert_eq(failed, 0U, "%lu of %lu seeds failed", failed, seeds.count);
}

/// Plays the seeds and fails the test if a job that crashes no worker is given up in any.
inline void expect_no_sound_job_is_given_up(const WaitingSoakShape& shape, WaitingSeeds otherwise) {
  skip_unless_chosen(shape);
  const WaitingSeeds seeds = chosen_seeds(otherwise);
  WaitingFigures sum;
  for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
    WaitingSoak soak(shape, seed);
    (void)soak.run();
    sum.add(soak.figures());
  }
  fmt::print(stderr, "{}, {} runs: {}\n", shape.name, seeds.count, sum.text());
  cr_assert_eq(sum.sound_jobs_given_up, 0U, "%lu jobs given up", sum.sound_jobs_given_up);
}

}  // namespace arbutusdale::sched
