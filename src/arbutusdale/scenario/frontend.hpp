// Request path of one daemon in a scenario: the real router and key table between callers and
// fake targets. It replaces the gateway, which does the same over HTTP.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::scenario {

class World;
class Process;

/// A caller's request. Each try has its own `request_id`; all tries share the `key`.
struct CallerRequest {
  std::string request_id;
  std::string key;  // empty for an idempotent request without a key
  std::string service;
};

/// Body of the targets' answer; the same for all tries with the same key.
std::string expected_answer(const CallerRequest& request);

struct CallerReply {
  Verdict verdict = Verdict::may_have_run;
  std::string body;  // the answer of the target, empty without one
};

class Frontend final : public control::RoutingSink {
 public:
  using Reply = std::function<void(CallerReply)>;

  Frontend(World& world, Process& process);

  /// Serves a request as the gateway would. A keyed request is forwarded to its home domain
  /// first, unless it arrives as `forwarded`.
  void serve(const CallerRequest& request, bool forwarded, Reply reply);
  /// Sends the requests that the router has assigned, and answers those that it has dropped.
  void pump();

  void set_services(const std::vector<routing::ServiceConfig>& services,
                    const std::vector<routing::TeamConfig>& teams) override;
  void set_targets(const std::string& service,
                   const std::vector<routing::TargetInfo>& targets) override;
  void set_peers(const std::string& service, const std::vector<routing::PeerInfo>& own_domain,
                 const std::vector<routing::PeerInfo>& other_domains) override;
  [[nodiscard]] std::vector<routing::ServiceStats> figures() const override;
  [[nodiscard]] bool idle() const { return m_open.empty(); }

 private:
  struct Open {
    CallerRequest request;
    Reply reply;
    std::string answer;
  };

  void request_key(const CallerRequest& request, const Reply& reply);
  void submit(const CallerRequest& request, Reply reply);
  void send(const routing::Assignment& assignment);
  void finish_attempt(routing::CallId call, routing::AttemptResult result, std::string answer);
  void end(routing::CallId call, Verdict verdict);
  void reply_with(const Open& open, Verdict verdict, const std::string& body);

  World& m_world;
  Process& m_process;
  std::unique_ptr<routing::RequestRouter> m_router;
  std::map<routing::CallId, Open> m_open;
  std::string m_last_body;  // only for Mutation::wrong_answer
};

}  // namespace arbutusdale::scenario
