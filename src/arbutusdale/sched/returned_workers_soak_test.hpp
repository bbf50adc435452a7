// Soak of workers that return under their old ids, many at once, while orders to their earlier
// incarnations are carried out late. Checks that no task runs twice and that all jobs end.
// ARBUTUSDALE_RETURNED_SEEDS sets the number of seeds, ARBUTUSDALE_RETURNED_FIRST_SEED the first
// one.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "late_orders_test.hpp"
#include "sched_fixture_test.hpp"
#include "soak_draws_test.hpp"
#include <criterion/criterion.h>

namespace arbutusdale::sched {

/// Which orders may be late.
enum class LateKinds : std::uint8_t {
  polls_and_stops,
  starts_within_incarnation,  ///< also starts, which are lost if the worker has restarted
  all,                        ///< also starts; some reach the next incarnation before other orders
};

/// One fleet under a series of returns, cuts and changes of leader, and the jobs that it is given.
class ReturnedWorkersSoak : FleetFixture {
 public:
  ReturnedWorkersSoak(std::uint64_t seed, LateKinds late)
      : FleetFixture(k_workers), m_draws{Random(seed)}, m_orders(fleet, timer, seed) {
    fleet.return_mode = Return::under_same_id;
    fleet.work_of = [this](const jobs::TaskId& task) { return m_work.at(task.job); };
    for (const auto& [id, worker] : fleet.all()) {
      worker->guards_capacity = true;
      m_domains[worker->entry.rack].push_back(id);
    }
    lead();
    timer.advance(std::chrono::seconds{1});
    for (int i = 0; i < k_lasting_jobs; ++i) {
      submit_lasting();
    }
    const double share = k_least_late + (k_most_late - k_least_late) * random_unit(m_draws.random);
    m_orders.shares = {share, late == LateKinds::polls_and_stops ? 0 : share, share};
    m_orders.late_starts_cross_restarts = late == LateKinds::all;
  }

  void run() {
    const TimePoint end = timer.now() + k_traffic;
    while (timer.now() < end) {
      submit_batch();
      timer.advance(m_draws.ms(50, 400));
      if (m_draws.chance(k_fault_chance)) {
        disturb();
      }
    }
    m_orders.shares = {};
    timer.advance(k_calm);
  }

  [[nodiscard]] const FakeFleet& workers() const { return fleet; }
  /// Number of jobs that have not ended; a lasting one may also have a run of each task.
  [[nodiscard]] std::size_t count_unfinished() {
    std::size_t count = 0;
    for (std::uint32_t number = 1; number <= m_jobs; ++number) {
      const bool is_completed = leader().state(number) == jobs::JobState::COMPLETED;
      const bool is_running =
          m_lasting.contains(number) && running_tasks(number) == k_lasting_tasks;
      count += is_completed || is_running || is_given_up(number) ? 0 : 1;
    }
    return count;
  }
  /// Number of jobs that have been given up, since the workers of a task crashed too often.
  [[nodiscard]] std::size_t count_given_up() {
    std::size_t count = 0;
    for (std::uint32_t number = 1; number <= m_jobs; ++number) {
      count += is_given_up(number) ? 1 : 0;
    }
    return count;
  }

 private:
  static constexpr int k_workers = 16;  // in domains of four
  static constexpr int k_lasting_jobs = 3;
  static constexpr std::uint32_t k_lasting_tasks = 4;
  static constexpr double k_least_late = 0.2;
  static constexpr double k_most_late = 0.35;
  static constexpr double k_fault_chance = 0.12;  // after each job
  static constexpr Duration k_traffic = std::chrono::seconds{30};
  // Longer than late orders take to arrive, and the longest task after them.
  static constexpr Duration k_calm = std::chrono::seconds{60};

  LeaderFixture& leader() { return *m_leaders.back(); }
  void lead() {
    const auto term = static_cast<std::uint32_t>(m_leaders.size() + 1);
    m_leaders.push_back(std::make_unique<LeaderFixture>(timer, fleet, log, term,
                                                        /*jobs_caught_up=*/true, &m_orders));
  }

  [[nodiscard]] bool is_given_up(std::uint32_t number) {
    return leader().state(number) == jobs::JobState::FAILED;
  }

