// Tests the metrics of reads.
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <string>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

const observe::Labels k_labels{{"topic", "measured"}};

std::uint64_t count_of(const std::string& name) {
  return observe::process_metrics().counter("arbutusdale_store_" + name, "", k_labels).value();
}

double reads_in_flight() {
  return observe::process_metrics()
      .gauge("arbutusdale_store_reads_in_flight", "", k_labels)
      .value();
}

struct NoListener final : PartitionListener {
  void on_record(const Record& /*record*/) override {}
};

}  // namespace

// Guards against metrics that miss reads, count an ended one as in flight, or leave out bytes.
Test(read_metrics, count_reads_records_bytes_and_errors) {
  FakeTimer timer;
  FakeStore store(timer);
  const Partition partition{"measured", 0};
  store.put(partition, "key", "value");
  NoListener listener;
  {
    PartitionFollower follower(store, timer, {partition, 1'000, 0ms}, listener);
    follower.start();
    cr_assert_eq(reads_in_flight(), 1);  // the scan
    timer.advance(50ms);
    cr_assert_eq(reads_in_flight(), 1);  // a read that waits for a record
    cr_assert_eq(count_of("reads_total"), 2U);
    cr_assert_eq(count_of("read_records_total"), 1U);
    cr_assert_eq(count_of("read_bytes_total"), 9U);
    store.down = true;
    timer.advance(10ms);
    cr_assert_eq(count_of("read_errors_total"), 1U);
    cr_assert_eq(count_of("read_timeouts_total"), 0U);
  }
  timer.advance(5s);
  cr_assert_eq(reads_in_flight(), 0);
}
