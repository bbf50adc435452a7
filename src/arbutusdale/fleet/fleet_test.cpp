// Tests of daemons that share a store: leader election, failover, and calls of callers.
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/fleet/leader_election.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;
using proto::jobs::JobState;
using sched::FakeFleet;
using sched::job_id;
using sched::JobBuilder;

// Guards against a daemon with a small share of a core that becomes the leader although daemons
// with much more processor time are available.
Test(election, daemons_with_more_processor_time_claim_first) {
  const TimePoint now{Duration{1'000'000'000}};
  const FollowerState fresh{true, now, 0ms};
  for (int i = 0; i < 50; ++i) {
    LeaderElection strong("strong" + std::to_string(i), 0.5);
    LeaderElection weak("weak" + std::to_string(i), 0.12);
    strong.on_leadership_vacant(now);
    weak.on_leadership_vacant(now);
    const TimePoint later = now + 95ms;
    cr_assert(strong.should_claim(later, fresh));
    cr_assert_not(weak.should_claim(later, fresh));
  }
}

// Guards against two leaders when several daemons claim at the same time on an empty store.
Test(node, exactly_one_daemon_leads_after_a_cold_start) {
  Cluster cluster(9);
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert(cluster.daemons[0]->node->is_ready());
}

// Guards against a job that is known only to the daemon that accepted it.
Test(node, a_job_submitted_anywhere_runs_and_is_known_everywhere) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit((cluster.leader() + 1) % 3, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.outcomes.size(), 1U);
  cr_assert(cluster.outcomes[0] == WriteOutcome::stored);
  for (std::size_t i = 0; i < 3; ++i) {
    cr_assert(cluster.state(i, 1) == JobState::COMPLETED);
  }
}

// Guards against daemons that queue behind each other's appends while the store is slow: twenty
// daemons with one submission a second each, at 110 ms an append.
Test(node, jobs_are_accepted_while_the_store_is_slow) {
  Cluster cluster(20);
  cluster.timer.advance(1s);
  cluster.store.latency = 120ms;
  cluster.store.append_time = 110ms;
  std::uint32_t number = 0;
  for (int second = 0; second < 5; ++second) {
    for (std::size_t daemon = 0; daemon < 20; ++daemon) {
      cluster.submit(daemon, ++number);
      cluster.timer.advance(50ms);
    }
  }
  cluster.timer.advance(3s);
  const auto stored =
      std::count(cluster.outcomes.begin(), cluster.outcomes.end(), WriteOutcome::stored);
  cr_assert_geq(stored, 90, "%ld of 100 submissions stored", static_cast<long>(stored));
}

// Guards against a deletion that misses the partition in which another daemon has stored the job.
Test(node, expired_jobs_are_deleted_from_every_partition) {
  Cluster cluster(9);
  cluster.timer.advance(1s);
  for (std::size_t daemon = 0; daemon < 9; ++daemon) {
    cluster.submit(daemon, 1);
    cluster.submit(daemon, static_cast<std::uint32_t>(daemon) + 10);
  }
  cluster.timer.advance(400s);
  cluster.add();
  cluster.timer.advance(2s);
  cr_assert_eq(cluster.daemons.back()->node->jobs().entries().size(), 0U);
}

// Guards against a job that runs twice because it was submitted at two daemons.
Test(node, a_job_submitted_twice_runs_once) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.submit(1, 1);
  cluster.timer.advance(3s);
  cluster.submit(2, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.outcomes.size(), 3U);
  cr_assert_eq(cluster.fleet.starts, 2U);
}

// Guards against a failover that takes three seconds or more, or that runs tasks twice.
Test(node, another_daemon_leads_within_three_seconds_of_a_crash) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(300ms);
  const std::size_t crashed = cluster.leader();
  cluster.daemons[crashed]->kill();
  const std::size_t alive = (crashed + 1) % 3;
  cluster.submit(alive, 2);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert_gt(cluster.fleet.starts, 2U);
  cluster.timer.advance(3s);
  cr_assert(cluster.state(alive, 1) == JobState::COMPLETED);
  cr_assert(cluster.state(alive, 2) == JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a planned shutdown of the leader that takes as long to fail over as a crash.
Test(node, a_released_leadership_is_taken_at_once) {
  Cluster cluster;
  cluster.timer.advance(1s);
  const std::size_t leaving = cluster.leader();
  bool released = false;
  cluster.daemons[leaving]->node->shut_down([&released] { released = true; });
  cluster.timer.advance(400ms);
  cr_assert(released);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert_neq(cluster.leader(), leaving);
  const std::size_t next = (leaving + 1) % 3;
  cluster.submit(next, 1);
  cluster.timer.advance(3s);
  cr_assert(cluster.state(next, 1) == JobState::COMPLETED);
}

// Guards against a leader that is disconnected from the store and starts tasks in parallel with its
// successor.
Test(node, a_leader_disconnected_from_the_store_steps_down) {
  Cluster cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 6s; };
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(500ms);
  const std::size_t disconnected = cluster.leader();
  cluster.daemons[disconnected]->store.disconnected = true;
  cluster.timer.advance(4s);
  cr_assert_eq(cluster.leaders(), 2);
  cluster.daemons[disconnected]->store.disconnected = false;
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.leaders(), 1);
  cluster.timer.advance(8s);
  cr_assert_eq(cluster.fleet.starts, 2U);
  cr_assert_eq(cluster.fleet.doubled, 0U);
  cr_assert(cluster.state(disconnected, 1) == JobState::COMPLETED);
}

