// What the daemon believes of the VMs of its failure domain, from a list that lags and may be
// wrong.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/platform.pb.h"
#include "arbutusdale/routing/request_router.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/plan.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::control {

/// Merges successive VM lists. A list with fewer than half of the VMs of the last trusted one is
/// not trusted: it may mark VMs as leaving, but removes none.
class VmView {
 public:
  explicit VmView(std::string domain) : m_domain(std::move(domain)) {}

  /// Takes a fetched list.
  void update(const proto::platform::VmListReply& reply, TimePoint now);

  [[nodiscard]] bool trusted() const { return m_trusted; }
  [[nodiscard]] bool has_received_vms() const { return m_received_vms; }
  /// VMs of the own failure domain that belong to one shard.
  [[nodiscard]] std::vector<batch::WorkerInfo> shard_workers(std::uint32_t shard,
                                                             std::uint32_t shards) const;
  /// VMs of a shard that were listed since `since`, also those that have left the list.
  [[nodiscard]] std::vector<batch::WorkerInfo> recent_shard_workers(std::uint32_t shard,
                                                                    std::uint32_t shards,
                                                                    TimePoint since) const;
  /// Time of the first list, or the largest time before it.
  [[nodiscard]] TimePoint first_listed() const { return m_first_listed; }
  /// Targets of a service in the own failure domain; drained VMs count as leaving.
  [[nodiscard]] std::vector<routing::TargetInfo> targets(
      const proto::state::ServiceDecl& service, const proto::state::Declaration& declaration) const;
  /// All VMs of all failure domains, for the planner.
  [[nodiscard]] std::vector<state::VmFact> facts() const;

 private:
  [[nodiscard]] bool is_plausible(const proto::platform::VmListReply& reply) const;

  std::string m_domain;
  std::map<std::string, proto::platform::Vm> m_vms;  // by id, over all failure domains
  std::map<std::string, std::pair<proto::platform::Vm, TimePoint>> m_last_seen;  // own domain
  TimePoint m_first_listed = TimePoint::max();
  bool m_trusted = false;
  bool m_received_vms = false;
};

}  // namespace arbutusdale::control
