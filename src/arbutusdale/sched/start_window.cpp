// Additive increase and multiplicative decrease of the number of starts in flight.
#include "arbutusdale/sched/start_window.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// Half the time limit of a start: later answers show that a larger window would lose some.
constexpr Duration k_timely_answer = std::chrono::milliseconds{150};

}  // namespace

void StartWindow::on_result(StartResult result, TimePoint sent, TimePoint now) {
  if (result == StartResult::answered) {
    if (now - sent > k_timely_answer || ++m_answered_in_time < m_size) {
      return;
    }
    m_answered_in_time = 0;
    m_size = std::min(m_size + 1, k_max_starts_in_flight);
    return;
  }
  // Starts sent before the window was reduced say nothing about its present size.
  if (sent < m_shrunk_at) {
    return;
  }
  m_shrunk_at = now;
  m_answered_in_time = 0;
  m_size = std::max(m_size / 2, k_min_starts_in_flight);
}

}  // namespace arbutusdale::sched
