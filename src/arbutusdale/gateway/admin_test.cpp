// Tests of the admin listener, traces, metrics and the graceful shutdown.
#include <algorithm>

#include "headers.hpp"
#include "test_support.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::gateway;
using namespace arbutusdale::gateway::testing;

namespace {

/// Echoes the request from another thread.
class EchoAdmin final : public AdminHandler {
 public:
  ~EchoAdmin() override {
    for (auto& thread : m_threads) {
      thread.join();
    }
  }

  void handle(AdminRequest request, std::function<void(AdminReply)> reply) override {
    m_threads.emplace_back([request = std::move(request), reply = std::move(reply)] {
      const auto role = std::string(to_string(request.principal.role));
      reply({202, "text/plain",
             request.method + " " + request.path + " " + request.query + " " + request.body + " " +
                 request.principal.name + " " + role});
    });
  }

 private:
  std::vector<std::thread> m_threads;
};

class FakeTracer final : public observe::Tracer {
 public:
  observe::TraceContext begin(const std::optional<observe::TraceContext>& parent) override {
    const std::lock_guard lock(m_mutex);
    const auto id = std::to_string(1'000'000'000'000'000 + ++m_count);
    return {parent ? parent->trace_id : std::string(32, 'a'), id, true};
  }

  void end(observe::Span span) override {
    const std::lock_guard lock(m_mutex);
    spans.push_back(std::move(span));
  }

  [[nodiscard]] std::uint64_t dropped() const override { return 0; }

  const observe::Span& find(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    return *std::find_if(spans.begin(), spans.end(),
                         [&](const auto& span) { return span.name == name; });
  }

  std::vector<observe::Span> spans;

 private:
  std::mutex m_mutex;
  int m_count = 0;
};

bool answer_ok(Connection& connection, const TargetRequest& /*request*/) {
  connection.send(answer_200("ok"));
  return true;
}

}  // namespace

// Guards against admin routes that are open without a token, or closed to a valid token.
Test(admin, tokens_guard_the_admin_routes) {
  EchoAdmin handler;
  TestGateway gateway({}, {}, nullptr, &handler);
  const auto port = gateway.admin_port();
  for (const char* field :
       {"", "Authorization: Bearer wrong-secr\r\n", "Authorization: Bearer \r\n",
        "Authorization: Basic op-secret\r\n", "Authorization: op-secret\r\n"}) {
    cr_assert_eq(call(port, "GET", "/v1/status", field).status(), 401, "%s", field);
  }
  const std::string token = "Authorization: Bearer op-secret\r\n";
  const auto reply = call(port, "POST", "/v1/plans?wait=1", token, "intent");
  cr_assert_eq(reply.status(), 202);
  cr_assert(reply.body == "POST /v1/plans wait=1 intent olga operator");
  cr_assert_eq(call(port, "GET", "/other", token).status(), 404);
  cr_assert_eq(call(port, "GET", "/v1", token).status(), 404);
  // The callers' listener serves no admin route.
  cr_assert_eq(call(gateway.port(), "GET", "/v1/status", token).status(), 404);
  cr_assert_eq(call(gateway.port(), "GET", "/metrics", token).status(), 404);
}

// Guards against wrong health answers, and against metrics that miss ended calls.
Test(admin, health_readiness_and_metrics) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  const auto port = gateway.admin_port();
  cr_assert_eq(call(port, "GET", "/healthz").status(), 200);
  const auto starting = call(port, "GET", "/readyz");
  cr_assert_eq(starting.status(), 503);
  cr_assert(starting.body == "not ready: starting\n");
  gateway->set_ready(true, "");
  cr_assert_eq(call(port, "GET", "/readyz").status(), 200);
  cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
  while (gateway->open_calls() > 0) {
    std::this_thread::yield();
  }
  const auto metrics = call(port, "GET", "/metrics").body;
  for (const char* line :
       {"arbutusdale_calls_total{service=\"quote\",verdict=\"answered\",status=\"2xx\"} 1\n",
        "arbutusdale_call_duration_seconds_count{service=\"quote\"} 1\n",
        "arbutusdale_queue_wait_seconds_count{service=\"quote\"} 1\n",
        "arbutusdale_retries_total{service=\"quote\"} 0\n",
        "arbutusdale_targets{service=\"quote\"} 1\n"}) {
    cr_assert(metrics.find(line) != std::string::npos, "%s", line);
  }
}

