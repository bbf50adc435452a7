// Late polls of the earlier incarnation of a worker that take effect in the next one, whose clock
// and numbers of ends start anew.
#include <algorithm>
#include <chrono>

#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// A cluster of four workers, of which w0 is restarted while a poll of it is unanswered.
struct LatePoll : Cluster {
  static constexpr std::uint32_t k_half = 16;  // tasks, of 32 for which the workers have room

  WorkerPath& path() { return daemons[leader()]->orders.path("w0"); }

  void restart_before_late_poll(Duration late_by) {
    path().late_polls = 1;
    path().late_by = late_by;
    timer.advance(1s);
    cr_assert_eq(path().late_polls, 0);
    fleet.restart("w0");
    timer.advance(1s);
  }

  /// Submits a job that leaves room on the other workers for the tasks that w0 has.
  void submit_half(std::uint32_t job) {
    submit(leader(), job, k_half);
    timer.advance(300ms);
    cr_assert_eq(fleet.running(), k_half);
    cr_assert(!fleet.at("w0").runs.empty());
  }

  /// The tasks of the job have run, and no run but `lapsed` ones was in vain.
  void expect_runs(std::uint32_t job, std::uint64_t starts_before, std::size_t lapsed) {
    cr_expect_eq(fleet.starts, starts_before + k_half + lapsed);
    cr_expect_eq(fleet.doubled, 0U);
    cr_expect_eq(fleet.started_after_done, 0U);
    cr_expect(state(leader(), job) == jobs::JobState::COMPLETED);
  }

  /// True when w0 gets a start out of a job that needs all workers.
  bool uses_w0(std::uint32_t job) {
    fleet.work_of = [](const jobs::TaskId&) { return 1s; };
    submit(leader(), job, 32);
    timer.advance(600ms);
    return !fleet.at("w0").runs.empty();
  }
};

}  // namespace

// Guards against a task that is started again after its success: the end was acknowledged, and so
// forgotten, by a poll that had been sent to the worker's earlier incarnation.
Test(node, a_late_poll_does_not_acknowledge_ends_of_the_next_incarnation) {
  LatePoll cluster;
  cluster.timer.advance(1s);
  cluster.submit(cluster.leader(), 1, 1);
  cluster.timer.advance(1500ms);
  cluster.restart_before_late_poll(4s);
  const std::uint64_t starts = cluster.fleet.starts;
  cluster.submit_half(2);
  cluster.path().fault = PathFault::silent;
  cluster.timer.advance(3500ms);
  cluster.path().fault = PathFault::none;
  cluster.timer.advance(4s);
  cluster.expect_runs(2, starts, 0);
  cr_assert(cluster.uses_w0(3));
}

// Guards against a second run of a task whose worker restarted: a poll that had been sent to the
// earlier incarnation extends the leases of the next one, beyond the time at which the leader,
// which does not reach the worker, takes them for expired. The next incarnation's clock starts
// anew.
Test(node, a_late_poll_does_not_extend_leases_of_the_next_incarnation) {
  LatePoll cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 20s; };
  cluster.timer.advance(2500ms);
  cluster.restart_before_late_poll(6s);
  const std::uint64_t starts = cluster.fleet.starts;
  cluster.submit_half(1);
  const std::size_t on_w0 = cluster.fleet.at("w0").runs.size();
  cluster.path().fault = PathFault::silent;
  cluster.timer.advance(8s);
  cr_assert_eq(cluster.fleet.doubled, 0U);
  cr_assert(cluster.fleet.at("w0").runs.empty());
  cluster.path().fault = PathFault::none;
  cluster.timer.advance(24s);
  cluster.expect_runs(1, starts, on_w0);
  cr_assert(cluster.uses_w0(2));
}

// Guards against a fleet whose workers get no starts after all of them have restarted while polls
// of them were unanswered.
Test(node, all_workers_get_starts_after_restarts) {
  Cluster cluster(3, {}, 12);
  cluster.timer.advance(1s);
  auto& orders = cluster.daemons[cluster.leader()]->orders;
  for (const auto& [id, worker] : cluster.fleet.all()) {
    orders.path(id).late_polls = 1;
  }
  cluster.timer.advance(1s);
  for (const auto& [id, worker] : cluster.fleet.all()) {
    cr_assert_eq(orders.path(id).late_polls, 0);
    cluster.fleet.restart(id);
  }
  cluster.timer.advance(1500ms);
  const auto idle = [&cluster] {
    const auto& workers = cluster.fleet.all();
    return std::count_if(workers.begin(), workers.end(),
                         [](const auto& entry) { return entry.second->runs.empty(); });
  };
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 60s; };
  cluster.submit(cluster.leader(), 1, 96);
  cluster.timer.advance(1s);
  cr_assert_eq(idle(), 0, "%d of 12 workers are idle", static_cast<int>(idle()));
  cr_assert_eq(cluster.fleet.doubled, 0U);
  cr_assert_eq(cluster.fleet.started_after_done, 0U);
}
