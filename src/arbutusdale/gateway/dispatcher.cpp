// Router calls, timer thread and start of assigned attempts.
#include "dispatcher.hpp"

#include <algorithm>

namespace arbutusdale::gateway {
namespace {

// Longest sleep of the timer thread; limits the effect of a wakeup time far in the future.
constexpr Duration k_longest_sleep = std::chrono::seconds{1};

UpstreamOptions upstream_options(const GatewayOptions& options) {
  UpstreamOptions upstream;
  upstream.threads = options.upstream_threads;
  upstream.max_host_connections = options.max_target_connections;
  upstream.connect_timeout = options.connect_timeout;
  upstream.idle_age_s = options.idle_connection_age_s;
  upstream.lifetime_s = options.connection_lifetime_s;
  return upstream;
}

}  // namespace

Dispatcher::Dispatcher(const GatewayOptions& options, GatewayParts parts)
    : m_options(options),
      m_parts(std::move(parts)),
      m_upstream(make_upstream(upstream_options(options))) {
  m_timer = std::thread([this] { run_timer(); });
}

Dispatcher::~Dispatcher() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wakeup.notify_one();
  m_timer.join();
  // Ends open transfers, whose sinks still use this object.
  m_upstream.reset();
}

std::shared_ptr<const Service> Dispatcher::match(std::string_view path) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_services.find(m_parts.router->match(path));
  return found == m_services.end() ? nullptr : found->second;
}

bool Dispatcher::has_team(const std::string& team) const {
  const std::lock_guard lock(m_mutex);
  return m_teams.contains(team);
}

void Dispatcher::hold(const SharedCall& call) {
  const std::lock_guard lock(m_mutex);
  m_awaiting_key.insert(call);
}

void Dispatcher::release(const SharedCall& call) {
  const std::lock_guard lock(m_mutex);
  m_awaiting_key.erase(call);
}

void Dispatcher::submit(const SharedCall& call) {
  Decisions decisions;
  Result<routing::CallId> id;
  bool waits = false;
  {
    const std::lock_guard lock(m_mutex);
    id = m_parts.router->submit(call->router_call(), now());
    if (id) {
      m_calls.emplace(*id, call);
    }
    decisions = collect_locked(now());
    waits = id && std::none_of(decisions.assigned.begin(), decisions.assigned.end(),
                               [&](const auto& item) { return item.first == call; });
  }
  apply(decisions);
  if (!id) {
    call->refuse(id.error());
  } else if (waits) {
    call->watch_caller([this, call_id = *id] { cancel(call_id); });
  }
}

routing::Completion Dispatcher::finish_attempt(routing::CallId id,
                                               const routing::AttemptOutcome& outcome, bool last) {
  Decisions decisions;
  routing::Completion completion;
  {
    const std::lock_guard lock(m_mutex);
    if (last) {
      m_parts.router->cancel(id, now());
    }
    if (const auto found = m_calls.find(id); found != m_calls.end()) {
      found->second->set_in_flight(false);
    }
    completion = m_parts.router->finish_attempt(id, outcome, now());
    if (completion.next == routing::NextStep::finish) {
      m_calls.erase(id);
    }
    decisions = collect_locked(now());
  }
  apply(decisions);
  return completion;
}

/// Called when the caller has disconnected: a queued call ends; one in flight is not retried.
void Dispatcher::cancel(routing::CallId id) {
  Decisions decisions;
  SharedCall queued;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
      return;
    }
    m_parts.router->cancel(id, now());
    if (!found->second->in_flight()) {
      queued = std::move(found->second);
      m_calls.erase(found);
    }
    decisions = collect_locked(now());
  }
  apply(decisions);
  if (queued) {
    queued->refuse(
        Error{ErrorCode::unavailable, Verdict::not_run, "the caller closed its connection"});
  }
}

Dispatcher::Decisions Dispatcher::collect_locked(TimePoint now) {
  Decisions decisions;
  if (m_stopping) {
    return decisions;  // the upstream ends its transfers and accepts no more
  }
  for (auto& assignment : m_parts.router->take_assignments(now)) {
    const auto found = m_calls.find(assignment.call);
    if (found != m_calls.end()) {
      found->second->set_in_flight(true);
      decisions.assigned.emplace_back(found->second, std::move(assignment));
    }
  }
  for (auto& dropped : m_parts.router->take_dropped(now)) {
    auto node = m_calls.extract(dropped.call);
    if (!node.empty()) {
      decisions.dropped.emplace_back(std::move(node.mapped()), std::move(dropped.error));
    }
  }
  if (m_parts.router->next_wakeup() < m_timer_due) {
    m_wakeup.notify_one();
  }
  return decisions;
}

void Dispatcher::apply(const Decisions& decisions) {
  for (const auto& [call, assignment] : decisions.assigned) {
    call->start_attempt(assignment);
  }
  for (const auto& [call, error] : decisions.dropped) {
    call->refuse(error);
  }
}

void Dispatcher::run_timer() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    auto decisions = collect_locked(now());
    if (!decisions.assigned.empty() || !decisions.dropped.empty()) {
      lock.unlock();
      apply(decisions);
      lock.lock();
      continue;
    }
    const TimePoint from = now();
    const TimePoint due = std::min(m_parts.router->next_wakeup(), from + k_longest_sleep);
    m_timer_due = due;
    if (due > from) {
      m_wakeup.wait_for(lock, due - from);
    }
    m_timer_due = TimePoint::max();
  }
}

void Dispatcher::set_services(const std::vector<routing::ServiceConfig>& services,
                              const std::vector<routing::TeamConfig>& teams) {
  std::map<std::string, std::shared_ptr<const Service>> replaced;
  Decisions decisions;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& config : services) {
      const auto old = m_services.find(config.name);
      auto metrics = old != m_services.end()
                         ? old->second->metrics
                         : std::make_shared<ServiceMetrics>(*m_parts.registry, config.name);
      replaced[config.name] = std::make_shared<Service>(Service{config, std::move(metrics)});
    }
    m_services.swap(replaced);
    m_teams.clear();
    for (const auto& team : teams) {
      m_teams.insert(team.name);
    }
    m_parts.router->set_services(services, teams);
    decisions = collect_locked(now());
  }
  apply(decisions);
}

void Dispatcher::set_targets(const std::string& service,
                             const std::vector<routing::TargetInfo>& targets) {
  Decisions decisions;
  {
    const std::lock_guard lock(m_mutex);
    m_parts.router->set_targets(service, targets, now());
    decisions = collect_locked(now());
  }
  apply(decisions);
}

void Dispatcher::set_peers(const std::string& service,
                           const std::vector<routing::PeerInfo>& own_domain,
                           const std::vector<routing::PeerInfo>& other_domains) {
  Decisions decisions;
  {
    const std::lock_guard lock(m_mutex);
    // Without the fleet's token a peer cannot recognize a forwarded call and might
    // forward it again.
    const bool can_forward = !m_options.fleet_token.empty();
    m_parts.router->set_peers(
        service, own_domain, can_forward ? other_domains : std::vector<routing::PeerInfo>{}, now());
    decisions = collect_locked(now());
  }
  apply(decisions);
}

std::vector<routing::ServiceStats> Dispatcher::figures() const {
  const std::lock_guard lock(m_mutex);
  return m_parts.router->stats();
}

}  // namespace arbutusdale::gateway
