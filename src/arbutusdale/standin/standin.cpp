// Starts the listeners of the stand-in and advances its models.
#include "arbutusdale/standin/standin.hpp"

#include "arbutusdale/backplane/backplane.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "world.hpp"

namespace arbutusdale::standin {
namespace {

constexpr Duration k_tick_interval = std::chrono::milliseconds{50};
constexpr std::uint32_t k_ticks_per_measurement = 10;
constexpr unsigned k_platform_connections = 1'024;
constexpr unsigned k_agent_connections = 64;

/// Port of the listener at `index`; 0 stays 0, which selects a free port.
std::uint16_t port_at(std::uint16_t base, std::size_t index) {
  return base == 0 ? 0 : static_cast<std::uint16_t>(base + index);
}

std::string loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string numbered(const std::string& prefix, std::uint32_t index) {
  std::array<char, 16> digits{};
  (void)std::snprintf(digits.data(), digits.size(), "%03u", index);
  return prefix + digits.data();
}

std::vector<VmOptions> make_vms(const StandinOptions& options) {
  if (!options.vms.empty()) {
    return options.vms;
  }
  std::vector<VmOptions> vms;
  for (const std::string& domain : options.domains) {
    for (std::uint32_t i = 0; i < options.vms_per_domain; ++i) {
      VmOptions vm;
      vm.id = numbered(domain + "-vm-", i);
      vm.domain = domain;
      vm.rack = numbered(domain + "-rack-", i / std::max(1U, options.vms_per_rack));
      vm.capacity = options.capacity;
      vm.capacity.accelerators = i < options.accelerator_vms ? options.accelerators : 0;
      vms.push_back(vm);
    }
  }
  return vms;
}

class StandinImpl final : public Standin {
 public:
  explicit StandinImpl(StandinOptions options) : m_world(std::move(options)) {}

  ~StandinImpl() override {
    m_control.stop();
    for (const auto& loop : m_target_loops) {
      loop->stop();
    }
  }

  Result<void> open();

  [[nodiscard]] std::string platform_address(const std::string& domain) const override {
    for (const auto& platform : m_world.platforms) {
      if (platform->domain == domain) {
        return loopback(m_control.port(platform->listener));
      }
    }
    return {};
  }

  [[nodiscard]] std::vector<proto::platform::Vm> vms() const override {
    std::vector<proto::platform::Vm> vms;
    vms.reserve(m_world.vms.size());
    const std::lock_guard lock(m_world.mutex);
    for (const auto& node : m_world.vms) {
      vms.push_back(node->vm);
    }
    return vms;
  }

  [[nodiscard]] std::string observer_json() const override {
    const std::lock_guard lock(m_world.mutex);
    return m_world.observer.to_json();
  }

  Result<void> fault(const std::string& request) override {
    return apply_fault(m_world, m_control, request);
  }

 private:
  Result<void> open_platforms();
  Result<void> open_vm(const VmOptions& vm, std::size_t index);
  Result<void> open_agent(VmNode& node, std::size_t index);
  Result<void> open_target(VmNode& node, std::size_t index);
  void tick(std::uint32_t count);

