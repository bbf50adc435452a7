// Tests of the request path from callers to targets and back.
#include "test_support.hpp"
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace arbutusdale;
using namespace arbutusdale::gateway;
using namespace arbutusdale::gateway::testing;

namespace {

constexpr std::size_t k_large_bytes = 12'000'000;

bool answer_ok(Connection& connection, const TargetRequest& /*request*/) {
  connection.send(answer_200("hello"));
  return true;
}

std::string large_body() {
  std::string body(k_large_bytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>('a' + i % 23);
  }
  return body;
}

std::string chunk(const std::string& data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string without_chunks(std::string wire) {
  std::string body;
  while (!wire.empty()) {
    const auto end = wire.find("\r\n");
    const auto size = std::stoul(wire.substr(0, end), nullptr, 16);
    if (size == 0) {
      return body;
    }
    body += wire.substr(end + 2, size);
    wire.erase(0, end + 4 + size);
  }
  return "no last chunk";
}

}  // namespace

// Guards against a broken request path: request line, header fields and body must pass unchanged.
Test(proxy, get_passes_through) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  const auto reply = call(gateway.port(), "GET", "/quote/a%20b?x=%2F", "X-Own: kept\r\n");
  cr_assert_eq(reply.status(), 200);
  cr_assert(reply.body == "hello");
  const auto requests = target.requests();
  cr_assert_eq(requests.size(), 1);
  cr_assert(requests[0].head.starts_with("GET /quote/a%20b?x=%2F HTTP/1.1\r\n"));
  cr_assert(header_of(requests[0].head, "X-Own") == "kept");
  cr_assert(header_of(requests[0].head, "Host") == "gateway");
}

// Guards against hop-by-hop fields, secrets of the fleet and additions of libcurl that reach a
// target, and against a deadline that is not passed on.
Test(proxy, request_headers_are_end_to_end) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  call(gateway.port(), "POST", "/quote",
       "Connection: X-Named, keep-alive\r\nX-Named: dropped\r\nTE: trailers\r\n"
       "Keep-Alive: timeout=5\r\nProxy-Authorization: secret\r\nExpect: 100-continue\r\n"
       "Arbutusdale-Hop: guessed\r\nArbutusdale-Timeout-Ms: 5000\r\nX-Empty: \r\n",
       "body");
  const auto head = target.requests().at(0).head;
  for (const char* name : {"Connection", "X-Named", "TE", "Keep-Alive", "Proxy-Authorization",
                           "Expect", "Arbutusdale-Hop", "Accept", "Content-Type", "User-Agent"}) {
    cr_assert(header_of(head, name).empty(), "%s was passed on", name);
  }
  cr_assert(header_of(head, "Via") == "1.1 arbutusdale");
  const auto left = std::stoi(header_of(head, "Arbutusdale-Timeout-Ms"));
  cr_assert_gt(left, 0);
  cr_assert_leq(left, 5000);
  cr_assert(target.requests().at(0).body == "body");
}

// Guards against chunked request bodies that lose bytes.
Test(proxy, chunked_request_body_is_passed_whole) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  Connection connection(connect_to(gateway.port()));
  const std::string body = large_body().substr(0, 300'000);
  connection.send("PUT /quote HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n");
  connection.send(chunk(body.substr(0, 100'000)) + chunk(body.substr(100'000)) + "0\r\n\r\n");
  cr_assert(connection.read_head().starts_with("HTTP/1.1 200"));
  cr_assert(target.requests().at(0).body == body);
}

// Guards against answers that lose bytes, fields or their status, with and without a length.
Test(proxy, large_answers_pass_whole) {
  const std::string body = large_body();
  ScriptedTarget target([&](Connection& connection, const TargetRequest& request) {
    if (request.head.starts_with("GET /quote/chunked")) {
      connection.send(
          "HTTP/1.1 203 Other\r\nTransfer-Encoding: chunked\r\nSet-Cookie: a=1\r\n"
          "Set-Cookie: b=2\r\nConnection: X-Drop\r\nX-Drop: 1\r\n\r\n");
      connection.send(chunk(body) + "0\r\nX-Trailer: 1\r\n\r\n");
    } else {
      connection.send(answer_200(body));
    }
    return true;
  });
  TestGateway gateway({target.address()});
  const auto sized = call(gateway.port(), "GET", "/quote/sized");
  cr_assert(sized.header("Content-Length") == std::to_string(body.size()));
  cr_assert(sized.body == body);
  const auto chunked = call(gateway.port(), "GET", "/quote/chunked");
  cr_assert_eq(chunked.status(), 203);
  cr_assert(chunked.head.find("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n") != std::string::npos);
  cr_assert(chunked.header("X-Drop").empty());
  cr_assert(without_chunks(chunked.body) == body);
}

