// Event loop of the control thread, which runs the node's ticks and the work posted by other
// threads.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace arbutusdale::daemon {

/// Runs posted work in order and a periodic tick. All calls into the node are made on this thread,
/// so the node needs no locks.
class ControlLoop {
 public:
  using Work = std::function<void()>;

  explicit ControlLoop(Duration interval) : m_interval(interval) {}
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop() { stop(); }

  /// Starts the thread. `tick` runs at once and then about every `interval`.
  void start(Work tick);
  /// Queues work. Thread-safe. Work posted after `stop` is dropped.
  void post(Work work);
  /// Runs the work that is already queued and joins the thread.
  void stop();

 private:
  void run(const Work& tick);

  const Duration m_interval;
  std::mutex m_mutex;  // guards m_queue and m_stopping; no other lock is taken while it is held
  std::condition_variable m_wakeup;
  std::deque<Work> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace arbutusdale::daemon
