// Events on a fake clock, in a deterministic order.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace arbutusdale::scenario {

/// Runs events in time order; events at the same time run in the order of scheduling.
class EventQueue {
 public:
  using Event = std::function<void()>;

  [[nodiscard]] FakeClock& clock() { return m_clock; }
  [[nodiscard]] TimePoint now() const { return m_clock.now(); }

  void at(TimePoint time, Event event) {
    m_events.emplace(std::pair{std::max(time, now()), m_sequence++}, std::move(event));
  }
  void after(Duration delay, Event event) { at(now() + delay, std::move(event)); }

  /// Runs all events up to and including `end`, then sets the clock to `end`.
  void run_until(TimePoint end) {
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      auto node = m_events.extract(m_events.begin());
      m_clock.set(node.key().first);
      node.mapped()();
    }
    m_clock.set(end);
  }

 private:
  FakeClock m_clock;
  std::uint64_t m_sequence = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> m_events;
};

}  // namespace arbutusdale::scenario
