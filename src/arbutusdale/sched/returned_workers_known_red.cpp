// Known failures, listed in KNOWN-RED.txt: starts that reach the next incarnation of a worker
// before the leader knows of it.
#include "returned_workers_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;

// Guards against tasks that run twice after series of returns, cuts and changes of leader: a late
// start is carried out by the next incarnation before any other order reaches it, as in
// sched_late_start_test.
Test(returned_workers, a_series_of_returns_with_late_orders_doubles_and_loses_nothing) {
  expect_no_harm_by_returned_workers(LateKinds::all);
}
