// Tests how many workers may run suspects, and how many suspects share a worker.
#include "arbutusdale/sched/suspect_limits.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

// Guards against a limit that does not grow with the wait, or grows beyond half of the fleet.
Test(suspect_limits, the_limit_doubles_with_the_wait_up_to_half_of_the_fleet) {
  cr_expect_eq(isolation_limit(48, 0ms).answering, 6U);
  cr_expect_eq(isolation_limit(48, k_isolation_time - 1ms).answering, 6U);
  cr_expect_eq(isolation_limit(48, k_isolation_time).answering, 12U);
  cr_expect_eq(isolation_limit(48, 2 * k_isolation_time).answering, 24U);
  cr_expect_eq(isolation_limit(48, 60s).answering, 24U);
  cr_expect_eq(isolation_limit(48, 0ms).total, 12U);
  cr_expect_eq(isolation_limit(48, 60s).total, 24U);
}

// Guards against a small fleet on which no suspect ever starts.
Test(suspect_limits, a_small_fleet_has_two_places_beside_two_silent_workers) {
  const IsolationLimit limit = isolation_limit(3, 0ms);
  cr_expect_eq(limit.answering, 2U);
  cr_expect_eq(limit.total, 4U);
}

// Guards against groups where every suspect can start alone in time, and against waits that grow
// with the number of suspects.
Test(suspect_limits, groups_are_no_larger_than_their_number_needs) {
  // 2, 4, 8 and 8 of 16 workers, one after the other.
  cr_expect_eq(suspect_group_size(0, 0ms, 16), 1U);
  cr_expect_eq(suspect_group_size(22, 0ms, 16), 1U);
  cr_expect_eq(suspect_group_size(23, 0ms, 16), 2U);
  cr_expect_eq(suspect_group_size(220, 0ms, 16), 10U);
}

// Guards against groups that are sized as if no time had passed since the suspects began to wait.
Test(suspect_limits, groups_grow_with_the_wait) {
  cr_expect_eq(suspect_group_size(16, 2 * k_isolation_time, 16), 1U);
  cr_expect_eq(suspect_group_size(17, 2 * k_isolation_time, 16), 2U);
  cr_expect_eq(suspect_group_size(80, 60s, 16), 10U);
}
