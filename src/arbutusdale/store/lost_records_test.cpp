// Tests that a store which has lost acknowledged records is reported.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <chrono>
#include <cstdint>
#include <string>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

const Partition k_partition{"topic", 0};

class Ignore final : public PartitionListener {
 public:
  void on_record(const Record&) override {}
};

bool is_reported_once() {
  const std::string metrics = observe::process_metrics().expose();
  return metrics.find("store_lost_records\"} 1\n") != std::string::npos;
}

void append(FakeStore& store, FakeTimer& timer, std::uint64_t sequence, const std::string& value) {
  store.append({k_partition, {{"key", value}}, {}, ProducerStamp{"writer", 1, sequence}, 1s},
               [](const auto&) {});
  timer.advance(100ms);
}

}  // namespace

// Guards against a store that loses acknowledged records unnoticed while a daemon reads on.
Test(lost_records, a_lower_end_of_a_read_is_reported_once) {
  FakeTimer timer;
  FakeStore store(timer);
  append(store, timer, 1, "first");
  append(store, timer, 2, "second");
  Ignore listener;
  PartitionFollower follower(store, timer, {k_partition, 200}, listener);
  follower.start();
  timer.advance(1s);
  cr_expect_not(is_reported_once());
  store.forget_newest_append(k_partition, "writer");
  timer.advance(5s);
  cr_expect(is_reported_once());
}

// The same for a scan after records have expired.
Test(lost_records, a_lower_end_of_a_scan_is_reported) {
  FakeTimer timer;
  FakeStore store(timer);
  append(store, timer, 1, "first");
  append(store, timer, 2, "second");
  Ignore listener;
  PartitionFollower follower(store, timer, {k_partition, 60'000}, listener);
  follower.start();
  timer.advance(1s);
  store.down = true;
  timer.advance(61s);
  store.put(k_partition, "unread", "value");
  store.trim(k_partition);
  store.forget_newest_append(k_partition, "writer");
  store.down = false;
  timer.advance(2s);
  cr_expect(is_reported_once());
}