// Guards against traces that lose their parent between caller, gateway and target.
Test(admin, spans_form_one_trace) {
  ScriptedTarget target(answer_ok);
  FakeTracer tracer;
  TestGateway gateway({target.address()}, {}, nullptr, nullptr, &tracer);
  const std::string trace_id(32, 'b');
  const std::string caller_span(16, 'c');
  call(gateway.port(), "GET", "/quote",
       "traceparent: 00-" + trace_id + "-" + caller_span + "-01\r\n");
  while (gateway->open_calls() > 0) {
    std::this_thread::yield();
  }
  const auto& entry = tracer.find("entry");
  const auto& attempt = tracer.find("attempt");
  const auto& hop = tracer.find("target");
  cr_assert(entry.parent_span_id == caller_span);
  cr_assert(tracer.find("queue").parent_span_id == entry.context.span_id);
  cr_assert(attempt.parent_span_id == entry.context.span_id);
  cr_assert(hop.parent_span_id == attempt.context.span_id);
  cr_assert(hop.context.trace_id == trace_id);
  const auto sent = header_of(target.requests().at(0).head, "traceparent");
  cr_assert(sent == "00-" + trace_id + "-" + hop.context.span_id + "-01", "%s", sent.c_str());
}

// Guards against a shutdown that cuts off calls in flight, stays ready, or accepts connections.
Test(admin, drain_finishes_open_calls) {
  ScriptedTarget target([&](Connection& connection, const TargetRequest&) {
    target.wait_for_release();
    connection.send(answer_200("late"));
    return true;
  });
  TestGateway gateway({target.address()});
  gateway->set_ready(true, "");
  Connection caller(connect_to(gateway.port()));
  caller.send("POST /quote HTTP/1.1\r\nHost: g\r\nContent-Length: 1\r\n\r\nx");
  target.wait_for_requests(1);
  std::size_t cut_off = 1;
  std::thread drain([&] { cut_off = gateway->drain(); });
  while (call(gateway.admin_port(), "GET", "/readyz").status() != 503) {
  }
  int refused = connect_to(gateway.port());
  while (refused >= 0) {
    ::close(refused);
    refused = connect_to(gateway.port());
  }
  gateway->set_ready(true, "");
  cr_assert_eq(call(gateway.admin_port(), "GET", "/readyz").status(), 503);
  target.release();
  const auto head = caller.read_head();
  cr_assert(head.starts_with("HTTP/1.1 200"));
  cr_assert(header_of(head, "Connection") == "close");
  cr_assert(caller.read_to_end() == "late");
  drain.join();
  cr_assert_eq(cut_off, 0);
}

// Guards against a shutdown that hangs on, or leaks, calls that outlast the drain.
Test(admin, stop_ends_calls_that_outlast_the_drain) {
  ScriptedTarget target([&](Connection&, const TargetRequest&) {
    target.wait_for_release();
    return false;
  });
  GatewayOptions options;
  options.drain_timeout = std::chrono::milliseconds{10};
  {
    TestGateway gateway({target.address()}, options);
    Connection connection(connect_to(gateway.port()));
    connection.send("POST /quote HTTP/1.1\r\nHost: g\r\nContent-Length: 1\r\n\r\nx");
    target.wait_for_requests(1);
    cr_assert_eq(gateway->drain(), 1);
    cr_assert(connection.read_to_end().find("may_have_run") != std::string::npos);
  }
  target.release();
}

// Guards against request targets that leave the declared paths or break the request line.
Test(admin, request_targets_are_checked) {
  cr_assert(origin_form("http://host:1/quote?x=1").value_or("") == "/quote?x=1");
  cr_assert(origin_form("/quote/a..b/...").has_value());
  cr_assert(origin_form("/quote?x=/../").has_value());
  for (const char* bad : {"", "*", "quote", "host:443", "/a/..", "/./a", "/a/%2e%2E/b", "/a b",
                          "/a\tb", "/a#b", "https://host/a"}) {
    cr_assert_not(origin_form(bad).has_value(), "%s", bad);
  }
}

// Guards against numbers that overflow or are parsed only in part.
Test(admin, numbers_are_read_whole) {
  cr_assert_eq(parse_number(" 42 ").value_or(0), 42);
  for (const char* bad : {"", "-1", "+1", "4x", "0x4", "1 2", "18446744073709551616"}) {
    cr_assert_not(parse_number(bad).has_value(), "%s", bad);
  }
}
