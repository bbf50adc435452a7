// Fixture of tests with workers whose capacity changes, and the jobs that they submit.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

namespace arbutusdale::sched {

inline constexpr std::uint64_t k_cpu_millis = 8'000;
inline constexpr std::uint64_t k_memory_mib = 256'000;
inline constexpr Resources k_whole{k_cpu_millis, k_memory_mib, 0};
/// A heartbeat interval, and the time until a leader has read the registration.
inline constexpr Duration k_announce_delay = std::chrono::milliseconds{1'700};
/// Age of an order that was sent just before the registration was read.
inline constexpr Duration k_order_age = std::chrono::milliseconds{1};

/// Leaders of a fleet that read each change of a worker's capacity after a delay.
struct CapacityFixture : FleetFixture {
  std::vector<std::unique_ptr<LeaderFixture>> leaders;
  std::map<std::string, WorkerEntry> announced;  // by worker id

  explicit CapacityFixture(int workers = 2) : FleetFixture(workers, k_cpu_millis) {
    fleet.capacity_grace = k_announce_delay + k_order_age;
    for (const auto& [id, worker] : fleet.all()) {
      announced[id] = worker->entry;
    }
    lead();
    timer.advance(std::chrono::milliseconds{500});
  }

  LeaderFixture& leader() { return *leaders.back(); }
  /// Begins the next term, with the registrations that have been read so far.
  LeaderFixture& lead() {
    const auto term = static_cast<std::uint32_t>(leaders.size() + 1);
    leaders.push_back(std::make_unique<LeaderFixture>(timer, fleet, log, term));
    for (const auto& [id, entry] : announced) {
      leader().scheduler->on_worker_updated(entry);
    }
    return leader();
  }
  void resize(const std::string& id, const Resources& capacity) {
    fleet.set_capacity(id, capacity);
    timer.call_after(k_announce_delay, [this, id, entry = fleet.at(id).entry] {
      announced[id] = entry;
      for (const auto& each : leaders) {
        each->scheduler->on_worker_updated(entry);
      }
    });
  }
  void resize_all(const Resources& capacity) {
    for (const auto& [id, entry] : announced) {
      resize(id, capacity);
    }
  }
  void expect_no_violation() const {
    for (const std::string& violation : fleet.violations) {
      std::fprintf(stderr, "%s\n", violation.c_str());
    }
    cr_assert_eq(fleet.over_capacity, 0U);
    cr_assert_eq(fleet.doubled, 0U);
  }
  [[nodiscard]] bool is_over_capacity(const std::string& id) {
    const FakeWorker& worker = fleet.at(id);
    return !fits(fleet.reserved_on(worker), worker.entry.capacity);
  }
};

inline JobBuilder simple_job(std::uint32_t number, std::uint32_t tasks,
                             std::uint64_t cpu_millis = 1'000) {
  JobBuilder job(number);
  job.step(tasks, cpu_millis);
  return job;
}

inline JobBuilder serving_job(std::uint32_t number, std::uint32_t tasks) {
  JobBuilder job(number);
  auto& step = job.step(tasks, 1'000);
  step.set_long_running(true);
  step.set_image("serving");
  step.set_tail_target_ms(150);
  return job;
}

inline JobBuilder opportunistic_job(std::uint32_t number, std::uint32_t tasks,
                                    std::uint64_t cpu_millis) {
  JobBuilder job(number, 2);
  auto& step = job.step(tasks, cpu_millis);
  step.set_opportunistic(true);
  step.set_image("batch");
  return job;
}

}  // namespace arbutusdale::sched
