// Tests of arbutusctl against a client that records the calls.
#include <cstdlib>
#include <deque>
#include <sstream>
#include <string>
#include <vector>

#include "commands.hpp"
#include "options.hpp"
#include "render.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::cli;

namespace {

struct RecordingClient final : AdminClient {
  Result<HttpResponse> get(const std::string& path) override { return respond("GET " + path); }
  Result<HttpResponse> post(const std::string& path, const std::string& body) override {
    return respond("POST " + path + " " + body);
  }
  Result<HttpResponse> respond(const std::string& call) {
    calls.push_back(call);
    auto next = responses.front();
    responses.pop_front();
    return next;
  }
  std::vector<std::string> calls;
  std::deque<Result<HttpResponse>> responses;
};

struct Outcome {
  Exit exit = Exit::ok;
  std::string out;
  std::string err;
};

Result<Options> parse(std::vector<std::string> words) {
  words.insert(words.begin(), "arbutusctl");
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  return parse_options(static_cast<int>(words.size()), arguments.data());
}

Outcome run(RecordingClient& client, std::vector<std::string> words,
            const std::string& file = R"({"teams":[{"name":"saw"}]})") {
  words.insert(words.end(), {"--server", "http://127.0.0.1:1/"});
  const auto options = parse(words);
  cr_assert(options, "%s", options ? "" : options.error().message.c_str());
  std::ostringstream out;
  std::ostringstream err;
  const auto read_file = [&file](const std::string& name) {
    return name == "missing" ? std::nullopt : std::optional<std::string>(file);
  };
  const Exit exit = run_command(*options, client, {out, err, read_file});
  return {exit, out.str(), err.str()};
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string k_plan_response = R"({"plan":{"id":"p/1"},"text":"plan p/1 by ops\n"})";

}  // namespace

// Guards against a drain that takes effect without confirmation, and against a plan id that changes
// the path of the request because it is not escaped.
Test(cli, drain_makes_a_plan_and_names_the_command) {
  RecordingClient client;
  client.responses = {HttpResponse{200, k_plan_response}};
  const auto outcome = run(client, {"drain", "vm-1"});
  cr_assert(outcome.exit == Exit::ok);
  cr_assert_eq(client.calls.size(), 1U);
  cr_assert(contains(client.calls[0], R"("drain_vms":["vm-1"])"));
  cr_assert(contains(outcome.out, "arbutusctl confirm p/1"));
  client.responses = {HttpResponse{200, k_plan_response},
                      HttpResponse{200, R"({"state":"confirmed"})"}};
  const auto confirmed = run(client, {"drain", "--yes", "vm-1"});
  cr_assert(confirmed.exit == Exit::ok);
  cr_assert(contains(client.calls[2], "POST /v1/plans/p%2F1/confirm"));
}

// Guards against a declaration that reaches the server incomplete.
Test(cli, plan_sends_the_merged_declaration) {
  RecordingClient client;
  client.responses = {HttpResponse{200, k_plan_response}};
  const auto outcome = run(client, {"plan", "a.json", "--remove-service", "old"});
  cr_assert(outcome.exit == Exit::ok, "%s", outcome.err.c_str());
  cr_assert(contains(client.calls[0], R"("name":"saw")"), "%s", client.calls[0].c_str());
  cr_assert(contains(client.calls[0], R"("remove_services":["old"])"));
}

// Guards against an exit status by which a script takes a refusal or an unreachable server for
// success.
Test(cli, exit_status_tells_refused_from_unreachable) {
  RecordingClient client;
  client.responses = {HttpResponse{409, R"({"detail":"service 'x' changed in version 7"})"}};
  const auto refused = run(client, {"confirm", "p1"});
  cr_assert(refused.exit == Exit::failed);
  cr_assert(contains(refused.err, "service 'x' changed in version 7"));
  client.responses = {HttpResponse{200, R"({"id":"p1","state":"refused","reason":"changed"})"}};
  cr_assert(run(client, {"confirm", "p1"}).exit == Exit::failed);
  client.responses = {not_run(ErrorCode::unavailable, "no connection")};
  const auto down = run(client, {"status"});
  cr_assert(down.exit == Exit::unreachable);
  cr_assert_not(contains(down.err, "may have taken effect"));
  client.responses = {may_have_run(ErrorCode::connection_lost, "reset")};
  cr_assert(contains(run(client, {"confirm", "p1"}).err, "may have taken effect"));
  client.responses = {HttpResponse{502, "<html>"}};
  cr_assert(contains(run(client, {"status"}).err, "status 502"));
  client.responses = {HttpResponse{200, "[]"}};
  cr_assert(run(client, {"status"}).exit == Exit::failed);
}

// Guards against an invalid declaration file that is sent to the server.
Test(cli, bad_files_are_refused_locally) {
  RecordingClient client;
  const auto bad = run(client, {"plan", "a.json"}, R"({"team":[]})");
  cr_assert(bad.exit == Exit::failed);
  cr_assert(contains(bad.err, "a.json: team: unknown field"));
  cr_assert(run(client, {"validate", "missing"}).exit == Exit::failed);
  cr_assert(run(client, {"validate", "a.json"}).exit == Exit::ok);
  cr_assert(client.calls.empty());
}

// Guards against text for people in the output that scripts parse.
Test(cli, json_output_is_the_response_of_the_server) {
  RecordingClient client;
  client.responses = {HttpResponse{200, k_plan_response}};
  const auto outcome = run(client, {"cancel", "cuts", "--output", "json"});
  cr_assert(Json::parse(outcome.out) == Json::parse(k_plan_response));
}

// Guards against an invalid command line that runs another command.
Test(cli, wrong_usage_is_refused) {
  unsetenv("ARBUTUSDALE_SERVER");
  const std::string server = "--server=http://127.0.0.1:1";
  cr_assert(parse({"status", server}));
  cr_assert(contains(parse({"status"}).error().message, "no server given"));
  cr_assert(contains(parse({"statsu", server}).error().message, "unknown verb 'statsu'"));
  cr_assert(contains(parse({"confirm", server}).error().message, "usage: arbutusctl confirm ID"));
  cr_assert(contains(parse({"status", server, "--yes"}).error().message, "does not apply"));
  cr_assert(contains(parse({"status", server, "--bogus"}).error().message, "--bogus"));
  cr_assert(contains(parse({"record", server, "--limit", "0"}).error().message, "1 to 1000"));
  cr_assert(contains(parse({"status", "--server", "ftp://x"}).error().message, "expected http"));
  cr_assert(contains(parse({"status", "--token"}).error().message, "needs a value"));
  setenv("ARBUTUSDALE_SERVER", "http://127.0.0.1:2", 1);
  cr_assert(parse({"status"})->server == "http://127.0.0.1:2");
}

// Guards against a verb without help or completion.
Test(cli, every_verb_has_help_and_completion) {
  RecordingClient client;
  for (const VerbInfo& verb : verb_table()) {
    const auto outcome = run(client, {verb.name, "--help"});
    cr_assert(outcome.exit == Exit::ok);
    cr_assert(contains(outcome.out, std::string("Usage: arbutusctl ") + verb.name));
    cr_assert(contains(bash_completion(), std::string("    ") + verb.name + ") words="));
  }
}

// Guards against a record that omits the decision, its author or the reason, with field names in
// snake case or in camel case.
Test(cli, record_shows_who_decided_and_why) {
  for (const bool camel : {false, true}) {
    const std::string by = camel ? "decidedBy" : "decided_by";
    const std::string at = camel ? "proposedAtMs" : "proposed_at_ms";
    const std::string kind = camel ? "objectKind" : "object_kind";
    const Json response{
        {"entries",
         {{{"plan",
            {{"id", "p1"}, {"actor", "ana"}, {"changes", {{{kind, "vm"}, {"domain", "lager"}}}}}},
           {"state", "refused"},
           {by, "boris"},
           {at, "1767225600000"},
           {"reason", "vm changed"},
           {"steps", {{{"domain", "lager"}, {"outcome", "empty"}}}}}}}};
    const std::string text = render_record(response);
    cr_assert(contains(text, "2026-01-01T00:00:00Z  plan p1 by ana: refused, decided by boris"));
    cr_assert(contains(text, "reason: vm changed"));
    cr_assert(contains(text, "add vm '' in lager"));
    cr_assert(contains(text, "step 0 done in lager: empty"));
  }
}

// Guards against a status that hides nested values.
Test(cli, tree_shows_nested_values) {
  const Json status{{"version", 7}, {"domains", {{{"name", "lager"}, {"lag", 2}}}}};
  const std::string text = render_tree(status);
  cr_assert(contains(text, "version: 7"));
  cr_assert(contains(text, "    name: lager"));
}
