// Merging of VM lists.
#include "vm_view.hpp"

#include "arbutusdale/state/domain_state.hpp"

#include <algorithm>

namespace arbutusdale::control {
namespace {

// Longer than any `gone_after`, so that a takeover includes every VM that may still run attempts.
constexpr Duration k_vm_retention = std::chrono::hours{2};

batch::WorkerInfo worker_info(const proto::platform::Vm& vm) {
  return {vm.id(),
          vm.agent_address(),
          vm.domain(),
          vm.rack(),
          backplane::from_proto(vm.capacity()),
          vm.state() == proto::platform::VM_LEAVING};
}

}  // namespace

bool VmView::is_plausible(const proto::platform::VmListReply& reply) const {
  const auto in_domain = [this](const auto& vm) { return vm.domain() == m_domain; };
  const auto listed = std::count_if(reply.vms().begin(), reply.vms().end(), in_domain);
  const auto before = std::count_if(m_vms.begin(), m_vms.end(),
                                    [&](const auto& item) { return in_domain(item.second); });
  return listed * 2 >= before;
}

void VmView::update(const proto::platform::VmListReply& reply, TimePoint now) {
  m_trusted = is_plausible(reply);
  m_received_vms = m_received_vms || reply.vms_size() > 0;
  m_first_listed = std::min(m_first_listed, now);
  std::map<std::string, proto::platform::Vm> merged;
  if (!m_trusted) {
    merged = m_vms;
  }
  for (const auto& vm : reply.vms()) {
    merged[vm.id()] = vm;
    if (vm.domain() == m_domain) {
      m_last_seen[vm.id()] = {vm, now};
    }
  }
  m_vms = std::move(merged);
  std::erase_if(m_last_seen,
                [now](const auto& seen) { return now - seen.second.second > k_vm_retention; });
}

std::vector<batch::WorkerInfo> VmView::recent_shard_workers(std::uint32_t shard,
                                                            std::uint32_t shards,
                                                            TimePoint since) const {
  std::vector<batch::WorkerInfo> workers;
  for (const auto& [id, seen] : m_last_seen) {
    if (seen.second >= since && state::shard_of_worker(id, shards) == shard) {
      workers.push_back(worker_info(seen.first));
    }
  }
  return workers;
}

std::vector<batch::WorkerInfo> VmView::shard_workers(std::uint32_t shard,
                                                     std::uint32_t shards) const {
  std::vector<batch::WorkerInfo> workers;
  for (const auto& [id, vm] : m_vms) {
    if (vm.domain() != m_domain || state::shard_of_worker(id, shards) != shard) {
      continue;
    }
    workers.push_back(worker_info(vm));
  }
  return workers;
}

std::vector<routing::TargetInfo> VmView::targets(
    const proto::state::ServiceDecl& service, const proto::state::Declaration& declaration) const {
  const auto& domains = service.domains();
  if (!domains.empty() && std::find(domains.begin(), domains.end(), m_domain) == domains.end()) {
    return {};
  }
  const auto& drains = declaration.drains();
  std::vector<routing::TargetInfo> targets;
  for (const auto& [id, vm] : m_vms) {
    if (vm.domain() != m_domain || vm.target_address().empty() ||
        !id.starts_with(service.vm_prefix())) {
      continue;
    }
    const bool drained = std::find(drains.begin(), drains.end(), id) != drains.end();
    targets.push_back(
        {id, vm.target_address(), drained || vm.state() == proto::platform::VM_LEAVING});
  }
  return targets;
}

std::vector<state::VmInfo> VmView::facts() const {
  std::vector<state::VmInfo> facts;
  facts.reserve(m_vms.size());
  for (const auto& [id, vm] : m_vms) {
    facts.push_back({id, vm.domain(), backplane::from_proto(vm.capacity()),
                     vm.state() == proto::platform::VM_LEAVING});
  }
  return facts;
}

}  // namespace arbutusdale::control
