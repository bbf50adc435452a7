// Event loop on epoll with ordered maps of timers.
#include "arbutusdale/net/event_loop.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

namespace arbutusdale::net {
namespace {

// More than a process has descriptors, so that one wait reports all that are ready.
constexpr std::size_t k_max_events_per_wait = 8'192;
// Timers also run between groups of events, so that many events do not delay them.
constexpr std::size_t k_events_between_timers = 64;
constexpr std::int64_t k_max_wait_ms = 1'000;

TimePoint time_since_boot() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{std::chrono::seconds{time.tv_sec} +
                   std::chrono::duration_cast<Duration>(std::chrono::nanoseconds{time.tv_nsec})};
}

/// Actions by the time at which they are due.
class TimerQueue {
 public:
  void add(TimePoint due, EventLoop::TimerId id, std::function<void()> action) {
    m_actions.emplace(Key{due, id}, std::move(action));
    m_due.emplace(id, due);
  }
  void cancel(EventLoop::TimerId id) {
    const auto found = m_due.find(id);
    if (found != m_due.end()) {
      m_actions.erase({found->second, id});
      m_due.erase(found);
    }
  }
  /// Runs the actions that are due at `now`, also those added meanwhile.
  void run(TimePoint now) {
    while (!m_actions.empty() && m_actions.begin()->first.first <= now) {
      auto node = m_actions.extract(m_actions.begin());
      m_due.erase(node.key().second);
      node.mapped()();
    }
  }
  [[nodiscard]] std::optional<TimePoint> first_due() const {
    return m_actions.empty() ? std::nullopt : std::optional(m_actions.begin()->first.first);
  }

 private:
  using Key = std::pair<TimePoint, EventLoop::TimerId>;

  std::map<Key, std::function<void()>> m_actions;
  std::unordered_map<EventLoop::TimerId, TimePoint> m_due;  // has exactly the ids of m_actions
};

class EpollLoop final : public EventLoop {
 public:
  EpollLoop()
      : m_epoll(::epoll_create1(EPOLL_CLOEXEC)),
        m_now(time_since_boot()),
        m_events(k_max_events_per_wait) {
    if (m_epoll < 0) {
      throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
  }
  ~EpollLoop() override { ::close(m_epoll); }

  void watch(int descriptor, std::uint32_t events, ReadyHandler handler) override;
  void unwatch(int descriptor) override;
  TimerId call_after(Duration delay, std::function<void()> action) override;
  TimerId call_after_reading(Duration delay, std::function<void()> action) override;
  void cancel(TimerId timer) override;
  void defer(std::function<void()> action) override { m_deferred.push_back(std::move(action)); }
  [[nodiscard]] TimePoint now() const override { return m_now; }
  [[nodiscard]] TimePoint read_clock() const override { return time_since_boot(); }
  void run() override;
  void stop() override { m_stopping = true; }

 private:
  [[nodiscard]] int wait_timeout_ms() const;
  void handle_events(std::size_t count);
  void run_deferred();

  int m_epoll;
  TimePoint m_now;  // read after each wait and between groups of events
  std::vector<epoll_event> m_events;
  bool m_stopping = false;
  TimerId m_last_timer = 0;
  // Shared, so that a handler may replace or remove itself while it runs.
  std::unordered_map<int, std::shared_ptr<ReadyHandler>> m_handlers;
  TimerQueue m_timers;
  TimerQueue m_timers_after_reading;
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
  m_timers.add(m_now + delay, ++m_last_timer, std::move(action));
  return m_last_timer;
}

EventLoop::TimerId EpollLoop::call_after_reading(Duration delay, std::function<void()> action) {
  m_timers_after_reading.add(m_now + delay, ++m_last_timer, std::move(action));
  return m_last_timer;
}

void EpollLoop::cancel(TimerId timer) {
  m_timers.cancel(timer);
  m_timers_after_reading.cancel(timer);
}

int EpollLoop::wait_timeout_ms() const {
  if (!m_deferred.empty()) {
    return 0;
  }
  TimePoint until = m_now + std::chrono::milliseconds{k_max_wait_ms};
  until = std::min(until, m_timers.first_due().value_or(until));
  until = std::min(until, m_timers_after_reading.first_due().value_or(until));
  const Duration remaining = std::max(until - m_now, Duration::zero());
  return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(remaining).count());
}

void EpollLoop::handle_events(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0 && i % k_events_between_timers == 0) {
      m_now = time_since_boot();
      m_timers.run(m_now);
    }
    const epoll_event event = m_events[i];
    const auto found = m_handlers.find(event.data.fd);
    if (found == m_handlers.end()) {
      continue;
    }
    const std::shared_ptr<ReadyHandler> handler = found->second;
    (*handler)(event.events);
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
  TimePoint waited_at = m_now;
  while (!m_stopping) {
    const int count = ::epoll_wait(m_epoll, m_events.data(), static_cast<int>(m_events.size()),
                                   wait_timeout_ms());
    // All that was ready after the previous wait is reported by this one.
    const TimePoint read_until = waited_at;
    m_now = time_since_boot();
    waited_at = m_now;
    handle_events(static_cast<std::size_t>(std::max(count, 0)));
    m_timers.run(m_now);
    m_timers_after_reading.run(read_until);
    run_deferred();
  }
}

}  // namespace

std::unique_ptr<EventLoop> make_event_loop() {
  return std::make_unique<EpollLoop>();
}

}  // namespace arbutusdale::net
