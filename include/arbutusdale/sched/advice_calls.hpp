// Calls to the advice service that have no answer yet.
//
// The service carries out the calls of one daemon in turn, also those that the daemon has given up.
// One call a queue is in flight, so that a call without an answer holds up no other queue, and a
// call is given up only after the service has had the time for all that were sent before it.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/advisor.hpp"

#include <cstddef>
#include <set>
#include <string>

namespace arbutusdale::sched {

/// Workers that a call names, at most: as many as take about as long as the decision itself.
std::size_t workers_to_name(const AdviceTimes& times);

class AdviceCalls {
 public:
  [[nodiscard]] bool is_in_flight(const std::string& queue) const {
    return m_queues.contains(queue);
  }
  /// A call that takes this long is sent for the queue. Returns the time after which to give up.
  Duration begin(const std::string& queue, Duration time, TimePoint now);
  /// The service has answered the queue's call, or the call has been given up.
  void end(const std::string& queue, bool is_answered, TimePoint now);

 private:
  std::set<std::string> m_queues;  // with a call in flight
  TimePoint m_busy_until{};        // when the service has carried out all calls, by their times
};

}  // namespace arbutusdale::sched
