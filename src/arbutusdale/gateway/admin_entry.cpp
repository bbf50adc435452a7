// Serves health and metrics routes and passes /v1/ on to the admin handler.
#include "admin_entry.hpp"

#include "arbutusdale/core/enum_names.hpp"

namespace arbutusdale::gateway {
namespace {

constexpr EnumNames<Role, 3> k_role_names{{
    {Role::none, "none"},
    {Role::team, "team"},
    {Role::operator_, "operator"},
}};

Answer text_answer(int status, std::string body, std::string type = "text/plain; charset=utf-8") {
  return {{status, {{"Content-Type", std::move(type)}}}, std::move(body)};
}

Answer unknown_route() {
  return problem({ErrorCode::not_found, Verdict::not_run, "no such admin route"});
}

Answer unauthorized() {
  auto answer = problem({ErrorCode::unauthorized, Verdict::not_run, "a bearer token is required"});
  answer.head.headers.push_back({"WWW-Authenticate", "Bearer"});
  return answer;
}

}  // namespace

std::string_view to_string(Role role) {
  return enum_name(k_role_names, role);
}

AdminEntry::AdminEntry(const GatewayOptions& options, const GatewayParts& parts,
                       std::function<void()> refresh)
    : m_tokens(options.admin_tokens),
      m_handler(parts.admin),
      m_registry(parts.registry),
      m_refresh(std::move(refresh)) {}

void AdminEntry::set_ready(bool ready, const std::string& reason) {
  const std::lock_guard lock(m_mutex);
  m_ready = ready;
  m_reason = reason;
}

Answer AdminEntry::readiness() const {
  const std::lock_guard lock(m_mutex);
  return m_ready ? text_answer(200, "ready\n") : text_answer(503, "not ready: " + m_reason + "\n");
}

/// Compares with every token, so that the time does not reveal a partial match.
Principal AdminEntry::authenticate(const HeaderList& headers) const {
  constexpr std::string_view k_scheme = "Bearer ";
  Principal principal;
  const auto* field = find_header(headers, "Authorization");
  if (field == nullptr || field->size() <= k_scheme.size() ||
      !same_name(std::string_view(*field).substr(0, k_scheme.size()), k_scheme)) {
    return principal;
  }
  const auto given = std::string_view(*field).substr(k_scheme.size());
  for (const auto& known : m_tokens) {
    if (!known.token.empty() && same_secret(given, known.token)) {
      principal = known.principal;
    }
  }
  return principal;
}

void AdminEntry::handle(const std::shared_ptr<Exchange>& exchange) {
  const auto target = origin_form(exchange->target());
  if (!target) {
    exchange->respond(unknown_route());
    return;
  }
  const auto question = target->find('?');
  std::string path = target->substr(0, question);
  std::string query = question == std::string::npos ? "" : target->substr(question + 1);
  const bool reads = exchange->method() == "GET" || exchange->method() == "HEAD";
  if (reads && path == "/healthz") {
    exchange->respond(text_answer(200, "ok\n"));
  } else if (reads && path == "/readyz") {
    exchange->respond(readiness());
  } else if (reads && path == "/metrics") {
    m_refresh();
    exchange->respond(text_answer(200, m_registry->expose(), "text/plain; version=0.0.4"));
  } else if (path.starts_with("/v1/") && m_handler != nullptr) {
    call_handler(exchange, std::move(path), std::move(query));
  } else {
    exchange->respond(unknown_route());
  }
}

void AdminEntry::call_handler(const std::shared_ptr<Exchange>& exchange, std::string path,
                              std::string query) {
  auto principal = authenticate(exchange->headers());
  if (principal.role == Role::none) {
    exchange->respond(unauthorized());
    return;
  }
  AdminRequest request{exchange->method(), std::move(path), std::move(query), exchange->body(),
                       std::move(principal)};
  // The HTTP server keeps the exchange alive until it is answered.
  const std::weak_ptr<Exchange> weak = exchange;
  m_handler->handle(std::move(request), [weak](AdminReply reply) {
    if (const auto waiting = weak.lock()) {
      waiting->respond(
          text_answer(reply.status, std::move(reply.body), std::move(reply.content_type)));
    }
  });
}

}  // namespace arbutusdale::gateway
