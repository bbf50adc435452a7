// Request path between callers, router, key table and fake targets.
#include "frontend.hpp"

#include "arbutusdale/core/hash.hpp"

#include <utility>

#include "world.hpp"

namespace arbutusdale::scenario {
namespace {

constexpr Duration k_service_time = std::chrono::milliseconds{20};
constexpr Duration k_request_timeout = std::chrono::seconds{2};
constexpr Duration k_progress_timeout = std::chrono::seconds{1};

routing::KeyedCall keyed_call(const CallerRequest& request) {
  return {request.service, request.key, stable_hash(request.key)};
}

}  // namespace

std::string expected_answer(const CallerRequest& request) {
  return "answer to " + (request.key.empty() ? request.request_id : request.key);
}

Frontend::Frontend(World& world, Process& process) : m_world(world), m_process(process) {
  routing::RouterOptions options;
  options.daemon = process.daemon();
  options.domain = process.domain();
  options.seed = stable_hash(process.daemon());
  m_router = routing::make_request_router(options);
}

void Frontend::serve(const CallerRequest& request, bool forwarded, Reply reply) {
  if (request.key.empty() || m_world.mutation() == Mutation::repeated_key) {
    submit(request, std::move(reply));
    return;
  }
  std::vector<std::string> domains;
  std::string address;
  const auto entries = m_process.node().domain_entries();
  domains.reserve(entries.size());
  for (const auto& entry : entries) {
    domains.push_back(entry.domain);
  }
  const auto home = routing::home_domain(request.service, request.key, domains);
  if (forwarded || home == m_process.domain()) {
    request_key(request, reply);
    return;
  }
  for (const auto& entry : entries) {
    address = entry.domain == home ? entry.caller_address : address;
  }
  m_world.forward(m_process, address, request, reply);
}

void Frontend::request_key(const CallerRequest& request, const Reply& reply) {
  m_world.step("request key", m_process.daemon());
  m_process.node().request_key(keyed_call(request),
                               [this, request, reply](const routing::KeyResult& answer) {
                                 switch (answer.decision) {
                                   case routing::KeyDecision::run:
                                     submit(request, reply);
                                     return;
                                   case routing::KeyDecision::done:
                                     reply({Verdict::answered, answer.stored_answer});
                                     return;
                                   case routing::KeyDecision::overloaded:
                                     reply({Verdict::not_run, {}});
                                     return;
                                   default:
                                     reply({Verdict::may_have_run, {}});
                                 }
                               });
}

void Frontend::submit(const CallerRequest& request, Reply reply) {
  m_world.step("request submit", m_process.daemon());
  const auto now = m_world.queue().now();
  routing::Call call;
  call.service = request.service;
  call.team = "default";
  call.idempotent = request.key.empty();
  call.deadline = now + k_request_timeout;
  const auto submitted = m_router->submit(call, now);
  if (!submitted) {
    if (!request.key.empty()) {
      m_process.node().finish_key(keyed_call(request), true, {});
    }
    reply({submitted.error().verdict, {}});
    return;
  }
  m_open[*submitted] = Open{request, std::move(reply), {}};
  pump();
}

void Frontend::pump() {
  const auto now = m_world.queue().now();
  for (const auto& assignment : m_router->take_assignments(now)) {
    send(assignment);
  }
  for (const auto& dropped : m_router->take_dropped(now)) {
    end(dropped.call, dropped.error.verdict);
  }
}

void Frontend::send(const routing::Assignment& assignment) {
  if (assignment.to_peer) {
    // Only the gateway forwards calls to peers; here such an assignment counts as not sent.
    m_process.deliver(Duration{}, [this, call = assignment.call] {
      finish_attempt(call, routing::AttemptResult::not_sent, {});
    });
    return;
  }
  const auto open = m_open.find(assignment.call);
  if (open == m_open.end()) {
    return;
  }
  m_world.step("request sent", m_process.daemon());
  const auto request = open->second.request;
  const auto worker = assignment.worker;
  const auto call = assignment.call;
  m_world.queue().after(m_world.links().in_domain, [this, request, worker, call] {
    if (m_world.target_down(worker)) {
      m_process.deliver(m_world.links().in_domain, [this, call] {
        finish_attempt(call, routing::AttemptResult::not_sent, {});
      });
      return;
    }
    if (m_world.target_silent(worker)) {
      m_process.deliver(k_progress_timeout, [this, call] {
        finish_attempt(call, routing::AttemptResult::timed_out, {});
      });
      return;
    }
    m_world.executed(worker, request);
    m_world.step("request executed", m_process.daemon());
    m_process.deliver(k_service_time, [this, call, request, worker] {
      const bool lost = m_world.target_down(worker);
      finish_attempt(
          call, lost ? routing::AttemptResult::connection_lost : routing::AttemptResult::answered,
          lost ? std::string{} : expected_answer(request));
    });
  });
}

void Frontend::finish_attempt(routing::CallId call, routing::AttemptResult result,
                              std::string answer) {
  const auto open = m_open.find(call);
  if (open == m_open.end()) {
    return;
  }
  open->second.answer = std::move(answer);
  const auto completion =
      m_router->finish_attempt(call, {result, k_service_time}, m_world.queue().now());
  if (completion.next == routing::NextStep::finish) {
    end(call, completion.verdict);
  }
  pump();
}

void Frontend::end(routing::CallId call, Verdict verdict) {
  auto node = m_open.extract(call);
  if (node.empty()) {
    return;
  }
  auto& open = node.mapped();
  const std::string body = verdict == Verdict::answered ? open.answer : std::string{};
  if (!open.request.key.empty() && verdict != Verdict::may_have_run) {
    m_process.node().finish_key(keyed_call(open.request), verdict == Verdict::not_run, body);
  }
  m_world.step("request answered", m_process.daemon());
  reply_with(open, verdict, body);
}

void Frontend::reply_with(const Open& open, Verdict verdict, const std::string& body) {
  if (m_world.mutation() == Mutation::false_not_run && verdict == Verdict::may_have_run) {
    open.reply({Verdict::not_run, body});
    return;
  }
  if (m_world.mutation() == Mutation::wrong_answer) {
    open.reply({verdict, std::exchange(m_last_body, body)});
    return;
  }
  open.reply({verdict, body});
}

void Frontend::set_services(const std::vector<routing::ServiceConfig>& services,
                            const std::vector<routing::TeamConfig>& teams) {
  m_router->set_services(services, teams);
}

void Frontend::set_targets(const std::string& service,
                           const std::vector<routing::TargetInfo>& targets) {
  auto known = targets;
  if (m_world.mutation() == Mutation::leaving_target) {
    for (auto& target : known) {
      target.leaving = false;
    }
  }
  m_router->set_targets(service, known, m_world.queue().now());
}

void Frontend::set_peers(const std::string& service,
                         const std::vector<routing::PeerInfo>& own_domain,
                         const std::vector<routing::PeerInfo>& other_domains) {
  m_router->set_peers(service, own_domain, other_domains, m_world.queue().now());
}

std::vector<routing::ServiceStats> Frontend::figures() const {
  return m_router->stats();
}

}  // namespace arbutusdale::scenario
