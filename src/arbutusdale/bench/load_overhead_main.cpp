// arbutus-load-overhead: compares calls through the gateway with calls sent directly to the target.
// Target, gateway and load generator run in one process. Target and load generator are the same in
// both cases, so the additional CPU time of a call through the gateway is the cost of the gateway.
#include "arbutusdale/gateway/gateway.hpp"
#include "arbutusdale/gateway/http_server.hpp"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "load_flags.hpp"
#include <fmt/format.h>
#include <sys/resource.h>

namespace {

using namespace arbutusdale;
using namespace arbutusdale::bench;

constexpr std::size_t k_body_bytes = 1'024;
constexpr int k_rounds = 5;  // each one direct run and one through the gateway
constexpr unsigned k_target_threads = 2;

struct Sample {
  double p50_us = 0;
  double p99_us = 0;
  double cpu_us = 0;  // of the whole process, per answered call
  std::uint64_t answered = 0;
  std::uint64_t others = 0;  // calls with any other outcome
};

double process_cpu_us() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto us = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
  };
  return us(usage.ru_utime) + us(usage.ru_stime);
}

Sample measure(LoadOptions load, std::uint16_t port) {
  load.address = "127.0.0.1:" + std::to_string(port);
  const double before = process_cpu_us();
  const auto results = run_load(load);
  const double cpu = process_cpu_us() - before;
  const auto& result = results.front();
  Sample sample;
  sample.p50_us = result.latency->quantile(0.5) * 1e6;
  sample.p99_us = result.latency->quantile(0.99) * 1e6;
  sample.answered = result.answered;
  sample.others = result.sent + result.skipped - result.answered;
  sample.cpu_us = cpu / static_cast<double>(std::max<std::uint64_t>(1, result.answered));
  return sample;
}

double median(const std::vector<Sample>& samples, double Sample::*member) {
  std::vector<double> values;
  values.reserve(samples.size());
  for (const auto& sample : samples) {
    values.push_back(sample.*member);
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void print(const char* name, const std::vector<Sample>& samples) {
  std::uint64_t answered = 0;
  std::uint64_t others = 0;
  for (const auto& sample : samples) {
    answered += sample.answered;
    others += sample.others;
  }
  fmt::print(
      "{:<8} answered {:>8} other {:>4} p50 {:>8.1f} us p99 {:>8.1f} us cpu {:>7.1f} us/call\n",
      name, answered, others, median(samples, &Sample::p50_us), median(samples, &Sample::p99_us),
      median(samples, &Sample::cpu_us));
}

void compare(LoadOptions load, std::uint16_t target, std::uint16_t gateway) {
  std::vector<Sample> direct;
  std::vector<Sample> via_gateway;
  // Warms up both paths once. The rounds have no warm-up of their own, because its CPU time would
  // be counted.
  measure(load, target);
  measure(load, gateway);
  load.warm_up = Duration{0};
  for (int round = 0; round < k_rounds; ++round) {
    direct.push_back(measure(load, target));
    via_gateway.push_back(measure(load, gateway));
  }
  const auto& stream = load.streams.front();
  fmt::print("{} {} calls/s, {} bytes each way, {} rounds, medians, seed {}\n", stream.method,
             stream.rate, k_body_bytes, k_rounds, load.seed);
  print("direct", direct);
  print("gateway", via_gateway);
  const double cost = median(via_gateway, &Sample::cpu_us) - median(direct, &Sample::cpu_us);
  const auto ratio = [&](double Sample::*member) {
    return median(via_gateway, member) / median(direct, member);
  };
  const auto added = [&](double Sample::*member) {
    return median(via_gateway, member) - median(direct, member);
  };
  fmt::print(
      "gateway adds p50 {:.1f} us (x{:.2f}), p99 {:.1f} us (x{:.2f}); "
      "{:.1f} us CPU per call, {:.0f} calls/s per core\n",
      added(&Sample::p50_us), ratio(&Sample::p50_us), added(&Sample::p99_us),
      ratio(&Sample::p99_us), cost, 1e6 / std::max(cost, 1e-3));
}

int run(const LoadOptions& load) {
  gateway::HttpServerOptions target_options;
  target_options.listen = "127.0.0.1:0";
  target_options.threads = k_target_threads;
  const std::string body(k_body_bytes, 'y');
  const auto target = gateway::make_http_server(target_options, [&body](const auto& exchange) {
    exchange->respond({{200, {{"Content-Type", "text/plain"}}}, body});
  });
  const auto clock = make_system_clock();
  const auto registry = observe::make_registry();
  gateway::GatewayOptions options;
  options.daemon = "entry-1";
  options.caller_listen = "127.0.0.1:0";
  options.admin_listen = "127.0.0.1:0";
  gateway::GatewayParts parts;
  parts.router = routing::make_request_router({});
  parts.clock = clock.get();
  parts.registry = registry.get();
  const auto entry = gateway::make_gateway(options, std::move(parts));
  if (!target->start() || !entry->start()) {
    std::fputs("arbutus-load-overhead: cannot listen on loopback\n", stderr);
    return 1;
  }
  routing::ServiceConfig service;
  service.name = "bench";
  service.path_prefix = "/";
  service.slots = 64;
  entry->set_services({service}, {{"default", 1}});
  entry->set_targets("bench", {{"vm-1", "127.0.0.1:" + std::to_string(target->port()), false}});
  compare(load, target->port(), entry->caller_port());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::string error;
  auto flags = parse_load_flags(argc, argv, error);
  if (!flags) {
    std::fprintf(stderr, "arbutus-load-overhead: %s\n", error.c_str());
    return 2;
  }
  auto& stream = flags->load.streams.front();
  stream.method = stream.method == "GET" ? "PUT" : stream.method;
  stream.body_bytes = k_body_bytes;
  return run(flags->load);
}
