// Tests the limit of starts in flight.
#include "arbutusdale/sched/start_window.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint k_now{Duration{1'000'000'000}};

void answer(StartWindow& window, int count, Duration latency, TimePoint now = k_now) {
  for (int i = 0; i < count; ++i) {
    window.on_result(StartResult::answered, now - latency, now);
  }
}

}  // namespace

// Guards against a window that is halved once for each of many starts lost at the same time.
Test(start_window, starts_lost_together_halve_it_once) {
  StartWindow window;
  for (int i = 0; i < 20; ++i) {
    window.on_result(StartResult::unanswered, k_now - 300ms, k_now + i * 1ms);
  }
  cr_assert_eq(window.size(), k_max_starts_in_flight / 2);
}

// Guards against a window at its floor on a large fleet, where the network alone loses some starts
// of every thousand.
Test(start_window, starts_that_the_network_loses_do_not_reduce_it) {
  StartWindow window;
  for (int i = 0; i < 500; ++i) {
    const TimePoint now = k_now + i * 20ms;
    answer(window, 49, 8ms, now);
    window.on_result(StartResult::unanswered, now - 300ms, now);
  }
  cr_assert_eq(window.size(), k_max_starts_in_flight);
}

// Guards against a window that stays wide although the leader handles a tenth of the answers late.
Test(start_window, a_tenth_of_unanswered_starts_reduces_it_to_its_floor) {
  StartWindow window;
  for (int i = 0; i < 300; ++i) {
    const TimePoint now = k_now + i * 1s;
    answer(window, 8, 8ms, now);
    window.on_result(StartResult::unanswered, now - 300ms, now);
  }
  cr_assert_eq(window.size(), k_min_starts_in_flight);
}

// Guards against a leader that starts nothing any more, or too much, after many results.
Test(start_window, stays_within_its_limits) {
  StartWindow window;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = k_now + i * 1s;
    window.on_result(StartResult::unanswered, now - 300ms, now);
  }
  cr_assert_eq(window.size(), k_min_starts_in_flight);
  answer(window, 10'000, 5ms);
  cr_assert_eq(window.size(), k_max_starts_in_flight);
}

// Guards against growth on answers that only just come in time: the next ones would be lost.
Test(start_window, late_answers_do_not_let_it_grow) {
  StartWindow window;
  for (int i = 0; i < 3; ++i) {
    window.on_result(StartResult::unanswered, k_now - 300ms, k_now);
  }
  answer(window, 10'000, 280ms, k_now + 1s);
  cr_assert_eq(window.size(), k_max_starts_in_flight / 2);
}

// Guards against starts to silent workers that hold up those to workers that answer, and against
// twice as many starts in flight in a leader that handles answers late.
Test(start_window, overdue_starts_do_not_fill_it_while_others_are_answered_in_time) {
  StartWindow window;
  for (int i = 0; i < 20; ++i) {
    const TimePoint now = k_now + i * 1s;
    window.on_result(StartResult::unanswered, now - 300ms, now);
  }
  answer(window, 1, 5ms);
  cr_assert_not(window.is_full(k_min_starts_in_flight, k_min_starts_in_flight));
  cr_assert(window.is_full(k_min_starts_in_flight, 0));
  cr_assert(window.is_full(2 * k_min_starts_in_flight, 2 * k_min_starts_in_flight));
  answer(window, 1, 200ms);
  cr_assert(window.is_full(k_min_starts_in_flight, k_min_starts_in_flight));
}

// Guards against more starts in flight than the leader and the workers carry.
Test(start_window, overdue_starts_do_not_raise_its_ceiling) {
  const StartWindow window;
  cr_assert(window.is_full(k_max_starts_in_flight, k_max_starts_in_flight));
}
