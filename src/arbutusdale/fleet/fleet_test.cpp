// Tests of daemons that share a store: one leader, its succession, and callers' calls.
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/fleet/leader_election.hpp"
#include "arbutusdale/fleet/node.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "../sched/sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;
using proto::jobs::JobState;
using sched::FakeFleet;
using sched::job_id;
using sched::JobBuilder;

namespace {

/// Registrations of all workers of a fake fleet, told once.
class FakeDirectory final : public sched::WorkerDirectory {
 public:
  FakeDirectory(store::FakeTimer& timer, FakeFleet& fleet, sched::WorkerListener& listener)
      : m_alive(std::make_shared<bool>(true)) {
    timer.call_after(20ms, [&fleet, &listener, alive = m_alive] {
      if (!*alive) {
        return;
      }
      for (const auto& [id, worker] : fleet.all()) {
        listener.on_worker_updated(worker->entry);
      }
      listener.on_workers_loaded();
    });
  }
  ~FakeDirectory() override { *m_alive = false; }

 private:
  std::shared_ptr<bool> m_alive;
};

/// Lets one daemon's calls to the store fail while others are served.
class CutStore final : public store::MetadataStore {
 public:
  explicit CutStore(store::FakeStore& store) : m_store(store) {}
  bool cut = false;

  void append(store::AppendRequest request, AppendDone done) override {
    if (!cut) {
      m_store.append(std::move(request), std::move(done));
      return;
    }
    done(tl::unexpected(store::AppendError{store::AppendFailure::refused, 0, "cut"}));
  }
  void read(store::ReadRequest request, ReadDone done) override {
    if (!cut) {
      m_store.read(std::move(request), std::move(done));
      return;
    }
    done(tl::unexpected(store::ReadError{store::ReadFailure::unavailable, "cut"}));
  }
  void newest(store::Partition partition, std::string after_key, NewestDone done) override {
    if (!cut) {
      m_store.newest(std::move(partition), std::move(after_key), std::move(done));
      return;
    }
    done(tl::unexpected(store::ReadError{store::ReadFailure::unavailable, "cut"}));
  }

 private:
  store::FakeStore& m_store;
};

struct Daemon {
  CutStore store;
  std::unique_ptr<Node> node;
  std::shared_ptr<bool> ticking = std::make_shared<bool>(true);

  Daemon(store::FakeStore& fake, store::FakeTimer& timer, FakeFleet& fleet, std::string name)
      : store(fake) {
    node = std::make_unique<Node>(NodeParts{store, fleet, fleet.advisor, timer,
                                            [&timer, &fleet](sched::WorkerListener& listener) {
                                              return std::make_unique<FakeDirectory>(timer, fleet,
                                                                                     listener);
                                            },
                                            name, name + "." + std::to_string(timer.wall_ms())});
    jobs::Configuration configuration;
    configuration.version = 1;
    node->configuration().apply(configuration);
    node->start();
    tick(timer, node.get(), ticking);
  }
  /// Ends the process without a goodbye.
  void kill() {
    *ticking = false;
    node.reset();
  }

 private:
  static void tick(store::FakeTimer& timer, Node* node, const std::shared_ptr<bool>& ticking) {
    if (!*ticking) {
      return;
    }
    node->tick();
    timer.call_after(100ms, [&timer, node, ticking] { tick(timer, node, ticking); });
  }
};

struct Cluster {
  store::FakeTimer timer;
  store::FakeStore store{timer};
  FakeFleet fleet{timer};
  std::vector<std::unique_ptr<Daemon>> daemons;

