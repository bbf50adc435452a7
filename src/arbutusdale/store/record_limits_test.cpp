// Tests that group commit sends the store only appends that it takes.
#include "arbutusdale/store/group_commit.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

constexpr RecordLimits k_limits{1'000, 4'000};
constexpr Duration k_deadline = 1h;

struct SmallStore {
  FakeTimer timer;
  FakeStore store{timer};
  Partition partition{"topic", 0};
  GroupCommit commit{store, timer,        partition,          "leader", 1,
                     1,     std::nullopt, EpochPolicy::fixed, k_limits};

  SmallStore() { store.limits = k_limits; }

  std::optional<CommitOutcome> write(std::vector<KeyedValue> entries) {
    std::optional<CommitOutcome> written;
    commit.write(std::move(entries), timer.now() + k_deadline,
                 [&written](CommitOutcome outcome) { written = outcome; });
    timer.advance(2s);
    return written;
  }
  /// Keys of all records in their order.
  std::vector<std::string> keys() {
    std::vector<std::string> found;
    store.read({partition, 0, 0}, [&found](const tl::expected<ReadReply, ReadError>& reply) {
      for (const Record& record : reply->records) {
        found.push_back(record.entry.key);
      }
    });
    timer.advance(1s);
    return found;
  }
};

}  // namespace

// Guards against a write of many records, such as the progress of all jobs of a leader, that is
// sent as one append larger than the store takes, and is refused until its deadline.
Test(record_limits, a_write_of_many_records_is_cut_to_the_appends_that_the_store_takes) {
  SmallStore fixture;
  std::vector<KeyedValue> entries;
  std::vector<std::string> expected;
  for (int i = 0; i < 20; ++i) {
    expected.push_back("key" + std::to_string(i));
    entries.push_back({expected.back(), std::string(900, 'v')});
  }
  const auto outcome = fixture.write(entries);
  cr_assert(outcome.has_value());
  cr_expect(*outcome == CommitOutcome::stored);
  cr_expect_eq(fixture.store.too_large_appends, 0);
  cr_expect(fixture.keys() == expected);
}

// Guards against a write whose later part is lost while the writer takes it for stored.
Test(record_limits, a_write_in_parts_is_stored_only_once_all_parts_are) {
  SmallStore fixture;
  std::vector<KeyedValue> entries;
  for (int i = 0; i < 8; ++i) {
    entries.push_back({"key" + std::to_string(i), std::string(900, 'v')});
  }
  std::optional<CommitOutcome> written;
  fixture.commit.write(entries, fixture.timer.now() + k_deadline,
                       [&written](CommitOutcome outcome) { written = outcome; });
  fixture.timer.advance(12ms);
  cr_assert_eq(fixture.store.appends, 1);
  fixture.store.down = true;
  fixture.timer.advance(5s);
  cr_expect(!written.has_value());
  fixture.store.down = false;
  fixture.timer.advance(1s);
  cr_assert(written.has_value());
  cr_expect(*written == CommitOutcome::stored);
  cr_expect_eq(fixture.keys().size(), entries.size());
}

// Guards against a record that the store never takes and that holds up all writes behind it.
Test(record_limits, a_record_that_the_store_never_takes_is_refused_and_holds_up_no_other) {
  SmallStore fixture;
  const auto too_long_value = fixture.write({{"large", std::string(1'000, 'v')}});
  const auto too_long_key = fixture.write({{std::string(256, 'k'), "v"}});
  const auto next = fixture.write({{"small", "v"}});
  cr_assert(too_long_value && too_long_key && next);
  cr_expect(*too_long_value == CommitOutcome::refused);
  cr_expect(*too_long_key == CommitOutcome::refused);
  cr_expect(*next == CommitOutcome::stored);
  cr_expect_eq(fixture.store.too_large_appends, 0);
  cr_expect(fixture.keys() == std::vector<std::string>{"small"});
}
