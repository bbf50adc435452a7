// Tests of parts of the router that are hard to reach through its public interface.
#include <algorithm>
#include <map>
#include <string>

#include "fair_queue.hpp"
#include "slot_partition.hpp"
#include "spill.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::routing;

namespace {

constexpr auto k_ms = std::chrono::milliseconds{1};

PeerInfo far_peer(const std::string& daemon, Duration round_trip, double loss = 0.0) {
  return PeerInfo{daemon, "domain-" + daemon, daemon + ":80", 100, {}, round_trip, loss};
}

/// Number of calls out of 1000, each finished at once, that go to another domain.
int count_spills(SpillTable& table, Duration local_wait, TimePoint now) {
  int spilled = 0;
  for (int i = 0; i < 1000; ++i) {
    if (const auto target = table.take(local_wait, 10 * k_ms, {}, now)) {
      ++spilled;
      table.release(target->daemon, false, now);
    }
  }
  return spilled;
}

}  // namespace

// Guards against more than 9 daemons per worker in a large fleet, against uneven shares, and
// against slots that are assigned twice or not at all.
Test(partition, large_fleets_use_subsets) {
  constexpr std::uint32_t k_daemons = 260;
  constexpr std::uint32_t k_workers = 1'800;
  std::uint32_t smallest = ~0U;
  std::uint32_t largest = 0;
  std::map<std::uint32_t, std::uint32_t> known_by;
  std::map<std::uint32_t, std::uint32_t> assigned;
  for (std::uint32_t daemon = 0; daemon < k_daemons; ++daemon) {
    std::uint32_t own = 0;
    for (std::uint32_t rank = 0; rank < k_workers; ++rank) {
      const SlotPartition partition{k_daemons, daemon, 8};
      own += own_slots(partition, rank);
      assigned[rank] += own_slots(partition, rank);
      known_by[rank] += is_in_subset(partition, rank) ? 1 : 0;
    }
    smallest = std::min(smallest, own);
    largest = std::max(largest, own);
  }
  for (std::uint32_t rank = 0; rank < k_workers; ++rank) {
    cr_assert_eq(assigned[rank], 8U);
    cr_assert_eq(known_by[rank], 9U);
  }
  cr_assert_leq(largest - smallest, 1U);
}

// Guards against more connections than a worker allows, and against a share of zero.
Test(partition, connection_share) {
  cr_assert_eq(connection_share(64, 9), 6U);
  cr_assert_eq(connection_share(64, 1), 56U);
  cr_assert_eq(connection_share(64, 260), 6U);
  cr_assert_eq(connection_share(4, 9), 1U);
}

// Guards against weights without effect, and against an idle team that accumulates credit.
Test(fair_queue, serves_by_weight) {
  FairQueue queue;
  queue.set_teams({{"heavy", 3}, {"light", 1}});
  CallId next = 0;
  std::map<CallId, std::string> team_of;
  const auto push = [&](const std::string& team, int count) {
    for (int i = 0; i < count; ++i) {
      team_of[++next] = team;
      queue.push(next, team);
    }
  };
  const auto serve = [&](int count) {
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
      ++served[team_of[*queue.front()]];
      queue.pop();
    }
    return served;
  };
  push("heavy", 400);
  cr_assert_eq(serve(100)["heavy"], 100);
  push("light", 100);
  push("unknown-1", 100);
  push("unknown-2", 100);
  auto served = serve(100);
  cr_assert_float_eq(served["heavy"], 60, 2);
  cr_assert_float_eq(served["light"], 20, 2);
  // Unlisted teams share one queue, so made-up names gain no share.
  cr_assert_float_eq(served["unknown-1"] + served["unknown-2"], 20, 2);
}

// Guards against forwarding calls to another domain when they would be served sooner locally.
Test(spill, delay_loss_and_cost_count) {
  const TimePoint now{std::chrono::seconds{1}};
  SpillTable near{5 * k_ms, Duration{0}, 1};
  near.set_peers({far_peer("x", 8 * k_ms)}, now);
  cr_assert_eq(count_spills(near, 13 * k_ms, now), 0);
  cr_assert_eq(count_spills(near, 14 * k_ms, now), 1000);
  SpillTable lossy{5 * k_ms, Duration{0}, 1};
  lossy.set_peers({far_peer("x", 8 * k_ms, 0.1)}, now);
  cr_assert_eq(count_spills(lossy, 40 * k_ms, now), 0);
  cr_assert_eq(count_spills(lossy, 50 * k_ms, now), 1000);
}

// Guards against sending many calls to one peer on the basis of a single old load report.
Test(spill, calls_under_way_count) {
  const TimePoint now{std::chrono::seconds{1}};
  SpillTable table{5 * k_ms, Duration{0}, 1};
  table.set_peers({far_peer("x", 8 * k_ms)}, now);
  int spilled = 0;
  while (table.take(20 * k_ms, 10 * k_ms, {}, now)) {
    cr_assert_lt(++spilled, 200);
  }
  cr_assert_gt(spilled, 50);
}

// Guards against sending the full traffic to another domain right after its link recovered.
Test(spill, returns_gradually_after_a_failure) {
  TimePoint now{std::chrono::seconds{1}};
  SpillTable table{5 * k_ms, std::chrono::seconds{10}, 1};
  const auto wait = [&](int seconds) {
    for (int i = 0; i < seconds; ++i) {
      now += std::chrono::seconds{1};
      table.set_peers({far_peer("x", 8 * k_ms)}, now);
    }
  };
  wait(11);
  cr_assert_eq(count_spills(table, 50 * k_ms, now), 1000);
  table.take(50 * k_ms, 10 * k_ms, {}, now);
  table.release("x", true, now);
  cr_assert_eq(count_spills(table, 50 * k_ms, now), 0);
  wait(5);
  cr_assert_float_eq(count_spills(table, 50 * k_ms, now), 500, 80);
  wait(5);
  cr_assert_eq(count_spills(table, 50 * k_ms, now), 1000);
}
