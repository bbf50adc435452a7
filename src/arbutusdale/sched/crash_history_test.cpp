// Tests which tasks count as suspects and as causes of crashes.
#include "arbutusdale/sched/crash_history.hpp"

#include <chrono>
#include <cstdint>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// A run that crashed its worker right after its start.
CrashedRun prompt_crash(std::uint32_t number, bool isolated) {
  return {number, "w", true, false, isolated, true, 0ms};
}

/// A run that had settled when its worker crashed.
CrashedRun settled_crash(std::uint32_t number, Duration age) {
  return {number, "w", true, true, false, false, age};
}

}  // namespace

// Guards against a task that is given up for two crashes, which may be a coincidence.
Test(crash_history, three_prompt_crashes_of_which_the_last_was_isolated_prove_the_cause) {
  CrashHistory history;
  cr_expect(!history.is_suspect());
  history.add(prompt_crash(1, false));
  cr_expect(history.is_suspect());
  history.add(prompt_crash(2, true));
  cr_expect(!history.is_cause());
  history.add(prompt_crash(3, true));
  cr_expect(history.is_cause());
}

// Guards against a crash that counts twice, once for each leader that learns of it.
Test(crash_history, a_run_counts_once) {
  CrashHistory history;
  cr_expect(history.add(prompt_crash(1, false)));
  cr_expect(!history.add(prompt_crash(1, true)));
  cr_expect_eq(history.runs().size(), 1U);
}

// Guards against a task that is given up for crashes before a run of it had settled.
Test(crash_history, a_settled_run_clears_the_suspicion) {
  CrashHistory history;
  history.add(prompt_crash(1, false));
  history.add(prompt_crash(2, true));
  history.clear_suspicion();
  cr_expect(!history.is_suspect());
  history.add(prompt_crash(3, true));
  cr_expect(!history.is_cause());
}

// Guards against tasks that wait to be started alone only because other tasks crashed their
// workers.
Test(crash_history, settled_runs_are_no_suspects) {
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 4; ++number) {
    history.add(settled_crash(number, 2s));
    cr_expect(!history.is_suspect());
  }
}

// Guards against a task that is given up for crashes that were hours apart.
Test(crash_history, crashes_before_a_long_run_do_not_count) {
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 4; ++number) {
    history.add(settled_crash(number, 2s));
  }
  history.clear();
  history.add(settled_crash(5, 2s));
  cr_expect(!history.is_cause());
}

// Guards against a task whose crashes never prove anything and that is started for ever.
Test(crash_history, unproved_crashes_are_limited) {
  CrashHistory unsettled;
  CrashHistory settled;
  for (std::uint32_t number = 1; number <= 4; ++number) {
    unsettled.add({number, "w", false, false, false, false, 0ms});
    settled.add(settled_crash(number, 10s));
  }
  cr_expect(unsettled.is_cause());
  cr_expect(!settled.is_cause());
  settled.add(settled_crash(5, 10s));
  cr_expect(settled.is_cause());
}