  explicit Cluster(int count = 3) {
    store.page_size = 100;
    for (int i = 0; i < 4; ++i) {
      fleet.add("w" + std::to_string(i), 8'000);
    }
    for (int i = 0; i < count; ++i) {
      add();
    }
  }
  void add() {
    daemons.push_back(
        std::make_unique<Daemon>(store, timer, fleet, "daemon" + std::to_string(daemons.size())));
  }
  [[nodiscard]] int leaders() const {
    int count = 0;
    for (const auto& daemon : daemons) {
      count += daemon->node && daemon->node->leads() ? 1 : 0;
    }
    return count;
  }
  [[nodiscard]] std::size_t leader() const {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (daemons[i]->node && daemons[i]->node->leads()) {
        return i;
      }
    }
    return daemons.size();
  }
  /// Submits at one daemon; the verdict appears in `verdicts`.
  void submit(std::size_t daemon, std::uint32_t number) {
    JobBuilder job(number);
    job.record.set_accepted_wall_ms(timer.wall_ms());
    job.step(2, 1'000);
    daemons[daemon]->node->service().submit(
        job_id(number), job.record, timer.now() + 2s,
        [this](WriteVerdict verdict) { verdicts.push_back(verdict); });
  }
  [[nodiscard]] JobState state(std::size_t daemon, std::uint32_t number) const {
    const auto* entry = daemons[daemon]->node->jobs().find(job_id(number));
    return entry == nullptr ? JobState::QUEUED : entry->state();
  }

  std::vector<WriteVerdict> verdicts;
};

}  // namespace

// Guards against a leadership that goes to a daemon with a small share of a core while daemons with
// much more are there.
Test(election, daemons_with_more_processor_time_claim_first) {
  const TimePoint now{Duration{1'000'000'000}};
  const FollowerState fresh{true, now, 0ms};
  for (int i = 0; i < 50; ++i) {
    LeaderElection strong("strong" + std::to_string(i), 0.5);
    LeaderElection weak("weak" + std::to_string(i), 0.12);
    strong.on_vacant(now);
    weak.on_vacant(now);
    const TimePoint soon = now + 95ms;
    cr_assert(strong.should_claim(soon, fresh));
    cr_assert_not(weak.should_claim(soon, fresh));
  }
}

// Guards against two leaders that claim at the same moment on an empty store.
Test(node, exactly_one_daemon_leads_after_a_cold_start) {
  Cluster cluster(9);
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert(cluster.daemons[0]->node->is_ready());
}

// Guards against a job that only the daemon which took it knows.
Test(node, a_job_submitted_anywhere_runs_and_is_known_everywhere) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit((cluster.leader() + 1) % 3, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.verdicts.size(), 1U);
  cr_assert(cluster.verdicts[0] == WriteVerdict::stored);
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
      std::count(cluster.verdicts.begin(), cluster.verdicts.end(), WriteVerdict::stored);
  cr_assert_geq(stored, 90, "%ld of 100 submissions stored", static_cast<long>(stored));
}

// Guards against a removal that misses the partition in which another daemon has stored the job.
Test(node, forgotten_jobs_are_gone_from_every_partition) {
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

// Guards against one job submitted at two daemons that runs twice.
Test(node, a_job_submitted_twice_runs_once) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.submit(1, 1);
  cluster.timer.advance(3s);
  cluster.submit(2, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.verdicts.size(), 3U);
  cr_assert_eq(cluster.fleet.starts, 2U);
}

// Guards against a succession that takes three seconds or more, or that runs tasks twice.
Test(node, another_daemon_leads_within_three_seconds_of_a_death) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(300ms);
  const std::size_t dead = cluster.leader();
  cluster.daemons[dead]->kill();
  const std::size_t alive = (dead + 1) % 3;
  cluster.submit(alive, 2);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leaders(), 1);
  cr_assert_gt(cluster.fleet.starts, 2U);
  cluster.timer.advance(3s);
  cr_assert(cluster.state(alive, 1) == JobState::COMPLETED);
  cr_assert(cluster.state(alive, 2) == JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a planned stop that costs the time of a death.
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

// Guards against a leader that is cut off from the store and works on beside its successor.
Test(node, a_leader_cut_off_from_the_store_gives_way) {
  Cluster cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 6s; };
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(500ms);
  const std::size_t cut = cluster.leader();
  cluster.daemons[cut]->store.cut = true;
  cluster.timer.advance(4s);
  cr_assert_eq(cluster.leaders(), 2);
  cluster.daemons[cut]->store.cut = false;
  cluster.timer.advance(1s);
  cr_assert_eq(cluster.leaders(), 1);
  cluster.timer.advance(8s);
  cr_assert_eq(cluster.fleet.starts, 2U);
  cr_assert_eq(cluster.fleet.doubled, 0U);
  cr_assert(cluster.state(cut, 1) == JobState::COMPLETED);
}

// Guards against running work that dies with a store outage of the usual length.
Test(node, running_tasks_outlive_an_outage_of_the_store) {
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

// Guards against a call that waits for a store which is known to be down.
Test(node, refuses_at_once_while_the_store_is_down) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.store.down = true;
  cluster.timer.advance(4s);
  cr_assert_not(cluster.daemons[0]->node->is_ready());
  cluster.submit(0, 1);
  cr_assert_eq(cluster.verdicts.size(), 1U);
  cr_assert(cluster.verdicts[0] == WriteVerdict::not_run);
  cluster.store.down = false;
  cluster.timer.advance(5s);
  cr_assert(cluster.daemons[0]->node->is_ready());
  cr_assert_eq(cluster.fleet.starts, 0U);
}

// Guards against jobs that are lost when every daemon dies right after an acknowledgement.
Test(node, an_accepted_job_survives_the_death_of_all_daemons) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.submit(0, 1);
  cluster.timer.advance(30ms);
  cr_assert_eq(cluster.verdicts.size(), 1U);
  for (const auto& daemon : cluster.daemons) {
    daemon->kill();
  }
  cluster.timer.advance(2s);
  cluster.add();
  cluster.timer.advance(8s);
  cr_assert(cluster.state(3, 1) == JobState::COMPLETED);
  cr_assert_eq(cluster.fleet.doubled, 0U);
}

