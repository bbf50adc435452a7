// Control logic of one daemon: reads the log streams, holds shards, executes plans, and updates the
// router. Single-threaded and without I/O of its own; all calls come from the control thread.
#pragma once

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/peer/peer.hpp"
#include "arbutusdale/routing/key_table.hpp"
#include "arbutusdale/routing/request_router.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/plan.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::control {

struct NodeOptions {
  std::string daemon;             // id, stable across restarts
  std::uint64_t incarnation = 1;  // increases with every start
  std::string domain;
  std::string peer_address;        // host:port
  std::string caller_address;      // host:port
  std::vector<std::string> seeds;  // peer addresses of other daemons
  batch::Weighting weighting = batch::Weighting::throughput;
  bool agent_fencing = true;
  Duration lease = std::chrono::seconds{30};
  Duration gone_after = std::chrono::seconds{60};  // absence from the VM list; see ShardOptions
  Duration vm_list_interval = std::chrono::seconds{1};
  Duration log_poll_interval = std::chrono::milliseconds{250};
  Duration commit_interval = std::chrono::seconds{1};
  /// Time without a heartbeat after which an incarnation is ended at the earliest.
  Duration suspect_after = std::chrono::seconds{3};
  std::uint32_t snapshot_every_records = 2'000;
  batch::TaskTrace* trace = nullptr;  // optional; receives the stages of tasks
  batch::SeededFault seeded_fault = batch::SeededFault::none;  // only to test the checkers
  std::uint64_t seed = 1;
};

/// Receives the configuration, targets and peers that requests are routed by. Implemented by the
/// gateway and by a fake in tests.
class RoutingSink {
 public:
  RoutingSink() = default;
  RoutingSink(const RoutingSink&) = delete;
  RoutingSink& operator=(const RoutingSink&) = delete;
  virtual ~RoutingSink() = default;

  virtual void set_services(const std::vector<routing::ServiceConfig>& services,
                            const std::vector<routing::TeamConfig>& teams) = 0;
  virtual void set_targets(const std::string& service,
                           const std::vector<routing::TargetInfo>& targets) = 0;
  virtual void set_peers(const std::string& service,
                         const std::vector<routing::PeerInfo>& own_domain,
                         const std::vector<routing::PeerInfo>& other_domains) = 0;
  [[nodiscard]] virtual std::vector<routing::ServiceStats> figures() const = 0;
};

/// External dependencies of a node; all must outlive it.
struct NodeEnvironment {
  backplane::Log& log;
  backplane::VmList& vm_list;
  backplane::WorkerAgents& agents;
  peer::PeerNetwork& peers;
  RoutingSink& routing;
  const Clock& clock;
};

struct Readiness {
  bool ready = false;
  std::string reason;  // empty when ready
};

/// A declared failure domain and a ready daemon in it to which calls can be forwarded.
struct DomainEntry {
  std::string domain;
  std::string caller_address;  // empty when no live, ready daemon is known
};

/// Totals over the shards that this daemon holds, and statistics of its streams.
struct NodeFigures {
  std::uint32_t shards_held = 0;
  batch::ShardStats batch;
  state::StreamStats global;
  state::StreamStats domain;
  std::uint64_t config_version = 0;
  std::uint64_t peer_bytes_sent = 0;
  std::uint32_t live_peers = 0;
};

class Node {
 public:
  using PlanMade = std::function<void(Result<proto::state::Plan>)>;
  using PlanDecidedDone = std::function<void(Result<proto::state::PlanEntry>)>;

  Node() = default;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  virtual ~Node() = default;

  /// Performs all work that is due. Never blocks.
  virtual void tick(TimePoint now) = 0;

  /// Creates a plan and appends it to the log; `done` receives the plan once it is in the log, or
  /// an error: `unavailable` while the global stream accepts no records.
  virtual void propose_plan(state::PlanRequest request, PlanMade done) = 0;

  /// Confirms, rejects or cancels a plan; `done` receives the plan's entry after the decision has
  /// been applied from the log, so it is the same on all daemons.
  virtual void decide_plan(const std::string& plan_id, proto::state::PlanDecided::Decision decision,
                           const std::string& actor, const std::string& reason,
                           PlanDecidedDone done) = 0;

  /// State of the fleet as known to this daemon, as JSON text.
  [[nodiscard]] virtual std::string status_json() const = 0;
  /// The newest `limit` plans with their decisions (who, what and when), as JSON text.
  [[nodiscard]] virtual std::string record_json(std::size_t limit) const = 0;
  [[nodiscard]] virtual const state::GlobalState& global() const = 0;
  [[nodiscard]] virtual const state::DomainState& domain() const = 0;

  /// Requests permission to send a call with an idempotency key; see routing::KeyTable.
  virtual void request_key(const routing::KeyedCall& call,
                           routing::KeyTable::DecisionCallback decided) = 0;
  virtual void finish_key(const routing::KeyedCall& call, bool not_run, std::string answer) = 0;

  /// Declared failure domains, in declaration order.
  [[nodiscard]] virtual std::vector<DomainEntry> domain_entries() const = 0;

  [[nodiscard]] virtual Readiness readiness() const = 0;
  [[nodiscard]] virtual NodeFigures figures() const = 0;

  /// Starts a graceful stop: hands over keys, releases shards and notifies the peers.
  virtual void leave() = 0;
  /// True when a graceful stop has begun and the domain's stream no longer lists this incarnation
  /// as alive.
  [[nodiscard]] virtual bool has_left() const = 0;
};

std::unique_ptr<Node> make_node(NodeOptions options, NodeEnvironment environment);

}  // namespace arbutusdale::control
