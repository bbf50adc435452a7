// Tests of the partition follower and of group commit, on a store with injected faults.
#include "arbutusdale/store/group_commit.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

const Partition k_partition{"topic", 0};

class Collector final : public PartitionListener {
 public:
  void on_record(const Record& record) override { values[record.entry.key] = record.entry.value; }
  void on_scan_complete() override { ++rescans; }

  std::map<std::string, std::string> values;
  int rescans = 0;
};

GroupCommit make_commit(FakeStore& store, FakeTimer& timer, std::uint64_t epoch = 1) {
  return {store, timer, k_partition, "writer", epoch, 1};
}

/// Returns at most two records for each read, as the platform's store returns at most MaxKb.
class BoundedReads final : public MetadataStore {
 public:
  explicit BoundedReads(FakeStore& inner) : m_inner(inner) {}
  void append(AppendRequest request, AppendDone done) override {
    m_inner.append(std::move(request), std::move(done));
  }
  void read(ReadRequest request, ReadDone done) override {
    const auto from = request.from;
    m_inner.read(std::move(request), [from, done](tl::expected<ReadReply, ReadError> r) {
      if (r && r->records.size() > 2) {
        r->records.resize(2);
        r->next_offset = from + 2;
      }
      done(std::move(r));
    });
  }
  void scan(Partition p, std::string after, ScanDone done) override {
    m_inner.scan(std::move(p), std::move(after), std::move(done));
  }

 private:
  FakeStore& m_inner;
};

/// Holds back the reply to the first read, which a later read overtakes.
class OvertakenRead final : public MetadataStore {
 public:
  explicit OvertakenRead(FakeStore& inner) : m_inner(inner) {}
  void append(AppendRequest request, AppendDone done) override {
    m_inner.append(std::move(request), std::move(done));
  }
  void read(ReadRequest request, ReadDone done) override {
    if (m_reads++ > 0) {
      m_inner.read(std::move(request), std::move(done));
      return;
    }
    m_inner.read(std::move(request), [this, done](tl::expected<ReadReply, ReadError> reply) {
      release = [done, reply] { done(reply); };
    });
  }
  void scan(Partition p, std::string after, ScanDone done) override {
    m_inner.scan(std::move(p), std::move(after), std::move(done));
  }

  std::function<void()> release;  // delivers the reply that was held back

 private:
  FakeStore& m_inner;
  int m_reads = 0;
};

/// Counts records.
struct RecordCount final : PartitionListener {
  std::size_t seen = 0;
  void on_record(const Record&) override { ++seen; }
};

}  // namespace

