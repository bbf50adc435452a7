// Known failures, listed in KNOWN-RED.txt: tasks wait although most of the fleet is free.
#include "waiting_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale::sched;

// Guards against sound suspects that wait behind tasks that crash their workers.
Test(waiting, no_task_waits_behind_deadly_tasks) {
  expect_no_task_waits(deadly_shape(), {.first = 1, .count = 30});
}

// Guards against a number of places for suspects that is too small after a storm in a wide fleet.
Test(waiting, no_task_waits_after_a_storm_in_a_wide_fleet) {
  expect_no_task_waits(wide_shape(), {.first = 1, .count = 10});
}
