// Tests that daemons with little processor time leave the leadership to stronger ones.
#include "arbutusdale/fleet/handover_policy.hpp"
#include "arbutusdale/fleet/leader_election.hpp"
#include "arbutusdale/fleet/loop_lag.hpp"
#include "arbutusdale/fleet/stronger_daemons.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr TimePoint k_now{Duration{1'000'000'000}};
constexpr double k_weak = 0.07;
constexpr double k_strong = 0.5;

/// Advances the time while callers submit jobs at `daemon`, two a second.
void advance_under_load(Cluster& cluster, std::size_t daemon, int seconds, std::uint32_t& number) {
  for (int i = 0; i < 2 * seconds; ++i) {
    cluster.submit(daemon, ++number);
    cluster.timer.advance(500ms);
  }
}

}  // namespace

// Guards against a weak daemon that keeps the leadership although a stronger one could take it, and
// against tasks that run twice or get lost in the change.
Test(weak_leader, hands_over_to_a_stronger_daemon_that_is_in_touch) {
  Cluster cluster(0);
  cluster.add(k_weak);
  cluster.timer.advance(2s);
  cr_assert_eq(cluster.leader(), 0U);
  cluster.add(k_strong);
  cluster.timer.advance(500ms);
  std::uint32_t number = 0;
  advance_under_load(cluster, 1, 8, number);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert_eq(cluster.leader(), 1U);
  cluster.timer.advance(5s);
  for (std::uint32_t i = 1; i <= number; ++i) {
    cr_assert(cluster.state(1, i) == JobState::COMPLETED, "job %u", i);
  }
  cr_assert_eq(std::count(cluster.outcomes.begin(), cluster.outcomes.end(), WriteOutcome::stored),
               number);
  cr_assert_eq(cluster.fleet.starts, 2 * number);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a handover that waits until all leases have expired.
Test(weak_leader, a_handover_takes_less_than_a_second) {
  Cluster cluster(0);
  cluster.add(k_weak);
  cluster.timer.advance(2s);
  cluster.add(k_strong);
  std::uint32_t number = 0;
  Duration without_leader{};
  for (int tenth = 0; tenth < 100; ++tenth) {
    if (tenth % 5 == 0) {
      cluster.submit(1, ++number);
    }
    cluster.timer.advance(100ms);
    without_leader += cluster.leaders() == 0 ? Duration{100ms} : Duration::zero();
  }
  cr_assert_eq(cluster.leader(), 1U);
  cr_assert_leq(without_leader.count(), Duration{1s}.count());
}

// Guards against lasting tasks that wait for leases to expire twice in a row: the leader hands over
// although a worker is out of reach, for which the next leader has to wait anew.
Test(weak_leader, does_not_hand_over_while_a_worker_is_out_of_reach) {
  Cluster cluster(0);
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  cluster.add(k_weak);
  cluster.timer.advance(2s);
  cluster.submit(0, 1, 8);
  cluster.timer.advance(1s);
  const std::string busy = cluster.fleet.at("w0").runs.empty() ? "w1" : "w0";
  cluster.add(k_strong);
  cluster.daemons[0]->orders.path(busy).fault = PathFault::silent;
  std::uint32_t number = 1;
  advance_under_load(cluster, 1, 8, number);
  cr_assert_eq(cluster.leader(), 0U);
  advance_under_load(cluster, 1, 9, number);
  cr_assert_eq(cluster.leader(), 1U, "the runs there have ended with their leases");
}

// Guards against a weak daemon that claims at once after its own restart, before stronger daemons
// can notice that the leader has ended.
Test(weak_leader, a_restarted_weak_leader_leaves_the_claim_to_stronger_daemons) {
  Cluster cluster(0);
  cluster.add(k_weak);
  cluster.timer.advance(2s);
  cluster.add(k_strong);
  std::uint32_t number = 0;
  advance_under_load(cluster, 1, 3, number);
  cr_assert_eq(cluster.leader(), 0U);
  // All machines lose their power.
  for (const auto& daemon : cluster.daemons) {
    daemon->kill();
  }
  for (std::size_t i = 0; i < 2; ++i) {
    cluster.restart(i);
  }
  for (int tenth = 0; tenth < 40; ++tenth) {
    cluster.timer.advance(100ms);
    cr_assert_neq(cluster.leader(), 0U);
  }
  cr_assert_eq(cluster.leader(), 1U);
}

// Guards against a failover that takes three seconds or more because weak daemons wait for a
// stronger one.
Test(weak_leader, another_strong_daemon_leads_within_three_seconds_of_a_crash) {
  Cluster cluster(0);
  for (int i = 0; i < 6; ++i) {
    cluster.add(i < 2 ? k_strong : k_weak);
  }
  cluster.timer.advance(1s);
  std::uint32_t number = 0;
  for (std::size_t daemon = 0; daemon < 6; ++daemon) {
    advance_under_load(cluster, daemon, 1, number);
  }
  const std::size_t crashed = cluster.leader();
  cr_assert_lt(crashed, 2U);
  const std::uint64_t starts = cluster.fleet.starts;
  cluster.daemons[crashed]->kill();
  cluster.submit(5, ++number);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leader(), 1 - crashed);
  cr_assert_gt(cluster.fleet.starts, starts);
}

