// Size and time-out of calls to the advice service.
#include "arbutusdale/sched/advice_calls.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusdale::sched {
namespace {

constexpr std::size_t k_least_named = 8;
constexpr std::size_t k_most_named = 30;
// For the network, and for a service that is slower than its configuration says.
constexpr Duration k_timeout_margin = std::chrono::seconds{3};

}  // namespace

std::size_t workers_to_name(const AdviceTimes& times) {
  if (times.per_worker <= Duration::zero()) {
    return k_most_named;
  }
  const auto count = static_cast<std::size_t>(times.decision / times.per_worker);
  return std::clamp(count, k_least_named, k_most_named);
}

Duration AdviceCalls::begin(const std::string& queue, Duration time, TimePoint now) {
  m_queues.insert(queue);
  m_busy_until = std::max(m_busy_until, now) + time;
  return m_busy_until - now + k_timeout_margin;
}

void AdviceCalls::end(const std::string& queue, bool is_answered, TimePoint now) {
  m_queues.erase(queue);
  if (is_answered && m_queues.empty()) {
    m_busy_until = now;
  }
}

}  // namespace arbutusdale::sched
