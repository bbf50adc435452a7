// Tests the time limits of the HTTP client on an event loop that gets to its sockets late.
#include "arbutusdale/net/event_loop.hpp"
#include "arbutusdale/net/http_client.hpp"
#include "arbutusdale/net/http_listener.hpp"
#include "arbutusdale/net/http_status.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace arbutusdale;
using namespace arbutusdale::net;
using namespace std::chrono_literals;

namespace {

/// Free loopback address. Ports computed from the process id may be in use by another program.
std::string free_address() {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  cr_assert_eq(::bind(probe, generic, size), 0);
  ::getsockname(probe, generic, &size);
  ::close(probe);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Server on a thread of its own. It replies at once, except to requests for /never.
class Server {
 public:
  explicit Server(std::string address) : m_loop(make_event_loop()), m_address(std::move(address)) {
    HttpListenerOptions options;
    options.address = m_address;
    m_listener = make_http_listener(*m_loop, options, [this](const auto& exchange) {
      ++requests;
      if (exchange->request().path == "/never") {
        m_kept.push_back(exchange);
        return;
      }
      exchange->respond({k_http_ok, "{}", {}});
    });
    cr_assert(m_listener->start().has_value());
    check_stop();
    m_thread = std::thread([this] { m_loop->run(); });
  }
  ~Server() {
    m_stopping = true;
    m_thread.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::atomic<int> requests = 0;

 private:
  void check_stop() {
    if (m_stopping) {
      m_kept.clear();
      m_loop->stop();
      return;
    }
    m_loop->call_after(5ms, [this] { check_stop(); });
  }

  std::unique_ptr<EventLoop> m_loop;
  const std::string m_address;
  std::unique_ptr<HttpListener> m_listener;
  std::vector<std::shared_ptr<HttpExchange>> m_kept;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

/// Loopback port that does not answer further attempts to connect, since its queue is full.
class UnresponsivePort {
 public:
  UnresponsivePort() : m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    m_address.sin_family = AF_INET;
    m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* address = reinterpret_cast<sockaddr*>(&m_address);
    socklen_t size = sizeof(m_address);
    cr_assert_eq(::bind(m_listener, address, size), 0);
    cr_assert_eq(::listen(m_listener, 0), 0);
    ::getsockname(m_listener, address, &size);
    for (int& client : m_clients) {
      client = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(client, address, size);
    }
  }
  ~UnresponsivePort() {
    for (const int client : m_clients) {
      ::close(client);
    }
    ::close(m_listener);
  }
  UnresponsivePort(const UnresponsivePort&) = delete;
  UnresponsivePort& operator=(const UnresponsivePort&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(ntohs(m_address.sin_port));
  }

 private:
  int m_listener;
  sockaddr_in m_address{};
  std::array<int, 4> m_clients{};  // fill the queue
};

/// Client on a loop of its own, with the results of its calls in order of completion.
struct Caller {
  std::string address;
  std::unique_ptr<EventLoop> loop = make_event_loop();
  std::unique_ptr<HttpClient> http = make_http_client(*loop);
  std::vector<Result<HttpReply>> results;

  explicit Caller(std::string server) : address(std::move(server)) {}

  void call(const std::string& path, Duration timeout) {
    HttpCall call;
    call.method = HttpMethod::post;
    call.url = "http://" + address + path;
    call.timeout = timeout;
    http->call(std::move(call), [this](Result<HttpReply> result) { results.push_back(result); });
  }
  /// Lets the process stand still for `duration` in every turn of the loop.
  void stall(Duration duration) {
    loop->call_after(Duration{1}, [this, duration] {
      std::this_thread::sleep_for(duration);
      stall(duration);
    });
  }
  /// Runs the loop once, for about `duration`.
  void run(Duration duration) {
    loop->call_after(duration, [this] { loop->stop(); });
    loop->run();
  }
  [[nodiscard]] std::size_t answered() const {
    std::size_t count = 0;
    for (const auto& result : results) {
      count += result.has_value() ? 1 : 0;
    }
    return count;
  }
};

}  // namespace

// Guards against replies that lie in the sockets, more than the loop handles in one group, and are
// reported as missing because the loop gets to them after the time limit.
Test(late_reply, replies_that_have_arrived_are_read_before_a_time_limit_takes_effect) {
  constexpr std::size_t k_calls = 300;
  const std::string address = free_address();
  const Server server(address);
  Caller caller(address);
  for (std::size_t i = 0; i < k_calls; ++i) {
    caller.call("/", 200ms);
  }
  caller.stall(60ms);
  caller.run(2s);
  cr_assert_eq(caller.results.size(), k_calls);
  cr_assert_eq(caller.answered(), k_calls, "%zu of %zu calls answered", caller.answered(), k_calls);
}

// Guards against a time limit that counts from the start of a long iteration of the loop instead of
// from the call.
Test(late_reply, the_time_before_the_request_is_sent_does_not_count) {
  const std::string address = free_address();
  const Server server(address);
  Caller caller(address);
  std::size_t early_results = 0;
  caller.loop->call_after(1ms, [&caller, &early_results] {
    std::this_thread::sleep_for(400ms);
    caller.call("/never", 300ms);
    // 200 ms after the call.
    caller.loop->call_after(600ms, [&] { early_results = caller.results.size(); });
  });
  caller.run(1'000ms);
  cr_assert_eq(early_results, 0U);
  cr_assert_eq(caller.results.size(), 1U);
  cr_assert_not(caller.results[0].has_value());
  cr_assert(caller.results[0].error().code == ErrorCode::deadline_exceeded);
  cr_assert(caller.results[0].error().verdict == Verdict::may_have_run);
}

// Guards against a request that leaves the process long after the decision to send it, when another
// daemon may have taken over.
Test(late_reply, a_request_is_not_sent_later_than_a_second_after_the_call) {
  const std::string address = free_address();
  Server server(address);
  Caller caller(address);
  caller.call("/", 5s);
  // Delays the event that reports the connection as established.
  caller.loop->call_after(Duration{1}, [] { std::this_thread::sleep_for(1'200ms); });
  caller.run(500ms);
  cr_assert_eq(caller.results.size(), 1U);
  cr_assert_not(caller.results[0].has_value());
  cr_assert(caller.results[0].error().verdict == Verdict::not_run);
  cr_assert(caller.results[0].error().code == ErrorCode::deadline_exceeded);
  cr_assert_eq(server.requests, 0);
}

// Guards against a connection that is never established and is not given up.
Test(late_reply, a_call_without_a_connection_ends_within_its_time_limit) {
  const UnresponsivePort port;
  Caller caller(port.address());
  caller.call("/", 200ms);
  caller.run(300ms);
  cr_assert_eq(caller.results.size(), 1U);
  cr_assert_not(caller.results[0].has_value());
  cr_assert(caller.results[0].error().verdict == Verdict::not_run);
}
