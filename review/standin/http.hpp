// A small blocking HTTP/1.1 server and client for the stand-ins: one thread for each connection.
#pragma once

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
};

inline std::string url_decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

/// Buffered reader of HTTP messages from a socket.
class MessageReader {
 public:
  explicit MessageReader(int socket) : m_socket(socket) {}

  /// Reads the first line, the headers and the body. False at the end of the connection or after
  /// `timeout_ms` without data.
  bool read(std::string& first_line, std::map<std::string, std::string>& headers, std::string& body,
            int timeout_ms) {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(timeout_ms)) {
        return false;
      }
    }
    const std::string head = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 4);
    std::size_t line_end = head.find("\r\n");
    first_line = head.substr(0, line_end);
    headers.clear();
    while (line_end != std::string::npos) {
      const std::size_t begin = line_end + 2;
      line_end = head.find("\r\n", begin);
      const std::string line = head.substr(begin, line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      headers[name] = line.substr(value);
    }
    const auto length = headers.find("content-length");
    const std::size_t size =
        length == headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
      if (!fill(timeout_ms)) {
        return false;
      }
    }
    body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
  }

 private:
  bool fill(int timeout_ms) {
    pollfd ready{m_socket, POLLIN, 0};
    if (::poll(&ready, 1, timeout_ms) <= 0) {
      return false;
    }
    char data[65'536];
    const ssize_t count = ::recv(m_socket, data, sizeof(data), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(data, static_cast<std::size_t>(count));
    return true;
  }

  int m_socket;
  std::string m_buffer;
};

inline bool send_all(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in make_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A free port of a loopback address.
inline std::uint16_t free_port(const std::string& ip) {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = make_address(ip, 0);
  socklen_t size = sizeof(address);
  ::bind(probe, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(probe);
  return ntohs(address.sin_port);
}

/// Serves an address until stop(), which resets all connections.
class Server {
 public:
  /// Returns nothing to close the connection without a response.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  Server(std::string ip, std::uint16_t port, Handler handler)
      : m_ip(std::move(ip)), m_port(port), m_handler(std::move(handler)) {}
  ~Server() { stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool start() {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = make_address(m_ip, m_port);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(m_listener, 256) != 0) {
      ::close(m_listener);
      m_listener = -1;
      return false;
    }
    m_acceptor = std::thread([this] { accept_connections(); });
    return true;
  }

  void stop() {
    if (m_stopping.exchange(true)) {
      return;
    }
    if (m_listener >= 0) {
      ::shutdown(m_listener, SHUT_RDWR);
    }
    if (m_acceptor.joinable()) {
      m_acceptor.join();
    }
    if (m_listener >= 0) {
      ::close(m_listener);
    }
    {
      const std::lock_guard lock(m_mutex);
      for (const int socket : m_sockets) {
        const linger reset{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(socket, SHUT_RD);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  /// The connections that are open now go silent for good: what arrives on them is lost, and so is
  /// what was about to be answered. They stay open, and new ones work.
  void silence_connections() { ++m_generation; }

 private:
  void accept_connections() {
    while (!m_stopping) {
      const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (m_stopping) {
          return;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(m_mutex);
      m_sockets.insert(socket);
      m_threads.emplace_back([this, socket] {
        serve(socket);
        const std::lock_guard closing(m_mutex);
        m_sockets.erase(socket);
        ::close(socket);
      });
    }
  }

  void serve(int socket) {
    const int generation = m_generation;
    MessageReader reader(socket);
    std::string line;
    Request request;
    constexpr int k_idle_ms = 120'000;
    while (!m_stopping && reader.read(line, request.headers, request.body, k_idle_ms)) {
      const std::size_t first = line.find(' ');
      const std::size_t second = line.find(' ', first + 1);
      if (second == std::string::npos) {
        return;
      }
      request.method = line.substr(0, first);
      std::string target = line.substr(first + 1, second - first - 1);
      request.query.clear();
      if (const std::size_t mark = target.find('?'); mark != std::string::npos) {
        parse_query(target.substr(mark + 1), request.query);
        target.resize(mark);
      }
      request.path = target;
      if (generation != m_generation) {
        continue;
      }
      const auto response = m_handler(request);
      if (!response || m_stopping) {
        return;
      }
      if (generation != m_generation) {
        continue;
      }
      const std::string head = "HTTP/1.1 " + std::to_string(response->status) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(response->body.size()) + "\r\n\r\n";
      if (!send_all(socket, head + response->body)) {
        return;
      }
    }
  }

  static void parse_query(const std::string& text, std::map<std::string, std::string>& query) {
    std::size_t begin = 0;
    while (begin < text.size()) {
      const std::size_t end = std::min(text.find('&', begin), text.size());
      const std::string pair = text.substr(begin, end - begin);
      const std::size_t equals = std::min(pair.find('='), pair.size());
      const std::string value = equals < pair.size() ? pair.substr(equals + 1) : "";
      query[url_decode(pair.substr(0, equals))] = url_decode(value);
      begin = end + 1;
    }
  }

  const std::string m_ip;
  const std::uint16_t m_port;
  const Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stopping = false;
  std::atomic<int> m_generation = 0;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

/// Sends one request on a connection of its own. Returns nothing without a complete response.
inline std::optional<Response> call(const std::string& ip, std::uint16_t port,
                                    const std::string& method, const std::string& path,
                                    const std::string& host, const std::string& body,
                                    int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = make_address(ip, port);
  const timeval limit{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  std::optional<Response> response;
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    const std::string text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host +
        "\r\nContent-Type: application/json\r\nDeadline-Ms: " + std::to_string(timeout_ms) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    MessageReader reader(socket);
    std::string line;
    std::map<std::string, std::string> headers;
    Response answer;
    if (send_all(socket, text) && reader.read(line, headers, answer.body, timeout_ms)) {
      answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
      response = answer;
    }
  }
  ::close(socket);
  return response;
}

}  // namespace review