// Guards against unbounded buffering of an answer for a caller that does not read: backpressure
// must pause the target, which continues when the caller reads.
Test(proxy, slow_caller_pauses_the_target) {
  const std::string block(1'000'000, 'x');
  constexpr std::size_t k_blocks = 64;
  std::atomic<std::size_t> sent{0};
  ScriptedTarget target([&](Connection& connection, const TargetRequest&) {
    connection.send(
        fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", block.size() * k_blocks));
    for (; sent < k_blocks; ++sent) {
      connection.send(block);
    }
    return true;
  });
  TestGateway gateway({target.address()});
  Connection connection(connect_to(gateway.port()));
  connection.send("GET /quote HTTP/1.1\r\nHost: g\r\n\r\n");
  cr_assert(connection.read_head().starts_with("HTTP/1.1 200"));
  // The caller reads nothing; kernel and gateway buffers hold far less than the answer.
  std::size_t before = 0;
  do {
    before = sent;
    std::this_thread::sleep_for(std::chrono::milliseconds{300});
  } while (sent != before);
  cr_assert_lt(sent, k_blocks);
  cr_assert_eq(connection.read_body(block.size() * k_blocks).size(), block.size() * k_blocks);
}

// Guards against HEAD answers with a body or without the length that GET would have.
Test(proxy, head_keeps_length_without_body) {
  ScriptedTarget target([](Connection& connection, const TargetRequest& request) {
    cr_assert(request.head.starts_with("HEAD "));
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 12345\r\nX-Own: 1\r\n\r\n");
    return true;
  });
  TestGateway gateway({target.address()});
  const auto reply = call(gateway.port(), "HEAD", "/quote");
  cr_assert_eq(reply.status(), 200);
  cr_assert(reply.header("Content-Length") == "12345");
  cr_assert(reply.header("X-Own") == "1");
  cr_assert(reply.body.empty());
}

// Guards against a hang or a wrong framing of answers that never have a body.
Test(proxy, bodiless_and_interim_answers) {
  ScriptedTarget target([](Connection& connection, const TargetRequest& request) {
    const bool cached = request.head.find("/cached") != std::string::npos;
    connection.send("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
    connection.send(cached ? "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n"
                           : "HTTP/1.1 204 No Content\r\n\r\n");
    return true;
  });
  TestGateway gateway({target.address()});
  const auto cached = call(gateway.port(), "GET", "/quote/cached");
  cr_assert_eq(cached.status(), 304);
  cr_assert(cached.header("ETag") == "\"1\"");
  cr_assert(cached.header("Link").empty());
  cr_assert_eq(call(gateway.port(), "DELETE", "/quote").status(), 204);
}

// Guards against a truncated answer that a caller cannot tell from a complete one.
Test(proxy, truncated_answers_are_visible) {
  const std::string part(200'000, 'x');
  ScriptedTarget target([&](Connection& connection, const TargetRequest& request) {
    if (request.head.find("/chunked") != std::string::npos) {
      connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(part));
    } else if (request.head.find("/sized") != std::string::npos) {
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + part);
    } else {
      connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    }
    return false;
  });
  TestGateway gateway({target.address()});
  const auto sized = call(gateway.port(), "POST", "/quote/sized");
  cr_assert(sized.header("Content-Length") == "300000");
  cr_assert_lt(sized.body.size(), 300'000);
  const auto chunked = call(gateway.port(), "POST", "/quote/chunked");
  cr_assert_not(chunked.body.ends_with("0\r\n\r\n"));
  const auto small = call(gateway.port(), "POST", "/quote/small");
  cr_assert_eq(small.status(), 502);
  cr_assert(nlohmann::json::parse(small.body)["verdict"] == "may_have_run");
  // For an HTTP/1.0 caller the end of the connection is the end of the answer.
  Connection old(connect_to(gateway.port()));
  old.send("POST /quote/chunked HTTP/1.0\r\nContent-Length: 0\r\n\r\n");
  const auto head = old.read_head();
  cr_assert(head.starts_with("HTTP/1.") && head.substr(9, 3) == "502", "%s", head.c_str());
}

// Guards against unbounded request bodies, declared or chunked.
Test(proxy, large_request_bodies_are_refused) {
  ScriptedTarget target(answer_ok);
  GatewayOptions options;
  options.max_body_bytes = 1'000;
  TestGateway gateway({target.address()}, options);
  const auto declared = call(gateway.port(), "POST", "/quote", "", std::string(1'001, 'x'));
  cr_assert_eq(declared.status(), 413);
  Connection connection(connect_to(gateway.port()));
  connection.send("POST /quote HTTP/1.1\r\nHost: g\r\nTransfer-Encoding: chunked\r\n\r\n");
  connection.send(chunk(std::string(1'001, 'x')) + "0\r\n\r\n");
  cr_assert(connection.read_head().starts_with("HTTP/1.1 413"));
  cr_assert(target.requests().empty());
}

// Guards against paths of no declared service, also by dot segments that a target resolves.
Test(proxy, undeclared_paths_are_refused) {
  ScriptedTarget target(answer_ok);
  TestGateway gateway({target.address()});
  const auto unknown = call(gateway.port(), "GET", "/other");
  cr_assert_eq(unknown.status(), 404);
  cr_assert(unknown.header("Content-Type") == "application/problem+json");
  cr_assert(nlohmann::json::parse(unknown.body)["verdict"] == "not_run");
  cr_assert_eq(call(gateway.port(), "GET", "/quote/../admin").status(), 400);
  cr_assert_eq(call(gateway.port(), "GET", "/quote/%2E%2e/admin").status(), 400);
  cr_assert_eq(call(gateway.port(), "CONNECT", "/quote").status(), 405);
  cr_assert_eq(call(gateway.port(), "GET", "/quote", "Arbutusdale-Timeout-Ms: x\r\n").status(),
               400);
  cr_assert(target.requests().empty());
}
