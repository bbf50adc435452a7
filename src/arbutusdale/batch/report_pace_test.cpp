// Test of the interval between reports.
#include <string>

#include "shard_fixture.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch::testing;

namespace {

/// Reports requested per worker in 10 s when each report carries `padding` extra bytes.
std::size_t reports_in_ten_seconds(std::size_t padding) {
  ShardFixture fixture;
  constexpr int k_workers = 20;
  for (int i = 0; i < k_workers; ++i) {
    const auto id = "vm-" + std::to_string(i);
    fixture.add_vm(id);
    proto::platform::ServiceReport service;
    service.set_service(std::string(padding, 's'));
    fixture.agents.vm(id).services.push_back(service);
  }
  fixture.take_over();
  fixture.run(std::chrono::seconds{30});  // until the interval is stable
  const auto before = fixture.agents.reports;
  fixture.run(std::chrono::seconds{10});
  return (fixture.agents.reports - before) / k_workers;
}

}  // namespace

// Guards against reports that exceed the daemon's traffic budget of 20 KB per second, and against
// a long report interval although the reports are small.
Test(report_pace, large_reports_are_requested_less_often) {
  cr_assert_geq(reports_in_ten_seconds(50), 9U);
  // 20 workers with 2,000 bytes each allow one report every 4 s at 10 KB per second.
  const auto reports = reports_in_ten_seconds(2'000);
  cr_assert_leq(reports, 3U);
  cr_assert_geq(reports, 1U);
}
