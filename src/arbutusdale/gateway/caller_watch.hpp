// Detects callers that close their connection while it is suspended, which libmicrohttpd does not.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace arbutusdale::gateway {

class CallerWatch {
 public:
  /// `on_disconnect` is called with the id given to `add`, on the watch's thread, at most once per
  /// `add`.
  explicit CallerWatch(std::function<void(std::uint64_t id)> on_disconnect);
  ~CallerWatch();
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  [[nodiscard]] bool add(int socket, std::uint64_t id) const;
  void remove(int socket) const;
  /// Stops the thread; `on_disconnect` is not called after this returns.
  void stop();

 private:
  void run();

  const std::function<void(std::uint64_t)> m_on_disconnect;
  int m_epoll = -1;
  int m_wakeup = -1;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace arbutusdale::gateway
