// Creates and connects the daemon's components, and stops them gracefully.
#include "daemon.hpp"

#include "arbutusdale/backplane/http_backplane.hpp"
#include "arbutusdale/control/node.hpp"
#include "arbutusdale/gateway/gateway.hpp"
#include "arbutusdale/observe/metrics.hpp"
#include "arbutusdale/observe/trace.hpp"
#include "arbutusdale/peer/zmq_network.hpp"

#include <future>
#include <utility>

#include "admin_api.hpp"
#include "control_loop.hpp"
#include "daemon_metrics.hpp"
#include "key_gate.hpp"
#include "span_trace.hpp"
#include <spdlog/spdlog.h>

namespace arbutusdale::daemon {
namespace {

constexpr Duration k_tick_interval = std::chrono::milliseconds{50};
constexpr Duration k_leave_timeout = std::chrono::seconds{5};  // for releasing the shards
constexpr Duration k_leave_poll_interval = std::chrono::milliseconds{50};
constexpr int k_ticks_per_metrics_update = 20;

/// Forwards the node's services, targets and peers to the gateway.
class GatewaySink final : public control::RoutingSink {
 public:
  void set_gateway(gateway::Gateway& gateway) { m_gateway = &gateway; }

  void set_services(const std::vector<routing::ServiceConfig>& services,
                    const std::vector<routing::TeamConfig>& teams) override {
    m_gateway->set_services(services, teams);
  }
  void set_targets(const std::string& service,
                   const std::vector<routing::TargetInfo>& targets) override {
    m_gateway->set_targets(service, targets);
  }
  void set_peers(const std::string& service, const std::vector<routing::PeerInfo>& own_domain,
                 const std::vector<routing::PeerInfo>& other_domains) override {
    m_gateway->set_peers(service, own_domain, other_domains);
  }
  [[nodiscard]] std::vector<routing::ServiceStats> figures() const override {
    return m_gateway->figures();
  }

 private:
  gateway::Gateway* m_gateway = nullptr;
};

gateway::GatewayOptions gateway_options(const Settings& settings) {
  gateway::GatewayOptions options;
  options.daemon = settings.id;
  options.caller_listen = settings.listen;
  options.admin_listen = settings.admin_listen;
  options.fleet_token = settings.fleet_token;
  options.drain_timeout = settings.stop_timeout;
  for (const auto& token : settings.operator_tokens) {
    options.admin_tokens.push_back({token.token, {token.name, gateway::Role::operator_}});
  }
  for (const auto& token : settings.team_tokens) {
    options.admin_tokens.push_back({token.token, {token.name, gateway::Role::team}});
  }
  return options;
}

routing::RouterOptions router_options(const Settings& settings) {
  routing::RouterOptions options;
  options.daemon = settings.id;
  options.domain = settings.domain;
  options.policy = settings.policy;
  options.seed = settings.seed;
  return options;
}

control::NodeOptions node_options(const Settings& settings, const Clock& clock) {
  control::NodeOptions options;
  options.daemon = settings.id;
  // The incarnation must increase with each start and nothing is kept on disk, so it is taken from
  // the wall clock. If the clock was set back, the incarnations recorded in the log correct it.
  options.incarnation = clock.wall_ms();
  options.domain = settings.domain;
  options.peer_address = settings.advertise_peer;
  options.caller_address = settings.advertise_caller;
  options.seeds = settings.peers;
  options.weighting = settings.weighting;
  options.agent_fencing = settings.agent_fencing;
  options.lease = settings.lease;
  options.gone_after = settings.gone_after;
  options.seed = settings.seed;
  return options;
}

class DaemonImpl final : public Daemon {
 public:
  explicit DaemonImpl(Settings settings);
  DaemonImpl(const DaemonImpl&) = delete;
  DaemonImpl& operator=(const DaemonImpl&) = delete;
  ~DaemonImpl() override;

  Result<void> start() override;
  std::size_t stop() override;

 private:
  void tick();
  void update_readiness();
  void leave();

