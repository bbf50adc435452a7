// Passes keyed calls from the gateway's threads to the node's key table on the control thread.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/gateway/gateway.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace arbutusdale::daemon {

class NodeKeyGate final : public gateway::KeyGate {
 public:
  using Post = std::function<void(std::function<void()>)>;

  NodeKeyGate(std::string domain, Post post)
      : m_domain(std::move(domain)), m_post(std::move(post)) {}

  /// `node` must outlive the gate's last call; set before the gateway starts.
  void set_node(control::Node& node) { m_node = &node; }
  /// Failure domains and the daemons that take their keyed calls.
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
