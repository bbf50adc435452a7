// Event loop on epoll with an ordered map of timers.
#include "arbutusdale/net/event_loop.hpp"

#include <array>
#include <map>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

namespace arbutusdale::net {
namespace {

constexpr int k_max_events_per_iteration = 64;
constexpr std::int64_t k_max_wait_ms = 1'000;

TimePoint time_since_boot() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{std::chrono::seconds{time.tv_sec} +
                   std::chrono::duration_cast<Duration>(std::chrono::nanoseconds{time.tv_nsec})};
}

class EpollLoop final : public EventLoop {
 public:
  EpollLoop() : m_epoll(::epoll_create1(EPOLL_CLOEXEC)), m_now(time_since_boot()) {
    if (m_epoll < 0) {
      throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
  }
  ~EpollLoop() override { ::close(m_epoll); }

  void watch(int descriptor, std::uint32_t events, ReadyHandler handler) override;
  void unwatch(int descriptor) override;
  TimerId call_after(Duration delay, std::function<void()> action) override;
  void cancel(TimerId timer) override;
  void defer(std::function<void()> action) override { m_deferred.push_back(std::move(action)); }
  [[nodiscard]] TimePoint now() const override { return m_now; }
  void run() override;
  void stop() override { m_stopping = true; }

 private:
  using TimerKey = std::pair<TimePoint, TimerId>;

  [[nodiscard]] int wait_timeout_ms() const;
  void run_timers();
  void run_deferred();

  int m_epoll;
  TimePoint m_now;  // read once per iteration
  bool m_stopping = false;
  TimerId m_last_timer = 0;
  // Shared, so that a handler may replace or remove itself while it runs.
  std::unordered_map<int, std::shared_ptr<ReadyHandler>> m_handlers;
  std::map<TimerKey, std::function<void()>> m_timers;
  std::unordered_map<TimerId, TimePoint> m_timer_deadlines;  // has exactly the keys of m_timers
  std::vector<std::function<void()>> m_deferred;
};

void EpollLoop::watch(int descriptor, std::uint32_t events, ReadyHandler handler) {
  epoll_event event{};
  event.events = events;
  event.data.fd = descriptor;
  const bool registered = m_handlers.contains(descriptor);
  int result = ::epoll_ctl(m_epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
  if (result != 0 && registered) {
    // The descriptor was closed, and its number has been reused.
    result = ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
  }
  if (result != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
  }
  m_handlers[descriptor] = std::make_shared<ReadyHandler>(std::move(handler));
}

void EpollLoop::unwatch(int descriptor) {
  if (m_handlers.erase(descriptor) > 0) {
    // Fails when the descriptor is already closed, which has removed it from the epoll set.
    (void)::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
  }
}

EventLoop::TimerId EpollLoop::call_after(Duration delay, std::function<void()> action) {
  const TimerId id = ++m_last_timer;
  const TimePoint deadline = m_now + delay;
  m_timers.emplace(TimerKey{deadline, id}, std::move(action));
  m_timer_deadlines.emplace(id, deadline);
  return id;
}

void EpollLoop::cancel(TimerId timer) {
  const auto found = m_timer_deadlines.find(timer);
  if (found == m_timer_deadlines.end()) {
    return;
  }
  m_timers.erase({found->second, timer});
  m_timer_deadlines.erase(found);
}

int EpollLoop::wait_timeout_ms() const {
  if (!m_deferred.empty()) {
    return 0;
  }
  if (m_timers.empty()) {
    return static_cast<int>(k_max_wait_ms);
  }
  const Duration remaining = m_timers.begin()->first.first - m_now;
  if (remaining <= Duration::zero()) {
    return 0;
  }
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
  return static_cast<int>(std::min(ms, k_max_wait_ms));
}

void EpollLoop::run_timers() {
  while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
    auto node = m_timers.extract(m_timers.begin());
    m_timer_deadlines.erase(node.key().second);
    node.mapped()();
  }
}

void EpollLoop::run_deferred() {
  std::vector<std::function<void()>> actions;
  actions.swap(m_deferred);
  for (auto& action : actions) {
    action();
  }
}

void EpollLoop::run() {
  std::array<epoll_event, k_max_events_per_iteration> events{};
  while (!m_stopping) {
    const int count =
        ::epoll_wait(m_epoll, events.data(), k_max_events_per_iteration, wait_timeout_ms());
    m_now = time_since_boot();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events.at(static_cast<std::size_t>(i));
      const auto found = m_handlers.find(event.data.fd);
      if (found == m_handlers.end()) {
        continue;
      }
      const std::shared_ptr<ReadyHandler> handler = found->second;
      (*handler)(event.events);
    }
    run_timers();
    run_deferred();
  }
}

}  // namespace

std::unique_ptr<EventLoop> make_event_loop() {
  return std::make_unique<EpollLoop>();
}

}  // namespace arbutusdale::net
