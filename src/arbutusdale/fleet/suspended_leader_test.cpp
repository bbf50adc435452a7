// A leader that was suspended, and whose successor does not reach all of its workers.
#include <chrono>
#include <cstdint>
#include <map>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// The leader of a cluster is suspended, and its successor does not reach the workers w0 and w1.
struct SuspendedLeader : Cluster {
  std::size_t first = 0;

  /// The first leader has started `tasks` tasks of 20 s, one second and `offset` before.
  SuspendedLeader(std::uint32_t tasks, Duration offset) {
    fleet.work_of = [](const jobs::TaskId&) { return 20s; };
    timer.advance(1s);
    first = leader();
    submit(first, 1, tasks);
    timer.advance(1s + offset);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      for (const char* worker : {"w0", "w1"}) {
        daemons[i]->orders.path(worker).fault = i == first ? PathFault::none : PathFault::silent;
      }
    }
    daemons[first]->process.suspend();
  }
  void resume() { daemons[first]->process.resume(); }
};

}  // namespace

// Guards against a leader that extends leases right after a suspension, beyond the time at which
// its successor takes the leases for expired.
Test(node, a_leader_that_was_suspended_extends_no_leases) {
  for (auto offset = 0ms; offset < 760ms; offset += 20ms) {
    SuspendedLeader cluster(8, offset);
    cluster.timer.advance(5200ms);
    cluster.resume();
    cluster.timer.advance(6s);
    cr_assert_eq(cluster.fleet.doubled, 0U, "suspended %ld ms later",
                 static_cast<long>(offset.count()));
  }
}

// Guards against a claim that a store answers as a repeat of an earlier claim of the same process.
Test(node, each_claim_of_a_process_has_a_number_of_its_own) {
  Cluster cluster(2);
  cluster.timer.advance(1s);
  const std::size_t first = cluster.leader();
  const std::size_t second = 1 - first;
  cluster.daemons[first]->process.suspend();
  cluster.timer.advance(5s);
  cluster.daemons[first]->process.resume();
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.leader(), second);
  cluster.daemons[second]->process.suspend();
  cluster.timer.advance(5s);
  cr_assert(cluster.daemons[first]->node->leads(jobs::k_first_shard));
  std::map<std::uint64_t, std::uint64_t> epochs;  // by number
  for (const store::ProducerStamp& claim : cluster.store.conditional) {
    const auto [found, added] = epochs.emplace(claim.sequence, claim.epoch);
    cr_assert(added || found->second == claim.epoch);
  }
  cr_assert_geq(epochs.size(), 3U);
}