// Guards against a fleet that stays without a leader when all its strong daemons have ended, and
// against two leaders then.
Test(weak_leader, a_weak_daemon_leads_when_all_strong_ones_have_ended) {
  Cluster cluster(0);
  for (int i = 0; i < 5; ++i) {
    cluster.add(i < 2 ? k_strong : k_weak);
  }
  cluster.timer.advance(1s);
  std::uint32_t number = 0;
  advance_under_load(cluster, 0, 2, number);
  advance_under_load(cluster, 1, 2, number);
  cluster.daemons[0]->kill();
  cluster.daemons[1]->kill();
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leaders(), 1);
  advance_under_load(cluster, 4, 10, number);
  cr_assert_eq(cluster.leaders(), 1);
  cluster.timer.advance(5s);
  cr_assert(cluster.state(4, number) == JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against weak daemons that wait for stronger ones which the fleet does not have.
Test(weak_leader, a_fleet_of_weak_daemons_elects_without_further_delay) {
  const FollowerState alone{true, k_now, 0ms};
  LeaderElection weak("weak", k_weak);
  weak.on_leadership_vacant(k_now);
  cr_assert(weak.should_claim(k_now + 280ms, alone));
  LeaderElection restarted("weak", k_weak);
  restarted.on_earlier_incarnation_led(k_now);
  cr_assert(restarted.should_claim(k_now + 280ms, alone));
  LeaderElection waiting("weak", k_weak);
  waiting.on_leader_activity(k_now);
  const TimePoint later = k_now + k_election_timeout + 280ms;
  cr_assert(waiting.should_claim(later, {true, later, 0ms}));
}

// Guards against a claim by whichever daemon happens to regain the store first: the election
// timeout has long passed then for all of them.
Test(weak_leader, the_claim_delay_counts_from_when_the_store_is_back) {
  LeaderElection weak("weak", k_weak);
  LeaderElection strong("strong", k_strong);
  for (LeaderElection* election : {&weak, &strong}) {
    election->on_leader_activity(k_now);
    for (int tenth = 0; tenth < 50; ++tenth) {
      cr_assert_not(election->should_claim(k_now + tenth * 100ms, {true, k_now, 0ms}));
    }
  }
  const TimePoint back = k_now + 5s;
  cr_assert_not(weak.should_claim(back, {true, back, 0ms, false, true}));
  cr_assert_not(weak.should_claim(back + 200ms, {true, back, 0ms, false, true}));
  cr_assert(strong.should_claim(back, {true, back, 0ms}));
  cr_assert(weak.should_claim(back + 500ms, {true, back, 0ms, false, true}));
}

// Guards against a weak daemon that takes the leadership that has just been handed over.
Test(weak_leader, defers_to_daemons_in_touch_after_a_release) {
  LeaderElection weak("weak", k_weak);
  weak.on_leadership_vacant(k_now);
  const TimePoint later = k_now + 900ms;
  cr_assert_not(weak.should_claim(later, {true, later, 0ms, true, true}));
  const TimePoint last = k_now + 1'300ms;
  cr_assert(weak.should_claim(last, {true, last, 0ms, true, true}));
}

// Guards against handovers in a row while the stronger daemons do not claim.
Test(weak_leader, hands_over_ever_more_rarely) {
  HandoverPolicy policy;
  int handovers = 0;
  for (int second = 0; second < 600; ++second) {
    handovers += policy.should_hand_over(k_now + second * 1s, {true, std::nullopt}) ? 1 : 0;
  }
  cr_assert_eq(handovers, 5);  // at 5, 35, 95, 215 and 455 s
}

// Guards against a lagging leader that waits as long as one that carries its work, and against a
// handover to nobody.
Test(weak_leader, a_lagging_leader_hands_over_soon) {
  HandoverPolicy policy;
  cr_assert_not(policy.should_hand_over(k_now, {false, k_now - 10s}));
  cr_assert_not(policy.should_hand_over(k_now, {true, k_now - 500ms}));
  cr_assert(policy.should_hand_over(k_now + 600ms, {true, k_now - 500ms}));
}

// Guards against a leader that hands over because its process was suspended once.
Test(weak_leader, one_long_pause_is_no_lasting_lag) {
  LoopLag lag;
  TimePoint now = k_now;
  for (int i = 0; i < 50; ++i) {
    now += i == 20 ? 5'000ms : 100ms;
    lag.on_tick(now);
    cr_assert(!lag.lagging_since() || now - *lag.lagging_since() < 500ms);
  }
  for (int i = 0; i < 20; ++i) {
    now += 400ms;
    lag.on_tick(now);
  }
  cr_assert(lag.lagging_since() && now - *lag.lagging_since() > 1s);
}

// Guards against a daemon that counts as in touch long after its last record, or after a restart of
// the reader, and against records that cannot be decoded.
Test(weak_leader, only_recent_records_show_that_a_daemon_is_in_touch) {
  const jobs::DaemonPresence strong{"strong", 500, 1'000'000};
  const auto decoded = jobs::decode_daemon_presence({0, jobs::encode(strong)});
  cr_assert(decoded && decoded->daemon == "strong" && decoded->cpu_millis == 500U &&
            decoded->wall_ms == 1'000'000U);
  for (const char* value : {"", "x", "500", "500 ", "500 x", "500 1 ", "-1 1"}) {
    cr_assert_not(jobs::decode_daemon_presence({0, {"dstrong", value}}));
  }
  StrongerDaemons stronger(k_weak);
  stronger.on_presence({"weak", 80, 0}, k_now);
  cr_assert_not(stronger.are_known(k_now));
  stronger.on_stored_presence(strong, 1'090'000, k_now);
  cr_assert_not(stronger.are_known(k_now));
  stronger.on_stored_presence(strong, 1'030'000, k_now);
  cr_assert(stronger.are_known(k_now));
  cr_assert_not(stronger.are_in_touch(k_now));
  stronger.on_presence(strong, k_now);
  cr_assert(stronger.are_in_touch(k_now + 4s));
  cr_assert_not(stronger.are_in_touch(k_now + 6s));
}
