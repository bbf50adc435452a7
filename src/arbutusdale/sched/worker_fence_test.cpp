// Fencing tokens of one leader's orders to one worker.
#include "arbutusdale/sched/worker_fence.hpp"

#include <chrono>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against an order that a worker takes although it was sent before its restart.
Test(worker_fence, a_raise_makes_all_later_tokens_higher) {
  WorkerFence fence;
  const std::uint64_t before = fence.token(7);
  fence.raise();
  cr_expect_gt(fence.token(7), before);
}

// Guards against a worker that refuses the next leader, since it has taken orders of an earlier one
// whose token has risen often.
Test(worker_fence, tokens_of_a_term_are_below_those_of_the_next) {
  WorkerFence fence;
  for (std::uint64_t i = 0; i < k_tokens_per_term + 10; ++i) {
    fence.raise();
  }
  cr_expect_lt(fence.token(7), WorkerFence{}.token(8));
}

// Guards against a leader that goes on although a worker has taken orders of a later one.
Test(worker_fence, a_refusal_of_the_present_token_ends_the_leadership) {
  FleetFixture f(2);
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  cr_assert(!leader.fenced);
  f.fleet.at("w00").token = WorkerFence{}.token(2);
  f.timer.advance(2s);
  cr_expect(leader.fenced);
}

// Guards against a leader that steps down since a worker refuses an order of its own that has been
// overtaken by a later one.
Test(worker_fence, a_refusal_of_an_earlier_token_does_not_end_the_leadership) {
  FleetFixture f(2);
  LeaderFixture leader(f.timer, f.fleet, f.log);
  f.timer.advance(1s);
  f.fleet.start_latency = 300ms;  // the refusal arrives after the token has risen
  JobBuilder job(1);
  job.step(2, 8'000);
  f.fleet.at("w00").token = WorkerFence{}.token(1) + 1;  // another order of the leader was first
  leader.submit(job);
  f.timer.advance(50ms);
  leader.scheduler->on_worker_updated([&f] {
    WorkerEntry entry = f.fleet.at("w00").entry;
    ++entry.incarnation;
    return entry;
  }());
  f.timer.advance(2s);
  cr_expect(!leader.fenced);
}
