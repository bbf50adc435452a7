// VM list whose changes become visible after a lag.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/standin/log_model.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::standin {
namespace {

constexpr EnumNames<VmListFault, 5> k_fault_names{{
    {VmListFault::none, "none"},
    {VmListFault::empty, "empty"},
    {VmListFault::halved, "halved"},
    {VmListFault::frozen, "frozen"},
    {VmListFault::outage, "outage"},
}};

}  // namespace

std::string_view to_string(VmListFault fault) {
  return enum_name(k_fault_names, fault);
}

std::optional<VmListFault> vm_list_fault(std::string_view name) {
  return enum_value(k_fault_names, name);
}

VmListModel::VmListModel(Duration lag, Observer* observer) : m_lag(lag), m_observer(observer) {}

void VmListModel::set(const proto::platform::Vm& vm, TimePoint now) {
  advance(now);
  m_actual[vm.id()] = vm;
  m_changes.push_back({now, vm.id(), vm});
}

void VmListModel::set_state(const std::string& id, proto::platform::VmState state, TimePoint now) {
  const auto found = m_actual.find(id);
  if (found == m_actual.end()) {
    return;
  }
  auto vm = found->second;
  vm.set_state(state);
  set(vm, now);
}

void VmListModel::remove(const std::string& id, TimePoint now) {
  advance(now);
  m_actual.erase(id);
  m_changes.push_back({now, id, std::nullopt});
}

void VmListModel::set_fault(VmListFault fault, TimePoint now) {
  advance(now);
  if (m_fault != VmListFault::none && fault == VmListFault::none) {
    m_unfrozen_at = now;
  }
  m_fault = fault;
}

// Every fault delays changes, so that a VM hidden by the fault does not count as listed.
void VmListModel::advance(TimePoint now) {
  if (m_fault != VmListFault::none) {
    return;
  }
  while (!m_changes.empty() && m_changes.front().at + m_lag <= now) {
    const Change change = std::move(m_changes.front());
    m_changes.pop_front();
    const TimePoint visible = change.at + m_lag;
    apply(change, m_unfrozen_at ? std::max(visible, *m_unfrozen_at) : visible);
  }
}

void VmListModel::apply(const Change& change, TimePoint listed_at) {
  ++m_version;
  if (!change.vm) {
    m_listed.erase(change.id);
    return;
  }
  m_listed[change.id] = *change.vm;
  if (m_observer == nullptr) {
    return;
  }
  if (change.vm->state() == proto::platform::VM_LEAVING) {
    m_observer->listed_leaving(change.id, listed_at);
  } else {
    m_observer->listed_live(change.id);
  }
}

Result<proto::platform::VmListReply> VmListModel::fetch(TimePoint now) {
  advance(now);
  if (m_fault == VmListFault::outage) {
    return not_run(ErrorCode::unavailable, "VM list is out");
  }
  proto::platform::VmListReply reply;
  reply.set_version(m_version);
  if (m_fault == VmListFault::empty) {
    return reply;
  }
  bool skip = false;
  for (const auto& [id, vm] : m_listed) {
    skip = m_fault == VmListFault::halved && !skip;
    if (!skip) {
      *reply.add_vms() = vm;
    }
  }
  return reply;
}

}  // namespace arbutusdale::standin
