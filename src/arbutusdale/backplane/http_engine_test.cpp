// Tests of the HTTP clients against a raw TCP server that can violate the protocol.
#include "arbutusdale/backplane/http_backplane.hpp"

#include <atomic>
#include <cstdlib>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace arbutusdale;
using namespace arbutusdale::backplane;

namespace {

constexpr Duration k_long = std::chrono::seconds{20};

/// TCP server with one thread per connection. `answer` maps the number of a request, counted from 0
/// over all connections, to the raw response. An empty response closes the connection; for "silent"
/// nothing is sent and the connection stays open.
class RawServer {
 public:
  using Answer = std::function<std::string(int)>;

  explicit RawServer(Answer answer) : m_answer(std::move(answer)) {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(m_listener, reinterpret_cast<sockaddr*>(&address), length);
    listen(m_listener, 16);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept_all(); });
  }

  ~RawServer() {
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    for (const int connection : m_connections) {
      shutdown(connection, SHUT_RDWR);
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    for (const int connection : m_connections) {
      close(connection);
    }
  }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  [[nodiscard]] int requests() const { return m_requests; }

 private:
  void accept_all() {
    for (int connection = accept(m_listener, nullptr, nullptr); connection >= 0;
         connection = accept(m_listener, nullptr, nullptr)) {
      m_connections.push_back(connection);
      m_threads.emplace_back([this, connection] { serve(connection); });
    }
  }

  // Reads until the body has the length given by Content-Length, or 0 without that header. Returns
  // false if the connection ends first.
  static bool read_request(int connection) {
    std::string text;
    char buffer[4096];
    while (true) {
      const auto end = text.find("\r\n\r\n");
      if (end != std::string::npos) {
        const auto field = text.find("Content-Length: ");
        const std::size_t body =
            field == std::string::npos ? 0 : std::strtoul(&text[field + 16], nullptr, 10);
        if (text.size() >= end + 4 + body) {
          return true;
        }
      }
      const ssize_t count = recv(connection, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        return false;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
  }

  void serve(int connection) {
    while (read_request(connection)) {
      const std::string answer = m_answer(m_requests++);
      if (answer == "silent") {
        continue;
      }
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      if (answer.empty() || answer.find("Connection: close") != std::string::npos) {
        break;
      }
    }
    shutdown(connection, SHUT_RDWR);
  }

  Answer m_answer;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::atomic<int> m_requests{0};
  std::vector<int> m_connections;
  std::vector<std::thread> m_threads;
  std::thread m_acceptor;
};

std::string http(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string append_answer(std::uint64_t offset) {
  proto::platform::AppendReply reply;
  reply.set_offset(offset);
  return http("200 OK", reply.SerializeAsString());
}

std::unique_ptr<HttpEngine> inline_engine(HttpEngineOptions options = {}) {
  return make_http_engine(options, [](const std::function<void()>& task) { task(); });
}

Result<std::uint64_t> append(HttpEngine& engine, const std::string& address,
                             Duration timeout = k_long) {
  std::promise<Result<std::uint64_t>> promise;
  make_http_log(engine, address, timeout)->append("domain/x", "payload", [&](auto result) {
    promise.set_value(std::move(result));
  });
  return promise.get_future().get();
}

std::string closed_address() {
  const RawServer server([](int) { return std::string(); });
  return server.address();
}

}  // namespace

// Guards against a successful append that is reported as failed, and against calls that go through
// a proxy set in the environment.
Test(http_engine, appends_directly_in_spite_of_proxy_variables) {
  setenv("http_proxy", "http://127.0.0.1:1", 1);
  const RawServer server([](int) { return append_answer(7); });
  const auto engine = inline_engine();
  cr_assert_eq(append(*engine, server.address()).value(), 7U);
}

// Guards against the verdict `may_have_run` for a call whose connection was refused.
Test(http_engine, refused_connection_is_not_run) {
  const auto engine = inline_engine();
  const auto result = append(*engine, closed_address());
  cr_assert(result.error().verdict == Verdict::not_run);
  cr_assert(result.error().code == ErrorCode::unavailable);
}

// Guards against the verdict `not_run` for a call whose response was lost.
Test(http_engine, closed_connection_may_have_run) {
  const RawServer server([](int) { return std::string(); });
  const auto engine = inline_engine();
  const auto result = append(*engine, server.address());
  cr_assert(result.error().verdict == Verdict::may_have_run);
  cr_assert(result.error().code == ErrorCode::connection_lost);
  cr_assert_eq(server.requests(), 1);
}

// Guards against libcurl's silent retry of an append on a reused connection, which would store the
// record twice. The server answers the read and closes the connection on every further request.
Test(http_engine, append_is_never_repeated) {
  const RawServer server(
      [](int number) { return number == 0 ? http("200 OK", "") : std::string(); });
  const auto engine = inline_engine();
  std::promise<bool> read;
  make_http_log(*engine, server.address(), k_long)->read("global", 0, 10, [&](auto result) {
    read.set_value(result.has_value());
  });
  cr_assert(read.get_future().get());
  cr_assert(append(*engine, server.address()).error().verdict == Verdict::may_have_run);
  cr_assert_eq(server.requests(), 2);
}

// Guards against libcurl's silent retry of a command to an agent. The server executes the command
// and closes the reused connection; the answer to a second copy would be taken for the fate of
// both.
Test(http_engine, commands_to_agents_are_never_repeated) {
  const std::vector<std::function<void(WorkerAgents&, const AgentAddress&, WorkerAgents::Reply)>>
      commands{
          [](auto& agents, const auto& agent, auto done) { agents.acquire(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.renew(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.start(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.checkpoint(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.throttle(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.stop(agent, {}, done); },
          [](auto& agents, const auto& agent, auto done) { agents.acknowledge(agent, {}, done); },
      };
  for (std::size_t i = 0; i < commands.size(); ++i) {
    // Answers the report, executes the command, and refuses a second copy.
    const RawServer server([](int number) {
      return number == 0   ? http("200 OK", "")
             : number == 1 ? std::string()
                           : http("503 Service Unavailable", "");
    });
    const auto engine = inline_engine();
    const auto agents = make_http_worker_agents(*engine, k_long);
    const AgentAddress agent{"vm-1", server.address()};
    std::promise<bool> reported;
    agents->report(agent, [&](auto result) { reported.set_value(result.has_value()); });
    cr_assert(reported.get_future().get());
    std::promise<std::optional<Verdict>> commanded;
    commands[i](*agents, agent, [&](auto result) {
      commanded.set_value(result ? std::nullopt : std::optional(result.error().verdict));
    });
    cr_expect(commanded.get_future().get() == Verdict::may_have_run, "command %zu", i);
    cr_expect_eq(server.requests(), 2, "command %zu was sent twice", i);
  }
}

// Guards against a call that is sent again although its sender has not asked for it.
Test(http_engine, a_call_is_repeated_only_on_request) {
  const RawServer server(
      [](int number) { return number % 2 == 0 ? http("200 OK", "") : std::string(); });
  const auto engine = inline_engine();
  const auto call = [&] {
    HttpCall get;
    get.url = "http://" + server.address() + "/";
    get.timeout = k_long;
    std::promise<bool> answered;
    get.done = [&](auto result) { answered.set_value(result.has_value()); };
    engine->submit(std::move(get));
    return answered.get_future().get();
  };
  cr_assert(call());
  cr_assert_not(call());
  cr_assert_eq(server.requests(), 2);
}

// Guards against reads that fail because the server has closed an idle connection.
Test(http_engine, reads_are_repeated) {
  const RawServer server(
      [](int number) { return number % 2 == 0 ? http("200 OK", "") : std::string(); });
  const auto engine = inline_engine();
  const auto agents = make_http_worker_agents(*engine, k_long);
  const auto vms = make_http_vm_list(*engine, server.address(), k_long);
  const auto log = make_http_log(*engine, server.address(), k_long);
  const auto succeeds = [](const auto& read) {
    std::promise<bool> answered;
    read([&](auto result) { answered.set_value(result.has_value()); });
    return answered.get_future().get();
  };
  const auto report = [&](auto done) { agents->report({"vm-1", server.address()}, done); };
  const auto fetch = [&](auto done) { vms->fetch(done); };
  const auto read = [&](auto done) { log->read("global", 0, 10, done); };
  cr_assert(succeeds(report));
  cr_assert(succeeds(report));
  cr_assert(succeeds(fetch));
  cr_assert(succeeds(read));
  cr_assert_eq(server.requests(), 7);
}

// Guards against verdicts and error codes that do not match the HTTP status of the response.
Test(http_engine, status_decides_the_verdict) {
  const RawServer server([](int number) {
    const std::vector<std::string> statuses{"503 Service Unavailable", "429 Too Many Requests",
                                            "500 Internal Server Error"};
    return http(statuses.at(static_cast<std::size_t>(number)), "");
  });
  const auto engine = inline_engine();
  const auto out = append(*engine, server.address());
  cr_assert(out.error().verdict == Verdict::not_run);
  cr_assert(out.error().code == ErrorCode::unavailable);
  cr_assert(append(*engine, server.address()).error().code == ErrorCode::overloaded);
  cr_assert(append(*engine, server.address()).error().verdict == Verdict::may_have_run);
}

// Guards against a truncated or malformed response that is accepted as a valid one.
Test(http_engine, broken_answers_may_have_run) {
  const RawServer server([](int number) {
    return number == 0 ? "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 50\r\n\r\nxy"
                       : http("200 OK", "\xff\xff\xff");
  });
  const auto engine = inline_engine();
  cr_assert(append(*engine, server.address()).error().verdict == Verdict::may_have_run);
  cr_assert(append(*engine, server.address()).error().verdict == Verdict::may_have_run);
}

// Guards against a call that never completes because the server does not respond.
Test(http_engine, silent_server_ends_in_a_timeout) {
  const RawServer server([](int) { return std::string("silent"); });
  const auto engine = inline_engine();
  const auto result = append(*engine, server.address(), std::chrono::milliseconds{100});
  cr_assert(result.error().code == ErrorCode::deadline_exceeded);
  cr_assert(result.error().verdict == Verdict::may_have_run);
}

// Guards against an unbounded queue, and against completions that are lost or invoked twice when
// the engine stops.
Test(http_engine, bounds_calls_and_fails_open_ones_at_stop) {
  const RawServer server([](int) { return std::string("silent"); });
  std::mutex mutex;
  std::vector<Error> errors;
  HttpEngineOptions options;
  options.max_active = 1;
  options.max_queued = 2;
  const auto engine = inline_engine(options);
  const auto log = make_http_log(*engine, server.address(), k_long);
  const auto append_one = [&] {
    log->append("global", "x", [&](auto result) {
      const std::lock_guard lock(mutex);
      errors.push_back(result.error());
    });
  };
  append_one();
  while (server.requests() == 0) {
    std::this_thread::yield();
  }
  for (int i = 0; i < 4; ++i) {
    append_one();
  }
  engine->stop();
  append_one();
  cr_assert_eq(errors.size(), 6U);
  std::map<std::pair<ErrorCode, Verdict>, int> seen;
  for (const Error& error : errors) {
    ++seen[{error.code, error.verdict}];
  }
  cr_assert_eq((seen[{ErrorCode::overloaded, Verdict::not_run}]), 2);
  cr_assert_eq((seen[{ErrorCode::unavailable, Verdict::may_have_run}]), 1);
  cr_assert_eq((seen[{ErrorCode::unavailable, Verdict::not_run}]), 3);
  cr_assert_eq(engine->stats().refused, 3U);
}
