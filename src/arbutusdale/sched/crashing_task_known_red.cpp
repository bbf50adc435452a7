// A known failure, listed in KNOWN-RED.txt: several tasks that crash their workers late.
#include <chrono>
#include <cstdint>

#include "crashing_task_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t k_deadly = 100;  // number of the first deadly job

}  // namespace

// Guards against several tasks that crash workers after two seconds, each of which makes the
// crashes under the others seem likely, so that more workers crash before they are given up.
Test(crashing_task, several_that_crash_workers_after_two_seconds_are_given_up) {
  CrashFixture f(16);
  f.fleet.crash_delay = [](const jobs::TaskId&) { return 2s; };
  f.lead();
  f.timer.advance(1s);
  for (std::uint32_t i = 0; i < 3; ++i) {
    f.submit_deadly(k_deadly + i, 1);
    f.submit(1 + i, 4);
    f.timer.advance(700ms);
  }
  f.timer.advance(90s);
  f.expect_given_up({k_deadly, k_deadly + 1, k_deadly + 2});
  f.expect_completed(1, 3);
  f.expect_nothing_doubled();
}
