// Tests of the core types.
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/core/verdict.hpp"

#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;

// Guards against a fit check that looks at only some of the resources.
Test(resources, fits_needs_every_resource) {
  const Resources free{1000, 1024, 1};
  cr_assert(fits({1000, 1024, 1}, free));
  cr_assert_not(fits({1001, 1024, 1}, free));
  cr_assert_not(fits({1000, 1025, 1}, free));
  cr_assert_not(fits({1000, 1024, 2}, free));
}

// Guards against unsigned wrap-around, which would make an overcommitted VM look free.
Test(resources, minus_saturates) {
  cr_assert(is_zero(minus({1, 1, 1}, {2, 2, 2})));
  cr_assert(minus({5, 2, 1}, {2, 3, 1}) == (Resources{3, 0, 0}));
}

// Guards against a change of the hash, which would make daemons of different versions disagree on
// ownership.
Test(hash, is_stable) {
  cr_assert_eq(stable_hash(""), 0xEF46DB3751D8E999ULL);
  cr_assert_eq(rendezvous_bucket("vm-1", 1), 0U);
}

// Guards against buckets that are never used.
Test(hash, rendezvous_uses_all_buckets) {
  std::set<std::uint32_t> seen;
  for (int i = 0; i < 200; ++i) {
    seen.insert(rendezvous_bucket("vm-" + std::to_string(i), 8));
  }
  cr_assert_eq(seen.size(), 8U);
}

// Guards against an index that is equal to the upper limit, which is out of range.
Test(random, index_stays_in_range) {
  Random random{7};
  for (int i = 0; i < 10'000; ++i) {
    cr_assert_lt(random_index(random, 3), 3U);
  }
}

// Guards against a wrong or missing row in the name tables, and against an error made by `not_run`
// that has another verdict.
Test(verdict, names) {
  cr_assert(to_string(Verdict::may_have_run) == "may_have_run");
  cr_assert(to_string(ErrorCode::internal) == "internal");
  cr_assert(not_run(ErrorCode::overloaded, "x").value().verdict == Verdict::not_run);
}

// Guards against a fake clock whose wall-clock time does not advance.
Test(clock, fake_clock_advances_both_times) {
  FakeClock clock;
  const auto wall = clock.wall_ms();
  clock.advance(std::chrono::milliseconds{5});
  cr_assert_eq(clock.wall_ms() - wall, 5U);
}
