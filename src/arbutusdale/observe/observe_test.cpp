// Tests of metrics, traces and log lines.
#include "arbutusdale/observe/logging.hpp"
#include "arbutusdale/observe/metrics.hpp"
#include "arbutusdale/observe/trace.hpp"

#include <cmath>
#include <sstream>
#include <thread>

#include "trace_json.hpp"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

using namespace arbutusdale::observe;

// Guards against quantiles that exceed the stated relative error, and against a non-zero quantile
// of an empty histogram.
Test(observe, quantiles_stay_within_a_bucket) {
  const auto histogram = make_histogram();
  cr_assert_eq(histogram->quantile(0.5), 0.0);
  for (int i = 1; i <= 1000; ++i) {
    histogram->record(i * 1e-3);
  }
  cr_assert_eq(histogram->count(), 1000);
  for (const double q : {0.5, 0.99, 0.999}) {
    const double value = histogram->quantile(q);
    cr_assert_geq(value, q);
    cr_assert_leq(value, q * 1.024);
  }
}

// Guards against values at the ends of the range that are lost or crash, and against a merge that
// loses counts.
Test(observe, extremes_and_merge_are_counted) {
  const auto histogram = make_histogram();
  const auto other = make_histogram();
  histogram->record(0);
  histogram->record(-1);
  other->record(1e9);
  histogram->merge(*other);
  cr_assert_eq(histogram->count(), 3);
  cr_assert_lt(std::abs(histogram->quantile(0.5) - 1e-6), 1e-9);
  cr_assert_lt(std::abs(histogram->quantile(1) - 1e3), 1e-6);
}

// Guards against counts lost when several threads record at once.
Test(observe, records_of_several_threads_add_up) {
  const auto histogram = make_histogram();
  const auto registry = make_registry();
  constexpr std::uint64_t k_records = 10'000;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (std::uint64_t i = 0; i < k_records; ++i) {
        histogram->record(0.01);
        registry->counter("records_total", "Records.").add();
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  cr_assert_eq(histogram->count(), 4 * k_records);
  cr_assert_eq(registry->counter("records_total", "Records.").value(), 4 * k_records);
}

// Guards against an exposition that a scraper rejects: unescaped labels, missing types, buckets
// that are not cumulative.
Test(observe, exposition_is_prometheus_text) {
  const auto registry = make_registry();
  registry->counter("calls_total", "Calls.", {{"service", "a\"b\\c\nd"}}).add(3);
  registry->gauge("depth", "Depth.").set(1.5);
  registry->histogram("wait_seconds", "Wait.", {{"service", "x"}}).record(0.05);
  const std::string text = registry->expose();
  const auto has = [&](const char* line) { return text.find(line) != std::string::npos; };
  cr_assert(has("# TYPE calls_total counter\ncalls_total{service=\"a\\\"b\\\\c\\nd\"} 3\n"));
  cr_assert(has("# HELP depth Depth.\n# TYPE depth gauge\ndepth 1.5\n"));
  cr_assert(has("# TYPE wait_seconds histogram\n"));
  cr_assert(has("wait_seconds_bucket{service=\"x\",le=\"0.01\"} 0\n"));
  cr_assert(has("wait_seconds_bucket{service=\"x\",le=\"0.1\"} 1\n"));
  cr_assert(has("wait_seconds_bucket{service=\"x\",le=\"+Inf\"} 1\n"));
  cr_assert(has("wait_seconds_sum{service=\"x\"} 0.05\n"));
  cr_assert(has("wait_seconds_count{service=\"x\"} 1\n"));
}

// Guards against malformed trace headers being accepted, and against a lossy round trip.
Test(observe, traceparent_is_validated) {
  const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
  const auto context = parse_traceparent(good);
  cr_assert(context.has_value());
  cr_assert(context->sampled);
  cr_assert(format_traceparent(*context) == good);
  const auto bad = {"",
                    "00",
                    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
                    "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                    "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                    "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                    "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01"};
  for (const char* header : bad) {
    cr_assert_not(parse_traceparent(header).has_value(), "%s", header);
  }
  cr_assert(parse_traceparent("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00-later"));
}

// Guards against spans that lose their trace, and against a buffer that grows without bound while
// no collector can be reached.
Test(observe, tracer_keeps_trace_and_bounds_buffer) {
  TracerOptions options;
  options.collector_url = "http://127.0.0.1:1/v1/traces";
  options.max_buffered = 2;
  std::uint64_t dropped = 0;
  {
    const auto tracer = make_tracer(options);
    const auto root = tracer->begin(std::nullopt);
    const auto child = tracer->begin(root);
    cr_assert_eq(root.trace_id.size(), 32);
    cr_assert_str_eq(child.trace_id.c_str(), root.trace_id.c_str());
    cr_assert_str_neq(child.span_id.c_str(), root.span_id.c_str());
    for (int i = 0; i < 1000; ++i) {
      tracer->end(Span{root, "", "entry", 1, 2, false, {}});
    }
    dropped = tracer->dropped();
  }
  cr_assert_gt(dropped, 0);
}

// Guards against documents that an OTLP collector rejects.
Test(observe, otlp_document_has_the_required_shape) {
  Span span{{std::string(32, 'a'), std::string(16, 'b'), true},
            std::string(16, 'c'),
            "target",
            1'700'000'000'000'000'001,
            1'700'000'000'000'000'002,
            true,
            {{"worker", "vm-\xff"}}};
  const auto document = nlohmann::json::parse(otlp_json("daemon", {span}));
  const auto& resource = document["resourceSpans"][0];
  cr_assert(resource["resource"]["attributes"][0]["value"]["stringValue"] == "daemon");
  const auto& wire = resource["scopeSpans"][0]["spans"][0];
  cr_assert(wire["traceId"] == std::string(32, 'a'));
  cr_assert(wire["parentSpanId"] == std::string(16, 'c'));
  cr_assert(wire["startTimeUnixNano"] == "1700000000000000001");
  cr_assert(wire["status"]["code"] == 2);
}

// Guards against messages whose characters end the JSON string or split the line.
Test(observe, json_log_lines_are_escaped) {
  std::ostringstream out;
  spdlog::logger logger("test", std::make_shared<spdlog::sinks::ostream_sink_mt>(out));
  logger.set_formatter(make_log_formatter(true));
  const std::string message = "quote \" backslash \\ newline \n control \x01 latin \xe9";
  logger.info("{}", message);
  const std::string line = out.str();
  cr_assert_eq(std::count(line.begin(), line.end(), '\n'), 1);
  const auto parsed = nlohmann::json::parse(line);
  cr_assert(parsed["level"] == "info");
  cr_assert(parsed["message"].get<std::string>().starts_with(message.substr(0, 43)));
}

// Guards against a misspelt level that silently turns the log off.
Test(observe, unknown_log_level_is_refused) {
  cr_assert_not(setup_logging({"loud", false}));
  cr_assert(setup_logging({"warning", true}));
}
