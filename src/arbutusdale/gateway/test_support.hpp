// Loopback target with scripted answers, raw client, and a gateway between them, for tests.
#pragma once

#include "arbutusdale/gateway/gateway.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace arbutusdale::gateway::testing {

/// One blocking TCP connection.
class Connection {
 public:
  explicit Connection(int socket) : m_socket(socket) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void close() {
    if (m_socket >= 0) {
      ::close(m_socket);
      m_socket = -1;
    }
  }

  void send(std::string_view data) const {
    while (!data.empty()) {
      const auto sent = ::send(m_socket, data.data(), data.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      data.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Reads more bytes; false at the end of the stream or after a reset.
  bool fill() {
    char buffer[16'384];
    const auto count = ::recv(m_socket, buffer, sizeof(buffer), 0);
    m_reset = m_reset || count < 0;
    if (count > 0) {
      m_data.append(buffer, static_cast<std::size_t>(count));
    }
    return count > 0;
  }

  [[nodiscard]] bool was_reset() const { return m_reset; }

  /// Reads the head including the empty line; empty at the end of the stream.
  std::string read_head() {
    std::size_t end = std::string::npos;
    while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return {};
      }
    }
    std::string head = m_data.substr(0, end + 4);
    m_data.erase(0, end + 4);
    return head;
  }

  std::string read_body(std::size_t size) {
    while (m_data.size() < size && fill()) {
    }
    std::string body = m_data.substr(0, size);
    m_data.erase(0, body.size());
    return body;
  }

  std::string read_to_end() {
    while (fill()) {
    }
    return std::move(m_data);
  }

 private:
  int m_socket;
  bool m_reset = false;
  std::string m_data;
};

inline std::string header_of(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  const auto start = at + name.size() + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

inline std::string answer_200(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct TargetRequest {
  std::string head;
  std::string body;
};

/// Accepts connections and runs the script for each request on them. The script sends the answer
/// and returns whether the connection stays open.
class ScriptedTarget {
 public:
  using Script = std::function<bool(Connection&, const TargetRequest&)>;

  explicit ScriptedTarget(Script script)
      : m_script(std::move(script)), m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(m_socket, 64) != 0) {
      throw std::runtime_error("cannot listen on loopback");
    }
    socklen_t size = sizeof(address);
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept_all(); });
  }

  ~ScriptedTarget() {
    release();
    ::shutdown(m_socket, SHUT_RDWR);
    m_acceptor.join();
    for (const int socket : m_accepted) {
      ::shutdown(socket, SHUT_RDWR);
    }
    for (auto& thread : m_threads) {
      thread.join();
    }
    for (const int socket : m_accepted) {
      ::close(socket);
    }
    ::close(m_socket);
  }

  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  [[nodiscard]] int connections() const { return m_connections; }

  std::vector<TargetRequest> requests() {
    const std::lock_guard lock(m_mutex);
    return m_requests;
  }

  /// Waits until the target has received `count` requests.
  void wait_for_requests(std::size_t count) {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_requests.size() >= count; });
  }

  /// Waits until the gateway has closed `count` connections; false after 10 s.
  bool wait_for_closed(int count) {
    constexpr auto k_give_up = std::chrono::seconds{10};
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, k_give_up, [&] { return m_closed >= count; });
  }

  /// Blocks a script until `release` is called.
  void wait_for_release() {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_released; });
  }

  void release() {
    const std::lock_guard lock(m_mutex);
    m_released = true;
    m_changed.notify_all();
  }

 private:
  void accept_all() {
    while (true) {
      const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      ++m_connections;
      m_accepted.push_back(::dup(socket));  // NOLINT(android-cloexec-dup)
      m_threads.emplace_back([this, socket] { serve(socket); });
    }
  }

  void serve(int socket) {
    Connection connection(socket);
    bool open = true;
    while (open) {
      TargetRequest request;
      request.head = connection.read_head();
      if (request.head.empty()) {
        const std::lock_guard lock(m_mutex);
        ++m_closed;
        m_changed.notify_all();
        break;
      }
      const auto length = header_of(request.head, "Content-Length");
      request.body = connection.read_body(length.empty() ? 0 : std::stoul(length));
      {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        m_changed.notify_all();
      }
      open = m_script(connection, request);
    }
    // The duplicate in m_accepted would keep the connection open.
    ::shutdown(socket, SHUT_RDWR);
  }

  const Script m_script;
  const int m_socket;
  std::uint16_t m_port = 0;
  std::atomic<int> m_connections{0};
  std::vector<int> m_accepted;  // used by m_acceptor, and by the destructor after joining it
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<TargetRequest> m_requests;
  bool m_released = false;
  int m_closed = 0;  // connections that the gateway closed between requests
  std::thread m_acceptor;
};