// Guards against a follower that loses records between the pages of its scan and its first read.
Test(partition_follower, reads_all_keys_and_later_records) {
  FakeTimer timer;
  FakeStore store(timer);
  for (int i = 0; i < 10; ++i) {
    store.put(k_partition, "key" + std::to_string(i), "old");
  }
  Collector collector;
  PartitionFollower follower(store, timer, {k_partition, 1'000, 0ms}, collector);
  follower.start();
  timer.advance(15ms);
  store.put(k_partition, "key1", "new");
  store.put(k_partition, "late", "new");
  timer.advance(200ms);
  cr_assert(follower.is_loaded());
  cr_assert_eq(collector.values.size(), 11U);
  cr_assert_eq(collector.values["key1"], "new");
}

// Guards against a follower that stops, or misses values, when records expire before it reads them.
Test(partition_follower, scans_again_when_records_expired) {
  FakeTimer timer;
  FakeStore store(timer);
  store.put(k_partition, "a", "1");
  Collector collector;
  PartitionFollower follower(store, timer, {k_partition, 1'000, 500ms}, collector);
  follower.start();
  timer.advance(100ms);
  store.put(k_partition, "b", "1");
  timer.advance(50ms);
  store.put(k_partition, "c", "1");
  store.trim(k_partition);
  timer.advance(1s);
  cr_assert_eq(collector.rescans, 2);
  cr_assert_eq(collector.values["c"], "1");
}

// Guards against a daemon that treats an old view as current while the store is down.
Test(partition_follower, becomes_stale_while_the_store_is_down) {
  FakeTimer timer;
  FakeStore store(timer);
  store.put(k_partition, "a", "1");
  Collector collector;
  PartitionFollower follower(store, timer, {k_partition, 500, 0ms}, collector);
  follower.start();
  timer.advance(2s);
  cr_assert_lt(timer.now() - *follower.fresh_as_of(), 700ms);
  store.down = true;
  timer.advance(3s);
  cr_assert_gt(timer.now() - *follower.fresh_as_of(), 2s);
  store.down = false;
  timer.advance(1s);
  cr_assert_lt(timer.now() - *follower.fresh_as_of(), 700ms);
}

// Guards against one append per record, which would exceed the append rate of the store.
Test(group_commit, shares_appends) {
  FakeTimer timer;
  FakeStore store(timer);
  GroupCommit commit = make_commit(store, timer);
  int stored = 0;
  for (int i = 0; i < 50; ++i) {
    commit.write({{"key" + std::to_string(i), "v"}}, timer.now() + 3s,
                 [&](CommitOutcome outcome) { stored += outcome == CommitOutcome::stored; });
  }
  timer.advance(100ms);
  cr_assert_eq(stored, 50);
  cr_assert_eq(store.appends, 2);
}

// Guards against a record that is stored twice or reported as lost when only the reply was lost.
Test(group_commit, repeats_an_append_without_an_answer) {
  FakeTimer timer;
  FakeStore store(timer);
  store.lost_replies = 2;
  GroupCommit commit = make_commit(store, timer);
  std::vector<CommitOutcome> outcomes;
  commit.write({{"key", "v"}}, timer.now() + 3s,
               [&](CommitOutcome outcome) { outcomes.push_back(outcome); });
  timer.advance(3s);
  cr_assert_eq(outcomes.size(), 1U);
  cr_assert(outcomes[0] == CommitOutcome::stored);
  cr_assert_eq(store.appends, 1);
}

// Guards against an old value that wins when a delayed append reaches the store after its own retry
// and after newer records.
Test(group_commit, a_late_append_changes_nothing) {
  FakeTimer timer;
  FakeStore store(timer);
  store.late_appends = 1;
  GroupCommit commit = make_commit(store, timer);
  commit.write({{"key", "old"}}, timer.now() + 3s, [](CommitOutcome) {});
  timer.advance(1s);
  commit.write({{"key", "new"}}, timer.now() + 3s, [](CommitOutcome) {});
  timer.advance(10s);
  Collector collector;
  PartitionFollower follower(store, timer, {k_partition, 100, 0ms}, collector);
  follower.start();
  timer.advance(1s);
  cr_assert_eq(collector.values["key"], "new");
  cr_assert_eq(store.appends, 2);
}

// Guards against a record that is stored although its write was reported as refused.
Test(group_commit, a_refused_write_is_never_stored) {
  FakeTimer timer;
  FakeStore store(timer);
  store.down = true;
  GroupCommit commit = make_commit(store, timer);
  std::vector<CommitOutcome> outcomes;
  commit.write({{"key", "v"}}, timer.now() + 1s,
               [&](CommitOutcome outcome) { outcomes.push_back(outcome); });
  for (int i = 0; i < 20; ++i) {
    timer.advance(100ms);
    commit.expire();
  }
  cr_assert_eq(outcomes.size(), 1U);
  cr_assert(outcomes[0] == CommitOutcome::refused);
  store.down = false;
  timer.advance(5s);
  cr_assert_eq(store.appends, 0);
}

// Guards against "refused" for a write that was sent and got no reply, so that it may be stored.
Test(group_commit, reports_unknown_when_the_deadline_passes_without_a_reply) {
  FakeTimer timer;
  FakeStore store(timer);
  store.late_appends = 10;
  GroupCommit commit = make_commit(store, timer);
  std::vector<CommitOutcome> outcomes;
  commit.write({{"key", "v"}}, timer.now() + 500ms,
               [&](CommitOutcome outcome) { outcomes.push_back(outcome); });
  for (int i = 0; i < 10; ++i) {
    timer.advance(100ms);
    commit.expire();
  }
  cr_assert_eq(outcomes.size(), 1U);
  cr_assert(outcomes[0] == CommitOutcome::unknown);
}

// Guards against records of an earlier leader that are stored after its successor has started.
Test(group_commit, is_fenced_by_a_higher_epoch) {
  FakeTimer timer;
  FakeStore store(timer);
  GroupCommit earlier = make_commit(store, timer, 1);
  GroupCommit later = make_commit(store, timer, 2);
  earlier.write({{"key", "1"}}, timer.now() + 1s, [](CommitOutcome) {});
  timer.advance(50ms);
  later.write({{"key", "2"}}, timer.now() + 1s, [](CommitOutcome) {});
  timer.advance(50ms);
  std::vector<CommitOutcome> outcomes;
  earlier.write({{"key", "3"}}, timer.now() + 1s,
                [&](CommitOutcome outcome) { outcomes.push_back(outcome); });
  timer.advance(50ms);
  cr_assert_eq(outcomes.size(), 1U);
  cr_assert(outcomes[0] == CommitOutcome::fenced);
  cr_assert_eq(store.appends, 2);
}

// Guards against callers that wait until their deadline while the store refuses every append (2.9 s
// until "may have run" in steinbacher trouble-3), and against a record that is stored although its
// write was reported as refused.
Test(group_commit, fails_fast_when_the_store_refuses) {
  FakeTimer timer;
  FakeStore store(timer);
  store.down = true;
  GroupCommit commit(store, timer, k_partition, "writer", 1, 1, FailFastPolicy{250ms, 800ms});
  std::vector<CommitOutcome> outcomes;
  const auto collect = [&](CommitOutcome outcome) { outcomes.push_back(outcome); };
  commit.write({{"first", "v"}}, timer.now() + 3s, collect);
  timer.advance(50ms);
  commit.write({{"second", "v"}}, timer.now() + 3s, collect);
  timer.advance(450ms);
  cr_assert(outcomes == std::vector<CommitOutcome>(2, CommitOutcome::refused));
  store.down = false;
  timer.advance(1s);
  cr_assert_eq(store.appends, 0);
  commit.write({{"third", "v"}}, timer.now() + 3s, collect);
  timer.advance(100ms);
  cr_assert(outcomes.back() == CommitOutcome::stored);
}

// Guards against new writes that wait behind an append which has had no reply for a long time.
Test(group_commit, refuses_new_writes_behind_an_append_without_a_reply) {
  FakeTimer timer;
  FakeStore store(timer);
  store.late_appends = 100;
  GroupCommit commit(store, timer, k_partition, "writer", 1, 1, FailFastPolicy{250ms, 800ms});
  std::vector<CommitOutcome> outcomes;
  commit.write({{"first", "v"}}, timer.now() + 3s, [](CommitOutcome) {});
  timer.advance(1200ms);
  commit.write({{"second", "v"}}, timer.now() + 3s,
               [&](CommitOutcome outcome) { outcomes.push_back(outcome); });
  cr_assert(outcomes == std::vector<CommitOutcome>{CommitOutcome::refused});
}

// Guards against a leader that believes its record to be newer than it is: the first attempt was
// stored, its reply was lost, and the store confirms the repeat without storing it again.
Test(group_commit, a_confirmed_repeat_counts_from_the_first_attempt) {
  FakeTimer timer;
  FakeStore store(timer);
  GroupCommit commit(store, timer, {"topic", 0}, "writer", 1, 1);
  store.lost_replies = 2;
  const TimePoint first_sent = timer.now();
  bool stored = false;
  commit.write({{"key", "value"}}, timer.now() + 10s,
               [&stored](CommitOutcome outcome) { stored = outcome == CommitOutcome::stored; });
  timer.advance(5s);
  cr_assert(stored);
  cr_assert_eq(store.appends, 1);
  cr_assert_leq(commit.last_success_sent()->time_since_epoch().count(),
                first_sent.time_since_epoch().count());
}

// Guards against a leader that takes the jobs for read though a read returned only some of them.
Test(partition_follower, a_partial_read_is_not_fresh) {
  FakeTimer timer;
  FakeStore inner(timer);
  BoundedReads bounded(inner);
  RecordCount count;
  const Partition partition{"t", 0};
  inner.put(partition, "a", "1");
  PartitionFollower follower(bounded, timer, {partition, 1'000, 300ms}, count);
  follower.start();
  timer.advance(100ms);
  const std::size_t before = count.seen;
  for (int i = 0; i < 9; ++i) {
    inner.put(partition, fmt::format("k{}", i), "1");
  }
  timer.advance(6ms);  // the pending read has returned the first two
  const TimePoint began = timer.now();
  follower.catch_up();
  timer.advance(30ms);
  if (follower.fresh_as_of() >= began) {
    cr_assert_eq(count.seen - before, 9U, "caught up after %zu of 9 records", count.seen - before);
  }
}

// Guards against a daemon whose view of a job falls back for good, since the reply to a read
// arrives after that to a later one.
Test(partition_follower, an_overtaken_reply_replaces_no_newer_record) {
  FakeTimer timer;
  FakeStore inner(timer);
  OvertakenRead store(inner);
  Collector collector;
  inner.put(k_partition, "job", "1");
  PartitionFollower follower(store, timer, {k_partition, 1'000, 0ms}, collector);
  follower.start();
  timer.advance(15ms);
  inner.put(k_partition, "job", "2");
  timer.advance(50ms);  // the read has returned this record, and its reply is held back
  inner.put(k_partition, "job", "3");
  follower.catch_up();
  timer.advance(50ms);
  cr_assert_eq(collector.values["job"], "3");
  store.release();
  cr_assert_eq(collector.values["job"], "3");
}
