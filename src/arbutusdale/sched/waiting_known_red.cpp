// Known failures, listed in KNOWN-RED.txt: suspects wait although most of the fleet is free, and
// sound jobs are given up.
#include "waiting_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale::sched;

// Guards against tasks that wait after a storm has made many of them suspects.
Test(waiting, no_task_waits_after_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 20, .count = 40});
}

// Guards against sound suspects that wait behind tasks that crash their workers.
Test(waiting, no_task_waits_behind_deadly_tasks) {
  expect_no_task_waits(deadly_shape(), {.first = 1, .count = 30});
}

// Guards against a number of places for suspects that is too small after a storm in a wide fleet.
Test(waiting, no_task_waits_after_a_storm_in_a_wide_fleet) {
  expect_no_task_waits(wide_shape(), {.first = 1, .count = 10});
}

// Guards against tasks that wait after all workers of a rack have crashed at one time.
Test(waiting, no_task_waits_after_crashes_of_racks) {
  expect_no_task_waits(rack_shape(), {.first = 70, .count = 40});
}

// Guards against large tasks that wait behind small ones after a storm.
Test(waiting, no_task_waits_after_a_storm_among_tasks_of_several_sizes) {
  expect_no_task_waits(sizes_shape(), {.first = 30, .count = 40});
}

// Guards against tasks that wait at another moment than the one at which the other tests look.
Test(waiting, no_task_waits_at_any_moment_after_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 50, .count = 30}, WaitingMoments::all);
}

// Guards against lasting tasks that are given up after five crashes of their workers in a row,
// although each run had lasted for seconds and the crashes were faults of the workers.
Test(waiting, no_sound_job_is_given_up_in_a_series_of_crashes) {
  expect_no_sound_job_is_given_up(crash_shape(), {.first = 1, .count = 20});
}
