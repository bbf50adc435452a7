// Validation of requests, and routing by idempotency key.
#include "caller_entry.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>
#include <array>

namespace arbutusdale::gateway {
namespace {

// RFC 9110, section 9.2.2.
constexpr std::array<std::string_view, 6> k_idempotent_methods{"GET",    "HEAD",    "PUT",
                                                               "DELETE", "OPTIONS", "TRACE"};
constexpr std::size_t k_max_key_bytes = 255;
constexpr std::string_view k_default_team = "default";

bool is_idempotent(std::string_view method) {
  return std::find(k_idempotent_methods.begin(), k_idempotent_methods.end(), method) !=
         k_idempotent_methods.end();
}

Error refusal(ErrorCode code, std::string message) {
  return {code, Verdict::not_run, std::move(message)};
}

std::uint64_t fingerprint(const Exchange& exchange, const std::string& target) {
  const std::uint64_t head = stable_hash(exchange.method() + " " + target);
  return stable_hash(exchange.body(), head);
}

}  // namespace

void CallerEntry::handle(const std::shared_ptr<Exchange>& exchange) {
  const auto& headers = exchange->headers();
  if (exchange->method() == "CONNECT") {
    exchange->respond(problem(405, refusal(ErrorCode::invalid_argument, "CONNECT is not served")));
    return;
  }
  auto target = origin_form(exchange->target());
  if (!target) {
    exchange->respond(
        problem(refusal(ErrorCode::invalid_argument, "the request target is not acceptable")));
    return;
  }
  CallRequest request;
  request.service = m_dispatcher.match(std::string_view(*target).substr(0, target->find('?')));
  if (!request.service) {
    exchange->respond(problem(refusal(ErrorCode::not_found, "no service serves this path")));
    return;
  }
  const auto deadline = deadline_of(headers, request.service->config.timeout);
  const auto* key = find_header(headers, k_key_header);
  if (!deadline || (key != nullptr && (key->empty() || key->size() > k_max_key_bytes))) {
    exchange->respond(problem(
        deadline ? refusal(ErrorCode::invalid_argument, "Idempotency-Key is empty or too long")
                 : deadline.error()));
    return;
  }
  request.exchange = exchange;
  request.team = team_of(headers);
  request.headers = end_to_end_headers(headers);
  request.idempotent = is_idempotent(exchange->method());
  request.forwarded = is_forwarded(headers);
  request.deadline = *deadline;
  if (key != nullptr && !request.idempotent && m_dispatcher.keys() != nullptr) {
    request.keyed =
        routing::KeyedCall{request.service->config.name, *key, fingerprint(*exchange, *target)};
  }
  request.target = std::move(*target);
  const auto keyed = request.keyed;
  const bool forwarded = request.forwarded;
  const auto call = std::make_shared<ProxyCall>(m_dispatcher, std::move(request),
                                                find_header(headers, k_trace_header));
  if (keyed) {
    route_keyed(call, *keyed, forwarded);
  } else {
    m_dispatcher.submit(call);
  }
}

/// The field has no effect without the fleet's token and is never forwarded to targets.
bool CallerEntry::is_forwarded(const HeaderList& headers) const {
  const auto* hop = find_header(headers, k_hop_header);
  const auto& token = m_dispatcher.options().fleet_token;
  return hop != nullptr && !token.empty() && same_secret(*hop, token);
}

std::string CallerEntry::team_of(const HeaderList& headers) const {
  const auto* team = find_header(headers, k_team_header);
  return team != nullptr && m_dispatcher.has_team(*team) ? *team : std::string(k_default_team);
}

Result<TimePoint> CallerEntry::deadline_of(const HeaderList& headers,
                                           Duration service_timeout) const {
  Duration timeout = service_timeout;
  if (const auto* field = find_header(headers, k_timeout_header)) {
    const auto ms = parse_number(*field);
    if (!ms) {
      return not_run(ErrorCode::invalid_argument, "Arbutusdale-Timeout-Ms is not a number");
    }
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_dispatcher.options().max_timeout);
    const auto longest_ms = static_cast<std::uint64_t>(longest.count());
    timeout = std::chrono::milliseconds{std::min(*ms, longest_ms)};
  }
  return m_dispatcher.now() + timeout;
}

void CallerEntry::route_keyed(const std::shared_ptr<ProxyCall>& call,
                              const routing::KeyedCall& keyed, bool forwarded) {
  if (forwarded) {
    request_key_decision(call, keyed);
    return;
  }
  const KeyRoute route = m_dispatcher.keys()->route(keyed);
  const bool can_forward = !m_dispatcher.options().fleet_token.empty();
  if (route.kind == KeyRoute::Kind::here) {
    request_key_decision(call, keyed);
  } else if (route.kind == KeyRoute::Kind::forward && can_forward) {
    call->forward_to(route.address);
  } else {
    // This call is not sent, but an earlier one with the same key may have run there.
    call->refuse({ErrorCode::unavailable, Verdict::may_have_run,
                  "the failure domain that decides this key cannot be reached"});
  }
}

void CallerEntry::request_key_decision(const std::shared_ptr<ProxyCall>& call,
                                       const routing::KeyedCall& keyed) {
  m_dispatcher.hold(call);
  // The dispatcher owns the call, so a decision after the gateway is destroyed has no effect.
  const std::weak_ptr<ProxyCall> weak = call;
  m_dispatcher.keys()->request(
      keyed, [weak, &dispatcher = m_dispatcher](const routing::KeyResult& answer) {
        if (const auto pending = weak.lock()) {
          dispatcher.release(pending);
          decide(dispatcher, pending, answer);
        }
      });
}

void CallerEntry::decide(Dispatcher& dispatcher, const std::shared_ptr<ProxyCall>& call,
                         const routing::KeyResult& answer) {
  using routing::KeyDecision;
  switch (answer.decision) {
    case KeyDecision::run:
      call->permit_key();
      dispatcher.submit(call);
      return;
    case KeyDecision::done: {
      auto stored = decode_answer(answer.stored_answer);
      call->replay(stored ? std::move(*stored)
                          : problem(409, {ErrorCode::conflict, Verdict::answered,
                                          "the call was answered before; the answer is not kept"}),
                   Verdict::answered);
      return;
    }
    case KeyDecision::in_progress:
      call->refuse(
          {ErrorCode::conflict, Verdict::may_have_run, "a call with this key is under way"});
      return;
    case KeyDecision::may_have_run:
      call->refuse({ErrorCode::conflict, Verdict::may_have_run,
                    "an earlier call with this key may have run"});
      return;
    case KeyDecision::mismatch:
      call->replay(
          problem(422, refusal(ErrorCode::conflict, "the key was used for another request")),
          Verdict::not_run);
      return;
    case KeyDecision::overloaded:
      // A full table may not have recorded an earlier call with the same key.
      call->replay(problem(503, {ErrorCode::overloaded, Verdict::may_have_run,
                                 "the table of idempotency keys is full"}),
                   Verdict::may_have_run);
      return;
  }
}

}  // namespace arbutusdale::gateway
