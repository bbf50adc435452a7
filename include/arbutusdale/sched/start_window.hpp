// Limits the starts in flight to what the leader and the workers carry: it grows slowly while
// answers come in time, and halves when a tenth of the starts get no answer. More starts would wait
// in the leader's own process until they count as unanswered, and would be stopped and ordered
// again. A few unanswered starts among many are lost on the network or sent to a worker that fails,
// and say nothing about the leader: halving for each of them would keep the window at its floor on
// a fleet of a thousand workers.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace arbutusdale::sched {

/// Limits of the window. The ceiling allows thousands of starts a second, since answers take 1 to
/// 15 ms; with the floor, a leader whose answers take a second still starts eight tasks a second.
inline constexpr std::size_t k_max_starts_in_flight = 64;
inline constexpr std::size_t k_min_starts_in_flight = 8;

enum class StartResult : std::uint8_t { answered, unanswered };

class StartWindow {
 public:
  /// A start sent at `sent` was answered at `now`, or then ended without an answer.
  void on_result(StartResult result, TimePoint sent, TimePoint now);

  /// Number of starts that may be in flight.
  [[nodiscard]] std::size_t size() const { return m_size; }

 private:
  void halve(TimePoint now);

  std::size_t m_size = k_max_starts_in_flight;  // between the two limits
  std::size_t m_answered_in_time = 0;           // since the size last changed
  /// Results of the present sample, which ends when the window is halved, or after enough results.
  std::size_t m_results = 0;
  std::size_t m_unanswered = 0;
  TimePoint m_shrunk_at{};
};

}  // namespace arbutusdale::sched
