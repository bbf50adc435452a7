// Runs the verbs against the admin API.
#include "commands.hpp"

#include "arbutusdale/declare/declare.hpp"
#include "arbutusdale/peer/zmq_network.hpp"

#include <ostream>
#include <vector>

#include "job_timeline.hpp"
#include "render.hpp"
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <google/protobuf/util/json_util.h>

namespace arbutusdale::cli {
namespace {

constexpr long k_first_error_status = 400;
constexpr const char* k_standard_input = "-";

class Command {
 public:
  Command(const Options& options, AdminClient& client, const CommandIo& io)
      : m_options(options), m_client(client), m_io(io) {}

  Exit run();

 private:
  Exit plan();
  Exit request_plan(const Json& request);
  Exit decide(const std::string& id, const std::string& decision);
  Exit show(const std::string& path, std::string (*render)(const Json&));
  Exit validate();
  Exit story();
  Exit completion();
  Exit keygen();

  /// Declaration of the files named on the command line, or nothing after an error was printed.
  std::optional<proto::state::Declaration> read_declaration();
  /// Body of a successful response, or nothing after the error was printed and m_exit was set.
  std::optional<Json> check_response(const Result<HttpResponse>& response);
  void print_json(const Json& value) { m_io.out << value.dump() << "\n"; }