  // Members are destroyed in reverse order, so the node is declared after the clients that it uses.
  const Settings m_settings;
  std::unique_ptr<Clock> m_clock = make_system_clock();
  std::unique_ptr<observe::Registry> m_registry = observe::make_registry();
  std::unique_ptr<observe::Tracer> m_tracer;
  std::unique_ptr<SpanTrace> m_task_trace;  // null if no collector is configured
  ControlLoop m_loop{k_tick_interval};
  GatewaySink m_routing_sink;
  NodeKeyGate m_key_gate;
  std::unique_ptr<backplane::HttpEngine> m_http;
  std::unique_ptr<backplane::Log> m_log;
  std::unique_ptr<backplane::VmList> m_vm_list;
  std::unique_ptr<backplane::WorkerAgents> m_agents;
  std::unique_ptr<peer::PeerNetwork> m_network;
  std::unique_ptr<control::Node> m_node;
  std::unique_ptr<AdminApi> m_admin;
  std::unique_ptr<gateway::Gateway> m_gateway;
  bool m_started = false;
  bool m_ready = false;     // control thread only
  bool m_stopping = false;  // control thread only
  int m_ticks = 0;          // control thread only
};

DaemonImpl::DaemonImpl(Settings settings)
    : m_settings(std::move(settings)),
      m_key_gate(m_settings.domain,
                 [this](ControlLoop::Work work) { m_loop.post(std::move(work)); }) {
  observe::TracerOptions tracer;
  tracer.collector_url = m_settings.trace_collector;
  tracer.seed = m_clock->wall_ms();
  m_tracer = observe::make_tracer(tracer);
  if (!m_settings.trace_collector.empty()) {
    m_task_trace = std::make_unique<SpanTrace>(*m_tracer, *m_clock);
  }
}

DaemonImpl::~DaemonImpl() {
  if (m_started) {
    m_loop.stop();
  }
}

Result<void> DaemonImpl::start() {
  const auto post = [this](ControlLoop::Work work) { m_loop.post(std::move(work)); };
  m_http = backplane::make_http_engine({}, post);
  m_log = backplane::make_http_log(*m_http, m_settings.platform);
  m_vm_list = backplane::make_http_vm_list(*m_http, m_settings.platform);
  m_agents = backplane::make_http_worker_agents(*m_http);
  peer::ZmqNetworkOptions zmq;
  zmq.listen_address = m_settings.peer_listen;
  zmq.keys = {m_settings.fleet_public_key, m_settings.fleet_secret_key};
  auto network = peer::make_zmq_network(zmq, post);
  if (!network) {
    return tl::unexpected<Error>(network.error());
  }
  m_network = std::move(*network);
  auto options = node_options(m_settings, *m_clock);
  options.trace = m_task_trace.get();
  m_node = control::make_node(std::move(options),
                              control::NodeEnvironment{*m_log, *m_vm_list, *m_agents, *m_network,
                                                       m_routing_sink, *m_clock});
  m_key_gate.set_node(*m_node);
  m_admin = std::make_unique<AdminApi>(*m_node, post);
  gateway::GatewayParts parts;
  parts.router = routing::make_request_router(router_options(m_settings));
  parts.clock = m_clock.get();
  parts.registry = m_registry.get();
  parts.tracer = m_tracer.get();
  parts.keys = &m_key_gate;
  parts.admin = m_admin.get();
  m_gateway = gateway::make_gateway(gateway_options(m_settings), std::move(parts));
  m_routing_sink.set_gateway(*m_gateway);
  if (auto started = m_gateway->start(); !started) {
    return started;
  }
  m_loop.start([this] { tick(); });
  m_started = true;
  spdlog::info("daemon {} in failure domain {} listens for callers at {} and for operators at {}",
               m_settings.id, m_settings.domain, m_settings.listen, m_settings.admin_listen);
  return {};
}

void DaemonImpl::tick() {
  m_node->tick(m_clock->now());
  update_readiness();
  if (++m_ticks % k_ticks_per_metrics_update == 0) {
    publish(m_node->figures(), *m_registry);
    m_key_gate.set_domains(m_node->domain_entries());
  }
}

void DaemonImpl::update_readiness() {
  const auto readiness = m_node->readiness();
  if (m_stopping) {
    return;
  }
  m_gateway->set_ready(readiness.ready, readiness.reason);
  if (readiness.ready != m_ready) {
    m_ready = readiness.ready;
    spdlog::info(m_ready ? "ready" : "not ready: " + readiness.reason);
    m_key_gate.set_domains(m_node->domain_entries());
  }
}

void DaemonImpl::leave() {
  std::promise<void> begun;
  m_loop.post([this, &begun] {
    m_node->leave();
    begun.set_value();
  });
  begun.get_future().wait();
  const auto deadline = m_clock->now() + k_leave_timeout;
  for (bool left = false; !left && m_clock->now() < deadline;) {
    std::promise<bool> polled;
    m_loop.post([this, &polled] { polled.set_value(m_node->has_left()); });
    left = polled.get_future().get();
    if (!left) {
      std::this_thread::sleep_for(k_leave_poll_interval);
    }
  }
}

std::size_t DaemonImpl::stop() {
  m_loop.post([this] {
    m_stopping = true;
    m_gateway->set_ready(false, "stopping");
  });
  const auto cut_off = m_gateway->drain();
  leave();
  m_loop.stop();
  m_started = false;
  return cut_off;
}

}  // namespace

std::unique_ptr<Daemon> make_daemon(Settings settings) {
  return std::make_unique<DaemonImpl>(std::move(settings));
}

}  // namespace arbutusdale::daemon
