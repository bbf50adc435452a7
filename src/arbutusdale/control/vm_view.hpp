// The daemon's view of the VMs, built from VM lists that lag and may be wrong.
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

/// Merges successive VM lists. A list with fewer than half of the known VMs of this failure domain
/// is not trusted: it may add VMs or mark them as leaving, but removes none.
class VmView {
 public:
  explicit VmView(std::string domain) : m_domain(std::move(domain)) {}

  /// Merges a fetched list.
  void update(const proto::platform::VmListReply& reply, TimePoint now);

  /// True when the latest list is trusted.
  [[nodiscard]] bool trusted() const { return m_trusted; }
  /// True once a list with at least one VM has been received.
  [[nodiscard]] bool has_received_vms() const { return m_received_vms; }
  /// VMs of this failure domain that belong to one shard.
  [[nodiscard]] std::vector<batch::WorkerInfo> shard_workers(std::uint32_t shard,
                                                             std::uint32_t shards) const;
  /// VMs of a shard that were listed at or after `since`, including those no longer listed.
  [[nodiscard]] std::vector<batch::WorkerInfo> recent_shard_workers(std::uint32_t shard,
                                                                    std::uint32_t shards,
                                                                    TimePoint since) const;
  /// Time of the first list, or `TimePoint::max()` before it.
  [[nodiscard]] TimePoint first_listed() const { return m_first_listed; }
  /// Targets of a service in this failure domain; VMs declared as drained count as leaving.
  [[nodiscard]] std::vector<routing::TargetInfo> targets(
      const proto::state::ServiceDecl& service, const proto::state::Declaration& declaration) const;
  /// All VMs of all failure domains, for the planner.
  [[nodiscard]] std::vector<state::VmInfo> facts() const;

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
