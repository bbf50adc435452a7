// A leader whose record was stored at the first attempt and confirmed at a later one.
#include <chrono>
#include <cstddef>
#include <string>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

// Guards against a leader that extends leases for too long because the reply to its last record was
// lost, so that its successor starts tasks whose earlier runs are alive. The successor counts from
// the record, and only the earlier leader reaches the worker w0.
Test(node, a_repeated_heartbeat_does_not_prolong_the_leadership) {
  for (auto cut_after = 2'080ms; cut_after <= 2'120ms; cut_after += 1ms) {
    Cluster cluster;
    cluster.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
    cluster.timer.advance(1s);
    const std::size_t first = cluster.leader();
    cluster.submit(first, 1, 8);
    cluster.timer.advance(1s);
    for (std::size_t i = 0; i < cluster.daemons.size(); ++i) {
      for (const char* worker : {"w0", "w1", "w2", "w3"}) {
        const bool reaches = (worker == std::string("w0")) == (i == first);
        cluster.daemons[i]->orders.path(worker).fault =
            reaches ? PathFault::none : PathFault::silent;
      }
    }
    DaemonStore& path = cluster.daemons[first]->store;
    path.append_fault = PathFault::no_replies;
    cluster.timer.advance(1500ms);
    path.append_fault = PathFault::none;
    cluster.timer.advance(cut_after - 1500ms);
    path.append_fault = PathFault::silent;
    path.read_fault = PathFault::silent;
    cluster.timer.advance(10s);
    cr_assert_eq(cluster.fleet.doubled, 0U, "cut after %ld ms",
                 static_cast<long>(cut_after.count()));
  }
}
