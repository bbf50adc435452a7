// Event loop that serves HTTP on many loopback ports with one thread (libmicrohttpd in external
// epoll mode), with timers and deliberate protocol violations.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace arbutusdale::standin {

/// How an exchange ends on the wire.
enum class Ending : std::uint8_t {
  complete,
  reset,     ///< TCP reset without a response
  silent,    ///< no response, the connection stays open
  truncate,  ///< half of the body, then the connection is closed
};

struct HttpAnswer {
  unsigned status = 200;
  std::string type = "text/plain";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  Ending ending = Ending::complete;
};

/// One request and its response. It is destroyed when the request ends, so a handler that responds
/// later must keep the id.
struct Exchange {
  std::uint64_t id = 0;
  std::size_t listener = 0;
  std::string method;
  std::string path;  // percent-decoded, without the query
  std::string uri;   // as received
  std::string body;
  MHD_Connection* connection = nullptr;
  bool dispatched = false;
  bool suspended = false;
  bool answered = false;
  HttpAnswer answer;

  [[nodiscard]] std::string header(const char* name) const;
  [[nodiscard]] std::string argument(const char* name) const;  // of the query
};

class HttpLoop {
 public:
  /// Called on the loop's thread; responds through `HttpLoop::answer`, immediately or later.
  using Handler = std::function<void(Exchange&)>;

  HttpLoop();
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Adds a listener on 127.0.0.1; port 0 takes a free one. Only before `start`.
  Result<std::size_t> add_listener(std::uint16_t port, unsigned connection_limit, Handler handler);
  [[nodiscard]] std::uint16_t port(std::size_t listener) const;

  void start();
  void stop();

  /// Runs `task` on the loop's thread. Thread-safe.
  void post(std::function<void()> task);

  // The functions below may be called only on the loop's thread.

  void after(Duration delay, std::function<void()> task);
  /// Responds to an exchange; does nothing if it has ended.
  void answer(std::uint64_t exchange, HttpAnswer answer);
  /// Closes the port and all its connections, so that new ones are refused.
  void close_listener(std::size_t listener);
  Result<void> reopen_listener(std::size_t listener);
  /// Requests on currently open connections never get a response; later connections work.
  void silence_connections(std::size_t listener);
  /// Closes the connections that were left without a response.
  void release_silent(std::size_t listener);

 private:
  struct Connection;
  struct Listener;
  struct Callbacks;

  Result<void> open(Listener& listener) const;
  int process(Listener& listener, Exchange& exchange);
  int send_answer(Listener& listener, Exchange& exchange);
  void leave_silent(Listener& listener, Exchange& exchange);
  void abort_exchanges(Listener& listener, bool only_silent);
  void drop_closed_silent();
  void run_listener(Listener& listener);
  void run();
  void run_posted();
  void run_timers();
  [[nodiscard]] std::chrono::nanoseconds wait_time() const;

  std::vector<std::unique_ptr<Listener>> m_listeners;
  std::map<std::uint64_t, Exchange*> m_exchanges;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> m_timers;
  std::set<std::size_t> m_dirty;  // listeners with pending work
  std::uint64_t m_next_exchange = 1;
  int m_epoll = -1;
  int m_wakeup = -1;

  std::mutex m_mutex;  // guards the two members below
  std::vector<std::function<void()>> m_posted;
  bool m_stopping = false;

  std::thread m_thread;
};

}  // namespace arbutusdale::standin
