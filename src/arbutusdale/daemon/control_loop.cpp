// Event loop of the control thread.
#include "control_loop.hpp"

#include <utility>

namespace arbutusdale::daemon {

void ControlLoop::start(Work tick) {
  m_thread = std::thread([this, tick = std::move(tick)] { run(tick); });
}

void ControlLoop::post(Work work) {
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return;
    }
    m_queue.push_back(std::move(work));
  }
  m_wakeup.notify_one();
}

void ControlLoop::stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wakeup.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void ControlLoop::run(const Work& tick) {
  auto next_tick = std::chrono::steady_clock::now();
  for (;;) {
    std::deque<Work> batch;
    {
      std::unique_lock lock(m_mutex);
      m_wakeup.wait_until(lock, next_tick, [this] { return m_stopping || !m_queue.empty(); });
      batch.swap(m_queue);
      if (m_stopping && batch.empty()) {
        return;
      }
    }
    for (const auto& work : batch) {
      work();
    }
    const auto now = std::chrono::steady_clock::now();
    if (now >= next_tick) {
      tick();
      next_tick = now + m_interval;
    }
  }
}

}  // namespace arbutusdale::daemon