/// Address of a listener that has closed, so that connections to it are refused.
inline std::string refusing_address() {
  const ScriptedTarget target([](Connection&, const TargetRequest&) { return false; });
  return target.address();
}

struct Reply {
  std::string head;
  std::string body;

  [[nodiscard]] int status() const { return head.size() < 12 ? 0 : std::stoi(head.substr(9, 3)); }
  [[nodiscard]] std::string header(const std::string& name) const { return header_of(head, name); }
};

inline int connect_to(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

/// Sends one request on a new connection and reads until the gateway closes it.
inline Reply call(std::uint16_t port, const std::string& method, const std::string& target,
                  const std::string& headers = "", const std::string& body = "") {
  Connection connection(connect_to(port));
  std::string request = method + " " + target + " HTTP/1.1\r\nHost: gateway\r\n" + headers;
  if (!body.empty()) {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  connection.send(request + "Connection: close\r\n\r\n" + body);
  Reply reply;
  reply.head = connection.read_head();
  reply.body = connection.read_to_end();
  return reply;
}

/// A gateway with the service "quote" at /quote.
class TestGateway {
 public:
  explicit TestGateway(const std::vector<std::string>& targets, GatewayOptions options = {},
                       KeyGate* keys = nullptr, AdminHandler* admin = nullptr,
                       observe::Tracer* tracer = nullptr)
      : m_clock(make_system_clock()), m_registry(observe::make_registry()) {
    options.daemon = "entry-1";
    options.caller_listen = "127.0.0.1:0";
    options.admin_listen = "127.0.0.1:0";
    options.fleet_token = "fleet-secret";
    options.admin_tokens = {{"op-secret", {"olga", Role::operator_}}};
    options.drain_notice = Duration{0};
    routing::RouterOptions router;
    router.daemon = options.daemon;
    router.domain = "halle-a";
    GatewayParts parts;
    parts.router = routing::make_request_router(router);
    parts.clock = m_clock.get();
    parts.registry = m_registry.get();
    parts.keys = keys;
    parts.admin = admin;
    parts.tracer = tracer;
    m_gateway = make_gateway(options, std::move(parts));
    if (const auto started = m_gateway->start(); !started) {
      throw std::runtime_error(started.error().message);
    }
    m_service.name = "quote";
    m_service.path_prefix = "/quote";
    set_service(targets);
  }

  routing::ServiceConfig& service() { return m_service; }

  void set_service(const std::vector<std::string>& targets) {
    m_gateway->set_services({m_service}, {{"default", 1}, {"sales", 1}});
    std::vector<routing::TargetInfo> list;
    list.reserve(targets.size());
    for (const auto& address : targets) {
      list.push_back({"vm-" + std::to_string(list.size() + 1), address, false});
    }
    m_gateway->set_targets("quote", list);
  }

  Gateway* operator->() { return m_gateway.get(); }
  [[nodiscard]] std::uint16_t port() const { return m_gateway->caller_port(); }
  [[nodiscard]] std::uint16_t admin_port() const { return m_gateway->admin_port(); }
  observe::Registry& registry() { return *m_registry; }

 private:
  std::unique_ptr<Clock> m_clock;
  std::unique_ptr<observe::Registry> m_registry;
  routing::ServiceConfig m_service;
  std::unique_ptr<Gateway> m_gateway;
};

}  // namespace arbutusdale::gateway::testing
