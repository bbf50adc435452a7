// Figures of the waiting soak: how long tasks wait, and what tasks that crash their workers cost.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "../store/fake_store_test.hpp"
#include <fmt/format.h>

namespace arbutusdale::sched {

/// Figures of one run, or of several.
struct WaitingFigures {
  Duration longest_wait{};                // at the end, while the fleet is mostly free
  std::uint64_t crashes = 0;              // of workers, under tasks that crash them
  std::size_t most_down = 0;              // such workers down at one time
  std::uint32_t most_crashes = 0;         // of workers under one of these tasks
  std::uint64_t runs_lost = 0;            // runs of other jobs on such workers
  std::uint64_t sound_jobs_given_up = 0;  // FAILED without a task that failed in all attempts
  std::uint64_t deadly_jobs_open = 0;     // not given up yet
  std::uint64_t calm_moments = 0;  // observations at which waits of lasting tasks are checked

  /// Adds the figures of another run: sums of the counts, the greater of the others.
  void add(const WaitingFigures& other) {
    longest_wait = std::max(longest_wait, other.longest_wait);
    crashes += other.crashes;
    most_down = std::max(most_down, other.most_down);
    most_crashes = std::max(most_crashes, other.most_crashes);
    runs_lost += other.runs_lost;
    sound_jobs_given_up += other.sound_jobs_given_up;
    deadly_jobs_open += other.deadly_jobs_open;
    calm_moments += other.calm_moments;
  }
  [[nodiscard]] std::string text() const {
    constexpr double k_us_per_s = 1e6;
    return fmt::format(
        "longest wait {:.1f} s, workers crashed by tasks {}, at most {} of them down at one time, "
        "runs lost beside these tasks {}, sound jobs given up {}, deadly jobs still open {}, calm "
        "moments {}, most crashes of one deadly task {}",
        static_cast<double>(longest_wait.count()) / k_us_per_s, crashes, most_down, runs_lost,
        sound_jobs_given_up, deadly_jobs_open, calm_moments, most_crashes);
  }
};

}  // namespace arbutusdale::sched
