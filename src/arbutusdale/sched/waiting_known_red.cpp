// Known failures, listed in KNOWN-RED.txt: tasks wait although most of the fleet is free.
#include "waiting_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale::sched;

// Guards against tasks that wait at another moment than the one at which the other tests look.
Test(waiting, no_task_waits_at_any_moment_after_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 50, .count = 30}, WaitingMoments::all);
}

// Guards against tasks that wait after a series of crashes under many opportunistic tasks.
Test(waiting, no_task_waits_after_a_series_of_crashes) {
  expect_no_task_waits(crash_shape(), {.first = 70, .count = 40});
}
