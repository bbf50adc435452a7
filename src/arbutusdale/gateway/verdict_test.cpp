// Tests of verdicts, retries, deadlines and the at-most-once rule.
#include <algorithm>

#include "test_support.hpp"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace arbutusdale;
using namespace arbutusdale::gateway;
using namespace arbutusdale::gateway::testing;

namespace {

std::string verdict_of(const Reply& reply) {
  const auto document = nlohmann::json::parse(reply.body, nullptr, false);
  return document.is_object() ? document.value("verdict", "") : "";
}

std::size_t count_method(ScriptedTarget& target, const std::string& method) {
  const auto requests = target.requests();
  return static_cast<std::size_t>(
      std::count_if(requests.begin(), requests.end(),
                    [&](const auto& request) { return request.head.starts_with(method); }));
}

/// Adds one retry to the retry budget: the router allows one for every ten calls.
void add_retry_budget(TestGateway& gateway) {
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(call(gateway.port(), "GET", "/quote/earn").status(), 200);
  }
}

bool answer_ok(Connection& connection, const TargetRequest& /*request*/) {
  connection.send(answer_200("ok"));
  return true;
}

template <typename Condition>
void wait_until(Condition condition) {
  while (!condition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }
}

}  // namespace

// Guards against a refused connection reported as "may have run", which would keep callers from
// trying again.
Test(verdict, refused_connection_is_not_run) {
  TestGateway gateway({refusing_address()});
  const auto reply = call(gateway.port(), "POST", "/quote", "", "x");
  cr_assert_eq(reply.status(), 503);
  cr_assert(verdict_of(reply) == "not_run");
  cr_assert_not(reply.header("Retry-After").empty());
}

// Guards against a lost answer reported as "not run", and against sending such a call again.
Test(verdict, lost_answer_may_have_run) {
  ScriptedTarget target([](Connection&, const TargetRequest&) { return false; });
  TestGateway gateway({target.address(), target.address()});
  const auto reply = call(gateway.port(), "POST", "/quote", "", "x");
  cr_assert_eq(reply.status(), 502);
  cr_assert(verdict_of(reply) == "may_have_run");
  cr_assert_eq(target.requests().size(), 1);
}

// Guards against libcurl's implicit retry: it sends a request again when a reused connection closes
// before the first byte of the answer. One POST sent must be one POST received.
Test(verdict, closed_idle_connection_never_repeats_a_post) {
  ScriptedTarget target([](Connection& connection, const TargetRequest& request) {
    if (request.head.starts_with("POST")) {
      return false;
    }
    connection.send(answer_200("ok"));
    return true;
  });
  TestGateway gateway({target.address()});
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
    cr_assert(verdict_of(call(gateway.port(), "POST", "/quote", "", "x")) == "may_have_run");
  }
  cr_assert_eq(count_method(target, "POST"), 5);
}

// Guards against a new connection for every idempotent call.
Test(verdict, idempotent_calls_reuse_connections) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
  }
  cr_assert_eq(target.connections(), 1);
}

// Guards against idempotent calls that fail although another worker could serve them.
Test(verdict, idempotent_call_is_retried_elsewhere) {
  std::atomic<int> failures{0};
  const auto fail_first = [&](Connection& connection, const TargetRequest& request) {
    const bool fails = request.head.find("/earn") == std::string::npos && ++failures == 1;
    return !fails && answer_ok(connection, request);
  };
  ScriptedTarget first(fail_first);
  ScriptedTarget second(fail_first);
  TestGateway gateway({first.address(), second.address()});
  add_retry_budget(gateway);
  cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
  cr_assert_eq(failures, 2);
}

// Guards against a retry of a non-idempotent call after a 503, which does not prove that the first
// attempt was not executed.
Test(verdict, unavailable_answer_repeats_only_idempotent_calls) {
  const auto refuse = [](Connection& connection, const TargetRequest& request) {
    if (request.head.find("/earn") != std::string::npos) {
      return answer_ok(connection, request);
    }
    connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nX-Own: 1\r\n\r\nbusy");
    return true;
  };
  ScriptedTarget first(refuse);
  ScriptedTarget second(refuse);
  TestGateway gateway({first.address(), second.address()});
  add_retry_budget(gateway);
  const auto posted = call(gateway.port(), "POST", "/quote", "", "x");
  cr_assert_eq(posted.status(), 503);
  cr_assert(posted.body == "busy");
  cr_assert(posted.header("X-Own") == "1");
  cr_assert_eq(count_method(first, "POST") + count_method(second, "POST"), 1);
  call(gateway.port(), "GET", "/quote/again");
  cr_assert_eq(count_method(first, "GET /quote/again") + count_method(second, "GET /quote/again"),
               2);
}

// Guards against calls that outlive their deadline.
Test(verdict, deadline_ends_a_call_in_flight) {
  ScriptedTarget target([&](Connection&, const TargetRequest&) {
    target.wait_for_release();
    return false;
  });
  TestGateway gateway({target.address()});
  const auto reply =
      call(gateway.port(), "POST", "/quote", "Arbutusdale-Timeout-Ms: 1000\r\n", "x");
  cr_assert_eq(reply.status(), 504);
  cr_assert(verdict_of(reply) == "may_have_run");
  target.release();
}

