// Tests of the verb that tells what logs say of one job.
#include "story.hpp"

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

bool lacks(const Story& story, const std::string& part) {
  return std::any_of(story.missing.begin(), story.missing.end(),
                     [&](const std::string& gap) { return gap.find(part) != std::string::npos; });
}

}  // namespace

// Guards against a story in the order of the files instead of the order of time, and against lines
// of other jobs in it.
Test(story, lines_of_several_daemons_are_put_in_order) {
  const std::string leader = line(200, "b", "job_owned") +
                             line(210, "b", "run_ordered", R"(,"step":0,"task":1,"run":1)") +
                             line(900, "b", "run_ended", R"(,"step":0,"task":1,"run":1)") +
                             line(950, "b", "job_ended", R"(,"state":"COMPLETED")");
  const std::string other = R"({"time_ms":300,"daemon":"a","event":"job_owned","job":"ffff"})"
                            "\nnot json {\n\n";
  const Story story =
      make_story(k_job, {leader, other + "  12.1 a " + line(100, "a", "job_accepted")});
  cr_assert_eq(story.lines.size(), 5U);
  cr_assert(story.lines.front().event == "job_accepted");
  cr_assert(story.outcome == "COMPLETED");
  cr_assert(story.missing.empty());
}

// Guards against a gap in the logs that reads like a whole story.
Test(story, gaps_are_named) {
  const std::string log = line(100, "a", "job_owned") +
                          line(110, "a", "run_ordered", R"(,"step":2,"task":7,"run":1001)") +
                          R"({"time_ms":120,"daemon":"a","event":"lines_dropped","count":31})"
                          "\n" +
                          line(130, "a", "state_answered");
  const Story story = make_story(k_job, {log});
  cr_assert(lacks(story, "acceptance"));
  cr_assert(lacks(story, "its end"));
  cr_assert(lacks(story, "run 1001 of task 7 of step 2"));
  cr_assert(lacks(story, "31 lines that a dropped"));
  cr_assert(lacks(make_story("0000000000000000", {log}), "any line"));
}

// Guards against a refusal that hides a later acceptance by another daemon.
Test(story, the_outcome_is_that_of_the_last_word) {
  const std::string refused = line(100, "a", "job_refused");
  cr_assert(make_story(k_job, {refused}).outcome == "refused");
  const std::string accepted = refused + line(300, "b", "job_accepted");
  cr_assert(make_story(k_job, {accepted}).outcome == "accepted");
  const Story story = make_story(k_job, {accepted});
  cr_assert_neq(render_story(story).find("0.200 s"), std::string::npos);
  cr_assert(story_json(story)["lines"].size() == 2);
}
