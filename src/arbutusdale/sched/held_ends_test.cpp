// Ends of tasks with an unanswered start, which the next incarnation of a worker may carry out.
#include "arbutusdale/sched/held_ends.hpp"

#include <chrono>
#include <string>

#include "returned_workers_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr Duration k_lateness = 11s;

/// A task whose first start was not answered and is carried out late. Its repeat has started it.
struct RepeatedStartFixture : PairFixture {
  explicit RepeatedStartFixture(Duration work = 500ms) : PairFixture(work) {
    orders.delay_next_start("w00", k_lateness);
    submit(1);
    timer.advance(800ms);
    cr_assert_eq(worker.runs.size(), 1U);
  }
  /// The worker returns behind a cut, a moment before the late start reaches it. The start's lease
  /// has not expired on the clock of the next incarnation.
  void return_behind_cut() {
    timer.advance(5'500ms);
    orders.set_cut("w00", Cut::both);
    fleet.restart("w00");
    timer.advance(k_lateness);
    orders.set_cut("w00", Cut::none);
    timer.advance(5s);
  }
};

}  // namespace

// Guards against a task that runs again after its success was acknowledged: the worker's next
// incarnation carries out the first copy of a start whose repeat was answered.
Test(held_ends, a_task_does_not_start_again_after_its_acknowledged_success) {
  RepeatedStartFixture f;
  f.timer.advance(3s);
  cr_assert(f.leader.state(1) == jobs::JobState::COMPLETED);
  f.return_behind_cut();
  cr_expect_eq(f.fleet.starts, 2U, "the late start was not carried out");
  cr_expect_eq(f.fleet.started_after_done, 0U, "%lu starts after a success",
               f.fleet.started_after_done);
}

// Guards against a start after the last attempt, in the same way: an acknowledged failure counts.
Test(held_ends, a_failed_attempt_is_not_acknowledged_while_its_start_may_be_carried_out) {
  RepeatedStartFixture f(20s);
  f.worker.fails_all_runs = true;
  f.timer.advance(1s);
  cr_assert_gt(f.worker.ended.size(), 0U);
  f.timer.advance(k_lateness);
  cr_expect_eq(f.worker.ended.front().sequence, 1U);
  f.timer.advance(k_late_order_bound);
  cr_expect(f.worker.ended.empty(), "%zu ends are never acknowledged", f.worker.ended.size());
}

// Guards against the same by a start that another worker left unanswered: the task has run
// elsewhere.
Test(held_ends, a_start_that_another_worker_left_unanswered_counts) {
  PairFixture f(500ms);
  f.worker.start_delay = k_lateness;
  f.submit(1);
  f.timer.advance(1s);
  f.set_other(WorkerState::ready);
  f.set_state("w00", WorkerState::draining);  // the task does not wait for it for long
  f.timer.advance(6s);
  cr_assert(f.leader.state(1) == jobs::JobState::COMPLETED);
  cr_assert_eq(f.fleet.at("w01").ended.size(), 1U);
  f.orders.set_cut("w00", Cut::both);
  f.fleet.restart("w00");
  f.timer.advance(k_lateness);
  cr_expect_eq(f.fleet.started_after_done, 0U, "%lu starts after a success",
               f.fleet.started_after_done);
}

// Guards against ends that are seen late because an earlier one is held, so that polls are answered
// at once.
Test(held_ends, later_ends_are_seen_in_time) {
  constexpr Duration k_latest = 300ms;
  RepeatedStartFixture f;
  f.timer.advance(2s);
  cr_assert_eq(f.worker.ended.size(), 1U);
  for (std::uint32_t job = 2; job < 7; ++job) {
    f.submit(job);
    f.timer.advance(500ms + k_latest);
    cr_expect(f.leader.state(job) == jobs::JobState::COMPLETED, "job %u", job);
  }
  cr_expect_eq(f.worker.ended.size(), 6U);
}

// Guards against a worker that is polled all the time while an end is held.
Test(held_ends, an_idle_worker_is_not_polled_more_often) {
  constexpr Duration k_watched = 10s;
  constexpr std::uint64_t k_most_polls = 2 * 2 * 10;  // two a second of each of two workers
  RepeatedStartFixture f;
  f.timer.advance(2s);
  cr_assert_eq(f.worker.ended.size(), 1U);
  const std::uint64_t before = f.fleet.polls;
  f.timer.advance(k_watched);
  cr_expect_leq(f.fleet.polls - before, k_most_polls, "%lu polls", f.fleet.polls - before);
}

// Guards against an end that is held for good, or although no start of its task is unanswered.
Test(held_ends, an_end_is_held_only_while_a_start_may_be_carried_out) {
  RepeatedStartFixture f;
  f.timer.advance(k_late_order_bound + 1s);
  cr_expect_eq(f.worker.ended.size(), 0U);
  f.submit(2);
  f.timer.advance(1s);
  cr_expect_eq(f.worker.ended.size(), 0U);
}

// Guards against ends that a worker doesn't list any more because too many are held.
Test(held_ends, a_worker_gets_no_more_starts_than_ends_it_can_list) {
  RepeatedStartFixture f;
  f.fleet.work_of = [](const jobs::TaskId&) { return 50ms; };
  JobBuilder job(2);
  job.step(2 * k_max_listed_ends, 100).set_estimated_ms(50);
  f.leader.submit(job);
  f.timer.advance(15s);
  cr_expect_leq(f.worker.ended.size(), k_max_listed_ends);
  cr_expect_gt(f.worker.ended.size(), k_max_listed_ends / 2);
  f.timer.advance(30s);
  cr_expect(f.leader.state(2) == jobs::JobState::COMPLETED);
}

// Guards against an acknowledgement of a held end together with one that is not held.
Test(held_ends, a_held_end_keeps_back_all_later_ones) {
  const TimePoint now{1h};
  HeldEnds held;
  cr_expect_eq(held.acknowledgeable(7, now), 7U);
  held.hold(3, now + 2s, now);
  held.hold(4, now + 1s, now);
  held.hold(6, now + 5s, now);
  held.hold(9, now, now);
  cr_expect_eq(held.acknowledgeable(2, now), 2U);
  cr_expect_eq(held.acknowledgeable(7, now), 2U);
  cr_expect_eq(held.acknowledgeable(7, now + 2s), 5U);
  cr_expect_eq(held.acknowledgeable(10, now + 5s), 10U);
}
