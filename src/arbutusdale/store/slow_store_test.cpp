// Tests of many followers that read back what they have missed from a store with a limited rate.
#include "arbutusdale/store/partition_follower.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "rate_limited_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t k_daemons = 24;
constexpr std::uint32_t k_partitions = 5;
constexpr std::size_t k_record_bytes = 4'000;
constexpr std::size_t k_records = 100;  // missed in each partition
constexpr std::size_t k_followers = k_daemons * k_partitions;
constexpr std::size_t k_missed_bytes = k_followers * k_records * k_record_bytes;
/// Headers, the retries of the first reads, and the polls of those that have caught up.
constexpr double k_max_ratio_to_ideal = 2;

struct NoListener final : PartitionListener {
  void on_record(const Record& /*record*/) override {}
};

/// Followers of several daemons that were up to date when the store went away.
struct Fleet {
  FakeTimer timer;
  FakeStore fake{timer};
  RateLimitedStore store;
  NoListener listener;
  std::vector<std::unique_ptr<PartitionFollower>> followers;

  explicit Fleet(std::size_t bytes_per_second) : store(fake, timer, bytes_per_second) {
    for (std::uint32_t partition = 0; partition < k_partitions; ++partition) {
      fake.put({"topic", partition}, "key", "value");
    }
    for (std::size_t daemon = 0; daemon < k_daemons; ++daemon) {
      for (std::uint32_t partition = 0; partition < k_partitions; ++partition) {
        followers.push_back(std::make_unique<PartitionFollower>(
            store, timer, FollowerOptions{{"topic", partition}, 600, 300ms, daemon}, listener));
        followers.back()->start();
      }
    }
    timer.advance(1s);
  }

  /// The store is down, and has more records when it is back.
  void miss_records() {
    fake.down = true;
    timer.advance(1s);
    for (std::uint32_t partition = 0; partition < k_partitions; ++partition) {
      for (std::size_t i = 0; i < k_records; ++i) {
        fake.put({"topic", partition}, "key" + std::to_string(i), std::string(k_record_bytes, 'x'));
      }
    }
    fake.down = false;
  }

  /// True when every follower has read all that was appended before `since`.
  [[nodiscard]] bool is_current(TimePoint since) const {
    return std::all_of(followers.begin(), followers.end(),
                       [since](const auto& follower) { return follower->fresh_as_of() >= since; });
  }

  /// Time until all views are current, or `limit` if some are not by then.
  Duration time_until_current(Duration limit) {
    const TimePoint begin = timer.now();
    while (!is_current(begin) && timer.now() - begin < limit) {
      timer.advance(100ms);
    }
    return timer.now() - begin;
  }
};

void expect_current_in_time(Fleet& fleet, std::size_t bytes_per_second, Duration stall) {
  const auto ideal = std::chrono::milliseconds{k_missed_bytes * 1'000 / bytes_per_second};
  const Duration limit = std::chrono::duration_cast<Duration>(ideal * k_max_ratio_to_ideal) + stall;
  const Duration taken = fleet.time_until_current(limit);
  cr_expect_lt(taken, limit, "%zu bytes/s: %ld ms of at most %ld, %zu bytes sent, %zu time-outs",
               bytes_per_second, static_cast<long>(taken.count() / 1'000),
               static_cast<long>(limit.count() / 1'000), fleet.store.bytes_sent,
               fleet.store.timeouts);
}

}  // namespace

// Guards against followers that ask again for replies which the store is still sending, so that it
// sends more and more for nobody and no view becomes current.
Test(slow_store, views_become_current_within_twice_the_time_that_the_store_needs) {
  for (const std::size_t bytes_per_second : {16'000'000U, 8'000'000U, 4'000'000U, 2'000'000U}) {
    Fleet fleet(bytes_per_second);
    fleet.miss_records();
    expect_current_in_time(fleet, bytes_per_second, 0s);
  }
}

// Guards against the same after a pause of the store during which all reads time out, some of them
// more than once.
Test(slow_store, views_become_current_after_a_pause_of_the_store) {
  constexpr std::size_t k_bytes_per_second = 8'000'000;
  constexpr Duration k_pause = 5s;
  Fleet fleet(k_bytes_per_second);
  fleet.miss_records();
  fleet.store.stall(k_pause);
  expect_current_in_time(fleet, k_bytes_per_second, k_pause);
}
