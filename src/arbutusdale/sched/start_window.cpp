// Additive increase and multiplicative decrease of the number of starts in flight.
#include "arbutusdale/sched/start_window.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

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
  m_last_answer_in_time = now - sent <= k_timely_answer;
  if (!m_last_answer_in_time || ++m_answered_in_time < m_size) {
    return;
  }
  m_answered_in_time = 0;
  m_size = std::min(m_size + 1, k_max_starts_in_flight);
}

bool StartWindow::is_full(std::size_t in_flight, std::size_t overdue) const {
  const std::size_t spared = m_last_answer_in_time ? std::min(overdue, m_size) : 0;
  return in_flight >= std::min(m_size + spared, k_max_starts_in_flight);
}

void StartWindow::halve(TimePoint now) {
  m_shrunk_at = now;
  m_answered_in_time = 0;
  m_results = 0;
  m_unanswered = 0;
  m_size = std::max(m_size / 2, k_min_starts_in_flight);
}

}  // namespace arbutusdale::sched
