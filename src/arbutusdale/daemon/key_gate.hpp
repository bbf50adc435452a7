// Forwards keyed calls from the gateway's threads to the node's key table on the control thread.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/gateway/gateway.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace arbutusdale::daemon {

/// Routes each keyed call to the home domain of its key. Calls whose home is this daemon's domain
/// are posted to the node.
class NodeKeyGate final : public gateway::KeyGate {
 public:
  using Post = std::function<void(std::function<void()>)>;

  NodeKeyGate(std::string domain, Post post)
      : m_domain(std::move(domain)), m_post(std::move(post)) {}

  /// Must be called before the gateway starts. `node` must outlive the last call of this gate.
  void set_node(control::Node& node) { m_node = &node; }
  /// Sets the failure domains and the caller addresses to which their keyed calls are forwarded.
  void set_domains(std::vector<control::DomainEntry> domains);

  gateway::KeyRoute route(const routing::KeyedCall& call) override;
  void request(const routing::KeyedCall& call,
               routing::KeyTable::DecisionCallback decided) override;
  void finish(const routing::KeyedCall& call, bool not_run, std::string answer) override;

 private:
  const std::string m_domain;
  const Post m_post;
  control::Node* m_node = nullptr;
  std::mutex m_mutex;  // guards m_domains; no other lock is taken while it is held
  std::vector<control::DomainEntry> m_domains;
};

}  // namespace arbutusdale::daemon
