// How often workers crash whatever tasks they run. A task under whose runs workers crash is only
// convicted without a proof if that many crashes are very unlikely in the time that its runs have
// lived: in a series of crashes, or when racks are lost, sound tasks lose one run after another.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::sched {

/// The silences of workers in the last minutes. A crash is noticed late, by the next answer of the
/// worker's successor, so each silence counts as a crash until the worker itself has answered.
class CrashRate {
 public:
  /// The worker has been silent since then.
  void note_silence(std::string_view worker, TimePoint since);
  /// The worker's silence that began then was no crash.
  void forget_silence(std::string_view worker, TimePoint since);
  /// It was a crash that a task has caused, which is no reason to expect others.
  void explain_silence(std::string_view worker, TimePoint since);
  [[nodiscard]] bool is_explained(std::string_view worker, TimePoint since) const;

  /// Number of crashes to be expected of a worker while it ran a task, from what happened to the
  /// `others` in that time. Empty if that time is too long ago.
  [[nodiscard]] std::optional<double> expected_crashes(std::string_view worker, TimePoint begun_at,
                                                       TimePoint silent_at,
                                                       std::size_t others) const;

 private:
  struct Silence {
    std::string worker;
    TimePoint since{};
    bool explained = false;
  };

  std::vector<Silence> m_silences;  // in the order in which they were noted
  TimePoint m_known_since{};        // earlier ones may have been dropped
};

/// The probability of that many crashes or more where `expected` are expected, if they are
/// independent of each other. 1 if there are no more than expected.
[[nodiscard]] double chance_of_crashes(std::size_t crashes, double expected);

}  // namespace arbutusdale::sched
