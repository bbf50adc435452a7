// HTTP API for operators and teams: plans, status and the record of decisions.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/gateway/admin.hpp"

#include <functional>
#include <string>

namespace arbutusdale::daemon {

/// Handles admin requests on the control thread:
///   POST /v1/plans                          proposes a plan
///   GET  /v1/plans/ID                       returns a plan
///   POST /v1/plans/ID/confirm|reject|cancel decides a plan
///   GET  /v1/status                         state of the fleet as known to this daemon
///   GET  /v1/record?limit=N                 newest plans with their decisions, actors and times
/// Operators may use all routes. Teams may read, may plan the cancellation of their own jobs and
/// may decide their own plans.
class AdminApi final : public gateway::AdminHandler {
 public:
  using Post = std::function<void(std::function<void()>)>;
  using Reply = std::function<void(gateway::AdminReply)>;

  AdminApi(control::Node& node, Post post) : m_node(node), m_post(std::move(post)) {}

  void handle(gateway::AdminRequest request, Reply reply) override;

 private:
  void dispatch(const gateway::AdminRequest& request, const Reply& reply);
  void make_plan(const gateway::AdminRequest& request, const Reply& reply);
  void decide(const gateway::AdminRequest& request, const std::string& id, const std::string& verb,
              const Reply& reply);
  void show_plan(const std::string& id, const Reply& reply);
  [[nodiscard]] Result<state::PlanRequest> read_plan_request(
      const gateway::AdminRequest& request) const;
  [[nodiscard]] bool team_may_cancel(const state::PlanRequest& plan, const std::string& team) const;

  control::Node& m_node;
  Post m_post;
};

/// Problem details (RFC 9457) for an error.
gateway::AdminReply make_problem(int status, const Error& error);

}  // namespace arbutusdale::daemon
