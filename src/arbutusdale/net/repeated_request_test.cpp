// Tests what the HTTP client does when a reused connection breaks before the response.
#include "arbutusdale/net/event_loop.hpp"
#include "arbutusdale/net/http_client.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
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

/// Answers every request but the second, whose connection it closes without a response.
class ClosingServer {
 public:
  ClosingServer() : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(::bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    cr_assert_eq(::listen(m_socket, 4), 0);
    socklen_t size = sizeof(address);
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
  }
  ~ClosingServer() {
    ::shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    ::close(m_socket);
  }
  ClosingServer(const ClosingServer&) = delete;
  ClosingServer& operator=(const ClosingServer&) = delete;

  std::atomic<int> requests = 0;

  [[nodiscard]] std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }

 private:
  void serve() {
    while (true) {
      const int connection = ::accept(m_socket, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      while (answer(connection)) {
      }
      ::close(connection);
    }
  }

  /// Returns false when the connection is to be closed.
  bool answer(int connection) {
    constexpr std::string_view k_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::array<char, 4'096> request{};
    if (::recv(connection, request.data(), request.size(), 0) <= 0 || ++requests == 2) {
      return false;
    }
    return ::send(connection, k_response.data(), k_response.size(), MSG_NOSIGNAL) > 0;
  }

  int m_socket;
  int m_port = 0;
  std::thread m_thread;
};

/// Makes two calls, one after the other, and returns the result of the second.
Result<HttpReply> second_result(const std::string& url, bool is_repeatable) {
  const auto loop = make_event_loop();
  const auto http = make_http_client(*loop);
  HttpCall call;
  call.method = HttpMethod::post;
  call.url = url;
  call.body = "{}";
  call.timeout = 2s;
  call.is_repeatable = is_repeatable;
  std::vector<Result<HttpReply>> results;
  http->call(call, [&](Result<HttpReply> first) {
    results.push_back(std::move(first));
    http->call(call, [&](Result<HttpReply> second) {
      results.push_back(std::move(second));
      loop->stop();
    });
  });
  loop->call_after(5s, [&loop] { loop->stop(); });
  loop->run();
  cr_assert_eq(results.size(), 2U);
  cr_assert(results[0].has_value());
  return results[1];
}

}  // namespace

// Guards against a request that libcurl sends twice although the caller must know of every copy.
Test(repeated_request, a_call_that_is_not_repeatable_is_sent_once) {
  const ClosingServer server;
  const auto result = second_result(server.url(), false);
  cr_assert_not(result.has_value());
  cr_assert(result.error().verdict == Verdict::may_have_run);
  cr_assert(result.error().code == ErrorCode::connection_lost);
  cr_assert_eq(server.requests, 2);
}

// Guards against an idempotent call that fails because the server has closed an idle connection.
Test(repeated_request, a_repeatable_call_is_sent_again) {
  const ClosingServer server;
  cr_assert(second_result(server.url(), true).has_value());
  cr_assert_eq(server.requests, 3);
}
