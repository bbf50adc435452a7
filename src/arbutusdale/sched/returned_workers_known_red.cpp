// Known failures, listed in KNOWN-RED.txt: starts that reach the next incarnation of a worker
// before the leader knows of it.
#include <chrono>

#include "returned_workers_fixture_test.hpp"
#include "returned_workers_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a second run beside one that the next incarnation has started before the leader
// knew of it: the lease of the start is one on the earlier clock, so that it lasts longer on the
// next one, which starts anew.
Test(returned_workers, a_start_sent_before_the_restart_is_known_holds_no_longer_lease) {
  PairFixture f(20s);
  f.timer.advance(9s);
  f.orders.delay_next_poll("w00", 15s);
  f.fleet.restart("w00");
  f.timer.advance(400ms);
  f.submit(1);
  f.timer.advance(100ms);
  cr_assert_eq(f.worker.runs.size(), 1U);
  f.orders.set_cut("w00", Cut::both);
  f.set_other(WorkerState::ready);
  f.timer.advance(10s);
  cr_expect_eq(f.fleet.running(), 1U);
  cr_expect_eq(f.fleet.doubled, 0U, "%lu starts beside a live run", f.fleet.doubled);
}

// Guards against tasks that run twice after series of returns, cuts and changes of leader: a late
// start is carried out by the next incarnation before any other order reaches it, as in
// sched_late_start_test.
Test(returned_workers, a_series_of_returns_with_late_orders_doubles_and_loses_nothing) {
  expect_no_harm_by_returned_workers(LateKinds::all);
}
