// Starts that are sent twice, because the connection of the first order broke: one of the two is
// carried out late.
#include <chrono>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// The only task runs on w0; the other order of its start arrives 5 s after the first.
struct RepeatedStart : Cluster {
  explicit RepeatedStart(Duration work) {
    fleet.work_of = [work](const jobs::TaskId&) { return work; };
    timer.advance(1s);
    auto& path = daemons[leader()]->orders.path("w0");
    path.broken_starts = 1;
    path.late_by = 5s;
    submit(leader(), 1, 1);
    timer.advance(1s);
    cr_assert_eq(path.broken_starts, 0);
  }
};

}  // namespace

// Guards against a second run of a task whose worker restarted: the task is started elsewhere, and
// the other order of its first start reaches the new incarnation.
Test(node, the_other_order_of_a_start_does_not_double_a_task) {
  RepeatedStart cluster(20s);
  cluster.timer.advance(2500ms);
  cluster.fleet.restart("w0");
  cluster.timer.advance(10s);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a run of a task that is done: the other order of its start reaches the new
// incarnation of its worker.
Test(node, the_other_order_of_a_start_does_not_repeat_a_task_that_is_done) {
  RepeatedStart cluster(500ms);
  cluster.timer.advance(1s);
  cr_assert(cluster.state(cluster.leader(), 1) == jobs::JobState::COMPLETED);
  cluster.fleet.restart("w0");
  cluster.timer.advance(10s);
  cr_assert_eq(cluster.fleet.started_after_done, 0U);
}

// Guards against a second run of a task whose worker restarted after a later run had begun there:
// the stop that goes to the next incarnation is lost, and the late start of an earlier run arrives.
Test(node, a_lost_stop_after_a_restart_does_not_double_a_task) {
  for (int restart_ms = 0; restart_ms < 2'000; restart_ms += 50) {
    Cluster cluster;
    cluster.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
    cluster.timer.advance(1s);
    auto& path = cluster.daemons[cluster.leader()]->orders.path("w0");
    path.late_starts = 2;
    path.late_by = 5s;
    cluster.submit(cluster.leader(), 1, 1);
    cluster.timer.advance(650ms + std::chrono::milliseconds{restart_ms});
    cr_assert_eq(path.late_starts, 0);
    path.late_stops = 3;
    cluster.fleet.restart("w0");
    cluster.timer.advance(15s);
    cr_expect_eq(cluster.fleet.doubled, 0U, "restart %d", restart_ms);
    cr_expect_eq(cluster.fleet.running(), 1U, "restart %d", restart_ms);
  }
}
