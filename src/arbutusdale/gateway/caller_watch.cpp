// Monitors suspended connections with epoll. A caller that closes only its sending side counts as
// disconnected, as in most proxies; its queued call is then answered with an error.
#include "caller_watch.hpp"

#include <array>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace arbutusdale::gateway {

CallerWatch::CallerWatch(std::function<void(std::uint64_t id)> on_disconnect)
    : m_on_disconnect(std::move(on_disconnect)),
      m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = 0;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
  m_thread = std::thread([this] { run(); });
}

CallerWatch::~CallerWatch() {
  stop();
  close(m_wakeup);
  close(m_epoll);
}

void CallerWatch::stop() {
  if (m_thread.joinable()) {
    m_stopping = true;
    eventfd_write(m_wakeup, 1);
    m_thread.join();
  }
}

bool CallerWatch::add(int socket, std::uint64_t id) const {
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  return epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event) == 0;
}

void CallerWatch::remove(int socket) const {
  epoll_event event{};
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, &event);
}

void CallerWatch::run() {
  std::array<epoll_event, 64> events{};
  while (!m_stopping) {
    const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = events.at(static_cast<std::size_t>(i)).data.u64;
      if (id != 0) {
        m_on_disconnect(id);
      }
    }
  }
}

}  // namespace arbutusdale::gateway
