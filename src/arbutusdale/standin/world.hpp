// State of the stand-in: the models, guarded by one mutex, and the listeners of each VM.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/standin/agent_model.hpp"
#include "arbutusdale/standin/log_model.hpp"
#include "arbutusdale/standin/observer.hpp"
#include "arbutusdale/standin/standin.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_loop.hpp"
#include "target.hpp"

namespace arbutusdale::standin {

/// One VM. Its agent is guarded by the world's mutex; its listeners belong to their loops.
struct VmNode {
  proto::platform::Vm vm;
  std::unique_ptr<AgentModel> agent;
  std::unique_ptr<Target> target;
  HttpLoop* target_loop = nullptr;
  std::size_t agent_listener = 0;   // of the control loop
  std::size_t target_listener = 0;  // of the target loop
};

/// Platform port of one failure domain.
struct PlatformNode {
  std::string domain;
  std::size_t listener = 0;  // of the control loop
  bool cut = false;          // guarded by the world's mutex
};

struct World {
  explicit World(StandinOptions settings);

  [[nodiscard]] TimePoint now() const { return clock->now(); }
  /// VMs whose id equals `pattern`, or starts with the part before a final '*'.
  std::vector<VmNode*> matching(const std::string& pattern);
  VmNode* find(const std::string& id);
  /// Counts an execution by a target; returns how often the key has been executed so far.
  std::uint64_t executed(const std::string& worker, const std::string& key,
                         const std::string& request_id);
  /// Advances the agents and exchanges load metrics between agents and targets.
  void tick(bool measure);

  StandinOptions options;
  std::unique_ptr<Clock> clock;
  SharedTargetControls shared;

  std::mutex mutex;  // guards the models below and the agents
  Observer observer;
  LogModel log;
  VmListModel list;
  std::map<std::string, double> interference;
  std::vector<std::unique_ptr<VmNode>> vms;
  std::vector<std::unique_ptr<PlatformNode>> platforms;
};

/// Responds to a request on a platform port; the caller checks `PlatformNode::cut`.
void handle_platform(World& world, HttpLoop& loop, Exchange& exchange);

/// Responds to a command to the agent of `node`.
void handle_agent(World& world, HttpLoop& loop, VmNode& node, Exchange& exchange);

/// Switches a fault on or off; see `Standin::fault`.
Result<void> apply_fault(World& world, HttpLoop& control, const std::string& request);

}  // namespace arbutusdale::standin
