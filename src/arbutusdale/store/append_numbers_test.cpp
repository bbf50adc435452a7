// Tests that a sequence number of group commit stands for one batch only, whatever the store
// answers.
#include "arbutusdale/store/group_commit.hpp"
#include "arbutusdale/store/partition_follower.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

namespace {

const Partition k_partition{"topic", 0};
constexpr FailFastPolicy k_fail_fast{250ms, 800ms};

/// A writer of jobs, whose outcomes are remembered by key.
class Writer {
 public:
  Writer(FakeStore& store, FakeTimer& timer, EpochPolicy policy = EpochPolicy::rising)
      : m_timer(timer),
        m_commit(store, timer, k_partition, "writer", 1, 1,
                 policy == EpochPolicy::rising ? std::optional(k_fail_fast) : std::nullopt,
                 policy) {}

  std::map<std::string, CommitOutcome> outcomes;

  void write(const std::string& key, Duration deadline = 3s) {
    m_commit.write({{key, "v"}}, m_timer.now() + deadline,
                   [this, key](CommitOutcome outcome) { outcomes[key] = outcome; });
  }
  void run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += 100ms) {
      m_timer.advance(100ms);
      m_commit.expire();
    }
  }
  [[nodiscard]] bool is_stored(const std::string& key) const {
    const auto found = outcomes.find(key);
    return found != outcomes.end() && found->second == CommitOutcome::stored;
  }

 private:
  FakeTimer& m_timer;
  GroupCommit m_commit;
};

class Collector final : public PartitionListener {
 public:
  void on_record(const Record& record) override { values[record.entry.key] = record.entry.value; }

  std::map<std::string, std::string> values;
};

std::map<std::string, std::string> records_of(FakeStore& store, FakeTimer& timer) {
  Collector collector;
  PartitionFollower follower(store, timer, {k_partition, 100, 0ms}, collector);
  follower.start();
  timer.advance(1s);
  return collector.values;
}

}  // namespace

// Guards against a batch that the store takes for a repeat of one that it stored and refused: its
// records are reported as stored and are lost.
Test(append_numbers, the_number_of_a_refused_batch_is_not_used_again) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer writer(store, timer);
  store.false_refusals = 3;
  writer.write("first");
  writer.run(400ms);
  cr_assert(writer.outcomes["first"] == CommitOutcome::refused);
  writer.write("second");
  writer.run(1s);
  cr_assert(writer.is_stored("second"));
  cr_assert(records_of(store, timer).contains("second"));
  cr_assert_not(store.number_was_reused);
}

// The same, when the store compares numbers without their epochs.
Test(append_numbers, a_new_epoch_begins_with_a_new_number) {
  FakeTimer timer;
  FakeStore store(timer);
  store.repeats_ignore_epoch = true;
  Writer writer(store, timer);
  store.false_refusals = 3;
  writer.write("first");
  writer.run(400ms);
  cr_assert(writer.outcomes["first"] == CommitOutcome::refused);
  writer.write("second");
  writer.run(1s);
  cr_assert(writer.is_stored("second"));
  cr_assert(records_of(store, timer).contains("second"));
}

// The same, when the batch is sent again without the write whose deadline has passed.
Test(append_numbers, a_batch_that_lost_a_write_has_a_new_number) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer writer(store, timer);
  writer.write("before");
  writer.write("short", 150ms);
  writer.write("long");
  timer.advance(15ms);  // the second batch has been sent
  store.down = true;
  writer.run(200ms);
  store.down = false;
  writer.run(1s);
  cr_assert(writer.outcomes["short"] == CommitOutcome::refused);
  cr_assert(writer.is_stored("long"));
  cr_assert_not(store.number_was_reused);
  cr_assert_not(records_of(store, timer).contains("short"));
}

// Guards against a leader that steps down because a write without records used up a number that the
// store doesn't count.
Test(append_numbers, a_write_without_records_uses_no_number) {
  FakeTimer timer;
  FakeStore store(timer);
  store.empty_appends_count = false;
  GroupCommit leader(store, timer, k_partition, "leader", 7, 1);
  std::vector<CommitOutcome> outcomes;
  const std::vector<std::vector<KeyedValue>> writes{{{"first", "v"}}, {}, {{"second", "v"}}};
  for (const std::vector<KeyedValue>& entries : writes) {
    leader.write(entries, timer.now() + 1h,
                 [&outcomes](CommitOutcome outcome) { outcomes.push_back(outcome); });
    timer.advance(1s);
  }
  cr_assert(outcomes == std::vector<CommitOutcome>(3, CommitOutcome::stored));
}

// Guards against a confirmation that the store gave to an earlier batch, or to a part of this one.
Test(append_numbers, a_reply_to_another_append_confirms_nothing) {
  for (const AppendReply wrong : {AppendReply{0, 1}, AppendReply{1, 1}}) {
    FakeTimer timer;
    FakeStore store(timer);
    Writer writer(store, timer);
    writer.write("first");
    writer.run(200ms);
    store.wrong_reply = wrong;
    writer.write("second");
    timer.advance(20ms);
    cr_assert_not(writer.is_stored("second"));
    writer.run(1s);
    cr_assert(writer.is_stored("second"));
    cr_assert(records_of(store, timer).contains("second"));
  }
}

// Guards against a writer that adopts the store's lower count, and so sends a number that it has
// used for other records.
Test(append_numbers, a_store_that_counts_less_gets_a_new_epoch) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer writer(store, timer);
  writer.write("first");
  writer.run(200ms);
  store.forget_newest_append(k_partition, "writer");
  writer.write("second");
  writer.run(1s);
  writer.write("third");
  writer.run(1s);
  cr_assert(writer.is_stored("second") && writer.is_stored("third"));
  const auto stored = records_of(store, timer);
  cr_assert(stored.contains("second") && stored.contains("third"));
}

// Guards against a leader that goes on although the store does not count one of its records.
Test(append_numbers, a_leader_ends_when_the_store_counts_less) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer leader(store, timer, EpochPolicy::fixed);
  leader.write("first");
  leader.run(200ms);
  store.forget_newest_append(k_partition, "writer");
  leader.write("second");
  leader.run(1s);
  cr_assert(leader.outcomes["second"] == CommitOutcome::fenced);
  leader.write("third");
  cr_assert(leader.outcomes["third"] == CommitOutcome::fenced);
}

// Guards against writes that are refused while the store takes them, after a batch whose only
// confirmation was that the store expects the next number.
Test(append_numbers, a_number_that_is_behind_the_store_ends_the_failure) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer writer(store, timer);
  store.lost_replies = 1;
  store.forgets_replies = true;
  writer.write("first");
  writer.run(2s);
  cr_assert(writer.is_stored("first"));
  writer.write("second");
  writer.write("third");
  writer.run(1s);
  cr_assert(writer.is_stored("second") && writer.is_stored("third"));
}

// Guards against a batch that the store can't take, which would hold up all later writes.
Test(append_numbers, a_batch_that_is_never_settled_is_abandoned) {
  FakeTimer timer;
  FakeStore store(timer);
  Writer writer(store, timer);
  store.unreadable_replies = 1'000;
  writer.write("first", 1s);
  writer.run(11s);
  cr_assert(writer.outcomes["first"] == CommitOutcome::unknown);
  store.unreadable_replies = 0;
  writer.write("second");
  writer.run(500ms);
  cr_assert(writer.is_stored("second"));
}
