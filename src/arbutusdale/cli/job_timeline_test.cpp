// Tests of the timeline that the verb `story` prints.
#include "job_timeline.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale::cli;

namespace {

constexpr const char* k_job = "5c0e7a21d94b36f8";

std::string line(int time_ms, const std::string& daemon, const std::string& event,
                 const std::string& fields = "") {
  return R"({"time_ms":)" + std::to_string(time_ms) + R"(,"daemon":")" + daemon + R"(","event":")" +
         event + R"(","job":")" + k_job + "\"" + fields + "}\n";
}

bool lacks(const JobTimeline& timeline, const std::string& part) {
  return std::any_of(timeline.missing.begin(), timeline.missing.end(),
                     [&](const std::string& item) { return item.find(part) != std::string::npos; });
}

}  // namespace

// Guards against a timeline in the order of the files instead of the order of time, and against
// events of other jobs in it.
Test(job_timeline, lines_of_several_daemons_are_put_in_order) {
  const std::string leader = line(200, "b", "job_owned") +
                             line(210, "b", "run_ordered", R"(,"step":0,"task":1,"run":1)") +
                             line(900, "b", "run_ended", R"(,"step":0,"task":1,"run":1)") +
                             line(950, "b", "job_ended", R"(,"state":"COMPLETED")");
  const std::string other = R"({"time_ms":300,"daemon":"a","event":"job_owned","job":"ffff"})"
                            "\nnot json {\n\n";
  const JobTimeline timeline =
      make_job_timeline(k_job, {leader, other + "  12.1 a " + line(100, "a", "job_accepted")});
  cr_assert_eq(timeline.events.size(), 5U);
  cr_assert(timeline.events.front().name == "job_accepted");
  cr_assert(timeline.outcome == "COMPLETED");
  cr_assert(timeline.missing.empty());
}

// Guards against incomplete logs that look like a complete timeline.
Test(job_timeline, gaps_are_named) {
  const std::string log = line(100, "a", "job_owned") +
                          line(110, "a", "run_ordered", R"(,"step":2,"task":7,"run":1001)") +
                          R"({"time_ms":120,"daemon":"a","event":"lines_dropped","count":31})"
                          "\n" +
                          line(130, "a", "state_answered");
  const JobTimeline timeline = make_job_timeline(k_job, {log});
  cr_assert(lacks(timeline, "acceptance"));
  cr_assert(lacks(timeline, "its end"));
  cr_assert(lacks(timeline, "run 1001 of task 7 of step 2"));
  cr_assert(lacks(timeline, "31 lines that a dropped"));
  cr_assert(lacks(make_job_timeline("0000000000000000", {log}), "any line"));
}

// Guards against a refusal that hides a later acceptance by another daemon.
Test(job_timeline, acceptance_overrides_an_earlier_refusal) {
  const std::string refused = line(100, "a", "job_refused");
  cr_assert(make_job_timeline(k_job, {refused}).outcome == "refused");
  const std::string accepted = refused + line(300, "b", "job_accepted");
  cr_assert(make_job_timeline(k_job, {accepted}).outcome == "accepted");
  const JobTimeline timeline = make_job_timeline(k_job, {accepted});
  cr_assert_neq(render_job_timeline(timeline).find("0.200 s"), std::string::npos);
  cr_assert(job_timeline_json(timeline)["lines"].size() == 2);
}
