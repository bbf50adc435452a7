// Tests the verdicts of the HTTP client on connections that break at each stage of a request.
#include "arbutusdale/net/event_loop.hpp"
#include "arbutusdale/net/http_client.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace arbutusdale;
using namespace arbutusdale::net;
using namespace std::chrono_literals;

namespace {

// More than the buffers of both sockets hold, so that the server decides how much is sent.
constexpr std::size_t k_large_body_bytes = 33'554'432;
constexpr std::size_t k_small_body_bytes = 2;
constexpr int k_receive_buffer_bytes = 65'536;
constexpr Duration k_long_timeout = 5s;
constexpr Duration k_short_timeout = 400ms;
constexpr std::string_view k_head_end = "\r\n\r\n";
constexpr std::string_view k_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Part of the broken request that the server reads.
enum class Stage : std::uint8_t { nothing, first_byte, head, half_of_body, whole };

/// What the server then does with the connection.
enum class Ending : std::uint8_t { reset, close, stall };

struct Fault {
  Stage stage;
  Ending ending;
};

std::string name_of(const Fault& fault) {
  constexpr std::array k_stages{"nothing", "first byte", "head", "half of body", "whole"};
  constexpr std::array k_endings{"reset", "close", "stall"};
  return std::string{k_stages[static_cast<std::size_t>(fault.stage)]} + ", " +
         k_endings[static_cast<std::size_t>(fault.ending)];
}

/// Server that answers a number of small requests and breaks the connection of the next request,
/// whose body has `body_bytes`. Requests on further connections are answered and counted.
class BreakingServer {
 public:
  BreakingServer(Fault fault, int answered, std::size_t body_bytes)
      : m_fault(fault),
        m_answered(answered),
        m_body_bytes(body_bytes),
        m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // Inherited by the accepted connections.
    cr_assert_eq(::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &k_receive_buffer_bytes,
                              sizeof(k_receive_buffer_bytes)),
                 0);
    cr_assert_eq(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    cr_assert_eq(::listen(m_listener, 16), 0);
    socklen_t size = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
  }
  ~BreakingServer() {
    m_is_stopping = true;
    m_thread.join();
    ::close(m_listener);
  }
  BreakingServer(const BreakingServer&) = delete;
  BreakingServer& operator=(const BreakingServer&) = delete;

  std::atomic<std::size_t> broken_bytes = 0;  // read of the broken request
  std::atomic<bool> has_broken = false;
  std::atomic<int> requests = 0;  // received in full

  [[nodiscard]] std::string url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }

 private:
  void serve() {
    std::vector<int> stalled;
    while (!m_is_stopping) {
      if (!is_readable(m_listener)) {
        continue;
      }
      const int connection = ::accept(m_listener, nullptr, nullptr);
      if (!serve(connection)) {
        stalled.push_back(connection);
        continue;
      }
      ::close(connection);
    }
    for (const int connection : stalled) {
      ::close(connection);
    }
  }

  /// Returns false when the connection must stay open.
  bool serve(int connection) {
    while (!m_is_stopping) {
      const bool must_break = !has_broken && requests == m_answered;
      if (must_break) {
        return break_request(connection);
      }
      if (!is_readable(connection)) {
        continue;
      }
      const std::size_t body_bytes = has_broken ? m_body_bytes : k_small_body_bytes;
      if (!receive_request(connection, Stage::whole, body_bytes, nullptr)) {
        return true;
      }
      ++requests;
      (void)::send(connection, k_response.data(), k_response.size(), MSG_NOSIGNAL);
    }
    return true;
  }

  /// Returns false when the connection must stay open.
  bool break_request(int connection) {
    const bool is_whole = receive_request(connection, m_fault.stage, m_body_bytes, &broken_bytes);
    if (is_whole && m_fault.stage == Stage::whole) {
      ++requests;
    }
    has_broken = true;
    if (m_fault.ending == Ending::reset) {
      const linger discard{1, 0};
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    if (m_fault.ending == Ending::close) {
      ::shutdown(connection, SHUT_WR);
      drain(connection);
    }
    return m_fault.ending != Ending::stall;
  }

  /// Reads up to the end of the stage. Returns false if the connection ends before.
  static bool receive_request(int connection, Stage stage, std::size_t body_bytes,
                              std::atomic<std::size_t>* received) {
    std::string head;
    std::size_t total = 0;
    std::size_t wanted = stage == Stage::nothing ? 0 : 1;
    std::vector<char> buffer(k_receive_buffer_bytes);
    while (total < wanted) {
      const std::size_t limit =
          stage == Stage::first_byte ? 1 : std::min(buffer.size(), head_step(head, total, wanted));
      const ssize_t count = ::recv(connection, buffer.data(), limit, 0);
      if (count <= 0) {
        return false;
      }
      total += static_cast<std::size_t>(count);
      if (received != nullptr) {
        *received = total;
      }
      if (stage == Stage::first_byte || head.find(k_head_end) != std::string::npos) {
        continue;
      }
      head.append(buffer.data(), static_cast<std::size_t>(count));
      const std::size_t end = head.find(k_head_end);
      wanted = end == std::string::npos
                   ? total + 1
                   : end + k_head_end.size() + wanted_of_body(stage, body_bytes);
    }
    return true;
  }
  /// Reads the head byte by byte, so that no byte of the body is read with it.
  static std::size_t head_step(const std::string& head, std::size_t total, std::size_t wanted) {
    return head.find(k_head_end) == std::string::npos ? 1 : wanted - total;
  }
  static std::size_t wanted_of_body(Stage stage, std::size_t body_bytes) {
    switch (stage) {
      case Stage::half_of_body:
        return body_bytes / 2;
      case Stage::whole:
        return body_bytes;
      default:
        return 0;
    }
  }

  bool is_readable(int socket) const {
    constexpr int k_poll_ms = 5;
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, k_poll_ms) > 0 && (entry.revents & POLLIN) != 0;
  }
  /// Reads what the client goes on sending, so that the connection is not reset.
  void drain(int connection) const {
    constexpr auto k_limit = 500ms;
    std::vector<char> buffer(k_receive_buffer_bytes);
    const auto end = std::chrono::steady_clock::now() + k_limit;
    while (!m_is_stopping && std::chrono::steady_clock::now() < end) {
      if (is_readable(connection) && ::recv(connection, buffer.data(), buffer.size(), 0) <= 0) {
        return;
      }
    }
  }

  const Fault m_fault;
  const int m_answered;
  const std::size_t m_body_bytes;
  int m_listener;
  int m_port = 0;
  std::atomic<bool> m_is_stopping = false;
  std::thread m_thread;
};

