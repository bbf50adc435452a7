// The records of a leader must stay within what the store takes, whatever the fleet and the jobs
// are, and its shard must go on.
#include <chrono>
#include <cstddef>
#include <string>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// One daemon, on a store that takes small records only.
struct SmallStoreCluster : Cluster {
  explicit SmallStoreCluster(const store::RecordLimits& limits, int workers = 4)
      : Cluster(0, {}, workers) {
    store.limits = limits;
    add();
  }

  void submit(sched::JobBuilder job) {
    job.record.set_accepted_wall_ms(timer.wall_ms());
    daemons[0]->node->service().submit(
        *jobs::JobId::parse(job.record.job()), job.record, timer.now() + 2s,
        [this](WriteOutcome outcome) { outcomes.push_back(outcome); });
  }
  void expect_small_job_completes(std::uint32_t number) {
    sched::JobBuilder job(number);
    job.step(2, 1'000);
    submit(job);
    timer.advance(10s);
    cr_expect_eq(state(0, number), jobs::JobState::COMPLETED, "job %u: state %d", number,
                 static_cast<int>(state(0, number)));
    cr_expect_eq(store.too_large_appends, 0, "%d appends were too large", store.too_large_appends);
  }
};

/// Serving and opportunistic tasks of many images, all beside each other.
sched::JobBuilder mixed_job(int images) {
  sched::JobBuilder job(1);
  for (int image = 0; image < images; ++image) {
    const std::string name = std::to_string(image) + "nnnnnnnnnn";
    auto& serving = job.step(4, 100);
    serving.set_image("s" + name);
    serving.set_tail_target_ms(1'000);
    serving.set_long_running(true);
    auto& batch = job.step(4, 100);
    batch.set_image("b" + name);
    batch.set_opportunistic(true);
    batch.set_estimated_ms(60'000);
  }
  return job;
}

void run_mixed_jobs(SmallStoreCluster& cluster) {
  cluster.fleet.work_of = [](const jobs::TaskId& task) {
    return task.job == sched::job_id(2) ? 1s : 300s;
  };
  cluster.fleet.tail_or_cpu_of = [](const sched::FakeWorker&, const sched::FakeRun&) {
    return 300U;
  };
}

}  // namespace

// Guards against two images with names that fill a record of evidence, which the store then never
// takes, so that nothing of the shard is stored any more.
Test(large_records, a_shard_goes_on_with_evidence_on_images_with_long_names) {
  SmallStoreCluster cluster({8'000, 20'000});
  run_mixed_jobs(cluster);
  cluster.timer.advance(3s);
  sched::JobBuilder serving(1);
  auto& serving_step = serving.step(60, 500);
  serving_step.set_image(std::string(4'500, 's'));
  serving_step.set_tail_target_ms(1'000);
  serving_step.set_long_running(true);
  cluster.submit(serving);
  sched::JobBuilder batch(3);
  auto& batch_step = batch.step(16, 100);
  batch_step.set_image(std::string(4'500, 'b'));
  batch_step.set_opportunistic(true);
  cluster.submit(batch);
  cluster.timer.advance(30s);
  cluster.expect_small_job_completes(2);
}

// Guards against evidence on so many pairs of images that the store never takes the record.
Test(large_records, a_shard_goes_on_with_evidence_on_many_images) {
  SmallStoreCluster cluster({8'000, 20'000});
  run_mixed_jobs(cluster);
  cluster.timer.advance(3s);
  cluster.submit(mixed_job(30));
  cluster.timer.advance(30s);
  cluster.expect_small_job_completes(2);
}

// Guards against a leader that stores the progress of many jobs in an append larger than the store
// takes.
Test(large_records, a_leader_cuts_its_appends_to_what_the_store_takes) {
  SmallStoreCluster cluster({4'000, 4'200});
  cluster.timer.advance(3s);
  constexpr std::uint32_t k_jobs = 300;
  for (std::uint32_t number = 1; number <= k_jobs; ++number) {
    sched::JobBuilder job(number);
    job.step(1, 10);
    cluster.submit(job);
  }
  cluster.timer.advance(30s);
  for (std::uint32_t number = 1; number <= k_jobs; ++number) {
    cr_expect_eq(cluster.state(0, number), jobs::JobState::COMPLETED, "job %u", number);
  }
  cluster.expect_small_job_completes(k_jobs + 1);
}

// Guards against a roster of so many workers that the store never takes it.
Test(large_records, a_shard_goes_on_with_more_workers_than_a_roster_holds) {
  SmallStoreCluster cluster({4'000, 20'000}, 200);
  cluster.timer.advance(5s);
  cluster.expect_small_job_completes(1);
}

// Guards against a worker whose address fills the roster.
Test(large_records, a_shard_goes_on_beside_a_worker_with_a_very_long_address) {
  SmallStoreCluster cluster({4'000, 20'000});
  cluster.fleet.add("a", 8'000, "r1", std::string(5'000, 'a'));
  cluster.timer.advance(5s);
  cluster.expect_small_job_completes(1);
}

// Guards against a job accepted under a larger limit, or with crash records of workers with long
// names, whose progress no record holds: it must not keep the shard's other jobs from being stored.
Test(large_records, a_job_whose_progress_never_fits_fails_and_holds_up_no_other) {
  SmallStoreCluster cluster({2'000, 20'000}, 16);
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 1s; };
  cluster.timer.advance(3s);
  sched::JobBuilder job(1);
  job.record.mutable_terms()->set_max_attempts(0);
  job.step(20'000, 1);
  cluster.submit(job);
  cluster.timer.advance(30s);
  cr_expect_eq(cluster.state(0, 1), jobs::JobState::FAILED, "state %d",
               static_cast<int>(cluster.state(0, 1)));
  cluster.expect_small_job_completes(2);
}