// Guards against a cancelled job that starts, when the cancellation overtakes its submission.
Test(node, a_cancellation_before_the_submission_counts) {
  Cluster cluster;
  cluster.timer.advance(1s);
  cluster.daemons[0]->node->service().cancel(job_id(1), cluster.timer.now() + 1s,
                                             [](WriteVerdict) {});
  cluster.timer.advance(200ms);
  cluster.submit(1, 1);
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.fleet.starts, 0U);
  cr_assert(cluster.state(2, 1) == JobState::CANCELLED);
}

// Guards against random kills and store faults that lose, double or misreport a job.
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
          daemon.store.cut = true;
          break;
        case 2:
          cluster.store.lost_answers = 2;
          break;
        case 3:
          cluster.store.late_appends = 1;
          break;
        case 4:
          cluster.store.down = round % 3 == 0;
          break;
        case 5:
          daemon.store.cut = false;
          break;
        default:
          if (daemon.node) {
            const std::uint32_t number = ++submitted;
            JobBuilder job(number);
            job.record.set_accepted_wall_ms(cluster.timer.wall_ms());
            job.step(2, 1'000);
            daemon.node->service().submit(job_id(number), job.record, cluster.timer.now() + 2s,
                                          [&accepted, number](WriteVerdict verdict) {
                                            if (verdict == WriteVerdict::stored) {
                                              accepted.push_back(number);
                                            }
                                          });
          }
      }
    }
    cluster.store.down = false;
    for (const auto& daemon : cluster.daemons) {
      daemon->store.cut = false;
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

// Guards against a leader with a damaged name when the answer to its claim was lost.
Test(node, leads_after_a_claim_without_an_answer) {
  Cluster cluster(1);
  cluster.store.lost_answers = 1;
  cluster.timer.advance(3s);
  cr_assert_eq(cluster.leaders(), 1);
  const auto& leadership = cluster.daemons[0]->node->jobs().leadership();
  cr_assert(leadership->daemon().starts_with("daemon0."), "%s", leadership->daemon().c_str());
}

// Guards against two seconds without a leader when the leader's process has just been restarted.
Test(node, a_restarted_leader_claims_at_once) {
  Cluster cluster(1);
  cluster.timer.advance(1s);
  cluster.daemons[0]->kill();
  cluster.daemons[0] =
      std::make_unique<Daemon>(cluster.store, cluster.timer, cluster.fleet, "daemon0");
  cluster.timer.advance(600ms);
  cr_assert_eq(cluster.leaders(), 1);
}

// Guards against a store and daemons that grow with every job that ever was.
Test(node, forgets_jobs_that_ended_long_ago) {
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
