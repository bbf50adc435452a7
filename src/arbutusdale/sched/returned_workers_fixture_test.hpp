// Test fixtures: workers that return under their old ids while orders to them are under way.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "late_orders_test.hpp"
#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

namespace arbutusdale::sched {

inline constexpr int k_workers = 8;
inline constexpr int k_returned = 6;
inline constexpr std::uint32_t k_tasks_per_worker = 8;

/// Eight workers, of which six return at once under their old ids while a poll of each, sent before
/// their crash, is still under way.
struct ReturnFixture : FleetFixture {
  LateOrders orders{fleet, timer};
  std::vector<std::unique_ptr<LeaderFixture>> leaders;  // by term
  std::vector<std::string> returned;

  ReturnFixture() : FleetFixture(k_workers) {
    fleet.work_of = [](const jobs::TaskId&) { return std::chrono::milliseconds{500}; };
    for (int i = 0; i < k_returned; ++i) {
      returned.push_back(fmt::format("w{:02}", i));
    }
    lead();
    timer.advance(std::chrono::seconds{1});
  }

  LeaderFixture& lead() {
    const auto term = static_cast<std::uint32_t>(leaders.size() + 1);
    leaders.push_back(
        std::make_unique<LeaderFixture>(timer, fleet, log, term, /*jobs_caught_up=*/true, &orders));
    return *leaders.back();
  }
  LeaderFixture& leader() { return *leaders.back(); }

  /// Submits a job that fills all workers.
  void submit(std::uint32_t number) {
    JobBuilder job(number);
    job.step(k_workers * k_tasks_per_worker, 1'000);
    leader().submit(job);
  }

  /// Runs a job on all workers, so that polls acknowledge ends of each of them from then on.
  void acknowledge_ends() {
    submit(1);
    timer.advance(std::chrono::seconds{3});
    cr_assert(leader().state(1) == jobs::JobState::COMPLETED);
  }

  /// The workers crash after a poll of each that is carried out `late_by` after it was sent, and
  /// return at once. The leader has an answer of the next incarnations in the end.
  void return_before_late_polls(Duration late_by) {
    for (const std::string& id : returned) {
      orders.delay_next_poll(id, late_by);
    }
    timer.advance(std::chrono::seconds{1});
    cr_assert(!orders.awaits_poll_to_delay());
    for (const std::string& id : returned) {
      fleet.restart(id);
    }
    timer.advance(std::chrono::milliseconds{500});
  }

  void set_cut(Cut cut) {
    for (const std::string& id : returned) {
      orders.set_cut(id, cut);
    }
  }

  /// Starts a job on the returned workers and cuts them off before its tasks end.
  void cut_off_during_job(std::uint32_t number, Cut cut) {
    submit(number);
    timer.advance(std::chrono::milliseconds{200});
    cr_assert_gt(runs_on_returned(), 0U);
    set_cut(cut);
  }

  /// Runs on the returned workers.
  [[nodiscard]] std::size_t runs_on_returned() {
    std::size_t count = 0;
    for (const std::string& id : returned) {
      count += fleet.at(id).runs.size();
    }
    return count;
  }

  void expect_each_task_done_once(std::uint32_t job) {
    if (!fleet.violations.empty()) {
      std::fprintf(stderr, "%s\n", fleet.violations.front().c_str());
    }
    cr_expect_eq(fleet.started_after_done, 0U, "%lu starts after a success",
                 fleet.started_after_done);
    cr_expect_eq(fleet.doubled, 0U, "%lu starts beside a live run", fleet.doubled);
    cr_expect(leader().state(job) == jobs::JobState::COMPLETED);
  }
};

/// A leader of two workers, of which only w00 takes starts until w01 is ready.
struct PairFixture : FleetFixture {
  LateOrders orders{fleet, timer};
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  explicit PairFixture(Duration work)
      : FleetFixture(2), leader(timer, fleet, log, 1, /*jobs_caught_up=*/true, &orders) {
    fleet.work_of = [work](const jobs::TaskId&) { return work; };
    timer.advance(std::chrono::seconds{1});
    set_other(WorkerState::draining);
  }
  void set_state(const std::string& id, WorkerState state) {
    WorkerEntry entry = fleet.at(id).entry;
    entry.state = state;
    leader.scheduler->on_worker_updated(entry);
  }
  void set_other(WorkerState state) { set_state("w01", state); }
  /// Submits a job of one task.
  void submit(std::uint32_t number) {
    JobBuilder job(number);
    job.step(1, 1'000);
    leader.submit(job);
  }
};

}  // namespace arbutusdale::sched
