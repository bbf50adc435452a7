// Tests of shards whose workers are full.
#include "arbutusdale/jobs/shards.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sharded_cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;

namespace {

constexpr std::uint32_t k_first_short_job = 100'000;
constexpr std::uint32_t k_tasks_of_lasting_job = 8;

std::uint32_t number_of(const jobs::JobId& job) {
  return static_cast<std::uint32_t>(std::stoul(job.str(), nullptr, 16));
}

/// Fleet with four shards of about ten workers with eight processors each.
struct FullShards : ShardedCluster {
  FullShards() {
    fleet.work_of = [](const jobs::TaskId& task) {
      return number_of(task.job) >= k_first_short_job ? Duration{800ms} : Duration{600s};
    };
  }

  void submit(const sched::JobBuilder& job) {
    sched::JobBuilder stamped = job;
    stamped.record.set_accepted_wall_ms(timer.wall_ms());
    const auto id = *jobs::JobId::parse(stamped.record.job());
    daemons[0]->node->service().submit(id, stamped.record, timer.now() + 2s, [](auto) {});
  }
  void submit_lasting(std::uint32_t number) {
    sched::JobBuilder job(number);
    job.step(k_tasks_of_lasting_job, 1'000).set_long_running(true);
    submit(job);
    timer.advance(50ms);
  }
  /// Tasks of a processor each, which leave two free on each of the shard's workers.
  void fill_shard(jobs::ShardIndex shard) {
    std::uint32_t workers = 0;
    for (const auto& [id, worker] : fleet.all()) {
      workers += jobs::ShardLayout{k_shards}.shard_of_worker(id) == shard ? 1 : 0;
    }
    sched::JobBuilder job(jobs_of(shard, 1).front());
    auto& step = job.step(workers * 3, 2'000);
    step.set_long_running(true);
    step.set_max_per_worker(3);
    submit(job);
    timer.advance(1s);
  }
  /// Keeps more short tasks waiting than the fleet can run at once.
  void run_short_jobs(Duration duration) {
    constexpr Duration k_interval = 400ms;
    for (Duration passed{}; passed < duration; passed += k_interval) {
      for (std::uint32_t i = 0; i < 8; ++i) {
        sched::JobBuilder job(next_short_job++, 1);
        job.step(30, 1'000).set_estimated_ms(800);
        submit(job);
      }
      timer.advance(k_interval);
    }
  }

  std::uint32_t next_short_job = k_first_short_job;
};

}  // namespace

// Guards against a shard that is known by the room that it had while it was idle: a busy leader
// writes progress all the time, and other shards would hand jobs over to the fullest one.
Test(full_shards, a_busy_leader_states_its_room) {
  FullShards cluster;
  for (const std::uint32_t number : jobs_of(0, 8)) {
    cluster.submit_lasting(number);
  }
  cluster.run_short_jobs(4s);
  for (jobs::ShardIndex shard = 0; shard < k_shards; ++shard) {
    const auto& leadership = cluster.daemons[0]->node->jobs().leadership(shard);
    cr_expect_lt(leadership->free_cpu_millis(), 8'000U, "shard %u states %lu", shard,
                 leadership->free_cpu_millis());
  }
}

// Guards against a lasting task that never starts, since its shard has enough free processors in
// all but not on one worker, while the workers of the other shards are idle.
Test(full_shards, a_lasting_job_moves_to_a_shard_with_places_for_its_tasks) {
  FullShards cluster;
  cluster.fill_shard(0);
  const std::size_t before = cluster.fleet.running();
  sched::JobBuilder job(jobs_of(0, 2).back());
  job.step(2, 4'000).set_long_running(true);
  cluster.submit(job);
  cluster.timer.advance(3s);
  cr_expect_eq(cluster.fleet.running(), before + 2U);
  cr_expect_eq(cluster.fleet.doubled, 0U);
}

// Guards against the same where the step allows one task on each worker, and a job is handed to a
// shard that has the processors on too few workers.
Test(full_shards, a_lasting_job_moves_past_a_shard_without_places) {
  FullShards cluster;
  for (jobs::ShardIndex shard = 0; shard + 1 < k_shards; ++shard) {
    cluster.fill_shard(shard);
  }
  const std::size_t before = cluster.fleet.running();
  sched::JobBuilder job(jobs_of(0, 2).back());
  auto& step = job.step(3, 4'000);
  step.set_long_running(true);
  step.set_max_per_worker(1);
  cluster.submit(job);
  cluster.timer.advance(3s);
  cr_expect_eq(cluster.fleet.running(), before + 3U);
  const jobs::JobEntry* entry =
      cluster.daemons[0]->node->jobs().find(*jobs::JobId::parse(job.record.job()));
  cr_expect_eq(entry->moves, 1U);
}