  mutable World m_world;
  HttpLoop m_control;  // platform and agents
  std::vector<std::unique_ptr<HttpLoop>> m_target_loops;
};

Result<void> StandinImpl::open() {
  for (std::uint32_t i = 0; i < std::max(1U, m_world.options.target_threads); ++i) {
    m_target_loops.push_back(std::make_unique<HttpLoop>());
  }
  auto opened = open_platforms();
  const auto vms = make_vms(m_world.options);
  for (std::size_t i = 0; i < vms.size() && opened; ++i) {
    opened = open_vm(vms[i], i);
  }
  if (!opened) {
    return opened;
  }
  // The first list shows all VMs immediately, without the lag.
  const TimePoint now = m_world.now();
  m_world.list.set_lag({});
  m_world.list.advance(now);
  m_world.list.set_lag(m_world.options.list_lag);
  m_control.post([this] { tick(0); });
  m_control.start();
  for (const auto& loop : m_target_loops) {
    loop->start();
  }
  return {};
}

Result<void> StandinImpl::open_platforms() {
  const StandinOptions& options = m_world.options;
  for (std::size_t i = 0; i < options.domains.size(); ++i) {
    auto node = std::make_unique<PlatformNode>();
    node->domain = options.domains[i];
    PlatformNode* platform = node.get();
    m_world.platforms.push_back(std::move(node));
    const auto listener = m_control.add_listener(
        port_at(options.platform_port, i), k_platform_connections,
        [this, platform](Exchange& exchange) {
          bool cut = false;
          {
            const std::lock_guard lock(m_world.mutex);
            cut = platform->cut && exchange.path != "/fault" && exchange.path != "/observer";
          }
          if (cut) {
            HttpAnswer silence;
            silence.ending = Ending::silent;
            m_control.answer(exchange.id, std::move(silence));
            return;
          }
          handle_platform(m_world, m_control, exchange);
        });
    if (!listener) {
      return tl::unexpected<Error>(listener.error());
    }
    platform->listener = *listener;
  }
  return {};
}

Result<void> StandinImpl::open_vm(const VmOptions& vm, std::size_t index) {
  auto owned = std::make_unique<VmNode>();
  VmNode& node = *owned;
  m_world.vms.push_back(std::move(owned));
  node.vm.set_id(vm.id);
  node.vm.set_domain(vm.domain);
  node.vm.set_rack(vm.rack);
  *node.vm.mutable_capacity() = backplane::to_proto(vm.capacity);
  AgentModelOptions agent;
  agent.worker = vm.id;
  agent.capacity = vm.capacity;
  agent.report_lag = m_world.options.report_lag;
  agent.stop_delay = m_world.options.stop_delay;
  node.agent = std::make_unique<AgentModel>(agent, &m_world.observer);
  node.target_loop = m_target_loops[index % m_target_loops.size()].get();
  auto opened = open_agent(node, index);
  if (opened) {
    opened = open_target(node, index);
  }
  if (opened) {
    m_world.list.set(node.vm, m_world.now());
  }
  return opened;
}

Result<void> StandinImpl::open_agent(VmNode& node, std::size_t index) {
  const auto listener = m_control.add_listener(
      port_at(m_world.options.agent_base_port, index), k_agent_connections,
      [this, &node](Exchange& exchange) { handle_agent(m_world, m_control, node, exchange); });
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  node.agent_listener = *listener;
  node.vm.set_agent_address(loopback(m_control.port(*listener)));
  return {};
}

Result<void> StandinImpl::open_target(VmNode& node, std::size_t index) {
  node.target = std::make_unique<Target>(
      node.vm.id(), m_world.shared, m_world.options.seed + index, *node.target_loop,
      [this](const std::string& worker, const std::string& key, const std::string& request_id) {
        return m_world.executed(worker, key, request_id);
      });
  const auto listener = node.target_loop->add_listener(
      port_at(m_world.options.target_base_port, index), m_world.options.connections,
      [&node](Exchange& exchange) { node.target->handle(exchange); });
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  node.target_listener = *listener;
  node.vm.set_target_address(loopback(node.target_loop->port(*listener)));
  return {};
}

void StandinImpl::tick(std::uint32_t count) {
  m_world.tick(count % k_ticks_per_measurement == 0);
  m_control.after(k_tick_interval, [this, count] { tick(count + 1); });
}

}  // namespace

Result<std::unique_ptr<Standin>> make_standin(StandinOptions options) {
  auto standin = std::make_unique<StandinImpl>(std::move(options));
  const auto opened = standin->open();
  if (!opened) {
    return tl::unexpected<Error>(opened.error());
  }
  return std::unique_ptr<Standin>(std::move(standin));
}

}  // namespace arbutusdale::standin
