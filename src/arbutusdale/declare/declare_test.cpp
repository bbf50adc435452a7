// Tests of the parser of declaration files.
#include "arbutusdale/declare/declare.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::declare;

namespace {

const std::string k_service =
    R"({"name":"s","team":"t","path_prefix":"/s","vm_prefix":"vm-","slots":8,)"
    R"("p99_target_ms":40,"timeout_ms":2000)";

void expect_error(const std::string& text, const std::string& message) {
  const auto parsed = parse_declaration("f.json", text);
  cr_assert_not(parsed, "accepted: %s", text.c_str());
  cr_assert(parsed.error().message.find(message) != std::string::npos, "%s",
            parsed.error().message.c_str());
  cr_assert(parsed.error().verdict == Verdict::not_run);
}

std::string read_example(const std::string& name) {
  std::ifstream file(std::string(ARBUTUSDALE_EXAMPLES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Guards against an example file that no longer matches the format, and against fields that are
// parsed but not stored.
Test(declare, example_is_valid) {
  const auto parsed = parse_declaration("steinbacher.json", read_example("steinbacher.json"));
  cr_assert(parsed, "%s", parsed ? "" : parsed.error().message.c_str());
  cr_assert_eq(parsed->domains_size(), 3);
  cr_assert_eq(parsed->domains(2).shards(), 2U);
  cr_assert_eq(parsed->teams(1).quota().cpu_millis(), 800'000U);
  cr_assert_eq(parsed->services(0).reserve().memory_mib(), 48U * 1'024);
  cr_assert_eq(parsed->services(1).connections(), 64U);
  cr_assert_eq(parsed->jobs(0).resources().cpu_millis(), 1'500U);
  cr_assert(parsed->jobs(0).checkpoint());
  cr_assert_eq(parsed->jobs(0).max_tries(), 4U);
}

// Guards against misspelt fields that are silently ignored, at every nesting level.
Test(declare, unknown_fields_are_refused) {
  expect_error(R"({"service": []})", "f.json: service: unknown field; expected one of");
  expect_error("{\"services\":[" + k_service + ",\"slot\":3}]}", "services[0].slot: unknown field");
  expect_error("{\"services\":[" + k_service + ",\"reserve\":{\"memory\":3}}]}",
               "services[0].reserve.memory: unknown field");
}

// Guards against values of a wrong type or range that are accepted, and against error messages
// that lack the path, the value or the allowed range.
Test(declare, wrong_values_name_path_value_and_range) {
  expect_error(R"({"domains":[{"name":"a","region":"r"},{"name":"b","region":"r","shards":17}]})",
               "f.json: domains[1].shards: 17 is not allowed; expected an integer from 1 to 16");
  expect_error(R"({"domains":[{"name":"a","region":"r","weight":-1}]})", "weight: -1 is not");
  expect_error(R"({"domains":[{"name":"a","region":"r","weight":1.5}]})", "weight: 1.5 is not");
  expect_error(R"({"domains":[{"name":"a:b","region":"r"}]})", "domains[0].name: \"a:b\"");
  expect_error(R"({"domains":[{"region":"r"}]})", "domains[0].name: the field is required");
  expect_error(R"({"domains":[7]})", "domains[0]: 7 is not allowed; expected an object");
  expect_error(R"({"domains":{}})", "domains: object; expected a list");
  expect_error(R"([])", "[] is not allowed; expected an object");
  expect_error("{\"services\":[" + k_service + ",\"reserve\":{\"cpu\":\"2\"}}]}",
               "services[0].reserve.cpu: \"2\" is not allowed; expected a number");
  expect_error(R"({"drains":["vm-1","vm-1"]})", "drains[1]: \"vm-1\" appears twice");
}

// Guards against values that contradict each other or can never be satisfied: a latency target
// above the timeout, a job without tasks, a task without resources.
Test(declare, impossible_values_are_refused) {
  std::string service = k_service;
  service.replace(service.find(":40"), 3, ":4000");
  expect_error("{\"services\":[" + service + "}]}", "at most timeout_ms, which is 2000");
  expect_error(R"({"jobs":[{"name":"j","team":"t","tasks":0,"resources":{},"expected_ms":1}]})",
               "jobs[0].tasks: 0 is not allowed");
  expect_error(R"({"jobs":[{"name":"j","team":"t","tasks":1,"resources":{},"expected_ms":1}]})",
               "jobs[0].resources: {} is not allowed; expected at least one amount above 0");
}

// Guards against a second value of a field, or a second object of the same name, that silently
// replaces the first.
Test(declare, duplicates_are_refused) {
  expect_error(R"({"teams":[{"name":"a"},{"name":"b","name":"c"}]})",
               "teams[1].name: the field appears twice");
  expect_error(R"({"teams":[{"name":"a"},{"name":"a"}]})",
               "teams[1].name: team \"a\" is already declared in f.json teams[0].name");
}

// Guards against two files that declare the same object, possibly differently.
Test(declare, files_are_merged_without_overlap) {
  const SourceFile one{"one.json", R"({"teams":[{"name":"a"}]})"};
  const SourceFile two{"two.json", R"({"teams":[{"name":"b"}]})"};
  const auto merged = parse_declarations({one, two});
  cr_assert(merged);
  cr_assert_eq(merged->teams_size(), 2);
  const auto twice = parse_declarations({one, {"two.json", one.text}});
  cr_assert_not(twice);
  cr_assert(twice.error().message.find("two.json: teams[0].name: team \"a\" is already declared "
                                       "in one.json teams[0].name") != std::string::npos);
}

// Guards against syntax errors that are reported without a line number, and against input of
// unbounded nesting, size or list length.
Test(declare, syntax_and_sizes_are_checked) {
  expect_error("{\n\"teams\": [,]}", "line 2");
  expect_error(std::string(100, '['), "nested deeper than 8");
  expect_error("", "parse error");
  const auto large = parse_declaration("f.json", std::string(k_max_file_bytes + 1, ' '));
  cr_assert(large.error().code == ErrorCode::too_large);
  std::string many = R"({"drains":["x")";
  for (std::size_t i = 0; i < k_max_list_entries; ++i) {
    many += ",\"v" + std::to_string(i) + "\"";
  }
  expect_error(many + "]}", "2001 entries; expected a list of at most 2000");
}

// Guards against comments that are rejected or that hide the fields after them.
Test(declare, comments_are_allowed) {
  const auto parsed = parse_declaration("f.json", "// head\n{/* none */ \"teams\": [] // end\n}");
  cr_assert(parsed);
}

// Guards against an unbounded number of error lines for one invalid file.
Test(declare, faults_reported_are_bounded) {
  std::string text = "{\"teams\":[{}";
  for (int i = 0; i < 100; ++i) {
    text += ",{}";
  }
  expect_error(text + "]}", "81 more errors");
}
