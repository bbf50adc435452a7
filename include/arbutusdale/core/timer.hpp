// Abstract source of time and timers for components that retry and poll.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <functional>

namespace arbutusdale {

/// Clock with timers. Timers cannot be cancelled; an action checks whether it is still needed.
class Timer : public Clock {
 public:
  /// Calls `action` once after `delay`.
  virtual void call_after(Duration delay, std::function<void()> action) = 0;
};

}  // namespace arbutusdale
