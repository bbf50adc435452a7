// Tests of the request path from callers to targets and back.
#include "test_support.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::gateway;
using namespace arbutusdale::gateway::testing;

namespace {

bool answer_ok(Connection& connection, const TargetRequest& /*request*/) {
  connection.send(answer_200("hello"));
  return true;
}

}  // namespace

// Guards against a broken request path: request line, header fields and body must pass whole.
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
