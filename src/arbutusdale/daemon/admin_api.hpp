// Operators' HTTP API: plans, status and record.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/gateway/admin.hpp"

#include <functional>
#include <string>

namespace arbutusdale::daemon {

/// Routes admin calls to the node on the control thread:
///   POST /v1/plans                          makes a plan
///   GET  /v1/plans/ID                       one plan
///   POST /v1/plans/ID/confirm|reject|cancel decides it
///   GET  /v1/status                         state of the fleet as this daemon sees it
///   GET  /v1/record?limit=N                 the newest plans with who decided what and when
/// Operators may do everything; teams may read and may plan the cancellation of their own jobs.
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

/// Problem document of RFC 9457 for an error.
gateway::AdminReply make_problem(int status, const Error& error);

}  // namespace arbutusdale::daemon
