// Known failure, listed in KNOWN-RED.txt: the time of the last success of an append that was
// repeated is that of the repeat.
#include "arbutusdale/store/group_commit.hpp"

#include <chrono>

#include "fake_store_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::store;
using namespace std::chrono_literals;

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
