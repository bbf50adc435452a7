// Additive increase and multiplicative decrease of the number of starts in flight.
#include "arbutusdale/sched/start_window.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// Half the time limit of a start: later answers show that a larger window would lose some.
constexpr Duration k_timely_answer = std::chrono::milliseconds{150};
// The window is halved when this share of a sample of starts, but at least this number, is
// unanswered. The number is what a small window may lose to the network alone.
constexpr std::size_t k_unanswered_divisor = 10;
constexpr std::size_t k_min_unanswered = 3;
constexpr std::size_t k_sample_size = 200;  // starts

}  // namespace

void StartWindow::on_result(StartResult result, TimePoint sent, TimePoint now) {
  // Starts sent before the window was reduced say nothing about its present size.
  if (result == StartResult::unanswered && sent < m_shrunk_at) {
    return;
  }
  if (++m_results > k_sample_size) {
    m_results = 1;
    m_unanswered = 0;
  }
  if (result == StartResult::unanswered) {
    ++m_unanswered;
    if (m_unanswered >= k_min_unanswered && m_unanswered * k_unanswered_divisor >= m_results) {
      halve(now);
    }
    return;
  }
  if (now - sent > k_timely_answer || ++m_answered_in_time < m_size) {
    return;
  }
  m_answered_in_time = 0;
  m_size = std::min(m_size + 1, k_max_starts_in_flight);
}

void StartWindow::halve(TimePoint now) {
  m_shrunk_at = now;
  m_answered_in_time = 0;
  m_results = 0;
  m_unanswered = 0;
  m_size = std::max(m_size / 2, k_min_starts_in_flight);
}

}  // namespace arbutusdale::sched