HttpCall make_call(std::string url, std::size_t body_bytes, Duration timeout) {
  HttpCall call;
  call.method = HttpMethod::post;
  call.url = std::move(url);
  call.body = std::string(body_bytes, 'x');
  call.timeout = timeout;
  return call;
}

/// Makes the calls one after the other and returns their results.
std::vector<Result<HttpReply>> call_in_turn(const std::vector<HttpCall>& calls) {
  const auto loop = make_event_loop();
  const auto http = make_http_client(*loop);
  std::vector<Result<HttpReply>> results;
  std::function<void()> call_next = [&] {
    http->call(calls[results.size()], [&](Result<HttpReply> result) {
      results.push_back(std::move(result));
      if (results.size() == calls.size()) {
        loop->stop();
        return;
      }
      call_next();
    });
  };
  call_next();
  loop->run();
  return results;
}

constexpr std::array k_faults{
    Fault{Stage::nothing, Ending::reset},      Fault{Stage::nothing, Ending::close},
    Fault{Stage::nothing, Ending::stall},      Fault{Stage::first_byte, Ending::reset},
    Fault{Stage::first_byte, Ending::close},   Fault{Stage::first_byte, Ending::stall},
    Fault{Stage::head, Ending::reset},         Fault{Stage::head, Ending::close},
    Fault{Stage::head, Ending::stall},         Fault{Stage::half_of_body, Ending::reset},
    Fault{Stage::half_of_body, Ending::close}, Fault{Stage::half_of_body, Ending::stall},
    Fault{Stage::whole, Ending::reset},        Fault{Stage::whole, Ending::close},
    Fault{Stage::whole, Ending::stall},
};

/// Breaks a request with a body of this size at each stage, after `answered` calls on the same
/// connection.
void check_faults(int answered, std::size_t body_bytes) {
  for (const Fault& fault : k_faults) {
    const std::string name = name_of(fault);
    const BreakingServer server(fault, answered, body_bytes);
    std::vector<HttpCall> calls(static_cast<std::size_t>(answered),
                                make_call(server.url(), k_small_body_bytes, k_long_timeout));
    const bool is_stall = fault.ending == Ending::stall;
    calls.push_back(
        make_call(server.url(), body_bytes, is_stall ? k_short_timeout : k_long_timeout));
    const auto results = call_in_turn(calls);
    for (std::size_t i = 0; i + 1 < results.size(); ++i) {
      cr_assert(results[i].has_value(), "%s: no response to call %zu", name.c_str(), i);
    }
    const Result<HttpReply>& result = results.back();
    if (result) {
      // The client has seen the end of the idle connection and has opened another.
      const bool is_idle_end = fault.stage == Stage::nothing && answered > 0;
      cr_expect(is_idle_end, "%s: a response without one", name.c_str());
      cr_expect_eq(server.requests, answered + 1, "%s: sent twice", name.c_str());
      continue;
    }
    const bool is_received = server.broken_bytes > 0;
    const bool may_be_unsent = fault.stage == Stage::nothing;
    cr_expect(is_received || may_be_unsent, "%s", name.c_str());
    cr_expect(!is_received || result.error().verdict == Verdict::may_have_run,
              "%s: not run, though the server has read %zu bytes", name.c_str(),
              server.broken_bytes.load());
    const bool is_timeout = result.error().code == ErrorCode::deadline_exceeded;
    cr_expect_eq(is_timeout, is_stall, "%s: timeout %d", name.c_str(), is_timeout);
    const int received = answered + (fault.stage == Stage::whole ? 1 : 0);
    cr_expect_eq(server.requests, received, "%s: sent twice", name.c_str());
  }
}

}  // namespace

// Guards against "not run" for a request of which the server has received a part or the whole.
Test(broken_request, a_received_request_on_a_new_connection_may_have_run) {
  check_faults(0, k_small_body_bytes);
}

Test(broken_request, a_received_large_request_on_a_new_connection_may_have_run) {
  check_faults(0, k_large_body_bytes);
}

// The same on a reused connection, where libcurl would send a second copy.
Test(broken_request, a_received_request_on_a_reused_connection_may_have_run) {
  check_faults(2, k_small_body_bytes);
}

Test(broken_request, a_received_large_request_on_a_reused_connection_may_have_run) {
  check_faults(1, k_large_body_bytes);
}

// Guards against "may have run" for a request that no server has received.
Test(broken_request, a_refused_connection_is_not_run) {
  std::string url;
  {
    const BreakingServer server({Stage::nothing, Ending::reset}, 0, 0);
    url = server.url();
  }
  const auto results = call_in_turn({make_call(url, k_small_body_bytes, k_long_timeout)});
  cr_assert_not(results[0].has_value());
  cr_assert(results[0].error().verdict == Verdict::not_run);
  cr_assert(results[0].error().code == ErrorCode::unavailable);
}
