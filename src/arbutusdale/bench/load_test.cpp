// Tests of the load generator.
#include "arbutusdale/gateway/http_server.hpp"

#include "load_flags.hpp"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace arbutusdale;
using namespace arbutusdale::bench;

// Guards against parts of a stream that are ignored, and against values beyond the bounds, which
// would overload the machine.
Test(load, streams_are_parsed_and_bounded) {
  const auto stream = parse_stream("team=sales,path=/quote,rate=2.5,method=PUT,body=1024");
  cr_assert(stream.has_value());
  cr_assert(stream->team == "sales");
  cr_assert(stream->path == "/quote");
  cr_assert(stream->method == "PUT");
  cr_assert_eq(stream->rate, 2.5);
  cr_assert_eq(stream->body_bytes, 1'024);
  for (const char* bad : {"rate=0", "rate=-1", "rate=1e9", "rate=nan", "rate=", "speed=1", "team",
                          "path=quote", "body=x", "body=99999999999"}) {
    cr_assert_not(parse_stream(bad).has_value(), "%s", bad);
  }
}

// Guards against sent calls that are missing from the report, and against refusals and server
// errors that are counted as answers.
Test(load, every_call_is_reported_once) {
  gateway::HttpServerOptions options;
  options.listen = "127.0.0.1:0";
  const auto server = gateway::make_http_server(options, [](const auto& exchange) {
    if (exchange->target() == "/refused") {
      exchange->respond(
          gateway::problem(Error{ErrorCode::overloaded, Verdict::not_run, "the queue is full"}));
    } else {
      exchange->respond({{exchange->target() == "/error" ? 500 : 200, {}}, "ok"});
    }
  });
  cr_assert(server->start().has_value());
  LoadOptions load;
  load.address = "127.0.0.1:" + std::to_string(server->port());
  load.streams = {*parse_stream("path=/ok,rate=1000"), *parse_stream("path=/refused,rate=1000"),
                  *parse_stream("path=/error,rate=1000")};
  load.warm_up = Duration{0};
  load.max_calls = 300;
  const auto results = run_load(load);
  std::uint64_t calls = 0;
  for (const auto& result : results) {
    const auto ended = result.answered + result.server_errors + result.not_run +
                       result.may_have_run + result.failed;
    cr_assert_eq(result.sent, ended);
    calls += result.sent + result.skipped;
  }
  cr_assert_eq(calls, 300);
  cr_assert_eq(results[0].answered, results[0].sent);
  cr_assert_eq(results[0].latency->count(), results[0].sent);
  cr_assert_eq(results[1].not_run, results[1].sent);
  cr_assert_eq(results[2].server_errors, results[2].sent);
  const auto document = nlohmann::json::parse(format_json(load, results));
  cr_assert(document["streams"][1]["not_run"] == results[1].not_run);
}

// Guards against a schedule that depends on anything other than the seed.
Test(load, schedule_follows_the_seed) {
  const auto sent = [](std::uint64_t seed) {
    LoadOptions load;
    load.address = "127.0.0.1:1";  // refuses connections
    load.streams = {*parse_stream("rate=300"), *parse_stream("rate=700")};
    load.seed = seed;
    load.warm_up = Duration{0};
    load.max_calls = 200;
    return run_load(load)[0].sent;
  };
  cr_assert_eq(sent(7), sent(7));
}
