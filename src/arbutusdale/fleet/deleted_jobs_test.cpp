// Tests of a daemon that misses the deletion of jobs, because the records have expired before it
// reads them.
#include <chrono>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// Two daemons and an ended job, which is deleted while the second daemon can't read.
struct MissedDeletion : Cluster {
  std::size_t away = 0;

  MissedDeletion() : Cluster(2) { run_job(); }
  void run_job() {
    timer.advance(1s);
    away = 1 - leader();
    submit(away, 1);
    timer.advance(290s);
  }
  void miss_deletion() {
    daemons[away]->store.read_fault = PathFault::refused;
    timer.advance(30s);
    for (const store::Partition& partition : jobs::job_partitions()) {
      store.trim(partition);
    }
    daemons[away]->store.read_fault = PathFault::none;
    timer.advance(3s);
  }
  [[nodiscard]] const jobs::JobEntry* entry(std::size_t daemon, std::uint32_t number) const {
    return daemons[daemon]->node->jobs().find(sched::job_id(number));
  }
};

}  // namespace

// Guards against an ended job that stays in the table of a daemon for ever, and that this daemon
// runs again once it leads, since the record of the job's progress is gone.
Test(deleted_jobs, a_missed_deletion_is_noticed_by_the_next_scan) {
  MissedDeletion cluster;
  cr_assert(cluster.state(cluster.away, 1) == jobs::JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.starts, 2U);
  cluster.miss_deletion();
  cr_assert_null(cluster.entry(1 - cluster.away, 1));
  cr_expect_null(cluster.entry(cluster.away, 1));
  cluster.daemons[1 - cluster.away]->kill();
  cluster.timer.advance(10s);
  cr_assert_eq(cluster.leader(), cluster.away);
  cr_expect_eq(cluster.fleet.starts, 2U, "%lu starts",
               static_cast<unsigned long>(cluster.fleet.starts));
}

// Guards against a job that is dropped, or started again, because its partition is scanned again.
Test(deleted_jobs, a_scan_keeps_the_jobs_that_exist) {
  MissedDeletion cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  cluster.submit(0, 2);
  cluster.submit(1, 3);
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.fleet.starts, 6U);
  cluster.miss_deletion();
  for (const std::uint32_t number : {2U, 3U}) {
    cr_assert_not_null(cluster.entry(cluster.away, number));
    cr_expect(cluster.state(cluster.away, number) == jobs::JobState::RUNNING);
  }
  cluster.daemons[1 - cluster.away]->kill();
  cluster.timer.advance(60s);
  for (const std::uint32_t number : {2U, 3U}) {
    cr_expect(cluster.state(cluster.away, number) == jobs::JobState::COMPLETED);
  }
  cr_expect_eq(cluster.fleet.starts, 6U, "%lu starts",
               static_cast<unsigned long>(cluster.fleet.starts));
}
