// Request handlers of the admin API.
#include "admin_api.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace arbutusdale::daemon {
namespace {

using nlohmann::json;

constexpr std::string_view k_plans_path = "/v1/plans";
constexpr std::size_t k_default_record_limit = 50;
constexpr std::size_t k_max_record_limit = 1'000;
constexpr std::size_t k_max_list_entries = 10'000;

int status_of(ErrorCode code) {
  switch (code) {
    case ErrorCode::invalid_argument:
      return 422;
    case ErrorCode::not_found:
      return 404;
    case ErrorCode::conflict:
      return 409;
    case ErrorCode::unauthorized:
      return 403;
    case ErrorCode::too_large:
      return 413;
    case ErrorCode::overloaded:
    case ErrorCode::unavailable:
      return 503;
    case ErrorCode::deadline_exceeded:
      return 504;
    default:
      return 500;
  }
}

std::string to_json_text(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  // Conversion fails only for malformed well-known types, which these messages do not contain.
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

gateway::AdminReply problem(const Error& error) {
  return make_problem(status_of(error.code), error);
}

gateway::AdminReply problem(ErrorCode code, std::string message) {
  return problem(Error{code, Verdict::not_run, std::move(message)});
}

Result<std::vector<std::string>> read_names(const json& body, const char* field) {
  std::vector<std::string> names;
  if (!body.contains(field)) {
    return names;
  }
  const auto& list = body.at(field);
  if (!list.is_array() || list.size() > k_max_list_entries) {
    return not_run(ErrorCode::invalid_argument,
                   std::string(field) + ": expected a list of at most 10000 names");
  }
  for (const auto& name : list) {
    if (!name.is_string() || name.get_ref<const std::string&>().empty()) {
      return not_run(ErrorCode::invalid_argument, std::string(field) + ": expected names");
    }
    names.push_back(name.get<std::string>());
  }
  return names;
}

Result<void> check_fields(const json& body) {
  static constexpr std::array<std::string_view, 5> k_fields{
      "declaration", "drain_vms", "undrain_vms", "cancel_jobs", "remove_services"};
  if (!body.is_object()) {
    return not_run(ErrorCode::invalid_argument, "the body must be a JSON object");
  }
  for (const auto& [name, value] : body.items()) {
    if (std::find(k_fields.begin(), k_fields.end(), name) == k_fields.end()) {
      return not_run(ErrorCode::invalid_argument, "unknown field '" + name + "'");
    }
  }
  return {};
}

Result<void> read_declaration(const json& body, proto::state::Declaration& declaration) {
  if (!body.contains("declaration")) {
    return {};
  }
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = false;
  const auto status = google::protobuf::util::JsonStringToMessage(body.at("declaration").dump(),
                                                                  &declaration, options);
  if (!status.ok()) {
    return not_run(ErrorCode::invalid_argument, "declaration: " + status.ToString());
  }
  return {};
}

/// Reads the lists of names into the plan request; returns the first error.
Result<void> read_lists(const json& body, state::PlanRequest& request) {
  const std::array<std::pair<const char*, std::vector<std::string>*>, 4> lists{{
      {"drain_vms", &request.drain_vms},
      {"undrain_vms", &request.undrain_vms},
      {"cancel_jobs", &request.cancel_jobs},
      {"remove_services", &request.remove_services},
  }};
  for (const auto& [field, target] : lists) {
    auto names = read_names(body, field);
    if (!names) {
      return tl::unexpected<Error>(names.error());
    }
    *target = std::move(*names);
  }
  return {};
}

std::string read_reason(const std::string& body) {
  const auto parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("reason") || !parsed["reason"].is_string()) {
    return {};
  }
  constexpr std::size_t k_max_reason_bytes = 1'024;
  return parsed["reason"].get<std::string>().substr(0, k_max_reason_bytes);
}

std::size_t read_limit(const std::string& query) {
  constexpr std::string_view k_name = "limit=";
  if (!query.starts_with(k_name)) {
    return k_default_record_limit;
  }
  std::size_t limit = k_default_record_limit;
  std::from_chars(query.data() + k_name.size(), query.data() + query.size(), limit);
  return std::min(limit, k_max_record_limit);
}

gateway::AdminReply decision_reply(const proto::state::PlanEntry& entry,
                                   proto::state::PlanDecided::Decision decision) {
  const bool matches = decision == proto::state::PlanDecided::CONFIRM
                           ? entry.state() == "confirmed" || entry.state() == "done"
                           : entry.state() == "rejected" || entry.state() == "cancelled";
  if (!matches) {
    return problem(ErrorCode::conflict,
                   "plan " + entry.plan().id() + " is " + entry.state() + ": " + entry.reason());
  }
  const json body{{"id", entry.plan().id()}, {"state", entry.state()}, {"reason", entry.reason()}};
  return {200, "application/json", body.dump()};
}

}  // namespace

gateway::AdminReply make_problem(int status, const Error& error) {
  const json body{{"type", "about:blank"},
                  {"title", to_string(error.code)},
                  {"status", status},
                  {"detail", error.message},
                  {"verdict", to_string(error.verdict)}};
  return {status, "application/problem+json", body.dump()};
}

