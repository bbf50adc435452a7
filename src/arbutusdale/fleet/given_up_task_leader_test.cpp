// Tasks that crash their workers are given up also while daemons end, are suspended or lose the
// store.
#include <chrono>
#include <cstdint>
#include <cstdio>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr std::uint32_t k_deadly = 100;
constexpr std::uint32_t k_ordinary = 8;

/// Daemons on eight workers; the only task of one job crashes each worker that starts it.
struct CrashCluster : Cluster {
  CrashCluster() : Cluster(3, {}, 8) {
    fleet.crashes_worker = [](const jobs::TaskId& task) {
      return task.job == sched::job_id(k_deadly);
    };
    timer.advance(2s);
  }

  void submit_jobs() {
    for (std::uint32_t i = 1; i <= k_ordinary; ++i) {
      submit(leader(), i);
    }
    submit(leader(), k_deadly, 1);
  }
  bool advance_to_crash(Duration limit) {
    const std::uint64_t before = fleet.crashes;
    for (const TimePoint end = timer.now() + limit; timer.now() < end && fleet.crashes == before;) {
      timer.advance(5ms);
    }
    return fleet.crashes > before;
  }
  void expect_given_up() {
    const sched::TaskCounts count = fleet.counts_of({sched::job_id(k_deadly), 0, 0, 0});
    std::fprintf(stderr, "%u starts, %u crashes, %u starts after three\n", count.starts,
                 count.crashes, count.starts_after_three_crashes);
    cr_expect_lt(count.starts_after_three_crashes, 3U);
    cr_expect_leq(count.starts, 5U);
    cr_expect_eq(outcomes.size(), k_ordinary + 1);
    cr_expect(state(leader(), k_deadly) == JobState::FAILED, "the deadly job is %s",
              JobState_Name(state(leader(), k_deadly)).c_str());
    for (std::uint32_t i = 1; i <= k_ordinary; ++i) {
      cr_expect(state(leader(), i) == JobState::COMPLETED, "job %u", i);
    }
    cr_expect_eq(fleet.doubled, 0U);
    cr_expect_eq(fleet.started_after_done, 0U);
  }
};

}  // namespace

// Guards against a count of crashes that ends with its leader.
Test(crashing_task, is_given_up_although_daemons_are_killed_after_every_crash) {
  CrashCluster cluster;
  cluster.submit_jobs();
  for (int i = 0; i < 10 && cluster.advance_to_crash(30s); ++i) {
    cluster.timer.advance(1s);
    const std::size_t leader = cluster.leader();
    if (leader < cluster.daemons.size()) {
      cluster.daemons[leader]->kill();
      cluster.restart(leader);
    }
  }
  cluster.timer.advance(30s);
  cluster.expect_given_up();
}

// Guards against a count of crashes that is lost when all daemons end at once and are away for a
// while.
Test(crashing_task, is_given_up_although_all_daemons_are_killed_after_every_crash) {
  for (const Duration away : {0s, 4s, 9s}) {
    CrashCluster cluster;
    cluster.submit_jobs();
    for (int i = 0; i < 10 && cluster.advance_to_crash(30s); ++i) {
      cluster.timer.advance(500ms);
      for (const auto& daemon : cluster.daemons) {
        daemon->kill();
      }
      cluster.timer.advance(away);
      for (std::size_t daemon = 0; daemon < cluster.daemons.size(); ++daemon) {
        cluster.restart(daemon);
      }
    }
    cluster.timer.advance(40s);
    cluster.expect_given_up();
  }
}

// Guards against a count of crashes that is lost in outages of the store, after which another
// daemon leads.
Test(crashing_task, is_given_up_although_the_store_is_down_after_every_crash) {
  CrashCluster cluster;
  cluster.submit_jobs();
  for (int i = 0; i < 10 && cluster.advance_to_crash(30s); ++i) {
    cluster.store.down = true;
    cluster.timer.advance(5s);
    const std::size_t leader = cluster.leader();
    if (leader < cluster.daemons.size()) {
      cluster.daemons[leader]->kill();
      cluster.restart(leader);
    }
    cluster.store.down = false;
  }
  cluster.timer.advance(40s);
  cluster.expect_given_up();
}

// Guards against a leader that is suspended over a crash and its proof, and starts the task again
// when it resumes or when it has been replaced.
Test(crashing_task, is_given_up_although_leaders_are_suspended_after_every_crash) {
  for (const Duration length : {2s, 6s}) {
    CrashCluster cluster;
    cluster.submit_jobs();
    for (int i = 0; i < 10 && cluster.advance_to_crash(30s); ++i) {
      const std::size_t leader = cluster.leader();
      if (leader < cluster.daemons.size() && cluster.daemons[leader]->runs()) {
        Daemon& daemon = *cluster.daemons[leader];
        daemon.process.suspend();
        cluster.timer.call_after(length, [&daemon] { daemon.process.resume(); });
      }
    }
    cluster.timer.advance(40s);
    cluster.expect_given_up();
  }
}
