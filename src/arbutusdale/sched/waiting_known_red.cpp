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

// Guards against steps of advised queues whose tickets lapse before their turn.
Test(waiting, no_task_waits_for_tickets_in_a_wide_fleet) {
  expect_no_task_waits(wide_shape(), {.first = 2'600'133, .count = 6});
}

// Guards against a job that quarantined and disturbed workers together leave no worker.
Test(waiting, no_task_waits_since_the_guards_together_exclude_all_workers) {
  expect_no_task_waits(wide_shape(), {.first = 2'600'012, .count = 1});
}

// Guards against tasks that wait while half of the workers are silent under suspects.
Test(waiting, no_task_waits_while_half_of_the_fleet_is_silent) {
  expect_no_task_waits(deadly_shape(), {.first = 2'600'136, .count = 1});
}

// Guards against suspects that wait for inherited ones after a change of leader in a storm.
Test(waiting, no_task_waits_after_a_change_of_leader_in_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 2'600'002, .count = 1});
}

// Guards against a job that waits for workers which tasks crash after some seconds, while others
// are silent, or kept for suspects.
Test(waiting, no_task_waits_behind_a_task_that_crashes_workers_after_seconds) {
  expect_no_task_waits(late_shape(), {.first = 18, .count = 1});
}

// Guards against large tasks that wait behind small ones after a storm.
Test(waiting, no_task_waits_after_a_storm_among_tasks_of_several_sizes) {
  expect_no_task_waits(sizes_shape(), {.first = 50, .count = 1});
}
