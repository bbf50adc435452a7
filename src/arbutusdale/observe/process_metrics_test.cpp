// Tests of the process-wide metrics.
#include "arbutusdale/observe/process_metrics.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::observe;
using namespace std::chrono_literals;

// Guards against events that are counted only when their line is written.
Test(process_metrics, events_are_counted_without_a_log) {
  EventLine(Event::run_refused).write();
  EventLine(Event::run_refused).write();
  EventLine(Event::lines_dropped).write();
  const std::string text = process_metrics().expose();
  cr_assert_neq(text.find(R"(arbutusdale_events_total{event="run_refused"} 2)"), std::string::npos);
  cr_assert_neq(text.find(R"(arbutusdale_events_total{event="lines_dropped"} 1)"),
                std::string::npos);
}

// Guards against a timing that is recorded under another one's name or in another unit.
Test(process_metrics, timings_have_their_own_histograms_in_seconds) {
  record_timing(Timing::advice_call, 2s);
  const std::string text = process_metrics().expose();
  cr_assert_neq(text.find("arbutusdale_advice_call_seconds_sum 2"), std::string::npos);
  cr_assert_neq(text.find("arbutusdale_advice_call_seconds_count 1"), std::string::npos);
  cr_assert_neq(text.find("arbutusdale_start_call_seconds_count 0"), std::string::npos);
}
