// Known failures, listed in KNOWN-RED.txt: a late poll of the earlier incarnation of a worker takes
// effect in the next one, whose clock and numbers of ends start anew.
#include <chrono>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

// Guards against a task that is started again after its success: the end was acknowledged, and so
// forgotten, by a poll that had been sent to the worker's earlier incarnation.
Test(node, a_late_poll_does_not_acknowledge_ends_of_the_next_incarnation) {
  Cluster cluster;
  cluster.timer.advance(1s);
  auto& path = cluster.daemons[cluster.leader()]->orders.path("w0");
  cluster.submit(cluster.leader(), 1, 1);
  cluster.timer.advance(1500ms);
  path.late_polls = 1;
  path.late_by = 4s;
  cluster.timer.advance(1s);
  cr_assert_eq(path.late_polls, 0);
  cluster.fleet.restart("w0");
  cluster.timer.advance(1s);
  cluster.submit(cluster.leader(), 2, 1);
  cluster.timer.advance(300ms);
  cr_assert_eq(cluster.fleet.at("w0").runs.size(), 1U);
  path.fault = PathFault::silent;
  cluster.timer.advance(3500ms);
  path.fault = PathFault::none;
  cluster.timer.advance(4s);
  cr_assert_eq(cluster.fleet.started_after_done, 0U);
}

// Guards against a second run of a task whose worker restarted: a poll that had been sent to the
// earlier incarnation extends the leases of the next one, beyond the time at which the leader,
// which does not reach the worker, takes them for expired. The next incarnation's clock starts
// anew.
Test(node, a_late_poll_does_not_extend_leases_of_the_next_incarnation) {
  Cluster cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
  cluster.timer.advance(2500ms);
  auto& path = cluster.daemons[cluster.leader()]->orders.path("w0");
  path.late_polls = 1;
  path.late_by = 6s;
  cluster.timer.advance(1s);
  cr_assert_eq(path.late_polls, 0);
  cluster.fleet.restart("w0");
  cluster.timer.advance(1s);
  cluster.submit(cluster.leader(), 1, 1);
  cluster.timer.advance(300ms);
  cr_assert_eq(cluster.fleet.at("w0").runs.size(), 1U);
  path.fault = PathFault::silent;
  cluster.timer.advance(8s);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}
