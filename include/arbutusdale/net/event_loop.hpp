// Single-threaded event loop on epoll: descriptors, timers and deferred work.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace arbutusdale::net {

/// Runs callbacks on the calling thread. No member may be called from another thread.
class EventLoop {
 public:
  using TimerId = std::uint64_t;
  using ReadyHandler = std::function<void(std::uint32_t events)>;

  EventLoop() = default;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  virtual ~EventLoop() = default;

  /// Watches `descriptor` for the epoll events; a second call replaces the first.
  virtual void watch(int descriptor, std::uint32_t events, ReadyHandler handler) = 0;
  virtual void unwatch(int descriptor) = 0;

  virtual TimerId call_after(Duration delay, std::function<void()> action) = 0;
  /// Like call_after(), but first handles every descriptor that was ready when the delay had
  /// passed. For time limits of replies: one that has arrived in time is read before the limit
  /// takes effect, however late the loop gets to it.
  virtual TimerId call_after_reading(Duration delay, std::function<void()> action) = 0;
  virtual void cancel(TimerId timer) = 0;
  /// Calls `action` after the callbacks of the current iteration.
  virtual void defer(std::function<void()> action) = 0;

  /// Time since the machine booted, including the time while it was suspended. Read once per
  /// iteration.
  [[nodiscard]] virtual TimePoint now() const = 0;
  /// The same time as now(), read at each call.
  [[nodiscard]] virtual TimePoint read_clock() const = 0;

  virtual void run() = 0;
  /// Makes run() return after the current iteration.
  virtual void stop() = 0;
};

std::unique_ptr<EventLoop> make_event_loop();

}  // namespace arbutusdale::net
