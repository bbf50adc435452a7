// Known failures, listed in KNOWN-RED.txt: tasks wait although most of the fleet is free.
#include "waiting_soak_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale::sched;

// Guards against tasks that wait at another moment than the one at which the other tests look.
Test(waiting, no_task_waits_at_any_moment_after_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 50, .count = 30}, WaitingMoments::all);
}

// Guards against suspects that wait for inherited ones after a change of leader in a storm.
Test(waiting, no_task_waits_after_a_change_of_leader_in_a_storm) {
  expect_no_task_waits(storm_shape(), {.first = 2'600'002, .count = 1});
}

// Guards against large tasks that wait behind small ones after a storm.
Test(waiting, no_task_waits_after_a_storm_among_tasks_of_several_sizes) {
  expect_no_task_waits(sizes_shape(), {.first = 50, .count = 1});
}

// Guards against steps of advised queues whose tickets lapse before their turn.
Test(waiting, no_task_waits_for_tickets_on_some_seeds) {
  for (const std::uint64_t seed : {1, 5, 2'600'133, 2'600'136}) {
    expect_no_task_waits(wide_shape(), {.first = seed, .count = 1});
  }
}

// Guards against lasting tasks that are given up after five crashes of their workers in a row,
// although each run had lasted for seconds and the crashes were faults of the workers.
Test(waiting, no_sound_job_is_given_up_in_a_series_of_crashes) {
  expect_no_sound_job_is_given_up(crash_shape(), {.first = 1, .count = 20});
}
