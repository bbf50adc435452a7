// The control thread: runs the node's ticks and the work that other threads post to it.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace arbutusdale::daemon {

/// Runs posted work in order, and a periodic tick in between. Everything the node does happens on
/// this thread, so the node needs no locks.
class ControlLoop {
 public:
  using Work = std::function<void()>;

  explicit ControlLoop(Duration interval) : m_interval(interval) {}
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop() { stop(); }

  void start(Work tick);
  /// Queues work; may be called from any thread. Work posted after `stop` is dropped.
  void post(Work work);
  /// Ends the thread after the work already queued.
  void stop();

 private:
  void run(const Work& tick);

  const Duration m_interval;
  std::mutex m_mutex;  // guards m_queue and m_stopping; held while no other lock is taken
  std::condition_variable m_wakeup;
  std::deque<Work> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace arbutusdale::daemon
