// Key gate of the daemon: routes keyed calls and posts them to the control thread.
#include "key_gate.hpp"

#include <utility>

namespace arbutusdale::daemon {

void NodeKeyGate::set_domains(std::vector<control::DomainEntry> domains) {
  const std::lock_guard lock(m_mutex);
  m_domains = std::move(domains);
}

gateway::KeyRoute NodeKeyGate::route(const routing::KeyedCall& call) {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> names;
  names.reserve(m_domains.size());
  for (const auto& entry : m_domains) {
    names.push_back(entry.domain);
  }
  const auto home = routing::home_domain(call.service, call.key, names);
  if (home.empty() || home == m_domain) {
    return {gateway::KeyRoute::Kind::here, {}};
  }
  for (const auto& entry : m_domains) {
    if (entry.domain == home && !entry.caller_address.empty()) {
      return {gateway::KeyRoute::Kind::forward, entry.caller_address};
    }
  }
  return {gateway::KeyRoute::Kind::unreachable, {}};
}

void NodeKeyGate::request(const routing::KeyedCall& call,
                          routing::KeyTable::DecisionCallback decided) {
  m_post([this, call, decided = std::move(decided)]() mutable {
    m_node->request_key(call, std::move(decided));
  });
}

void NodeKeyGate::finish(const routing::KeyedCall& call, bool not_run, std::string answer) {
  m_post([this, call, not_run, answer = std::move(answer)]() mutable {
    m_node->finish_key(call, not_run, std::move(answer));
  });
}

}  // namespace arbutusdale::daemon
