// Tests of daemons whose claim of a shard's leadership gets a reply that belongs to another append.
#include <chrono>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// Advances the time in steps; false if several daemons lead after one of them.
bool has_at_most_one_leader(Cluster& cluster, Duration time) {
  const TimePoint end = cluster.timer.now() + time;
  while (cluster.timer.now() < end) {
    cluster.timer.advance(10ms);
    if (cluster.leaders() > 1) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against two leaders with the same fencing token: the store answers a daemon's claim with
// the reply to an earlier append, and stores the claim of another daemon.
Test(claim_reply, a_reply_that_names_another_offset_is_no_leadership) {
  for (const store::AppendReply& reply :
       {store::AppendReply{7, 8}, store::AppendReply{0, 0}, store::AppendReply{1, 1}}) {
    Cluster cluster(3);
    cluster.store.wrong_claim_reply = reply;
    cr_expect(has_at_most_one_leader(cluster, 5s), "reply with offset %lu and end %lu",
              static_cast<unsigned long>(reply.first_offset),
              static_cast<unsigned long>(reply.end));
    cr_expect_not(cluster.store.wrong_claim_reply.has_value());
    cr_expect_eq(cluster.leaders(), 1);
    cluster.submit(0, 1);
    cluster.timer.advance(5s);
    cr_expect_eq(cluster.fleet.starts, 2U);
    cr_expect(cluster.state(0, 1) == jobs::JobState::COMPLETED);
  }
}

// The same for a later leader, whose predecessor has ended.
Test(claim_reply, the_same_after_a_crash_of_the_leader) {
  Cluster cluster(3);
  cluster.timer.advance(1s);
  cluster.daemons[cluster.leader()]->kill();
  cluster.store.wrong_claim_reply = store::AppendReply{0, 1};
  cr_expect(has_at_most_one_leader(cluster, 8s));
  cr_expect_not(cluster.store.wrong_claim_reply.has_value());
  cr_expect_eq(cluster.leaders(), 1);
}
