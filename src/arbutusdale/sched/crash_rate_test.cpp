// Tests how many crashes of workers are taken for chance.
#include "arbutusdale/sched/crash_rate.hpp"

#include <chrono>
#include <cmath>
#include <cstddef>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint k_now{Duration{1'000'000'000}};
constexpr std::size_t k_others = 10;

double expected_in(const CrashRate& rate, TimePoint begun_at, TimePoint silent_at) {
  return rate.expected_crashes("w", begun_at, silent_at, k_others).value_or(-1);
}

}  // namespace

// Guards against runs that speak against their task for crashes that also hit other workers.
Test(crash_rate, crashes_of_other_workers_are_to_be_expected_of_each) {
  CrashRate rate;
  cr_expect_lt(expected_in(rate, k_now, k_now + 2s), 0.01);
  for (int i = 0; i < 5; ++i) {
    rate.note_silence("other" + std::to_string(i), k_now + i * 400ms);
  }
  cr_expect_gt(expected_in(rate, k_now, k_now + 2s), 0.5);
  cr_expect_lt(expected_in(rate, k_now, k_now + 2s), 0.51);
}

// Guards against a crash that is explained by itself, and by crashes at other times.
Test(crash_rate, its_own_crash_and_crashes_at_other_times_do_not_count) {
  CrashRate rate;
  rate.note_silence("w", k_now + 2s);
  rate.note_silence("earlier", k_now - 3s);
  rate.note_silence("later", k_now + 5s);
  cr_expect_lt(expected_in(rate, k_now, k_now + 2s), 0.01);
}

// Guards against workers that were only cut off, and against crashes by tasks, which make further
// crashes seem likely.
Test(crash_rate, silences_that_are_explained_do_not_count) {
  CrashRate rate;
  rate.note_silence("other", k_now);
  rate.note_silence("other", k_now + 1s);
  rate.forget_silence("other", k_now);
  cr_expect_gt(expected_in(rate, k_now, k_now + 2s), 0.1);
  rate.explain_silence("other", k_now + 1s);
  cr_expect_lt(expected_in(rate, k_now, k_now + 2s), 0.01);
}

// Guards against a task that is convicted by a crash of which another one is the cause.
Test(crash_rate, a_crash_by_a_task_is_explained) {
  CrashRate rate;
  rate.note_silence("w", k_now);
  rate.note_silence("w", k_now + 1s);
  rate.explain_silence("w", k_now);
  cr_expect(rate.is_explained("w", k_now));
  cr_expect(!rate.is_explained("w", k_now + 1s));
  cr_expect(!rate.is_explained("other", k_now));
}

// Guards against a quiet time that is only one of which nothing is known any more.
Test(crash_rate, says_nothing_of_times_that_it_has_forgotten) {
  CrashRate rate;
  rate.note_silence("other", k_now);
  rate.note_silence("other", k_now + 1h);
  cr_expect(!rate.expected_crashes("w", k_now, k_now + 2s, k_others));
  cr_expect(rate.expected_crashes("w", k_now + 1h, k_now + 1h + 2s, k_others).has_value());
}

// Guards against a fleet of one worker, of which nothing can be compared.
Test(crash_rate, a_fleet_without_other_workers_has_the_least_rate) {
  const CrashRate rate;
  const auto expected = rate.expected_crashes("w", k_now, k_now + 6s, 0);
  cr_assert(expected.has_value());
  cr_expect_lt(std::abs(*expected - 0.01), 1e-9);
}

// Guards against wrong tails of the Poisson distribution, also where the difference from one loses
// all digits.
Test(crash_rate, chances_are_those_of_the_poisson_distribution) {
  cr_expect_lt(std::abs(chance_of_crashes(0, 0.5) - 1), 1e-9);
  cr_expect_lt(std::abs(chance_of_crashes(1, 0.5) - (1 - std::exp(-0.5))), 1e-9);
  cr_expect_lt(std::abs(chance_of_crashes(5, 1.0) - 0.00365985), 1e-7);
  cr_expect_lt(std::abs(chance_of_crashes(5, 0.001) / (1e-15 / 120) - 1), 0.01);
  cr_expect_lt(std::abs(chance_of_crashes(3, 20.0) - 1), 1e-5);
}