// Guards against running tasks that are lost in a store outage of the usual length.
Test(node, running_tasks_survive_an_outage_of_the_store) {
  Cluster cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 8s; };
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(500ms);
  cluster.store.down = true;
  cluster.timer.advance(5s);
  cluster.store.down = false;
  cluster.timer.advance(8s);
  cr_assert_eq(cluster.fleet.starts, 2U);
  cr_assert(cluster.state(0, 1) == JobState::COMPLETED);
}

// Guards against a call that waits for a store that is known to be down.
Test(node, refuses_at_once_while_the_store_is_down) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.store.down = true;
  cluster.timer.advance(4s);
  cr_assert_not(cluster.daemons[0]->node->is_ready());
  cluster.submit(0, 1);
  cr_assert_eq(cluster.outcomes.size(), 1U);
  cr_assert(cluster.outcomes[0] == WriteOutcome::not_stored);
  cluster.store.down = false;
  cluster.timer.advance(5s);
  cr_assert(cluster.daemons[0]->node->is_ready());
  cr_assert_eq(cluster.fleet.starts, 0U);
}

// Guards against jobs that are lost when every daemon crashes right after an acknowledgement.
Test(node, an_accepted_job_survives_a_crash_of_all_daemons) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(30ms);
  cr_assert_eq(cluster.outcomes.size(), 1U);
  for (const auto& daemon : cluster.daemons) {
    daemon->kill();
  }
  cluster.timer.advance(2s);
  cluster.add();
  cluster.timer.advance(8s);
  cr_assert(cluster.state(3, 1) == JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a cancelled job that starts because its cancellation was stored before its
// submission.
Test(node, a_cancellation_before_the_submission_counts) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.daemons[0]->node->service().cancel(job_id(1), cluster.timer.now() + 1s,
                                             [](WriteOutcome) {});
  cluster.timer.advance(200ms);
  cluster.submit(1, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.fleet.starts, 0U);
  cr_assert(cluster.state(2, 1) == JobState::CANCELLED);
}

// Guards against jobs that are lost, run twice or misreported after random crashes and store
// faults.
Test(node, random_faults_lose_and_double_nothing) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Random random(seed);
    Cluster cluster(4);
    std::vector<std::uint32_t> accepted;
    std::uint32_t submitted = 0;
    cluster.timer.advance(1s);
    for (int round = 0; round < 120; ++round) {
      cluster.timer.advance(100ms);
      const std::size_t at = random_index(random, cluster.daemons.size());
      Daemon& daemon = *cluster.daemons[at];
      switch (random_index(random, 10)) {
        case 0:
          if (round % 5 == 0 && daemon.node) {
            daemon.kill();
            cluster.add();
          }
          break;
        case 1:
          daemon.store.disconnected = true;
          break;
        case 2:
          cluster.store.lost_replies = 2;
          break;
        case 3:
          cluster.store.late_appends = 1;
          break;
        case 4:
          cluster.store.down = round % 3 == 0;
          break;
        case 5:
          daemon.store.disconnected = false;
          break;
        default:
          if (daemon.node) {
            const std::uint32_t number = ++submitted;
            JobBuilder job(number);
            job.record.set_accepted_wall_ms(cluster.timer.wall_ms());
            job.step(2, 1'000);
            daemon.node->service().submit(job_id(number), job.record, cluster.timer.now() + 2s,
                                          [&accepted, number](WriteOutcome outcome) {
                                            if (outcome == WriteOutcome::stored) {
                                              accepted.push_back(number);
                                            }
                                          });
          }
      }
    }
    cluster.store.down = false;
    for (const auto& daemon : cluster.daemons) {
      daemon->store.disconnected = false;
    }
    cluster.add();
    cluster.timer.advance(25s);
    cr_assert_eq(cluster.fleet.doubled, 0U, "seed %lu", seed);
    for (const std::uint32_t number : accepted) {
      cr_assert(cluster.state(cluster.daemons.size() - 1, number) == JobState::COMPLETED,
                "seed %lu job %u", seed, number);
    }
  }
}

// Guards against a leader with a corrupt name when the reply to its claim was lost.
Test(node, leads_after_a_claim_without_an_answer) {
  Cluster cluster(1);
  cluster.store.lost_replies = 1;
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leaders(), 1);
  const auto& leadership = cluster.daemons[0]->node->jobs().leadership(jobs::k_first_shard);
  cr_assert(leadership->daemon().starts_with("daemon0."), "%s", leadership->daemon().c_str());
}

// Guards against a fleet without a leader until the election timeout, when a claim without an
// answer is stored and its copy is refused.
Test(node, leads_after_a_stored_claim_was_refused) {
  Cluster cluster(1);
  cluster.store.false_refusals = 2;  // of the layout and of the claim
  cluster.timer.advance(2500ms);
  cr_assert_eq(cluster.leaders(), 1);
}

// Guards against two seconds without a leader after the leader's process has been restarted.
Test(node, a_restarted_leader_claims_at_once) {
  Cluster cluster(1);
  cluster.timer.advance(1s);
  cluster.daemons[0]->kill();
  cluster.add("daemon0");
  cluster.timer.advance(600ms);
  cr_assert_eq(cluster.leaders(), 1);
}

// Guards against a store and daemons that grow with every job ever submitted.
Test(node, deletes_jobs_that_ended_long_ago) {
  Cluster cluster(2);
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(150s);
  cr_assert(cluster.state(1, 1) == JobState::COMPLETED);
  cluster.timer.advance(200s);
  for (const auto& daemon : cluster.daemons) {
    cr_assert_eq(daemon->node->jobs().entries().size(), 0U);
  }
}