  const Options& m_options;
  AdminClient& m_client;
  const CommandIo& m_io;
  Exit m_exit = Exit::ok;
};

std::string to_json(const google::protobuf::Message& message) {
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok()) {
    return "{}";
  }
  return text;
}

Json make_request(const proto::state::Declaration& declaration) {
  return Json{{"declaration", Json::parse(to_json(declaration))},
              {"drain_vms", Json::array()},
              {"undrain_vms", Json::array()},
              {"cancel_jobs", Json::array()},
              {"remove_services", Json::array()}};
}

Exit Command::run() {
  const std::string& verb = m_options.verb;
  if (m_options.help || verb.empty()) {
    m_io.out << help_text(verb);
    return Exit::ok;
  }
  if (verb == "plan") {
    return plan();
  }
  if (verb == "confirm" || verb == "reject") {
    return decide(m_options.arguments[0], verb);
  }
  if (verb == "status") {
    return show("/v1/status", &render_tree);
  }
  if (verb == "record") {
    return show(fmt::format("/v1/record?limit={}", m_options.limit), &render_record);
  }
  if (verb == "validate") {
    return validate();
  }
  if (verb == "story") {
    return story();
  }
  if (verb == "completion") {
    return completion();
  }
  if (verb == "keygen") {
    return keygen();
  }
  Json request = make_request({});
  request[verb == "drain" ? "drain_vms" : "cancel_jobs"] = m_options.arguments;
  return request_plan(request);
}

std::optional<proto::state::Declaration> Command::read_declaration() {
  std::vector<declare::SourceFile> files;
  for (const std::string& name : m_options.arguments) {
    auto text = m_io.read_file(name);
    if (!text) {
      fmt::print(m_io.err, "arbutusctl: {}: the file cannot be read\n", name);
      return std::nullopt;
    }
    files.push_back({name, std::move(*text)});
  }
  auto declaration = declare::parse_declarations(files);
  if (!declaration) {
    fmt::print(m_io.err, "{}\n", declaration.error().message);
    return std::nullopt;
  }
  return std::move(*declaration);
}

Exit Command::plan() {
  const auto declaration = read_declaration();
  if (!declaration) {
    return Exit::failed;
  }
  Json request = make_request(*declaration);
  request["drain_vms"] = m_options.drain_vms;
  request["undrain_vms"] = m_options.undrain_vms;
  request["cancel_jobs"] = m_options.cancel_jobs;
  request["remove_services"] = m_options.remove_services;
  return request_plan(request);
}

Exit Command::request_plan(const Json& request) {
  const auto response = check_response(m_client.post("/v1/plans", request.dump()));
  if (!response) {
    return m_exit;
  }
  const auto plan = response->find("plan");
  const std::string id = plan == response->end() ? "" : field(*plan, "id");
  if (id.empty()) {
    fmt::print(m_io.err, "arbutusctl: the server's response contains no plan id\n");
    return Exit::failed;
  }
  if (m_options.json) {
    print_json(*response);
  } else {
    m_io.out << field(*response, "text");
  }
  if (m_options.yes) {
    return decide(id, "confirm");
  }
  if (!m_options.json) {
    fmt::print(m_io.out, "Nothing has changed yet. To apply this plan:\n  arbutusctl confirm {}\n",
               id);
  }
  return Exit::ok;
}

Exit Command::decide(const std::string& id, const std::string& decision) {
  const Json body{{"reason", m_options.reason}};
  const auto response = check_response(
      m_client.post(fmt::format("/v1/plans/{}/{}", encode_segment(id), decision), body.dump()));
  if (!response) {
    return m_exit;
  }
  const std::string state = field(*response, "state");
  const std::string reason = field(*response, "reason");
  if (m_options.json) {
    print_json(*response);
  } else {
    fmt::print(m_io.out, "plan {}: {}{}{}\n", id, state, reason.empty() ? "" : ": ", reason);
  }
  return state == "refused" ? Exit::failed : Exit::ok;
}

Exit Command::show(const std::string& path, std::string (*render)(const Json&)) {
  const auto response = check_response(m_client.get(path));
  if (!response) {
    return m_exit;
  }
  if (m_options.json) {
    print_json(*response);
  } else {
    m_io.out << render(*response);
  }
  return Exit::ok;
}

Exit Command::validate() {
  const auto declaration = read_declaration();
  if (!declaration) {
    return Exit::failed;
  }
  if (m_options.json) {
    m_io.out << to_json(*declaration) << "\n";
    return Exit::ok;
  }
  fmt::print(m_io.out, "valid: {} domains, {} teams, {} services, {} jobs, {} drains\n",
             declaration->domains_size(), declaration->teams_size(), declaration->services_size(),
             declaration->jobs_size(), declaration->drains_size());
  return Exit::ok;
}

Exit Command::story() {
  const auto& arguments = m_options.arguments;
  std::vector<std::string> files(arguments.begin() + 1, arguments.end());
  if (files.empty()) {
    files.emplace_back(k_standard_input);
  }
  std::vector<std::string> logs;
  for (const std::string& file : files) {
    auto text = m_io.read_file(file);
    if (!text) {
      fmt::print(m_io.err, "arbutusctl: {}: the file cannot be read\n", file);
      return Exit::failed;
    }
    logs.push_back(std::move(*text));
  }
  const JobTimeline timeline = make_job_timeline(arguments.front(), logs);
  if (m_options.json) {
    print_json(job_timeline_json(timeline));
  } else {
    m_io.out << render_job_timeline(timeline);
  }
  return timeline.events.empty() ? Exit::failed : Exit::ok;
}

Exit Command::completion() {
  if (m_options.arguments[0] != "bash") {
    fmt::print(m_io.err, "arbutusctl: no completion for '{}'; expected bash\n",
               m_options.arguments[0]);
    return Exit::usage;
  }
  m_io.out << bash_completion();
  return Exit::ok;
}

Exit Command::keygen() {
  const auto keys = peer::make_fleet_keys();
  fmt::print(m_io.out, "ARBUTUSDALE_FLEET_PUBLIC_KEY='{}'\nARBUTUSDALE_FLEET_SECRET_KEY='{}'\n",
             keys.public_key, keys.secret_key);
  return Exit::ok;
}

std::optional<Json> Command::check_response(const Result<HttpResponse>& response) {
  if (!response) {
    fmt::print(m_io.err, "arbutusctl: {}{}\n", response.error().message,
               response.error().verdict == Verdict::not_run
                   ? ""
                   : "; the request may have taken effect, see arbutusctl record");
    m_exit = Exit::unreachable;
    return std::nullopt;
  }
  m_exit = Exit::failed;
  if (response->status >= k_first_error_status) {
    if (m_options.json) {
      m_io.out << response->body << "\n";
    }
    fmt::print(m_io.err, "arbutusctl: {}\n", render_problem(response->status, response->body));
    return std::nullopt;
  }
  Json body = Json::parse(response->body, nullptr, false);
  if (!body.is_object()) {
    fmt::print(m_io.err, "arbutusctl: the server's response is not a JSON object\n");
    return std::nullopt;
  }
  m_exit = Exit::ok;
  return body;
}

}  // namespace

Exit run_command(const Options& options, AdminClient& client, const CommandIo& io) {
  return Command(options, client, io).run();
}

}  // namespace arbutusdale::cli
