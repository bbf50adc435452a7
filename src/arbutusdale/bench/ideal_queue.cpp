// Ideal reference for the routers: one queue in front of all slots, with complete knowledge of them
// and without membership. A call takes a random free slot, and the call that has waited longest
// takes the next slot that becomes free. The network only adds its delay to the latency.
#include <deque>
#include <queue>
#include <utility>

#include "workload.hpp"

namespace arbutusdale::bench {
namespace {

class IdealQueue {
 public:
  explicit IdealQueue(const ModelOptions& options)
      : m_options{options}, m_workload{options}, m_random{options.seed + 1} {
    for (std::uint32_t worker = 0; worker < options.workers; ++worker) {
      m_free.insert(m_free.end(), options.slots, worker);
    }
  }

  ModelResult run() {
    while (const auto arrival = m_workload.next()) {
      release_until(arrival->due);
      m_waiting.push_back(*arrival);
      start_calls(arrival->due);
    }
    release_until(TimePoint::max());
    return m_outcomes.result(m_options);
  }

 private:
  using Busy = std::pair<TimePoint, std::uint32_t>;  // end of the call, worker

  void release_until(TimePoint now) {
    while (!m_busy.empty() && m_busy.top().first <= now) {
      const auto [time, worker] = m_busy.top();
      m_busy.pop();
      m_free.push_back(worker);
      start_calls(time);
    }
  }

  // Drops calls whose deadline passes in the queue, as the routers do.
  void start_calls(TimePoint now) {
    while (!m_waiting.empty() && !m_free.empty()) {
      const Arrival call = m_waiting.front();
      m_waiting.pop_front();
      if (now - call.due >= m_options.deadline) {
        if (call.measured) {
          m_outcomes.refused();
        }
        continue;
      }
      std::swap(m_free[random_index(m_random, m_free.size())], m_free.back());
      const std::uint32_t worker = m_free.back();
      m_free.pop_back();
      const double slowdown = m_workload.slowdown(worker, now);
      const auto service = std::chrono::duration_cast<Duration>(call.service * slowdown);
      m_busy.emplace(now + service, worker);
      if (call.measured) {
        m_outcomes.answered(now + service - call.due + 2 * m_options.link_delay,
                            m_options.deadline);
      }
    }
  }

  const ModelOptions m_options;
  Workload m_workload;
  Random m_random;
  Outcomes m_outcomes;
  std::vector<std::uint32_t> m_free;  // worker of each free slot
  std::deque<Arrival> m_waiting;
  std::priority_queue<Busy, std::vector<Busy>, std::greater<>> m_busy;
};

}  // namespace

ModelResult run_ideal(const ModelOptions& options) {
  return IdealQueue{options}.run();
}

}  // namespace arbutusdale::bench
