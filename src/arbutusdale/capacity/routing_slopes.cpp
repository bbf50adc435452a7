// Measures the CPU time of the routing decisions of one call and the memory of the router, both as
// functions of the number of workers.
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <string>

#include "measure.hpp"

namespace arbutusdale::capacity {
namespace {

constexpr double k_us_per_second = 1e6;
constexpr int k_calls = 20'000;

std::vector<routing::TargetInfo> targets(std::uint32_t workers) {
  std::vector<routing::TargetInfo> list;
  for (std::uint32_t i = 0; i < workers; ++i) {
    list.push_back({"halle-a-vm-" + std::to_string(i), "10.1.0.1:" + std::to_string(i), false});
  }
  return list;
}

struct Cost {
  double us_per_call = 0;
  double heap = 0;
};

Cost run(std::uint32_t workers) {
  FakeClock clock;
  const auto heap = heap_bytes();
  routing::RouterOptions options;
  options.daemon = "entry-1";
  options.domain = "halle-a";
  const auto router = routing::make_request_router(options);
  routing::ServiceConfig service;
  service.name = "orders";
  service.path_prefix = "/orders";
  router->set_services({service}, {{"default", 1}});
  router->set_targets("orders", targets(workers), clock.now());
  const auto begin = cpu_seconds();
  for (int i = 0; i < k_calls; ++i) {
    clock.advance(std::chrono::milliseconds{1});
    const routing::Call call{"orders", "default", true, false,
                             clock.now() + std::chrono::seconds{1}};
    (void)router->submit(call, clock.now());
    for (const auto& assignment : router->take_assignments(clock.now())) {
      router->finish_attempt(assignment.call,
                             {routing::AttemptResult::answered, std::chrono::milliseconds{5}},
                             clock.now());
    }
  }
  Cost cost;
  cost.us_per_call = (cpu_seconds() - begin) * k_us_per_second / k_calls;
  cost.heap = static_cast<double>(heap_bytes()) - static_cast<double>(heap);
  return cost;
}

}  // namespace

std::vector<Row> measure_routing() {
  std::vector<Point> cpu;
  std::vector<Point> heap;
  for (const std::uint32_t workers : {50U, 450U, 1'800U, 14'000U}) {
    const auto cost = run(workers);
    cpu.push_back({static_cast<double>(workers), cost.us_per_call});
    heap.push_back({static_cast<double>(workers), cost.heap});
  }
  return {make_row("routing: one call, submit to finish", "us/worker", cpu),
          make_row("routing: memory per service", "B/worker", heap)};
}

}  // namespace arbutusdale::capacity