  void submit(const JobBuilder& job, Duration work) {
    m_work[job_id(m_jobs)] = work;
    leader().submit(job);
  }
  void submit_lasting() {
    JobBuilder job(++m_jobs);
    job.step(k_lasting_tasks, 2'000).set_long_running(true);
    m_lasting.insert(m_jobs);
    submit(job, std::chrono::seconds{600});
  }
  void submit_batch() {
    const bool is_long = m_draws.chance(0.1);
    const Duration work = is_long ? m_draws.ms(6'000, 15'000) : m_draws.ms(5, 3'000);
    const auto tasks = static_cast<std::uint32_t>(1 + random_index(m_draws.random, 6));
    JobBuilder job(++m_jobs);
    job.step(tasks, 1'000).set_estimated_ms(static_cast<std::uint32_t>(work.count() / 1'000));
    submit(job, work);
  }

  void disturb() {
    switch (random_index(m_draws.random, 8)) {
      case 0:
        return change_leader();
      case 1:
      case 2:
        return cut_off(draw_group(), m_draws.ms(500, 5'000));
      default:
        return crash(draw_group());
    }
  }

  void change_leader() {
    leader().kill();
    timer.advance(m_draws.ms(0, 1'000));
    lead();
  }

  /// Workers of a domain, or of most domains.
  std::vector<std::string> draw_group() {
    const double share = m_draws.chance(0.5) ? 0.25 : 0.75;
    std::vector<std::string> group;
    for (const auto& [rack, domain] : m_domains) {
      if (m_draws.chance(share)) {
        group.insert(group.end(), domain.begin(), domain.end());
      }
    }
    return group;
  }

  void crash(const std::vector<std::string>& group) {
    fleet.return_delay = m_draws.ms(100, 2'500);
    for (const std::string& id : group) {
      if (!fleet.at(id).crashed) {
        fleet.crash_and_return(id);
      }
    }
    if (m_draws.chance(0.7)) {
      const Duration after_return = m_draws.ms(100, 1'500);
      const Duration length = m_draws.ms(500, 4'000);
      timer.call_after(fleet.return_delay + after_return,
                       [this, group, length] { cut_off(group, length); });
    }
  }

  void cut_off(const std::vector<std::string>& group, Duration length) {
    constexpr std::array k_cuts{Cut::orders, Cut::answers, Cut::both};
    const Cut cut = k_cuts.at(random_index(m_draws.random, k_cuts.size()));
    for (const std::string& id : group) {
      m_orders.set_cut(id, cut);
    }
    timer.call_after(length, [this, group] {
      for (const std::string& id : group) {
        m_orders.set_cut(id, Cut::none);
      }
    });
  }

  [[nodiscard]] std::size_t running_tasks(std::uint32_t number) {
    std::size_t count = 0;
    for (const auto& [id, worker] : fleet.all()) {
      count += static_cast<std::size_t>(
          std::count_if(worker->runs.begin(), worker->runs.end(),
                        [number](const FakeRun& run) { return run.task.job == job_id(number); }));
    }
    return count;
  }

  SoakDraws m_draws;
  LateOrders m_orders;
  std::vector<std::unique_ptr<LeaderFixture>> m_leaders;      // by term
  std::map<std::string, std::vector<std::string>> m_domains;  // ids of workers, by rack
  std::map<jobs::JobId, Duration> m_work;                     // of a task
  std::set<std::uint32_t> m_lasting;
  std::uint32_t m_jobs = 0;  // number so far
};

/// Plays all seeds. Each one must start no task twice and leave no job behind.
inline void expect_no_harm_by_returned_workers(LateKinds late) {
  constexpr std::uint64_t k_ci_seeds = 40;
  const std::uint64_t first = environment_number("ARBUTUSDALE_RETURNED_FIRST_SEED", 1);
  const std::uint64_t seeds = environment_number("ARBUTUSDALE_RETURNED_SEEDS", k_ci_seeds);
  std::size_t given_up = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ReturnedWorkersSoak soak(seed, late);
    soak.run();
    const FakeFleet& fleet = soak.workers();
    const std::size_t unfinished = soak.count_unfinished();
    given_up += soak.count_given_up();
    if (fleet.doubled + fleet.started_after_done + unfinished > 0) {
      std::fprintf(stderr, "seed %lu: %lu doubled, %lu after a success, %zu jobs unfinished; %s\n",
                   seed, fleet.doubled, fleet.started_after_done, unfinished,
                   fleet.violations.empty() ? "" : fleet.violations.front().c_str());
    }
    cr_expect_eq(fleet.doubled, 0U, "seed %lu", seed);
    cr_expect_eq(fleet.started_after_done, 0U, "seed %lu", seed);
    cr_expect_eq(unfinished, 0U, "seed %lu", seed);
  }
  std::fprintf(stderr, "%lu seeds, %zu jobs given up\n", seeds, given_up);
}

}  // namespace arbutusdale::sched
