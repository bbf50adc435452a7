// Tests which tasks count as suspects and as causes of crashes.
#include "arbutusdale/sched/crash_history.hpp"

#include "arbutusdale/sched/crash_rate.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint k_begin{Duration{1'000'000'000}};
constexpr std::size_t k_others = 15;  // workers

/// A run that crashed its worker right after its start.
CrashedRun prompt_crash(std::uint32_t number, bool isolated) {
  return {number, "w", true, false, isolated, true, 0ms};
}

/// A run that had settled when its worker crashed.
CrashedRun settled_crash(std::uint32_t number, Duration age) {
  return {number, "w", true, true, false, false, age};
}

/// The run with the time at which its worker fell silent.
CrashedRun timed(CrashedRun run, Duration silent_after) {
  run.silent_at = k_begin + silent_after;
  run.begun_at = run.silent_at - run.age;
  return run;
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

// Guards against a task that is started for ever alone, although its crashes are not noticed at
// once.
Test(crash_history, four_unsettled_crashes_prove_the_cause_if_the_last_run_was_isolated) {
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 3; ++number) {
    history.add({number, "w", false, false, false, false, 0ms});
  }
  cr_expect(!history.is_cause());
  history.add({4, "w", false, false, true, false, 0ms});
  cr_expect(history.is_cause());
}

// Guards against a task whose crashes never prove anything and that is started for ever on a fleet
// on which no other worker crashes.
Test(crash_history, unproved_crashes_are_limited_on_a_quiet_fleet) {
  const CrashRate quiet;
  CrashHistory unsettled;
  CrashHistory settled;
  for (std::uint32_t number = 1; number <= 4; ++number) {
    unsettled.add(timed({number, "w", false, false, false, false, 0ms}, number * 20s));
    settled.add(timed(settled_crash(number, 10s), number * 20s));
    unsettled.estimate_chance(quiet, k_others);
    settled.estimate_chance(quiet, k_others);
    cr_expect_eq(unsettled.is_cause(), number == 4, "%u crashes", number);
    cr_expect(!settled.is_cause());
  }
  settled.add(timed(settled_crash(5, 10s), 100s));
  settled.estimate_chance(quiet, k_others);
  cr_expect(settled.is_cause());
}

// Guards against sound tasks that are given up in a series of crashes, each of which hits a third
// of the workers.
Test(crash_history, crashes_that_also_hit_other_workers_prove_nothing) {
  CrashRate rate;
  CrashHistory unsettled;
  CrashHistory settled;
  for (std::uint32_t number = 1; number <= 8; ++number) {
    const TimePoint silent_at = k_begin + number * 20s;
    for (std::size_t i = 0; i < k_others / 3; ++i) {
      rate.note_silence("other" + std::to_string(i), silent_at + 300ms);
    }
    unsettled.add(timed({number, "w", false, false, false, false, 0ms}, number * 20s));
    settled.add(timed(settled_crash(number, 2s), number * 20s));
    unsettled.estimate_chance(rate, k_others);
    settled.estimate_chance(rate, k_others);
    cr_expect(!unsettled.is_cause(), "%u crashes", number);
    cr_expect(!settled.is_cause(), "%u crashes", number);
  }
}

// Guards against a task that hides for ever behind the crashes of one storm.
Test(crash_history, crashes_after_a_storm_convict) {
  CrashRate rate;
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 8; ++number) {
    if (number <= 3) {
      for (std::size_t i = 0; i < k_others / 3; ++i) {
        rate.note_silence("other" + std::to_string(i), k_begin + number * 20s);
      }
    }
    history.add(timed(settled_crash(number, 2s), number * 20s));
    history.estimate_chance(rate, k_others);
    cr_expect(number > 5 || !history.is_cause(), "%u crashes", number);
  }
  cr_expect(history.is_cause());
}

// Guards against a sound task that is given up since its runs were on the workers of a deadly one.
Test(crash_history, crashes_by_another_task_prove_nothing) {
  CrashRate rate;
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 5; ++number) {
    rate.note_silence("w", k_begin + number * 20s);
    history.add(timed(settled_crash(number, 2s), number * 20s));
  }
  history.estimate_chance(rate, k_others);
  cr_expect(history.is_cause());
  for (std::uint32_t number = 1; number <= 3; ++number) {
    rate.explain_silence("w", k_begin + number * 20s);
  }
  history.estimate_chance(rate, k_others);
  cr_expect(!history.is_cause());
}

// Guards against a task that is started for ever because many others crash their workers, too.
Test(crash_history, ten_crashes_in_a_row_convict_however_likely_they_are) {
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 10; ++number) {
    cr_expect(!history.is_cause(), "%u crashes", number - 1);
    history.add(settled_crash(number, 2s));
  }
  cr_expect(history.is_cause());
}

// Guards against runs under an earlier leader that count as crashes in a quiet time.
Test(crash_history, settled_crashes_of_unknown_times_prove_nothing) {
  const CrashRate quiet;
  CrashHistory history;
  for (std::uint32_t number = 1; number <= 5; ++number) {
    history.add(settled_crash(number, 2s));
  }
  history.estimate_chance(quiet, k_others);
  cr_expect(!history.is_cause());
}