void AdminApi::handle(gateway::AdminRequest request, Reply reply) {
  m_post(
      [this, request = std::move(request), reply = std::move(reply)] { dispatch(request, reply); });
}

void AdminApi::dispatch(const gateway::AdminRequest& request, const Reply& reply) {
  if (request.method == "GET" && request.path == "/v1/status") {
    reply({200, "application/json", m_node.status_json()});
    return;
  }
  if (request.method == "GET" && request.path == "/v1/record") {
    reply({200, "application/json", m_node.record_json(read_limit(request.query))});
    return;
  }
  if (request.method == "POST" && request.path == k_plans_path) {
    make_plan(request, reply);
    return;
  }
  if (!request.path.starts_with(std::string(k_plans_path) + "/")) {
    reply(problem(ErrorCode::not_found, "unknown route " + request.method + " " + request.path));
    return;
  }
  const auto rest = request.path.substr(k_plans_path.size() + 1);
  const auto slash = rest.find('/');
  if (request.method == "GET" && slash == std::string::npos) {
    show_plan(rest, reply);
    return;
  }
  if (request.method == "POST" && slash != std::string::npos) {
    decide(request, rest.substr(0, slash), rest.substr(slash + 1), reply);
    return;
  }
  reply(problem(ErrorCode::not_found, "unknown route " + request.method + " " + request.path));
}

void AdminApi::show_plan(const std::string& id, const Reply& reply) {
  const auto* entry = m_node.global().plan(id);
  if (entry == nullptr) {
    reply(problem(ErrorCode::not_found, "no plan has the id '" + id + "'"));
    return;
  }
  reply({200, "application/json", to_json_text(*entry)});
}

Result<state::PlanRequest> AdminApi::read_plan_request(const gateway::AdminRequest& request) const {
  const auto body = json::parse(request.body, nullptr, false);
  state::PlanRequest plan;
  plan.actor = request.principal.name;
  if (auto checked = check_fields(body); !checked) {
    return tl::unexpected<Error>(checked.error());
  }
  if (auto read = read_declaration(body, plan.declaration); !read) {
    return tl::unexpected<Error>(read.error());
  }
  if (auto read = read_lists(body, plan); !read) {
    return tl::unexpected<Error>(read.error());
  }
  const bool is_operator = request.principal.role == gateway::Role::operator_;
  if (!is_operator && !team_may_cancel(plan, request.principal.name)) {
    return not_run(ErrorCode::unauthorized, "a team may only plan to cancel its own jobs");
  }
  return plan;
}

bool AdminApi::team_may_cancel(const state::PlanRequest& plan, const std::string& team) const {
  if (plan.declaration.ByteSizeLong() != 0 || !plan.drain_vms.empty() ||
      !plan.undrain_vms.empty() || !plan.remove_services.empty() || plan.cancel_jobs.empty()) {
    return false;
  }
  const auto& jobs = m_node.global().declaration().jobs();
  return std::all_of(plan.cancel_jobs.begin(), plan.cancel_jobs.end(), [&](const auto& name) {
    return std::any_of(jobs.begin(), jobs.end(),
                       [&](const auto& job) { return job.name() == name && job.team() == team; });
  });
}

void AdminApi::make_plan(const gateway::AdminRequest& request, const Reply& reply) {
  auto plan = read_plan_request(request);
  if (!plan) {
    reply(problem(plan.error()));
    return;
  }
  m_node.propose_plan(std::move(*plan), [reply](const Result<proto::state::Plan>& proposed) {
    if (!proposed) {
      reply(problem(proposed.error()));
      return;
    }
    const json body{{"plan", json::parse(to_json_text(*proposed))},
                    {"text", state::describe(*proposed)}};
    reply({200, "application/json", body.dump()});
  });
}

void AdminApi::decide(const gateway::AdminRequest& request, const std::string& id,
                      const std::string& verb, const Reply& reply) {
  using proto::state::PlanDecided;
  static constexpr std::array<std::pair<std::string_view, PlanDecided::Decision>, 3> k_verbs{{
      {"confirm", PlanDecided::CONFIRM},
      {"reject", PlanDecided::REJECT},
      {"cancel", PlanDecided::CANCEL},
  }};
  const auto chosen = std::find_if(k_verbs.begin(), k_verbs.end(),
                                   [&](const auto& entry) { return entry.first == verb; });
  if (chosen == k_verbs.end()) {
    reply(problem(ErrorCode::not_found, "unknown decision '" + verb + "'"));
    return;
  }
  const auto* entry = m_node.global().plan(id);
  const bool own_plan = entry != nullptr && entry->plan().actor() == request.principal.name;
  if (request.principal.role != gateway::Role::operator_ && !own_plan) {
    reply(problem(ErrorCode::unauthorized, "a team may only decide its own plans"));
    return;
  }
  m_node.decide_plan(
      id, chosen->second, request.principal.name, read_reason(request.body),
      [reply, decision = chosen->second](const auto& decided) {
        reply(decided ? decision_reply(*decided, decision) : problem(decided.error()));
      });
}

}  // namespace arbutusdale::daemon
