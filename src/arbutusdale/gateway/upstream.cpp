// Engine threads: epoll around libcurl's socket interface.
#include "upstream.hpp"

#include "arbutusdale/core/hash.hpp"

#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "transfer.hpp"
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace arbutusdale::gateway {
namespace {

constexpr long k_max_cached_connections = 8'192;
constexpr std::size_t k_max_spare_handles = 256;

class Engine {
 public:
  explicit Engine(const UpstreamOptions& options)
      : m_options(options),
        m_multi(curl_multi_init()),
        m_epoll(epoll_create1(EPOLL_CLOEXEC)),
        m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &on_socket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &on_timer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, k_max_cached_connections);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.max_host_connections));
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_wakeup;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    m_thread = std::thread([this] { run(); });
  }

  ~Engine() {
    m_stopping = true;
    eventfd_write(m_wakeup, 1);
    m_thread.join();
    for (CURL* easy : m_spare) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
    close(m_wakeup);
    close(m_epoll);
  }

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  void start(std::unique_ptr<Transfer> transfer) {
    post([&] { m_new.push_back(std::move(transfer)); });
  }

  void resume(std::uint64_t id) {
    post([&] { m_resumed.push_back(id); });
  }

 private:
  using Steady = std::chrono::steady_clock;

  template <typename Change>
  void post(Change change) {
    bool first = false;
    {
      const std::lock_guard lock(m_mutex);
      first = m_new.empty() && m_resumed.empty();
      change();
    }
    if (first) {
      eventfd_write(m_wakeup, 1);
    }
  }

  void run() {
    std::array<epoll_event, 256> events{};
    while (!m_stopping) {
      const int count =
          epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), wait_ms());
      for (int i = 0; i < count; ++i) {
        handle(events.at(static_cast<std::size_t>(i)));
      }
      if (m_timer_set && Steady::now() >= m_timer) {
        m_timer_set = false;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &m_running);
      }
      collect_finished();
    }
    abandon_all();
  }

  [[nodiscard]] int wait_ms() const {
    if (!m_timer_set) {
      return -1;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_timer - Steady::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
  }

  void handle(const epoll_event& event) {
    if (event.data.fd == m_wakeup) {
      eventfd_t value = 0;
      eventfd_read(m_wakeup, &value);
      take_posted();
      return;
    }
    int mask = 0;
    mask |= (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    mask |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    mask |= (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    curl_multi_socket_action(m_multi, event.data.fd, mask, &m_running);
  }

  void take_posted() {
    std::vector<std::unique_ptr<Transfer>> started;
    std::vector<std::uint64_t> resumed;
    {
      const std::lock_guard lock(m_mutex);
      started.swap(m_new);
      resumed.swap(m_resumed);
    }
    for (auto& transfer : started) {
      CURL* easy = take_handle();
      transfer->prepare(easy, m_options);
      m_open.emplace(transfer->id(), std::move(transfer));
      curl_multi_add_handle(m_multi, easy);
    }
    for (const std::uint64_t id : resumed) {
      const auto found = m_open.find(id);
      if (found != m_open.end()) {
        curl_easy_pause(found->second->easy(), CURLPAUSE_CONT);
      }
    }
  }

  CURL* take_handle() {
    if (m_spare.empty()) {
      return curl_easy_init();
    }
    CURL* easy = m_spare.back();
    m_spare.pop_back();
    return easy;
  }

  void collect_finished() {
    int queued = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &queued)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finish(transfer->id(), message->data.result, false);
    }
  }

  void finish(std::uint64_t id, CURLcode code, bool abandon) {
    auto node = m_open.extract(id);
    Transfer& transfer = *node.mapped();
    CURL* easy = transfer.easy();
    curl_multi_remove_handle(m_multi, easy);
    transfer.finish(code, abandon);
    curl_easy_reset(easy);
    if (m_spare.size() < k_max_spare_handles) {
      m_spare.push_back(easy);
    } else {
      curl_easy_cleanup(easy);
    }
  }

  void abandon_all() {
    take_posted();
    while (!m_open.empty()) {
      finish(m_open.begin()->first, CURLE_ABORTED_BY_CALLBACK, true);
    }
  }

  static int on_socket(CURL* /*easy*/, curl_socket_t socket, int what, void* self,
                       void* registered) {
    auto& engine = *static_cast<Engine*>(self);
    if (what == CURL_POLL_REMOVE) {
      epoll_ctl(engine.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
      return 0;
    }
    epoll_event event{};
    event.data.fd = socket;
    event.events |= (what & CURL_POLL_IN) != 0 ? static_cast<std::uint32_t>(EPOLLIN) : 0U;
    event.events |= (what & CURL_POLL_OUT) != 0 ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    // libcurl may close a socket after a timeout without a callback; the kernel then removes it
    // from epoll, and its descriptor may be reused. So each operation falls back to the other.
    const int likely = registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    const int other = registered == nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (epoll_ctl(engine.m_epoll, likely, socket, &event) != 0) {
      epoll_ctl(engine.m_epoll, other, socket, &event);
    }
    if (registered == nullptr) {
      curl_multi_assign(engine.m_multi, socket, self);
    }
    return 0;
  }

  static int on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& engine = *static_cast<Engine*>(self);
    engine.m_timer_set = timeout_ms >= 0;
    engine.m_timer = Steady::now() + std::chrono::milliseconds{timeout_ms};
    return 0;
  }

  const UpstreamOptions m_options;
  CURLM* m_multi;
  int m_epoll;
  int m_wakeup;
  std::atomic<bool> m_stopping{false};

  std::mutex m_mutex;  // guards m_new and m_resumed
  std::vector<std::unique_ptr<Transfer>> m_new;
  std::vector<std::uint64_t> m_resumed;

  // Used by the engine's thread only.
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_open;
  std::vector<CURL*> m_spare;
  Steady::time_point m_timer{};
  bool m_timer_set = false;
  int m_running = 0;
  std::thread m_thread;
};

class UpstreamPool final : public Upstream {
 public:
  explicit UpstreamPool(const UpstreamOptions& options) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (unsigned i = 0; i < std::max(1U, options.threads); ++i) {
      m_engines.push_back(std::make_unique<Engine>(options));
    }
  }

  void start(UpstreamRequest request, std::shared_ptr<TransferSink> sink) override {
    // One engine per host, so that the limit of connections per host is exact.
    const std::size_t index = stable_hash(request.address) % m_engines.size();
    const std::uint64_t id = m_next.fetch_add(1) * m_engines.size() + index;
    sink->on_start(id);
    m_engines[index]->start(std::make_unique<Transfer>(id, std::move(request), std::move(sink)));
  }

  void resume(std::uint64_t id) override { m_engines[id % m_engines.size()]->resume(id); }

 private:
  std::atomic<std::uint64_t> m_next{1};
  std::vector<std::unique_ptr<Engine>> m_engines;
};

}  // namespace

std::unique_ptr<Upstream> make_upstream(const UpstreamOptions& options) {
  return std::make_unique<UpstreamPool>(options);
}

}  // namespace arbutusdale::gateway