// Guards against a call that hangs on a reused connection that no longer responds while new
// connections to the same worker do.
Test(verdict, silent_connection_is_given_up) {
  std::atomic<int> silent{0};
  ScriptedTarget target([&](Connection& connection, const TargetRequest& request) {
    if (request.head.find("/silent") != std::string::npos && ++silent == 1) {
      target.wait_for_release();
      return false;
    }
    return answer_ok(connection, request);
  });
  GatewayOptions options;
  options.min_silence = std::chrono::milliseconds{500};
  TestGateway gateway({target.address()}, options);
  gateway.service().p99_target = std::chrono::milliseconds{10};
  gateway.service().timeout = std::chrono::seconds{60};
  gateway.set_service({target.address()});
  add_retry_budget(gateway);
  cr_assert_eq(call(gateway.port(), "GET", "/quote/silent").status(), 200);
  cr_assert_eq(target.connections(), 2);
  target.release();
}

// Guards against targets reached through a proxy named in the environment.
Test(verdict, proxy_variables_are_ignored) {
  setenv("http_proxy", "http://127.0.0.1:1", 1);
  setenv("ALL_PROXY", "http://127.0.0.1:1", 1);
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
}

// Guards against a redirect that the gateway follows, to a host outside the declaration.
Test(verdict, redirects_are_passed_on) {
  ScriptedTarget target([](Connection& connection, const TargetRequest&) {
    connection.send("HTTP/1.1 302 Found\r\nLocation: /quote/other\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  TestGateway gateway({target.address()});
  const auto reply = call(gateway.port(), "GET", "/quote");
  cr_assert_eq(reply.status(), 302);
  cr_assert(reply.header("Location") == "/quote/other");
  cr_assert_eq(target.requests().size(), 1);
}

// Guards against a queued call that is sent although its caller has disconnected.
Test(verdict, queued_call_of_a_gone_caller_is_dropped) {
  ScriptedTarget target([&](Connection& connection, const TargetRequest& request) {
    if (request.head.find("/slow") != std::string::npos) {
      target.wait_for_release();
    }
    connection.send(answer_200("ok"));
    return true;
  });
  TestGateway gateway({});
  gateway.service().slots = 1;
  gateway.service().timeout = std::chrono::seconds{60};
  gateway.set_service({target.address()});
  const auto queued = [&] { return gateway->figures().at(0).queued; };
  std::thread slow([&] { call(gateway.port(), "GET", "/quote/slow"); });
  target.wait_for_requests(1);
  {
    Connection connection(connect_to(gateway.port()));
    connection.send("GET /quote/gone HTTP/1.1\r\nHost: g\r\n\r\n");
    wait_until([&] { return queued() == 1; });
  }
  wait_until([&] { return queued() == 0; });
  target.release();
  slow.join();
  cr_assert_eq(call(gateway.port(), "GET", "/quote/last").status(), 200);
  cr_assert_eq(target.requests().size(), 2);
  cr_assert(target.requests()[1].head.starts_with("GET /quote/last"));
}

// Guards against a queued call that is sent, or left without an answer, after its deadline.
Test(verdict, queued_call_past_its_deadline_is_not_run) {
  ScriptedTarget target([&](Connection& connection, const TargetRequest&) {
    target.wait_for_release();
    connection.send(answer_200("ok"));
    return true;
  });
  TestGateway gateway({});
  gateway.service().slots = 1;
  gateway.service().timeout = std::chrono::seconds{60};
  gateway.set_service({target.address()});
  std::thread slow([&] { call(gateway.port(), "GET", "/quote/slow"); });
  target.wait_for_requests(1);
  const auto reply = call(gateway.port(), "POST", "/quote", "Arbutusdale-Timeout-Ms: 100\r\n", "x");
  cr_assert_eq(reply.status(), 503);
  cr_assert(verdict_of(reply) == "not_run");
  target.release();
  slow.join();
  cr_assert_eq(target.requests().size(), 1);
}

// Guards against transfers that stall after others were aborted, when descriptors are reused.
Test(verdict, calls_after_timeouts_are_answered) {
  ScriptedTarget target([&](Connection& connection, const TargetRequest& request) {
    if (request.head.find("/hang") != std::string::npos) {
      target.wait_for_release();
      return false;
    }
    return answer_ok(connection, request);
  });
  TestGateway gateway({target.address()});
  std::vector<std::thread> callers;
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] {
      const auto hung =
          call(gateway.port(), "POST", "/quote/hang", "Arbutusdale-Timeout-Ms: 1000\r\n", "x");
      cr_assert_eq(hung.status(), 504);
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(call(gateway.port(), "GET", "/quote").status(), 200);
  }
  target.release();
}

// Guards against connections of non-idempotent calls that stay open: each call opens its own, and
// at 5 calls a second unclosed ones exceeded the 64 connections that a worker allows.
Test(verdict, fresh_connections_are_closed_after_their_call) {
  ScriptedTarget target([](Connection& connection, const TargetRequest&) {
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    return true;
  });
  TestGateway gateway({target.address()});
  constexpr int k_calls = 3;
  for (int i = 0; i < k_calls; ++i) {
    cr_assert_eq(call(gateway.port(), "POST", "/quote", "", "x").status(), 200);
  }
  cr_assert(target.wait_for_closed(k_calls));
}
