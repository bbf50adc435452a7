// Switches faults on and off as JSON requests ask.
#include <functional>
#include <map>
#include <utility>

#include "world.hpp"
#include <nlohmann/json.hpp>

namespace arbutusdale::standin {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t k_default_kept_records = 10;
constexpr double k_default_slow_factor = 10;

/// A request to switch a fault, with the state that it changes.
struct FaultContext {
  World& world;
  HttpLoop& control;
  const Json& request;

  [[nodiscard]] bool on() const { return request.value("on", true); }
  [[nodiscard]] std::string text(const char* name) const { return request.value(name, ""); }
  [[nodiscard]] double value(double fallback) const { return request.value("value", fallback); }
  [[nodiscard]] std::vector<VmNode*> vms() const { return world.matching(text("vm")); }
};

using FaultFunction = std::function<Result<void>(FaultContext&)>;

Result<void> invalid(const std::string& message) {
  return not_run(ErrorCode::invalid_argument, message);
}

/// Applies `change` to each VM that the request names.
template <typename Change>
Result<void> for_vms(FaultContext& context, Change change) {
  const auto nodes = context.vms();
  if (nodes.empty()) {
    return invalid("\"vm\" names no VM");
  }
  for (VmNode* node : nodes) {
    change(*node);
  }
  return {};
}

Result<void> fault_log_delay(FaultContext& context) {
  context.world.log.faults().delay =
      std::chrono::milliseconds{static_cast<std::int64_t>(context.value(0))};
  return {};
}

Result<void> fault_log_trim(FaultContext& context) {
  context.world.log.trim(context.text("stream"),
                         context.request.value("keep", k_default_kept_records));
  return {};
}

Result<void> fault_vm_list(FaultContext& context) {
  const auto fault = vm_list_fault(context.text("mode"));
  if (!fault) {
    return invalid("\"mode\" must be none, empty, halved, frozen or outage");
  }
  context.world.list.set_fault(*fault, context.world.now());
  return {};
}

Result<void> fault_vm_leaving(FaultContext& context) {
  const bool on = context.on();
  return for_vms(context, [&](VmNode& node) {
    node.vm.set_state(on ? proto::platform::VM_LEAVING : proto::platform::VM_LIVE);
    node.agent->set_leaving(on);
    context.world.list.set(node.vm, context.world.now());
  });
}

// Closes or reopens the ports of a VM. The target's port is handled on the thread of its own loop.
void switch_ports(FaultContext& context, VmNode& node, bool open) {
  HttpLoop& control = context.control;
  HttpLoop* target_loop = node.target_loop;
  control.post([&control, &node, open] {
    if (open) {
      (void)control.reopen_listener(node.agent_listener);
    } else {
      control.close_listener(node.agent_listener);
    }
  });
  target_loop->post([target_loop, &node, open] {
    node.target->reset();
    if (open) {
      (void)target_loop->reopen_listener(node.target_listener);
    } else {
      target_loop->close_listener(node.target_listener);
    }
  });
}

Result<void> fault_vm_crash(FaultContext& context) {
  const TimePoint now = context.world.now();
  return for_vms(context, [&](VmNode& node) {
    if (context.on() && node.agent->is_up()) {
      node.agent->crash(now);
      context.world.list.remove(node.vm.id(), now);
      switch_ports(context, node, false);
    } else if (!context.on() && !node.agent->is_up()) {
      node.agent->boot(now);
      node.vm.set_state(proto::platform::VM_LIVE);
      context.world.list.set(node.vm, now);
      switch_ports(context, node, true);
    }
  });
}

void release_agent(FaultContext& context, VmNode& node) {
  HttpLoop& control = context.control;
  control.post([&control, &node] { control.release_silent(node.agent_listener); });
}

Result<void> fault_agent_unreachable(FaultContext& context) {
  return for_vms(context, [&](VmNode& node) {
    node.agent->faults().unreachable = context.on();
    if (!context.on()) {
      release_agent(context, node);
    }
  });
}

Result<void> fault_target(FaultContext& context) {
  const auto fault = target_fault(context.text("mode"));
  if (!fault) {
    return invalid("\"mode\" must be none, slow, errors, reset, silent or truncate");
  }
  return for_vms(context, [&](VmNode& node) {
    node.target->controls.slow_factor = context.value(k_default_slow_factor);
    node.target->controls.fault = *fault;
    HttpLoop* loop = node.target_loop;
    if (*fault == TargetFault::none) {
      loop->post([loop, &node] { loop->release_silent(node.target_listener); });
    }
  });
}

Result<void> fault_silence_connections(FaultContext& context) {
  return for_vms(context, [](VmNode& node) {
    HttpLoop* loop = node.target_loop;
    loop->post([loop, &node] { loop->silence_connections(node.target_listener); });
  });
}

Result<void> fault_service_time(FaultContext& context) {
  constexpr double k_us_per_ms = 1'000;
  context.world.shared.service_time_us = static_cast<std::int64_t>(context.value(5) * k_us_per_ms);
  return {};
}

Result<void> fault_platform_cut(FaultContext& context) {
  for (const auto& platform : context.world.platforms) {
    if (platform->domain == context.text("domain")) {
      platform->cut = context.on();
      return {};
    }
  }
  return invalid("\"domain\" names no failure domain");
}

// Ends all faults except crashes and departures of VMs, which are events rather than states.
Result<void> fault_clear(FaultContext& context) {
  World& world = context.world;
  world.log.faults() = {};
  world.list.set_fault(VmListFault::none, world.now());
  for (const auto& platform : world.platforms) {
    platform->cut = false;
  }
  for (const auto& node : world.vms) {
    node->agent->faults() = {};
    node->target->controls.fault = TargetFault::none;
    release_agent(context, *node);
    HttpLoop* loop = node->target_loop;
    loop->post([loop, &vm = *node] { loop->release_silent(vm.target_listener); });
  }
  return {};
}

Result<void> set_log_flag(FaultContext& context, bool LogFaults::*flag) {
  context.world.log.faults().*flag = context.on();
  return {};
}

Result<void> set_agent_flag(FaultContext& context, bool AgentFaults::*flag) {
  return for_vms(context, [&](VmNode& node) { node.agent->faults().*flag = context.on(); });
}

const std::map<std::string, FaultFunction>& fault_table() {
  static const std::map<std::string, FaultFunction> k_table{
      {"log_outage", [](FaultContext& c) { return set_log_flag(c, &LogFaults::outage); }},
      {"log_refuse_appends",
       [](FaultContext& c) { return set_log_flag(c, &LogFaults::refuse_appends); }},
      {"log_lose_answers",
       [](FaultContext& c) {
         c.world.log.faults().lose_answers_percent =
             c.on() ? static_cast<std::uint32_t>(c.value(100)) : 0;
         return Result<void>{};
       }},
      {"log_delay", fault_log_delay},
      {"log_trim", fault_log_trim},
      {"vm_list", fault_vm_list},
      {"vm_leaving", fault_vm_leaving},
      {"vm_crash", fault_vm_crash},
      {"agent_lose_answers",
       [](FaultContext& c) { return set_agent_flag(c, &AgentFaults::lose_answers); }},
      {"agent_unreachable", fault_agent_unreachable},
      {"worker_fails_tasks",
       [](FaultContext& c) { return set_agent_flag(c, &AgentFaults::fail_all_tasks); }},
      {"target", fault_target},
      {"silence_connections", fault_silence_connections},
      {"service_time", fault_service_time},
      {"interference",
       [](FaultContext& c) {
         c.world.interference[c.text("class")] = c.value(0);
         return Result<void>{};
       }},
      {"platform_cut", fault_platform_cut},
      {"clear", fault_clear},
  };
  return k_table;
}

}  // namespace

Result<void> apply_fault(World& world, HttpLoop& control, const std::string& request) {
  try {
    const Json document = Json::parse(request);
    const auto found = fault_table().find(document.value("fault", ""));
    if (found == fault_table().end()) {
      return invalid("\"fault\" names no fault");
    }
    const std::lock_guard lock(world.mutex);
    FaultContext context{world, control, document};
    return found->second(context);
  } catch (const Json::exception& error) {
    return invalid(error.what());
  }
}

}  // namespace arbutusdale::standin
