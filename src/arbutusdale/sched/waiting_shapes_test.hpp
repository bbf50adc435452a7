// Shapes of the waiting soak: the size of the fleet, the jobs and the faults of a run. The draws of
// a run depend on its shape and its seed alone.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "../store/fake_store_test.hpp"

namespace arbutusdale::sched {

/// Kinds of faults that the waiting soak injects.
enum class WaitingFault : std::uint8_t {
  partition,
  lost_answers,
  late_starts,
  failing_runs,
  crash,
  drain,
  refused_connections,
  new_leader,
};

inline constexpr std::array<std::string_view, 8> k_waiting_fault_names = {
    "partition", "lost_answers", "late_starts",         "failing_runs",
    "crash",     "drain",        "refused_connections", "new_leader",
};

/// Kinds of jobs, told apart by their numbers.
enum class WaitingJob : std::uint8_t { lasting, batch, brief, deadly };

inline constexpr std::uint32_t k_first_batch = 1'000;  // numbers of jobs
inline constexpr std::uint32_t k_first_brief = 2'000;
inline constexpr std::uint32_t k_first_deadly = 3'000;
inline constexpr std::uint32_t k_first_late_deadly = 4'000;  // these crash workers after seconds

inline WaitingJob kind_of(std::uint32_t number) {
  return number < k_first_batch    ? WaitingJob::lasting
         : number < k_first_brief  ? WaitingJob::batch
         : number < k_first_deadly ? WaitingJob::brief
                                   : WaitingJob::deadly;
}

/// Time from the start of a deadly task to the crash of its worker.
inline Duration crash_delay_of(std::uint32_t number) {
  if (number < k_first_late_deadly) {
    return std::chrono::milliseconds{10};
  }
  constexpr std::chrono::milliseconds k_step{1'500};
  return k_step * (1 + number % 3);
}

/// Processors of a task in thousandths, by kind of job. The jobs of a kind take turns.
struct WaitingSizes {
  std::vector<std::uint64_t> lasting = {3'200};
  std::vector<std::uint64_t> batch = {1'800};
  std::vector<std::uint64_t> brief = {1'100};

  [[nodiscard]] std::uint64_t of(std::uint32_t number) const {
    const WaitingJob kind = kind_of(number);
    const auto& sizes = kind == WaitingJob::lasting ? lasting
                        : kind == WaitingJob::batch ? batch
                                                    : brief;
    return sizes[number % sizes.size()];
  }
};

/// What one run of the waiting soak plays. Chances are for one step of 200 ms.
struct WaitingSoakShape {
  std::string_view name;
  int workers = 16;
  std::uint32_t lasting_jobs = 5;  // submitted at the beginning
  int submissions = 1;             // draws of new jobs in a step
  double batch_chance = 0.25;
  double brief_chance = 0.3;
  double deadly_chance = 0.01;    // of a job of which one task crashes each worker that starts it
  double late_deadly_chance = 0;  // the same, some seconds after the start
  WaitingSizes sizes = {};
  std::chrono::seconds traffic{34};
  double fault_chance = 0.12;
  double last_fault_chance = 0.12;  // in the last 6 s of the traffic
  double worker_share = 0.25;       // of the ready workers, hit by a fault
  double crash_chance = 0;          // that a fault is a crash, before its kind is drawn
  double rack_chance = 0;           // that a fault hits one whole rack instead of a share
  // With a period, faults begin only in the first part of each.
  std::chrono::seconds fault_period{0};
  std::chrono::seconds fault_part{0};
  std::vector<WaitingFault> faults = {
      WaitingFault::partition,   WaitingFault::lost_answers,        WaitingFault::late_starts,
      WaitingFault::late_starts, WaitingFault::failing_runs,        WaitingFault::crash,
      WaitingFault::drain,       WaitingFault::refused_connections, WaitingFault::new_leader,
  };

  /// The chance of a fault at a time since the beginning of the traffic.
  [[nodiscard]] double fault_chance_at(Duration time) const {
    constexpr std::chrono::seconds k_last_part{6};
    if (fault_period.count() > 0 && time % Duration{fault_period} >= fault_part) {
      return 0;
    }
    return time + k_last_part > traffic ? last_fault_chance : fault_chance;
  }
};

/// Scattered faults.
inline WaitingSoakShape plain_shape() {
  return {.name = "plain"};
}

/// Many faults that hit half of the workers before the traffic ends.
inline WaitingSoakShape storm_shape() {
  return {.name = "storm", .last_fault_chance = 0.6, .worker_share = 0.5};
}

/// Series of crashes under many opportunistic tasks.
inline WaitingSoakShape crash_shape() {
  return {.name = "crash",
          .batch_chance = 0.6,
          .last_fault_chance = 0.5,
          .worker_share = 0.4,
          .crash_chance = 0.5};
}

/// Many jobs that crash their workers.
inline WaitingSoakShape deadly_shape() {
  return {.name = "deadly", .deadly_chance = 0.06, .worker_share = 0.4};
}

/// Jobs that crash their workers some seconds after their starts, among scattered faults.
inline WaitingSoakShape late_shape() {
  return {.name = "late", .late_deadly_chance = 0.02};
}

/// A storm in a fleet of three times the size.
inline WaitingSoakShape wide_shape() {
  return {.name = "wide",
          .workers = 48,
          .lasting_jobs = 15,
          .submissions = 3,
          .last_fault_chance = 0.6,
          .worker_share = 0.5};
}

/// Faults of whole racks, half of which are crashes of all workers of the rack at one time.
inline WaitingSoakShape rack_shape() {
  return {.name = "rack",
          .deadly_chance = 0.02,
          .last_fault_chance = 0.3,
          .crash_chance = 0.5,
          .rack_chance = 0.6};
}

/// Tasks of several sizes, up to half of a worker, under a storm.
inline WaitingSoakShape sizes_shape() {
  return {.name = "sizes",
          .sizes = {{800, 1'600, 8'000, 3'200, 2'400},
                    {1'800, 600, 4'000, 1'000},
                    {1'100, 500, 8'000, 2'000}},
          .last_fault_chance = 0.6,
          .worker_share = 0.5};
}

/// Series of faults with calm times between them.
inline WaitingSoakShape waves_shape() {
  return {.name = "waves",
          .deadly_chance = 0.02,
          .traffic = std::chrono::seconds{78},
          .fault_chance = 0.4,
          .last_fault_chance = 0.4,
          .worker_share = 0.4,
          .fault_period = std::chrono::seconds{26},
          .fault_part = std::chrono::seconds{6}};
}

}  // namespace arbutusdale::sched
