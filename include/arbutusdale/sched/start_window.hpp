// Limits the starts in flight to what the leader and the workers carry: it grows slowly while
// answers come in time, and halves when a tenth of the starts get no answer. More starts would wait
// in the leader's own process until they count as unanswered, and would be stopped and ordered
// again. A few unanswered starts among many are lost on the network or sent to a worker that fails,
// and say nothing about the leader: halving for each of them would keep the window at its floor on
// a fleet of a thousand workers.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace arbutusdale::sched {

/// Limits of the window. The ceiling allows thousands of starts a second, since answers take 1 to
/// 15 ms; with the floor, a leader whose answers take a second still starts eight tasks a second.
inline constexpr std::size_t k_max_starts_in_flight = 64;
inline constexpr std::size_t k_min_starts_in_flight = 8;
inline constexpr std::size_t k_worker_share_divisor = 8;

/// Half the time limit of a start: later answers show that a larger window would lose some.
inline constexpr Duration k_timely_answer = std::chrono::milliseconds{150};

enum class StartResult : std::uint8_t { answered, unanswered };

class StartWindow {
 public:
  /// A start sent at `sent` was answered at `now`, or then ended without an answer.
  void on_result(StartResult result, TimePoint sent, TimePoint now);

  /// Number of starts that may be in flight.
  [[nodiscard]] std::size_t size() const { return m_size; }
  /// True when `in_flight` starts leave room for none. The `overdue` ones among them wait for
  /// workers that have answered nothing for k_timely_answer; while others answer in time, these
  /// don't load the leader, so that up to twice as many may be in flight.
  [[nodiscard]] bool is_full(std::size_t in_flight, std::size_t overdue) const;
  /// Number of them that may be in flight to one worker, so that a worker without answers leaves
  /// most of the window to the others.
  [[nodiscard]] std::size_t max_per_worker() const { return m_size / k_worker_share_divisor; }

 private:
  void halve(TimePoint now);

  std::size_t m_size = k_max_starts_in_flight;  // between the two limits
  bool m_last_answer_in_time = true;
  std::size_t m_answered_in_time = 0;  // since the size last changed
  /// Results of the present sample, which ends when the window is halved, or after enough results.
  std::size_t m_results = 0;
  std::size_t m_unanswered = 0;
  TimePoint m_shrunk_at{};
};

}  // namespace arbutusdale::sched
