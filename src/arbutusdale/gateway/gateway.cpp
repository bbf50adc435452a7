// The gateway: both listeners, the dispatcher, and the graceful shutdown.
#include "arbutusdale/gateway/gateway.hpp"

#include <thread>

#include "admin_entry.hpp"
#include "caller_entry.hpp"
#include "dispatcher.hpp"
#include "http_server.hpp"

namespace arbutusdale::gateway {
namespace {

constexpr std::size_t k_max_admin_body_bytes = 4'194'304;
constexpr unsigned k_max_admin_connections = 256;
constexpr auto k_drain_poll = std::chrono::milliseconds{10};

HttpServerOptions caller_options(const GatewayOptions& options) {
  HttpServerOptions server;
  server.listen = options.caller_listen;
  server.threads = options.caller_threads;
  server.max_connections = options.max_caller_connections;
  server.idle_timeout_s = options.idle_timeout_s;
  server.max_header_bytes = options.max_header_bytes;
  server.max_body_bytes = options.max_body_bytes;
  server.max_buffered_bytes = options.max_buffered_bytes;
  return server;
}

HttpServerOptions admin_options(const GatewayOptions& options) {
  HttpServerOptions server;
  server.listen = options.admin_listen;
  server.threads = 1;
  server.max_connections = k_max_admin_connections;
  server.idle_timeout_s = options.idle_timeout_s;
  server.max_header_bytes = options.max_header_bytes;
  server.max_body_bytes = k_max_admin_body_bytes;
  server.max_buffered_bytes = options.max_buffered_bytes;
  return server;
}

class GatewayImpl final : public Gateway {
 public:
  GatewayImpl(GatewayOptions options, GatewayParts parts)
      : m_options(std::move(options)),
        m_registry(*parts.registry),
        m_admin_entry(m_options, parts, [this] { refresh_gauges(); }),
        m_callers(make_http_server(caller_options(m_options),
                                   [this](const auto& call) { m_caller_entry.handle(call); })),
        m_admin(make_http_server(admin_options(m_options),
                                 [this](const auto& call) { m_admin_entry.handle(call); })),
        m_dispatcher(std::make_unique<Dispatcher>(m_options, std::move(parts))),
        m_caller_entry(*m_dispatcher) {}

  ~GatewayImpl() override {
    m_callers->stop();
    m_admin->stop();
  }

  GatewayImpl(const GatewayImpl&) = delete;
  GatewayImpl& operator=(const GatewayImpl&) = delete;

  Result<void> start() override {
    if (auto started = m_callers->start(); !started) {
      return started;
    }
    return m_admin->start();
  }

  void set_ready(bool ready, const std::string& reason) override {
    if (!m_draining) {
      m_admin_entry.set_ready(ready, reason);
    }
  }

  std::size_t drain() override {
    m_admin_entry.set_ready(false, "draining");
    m_draining = true;
    // Keeps accepting for drain_notice, so that load balancers see that this daemon is not ready.
    m_callers->close_after_answers();
    std::this_thread::sleep_for(m_options.drain_notice);
    m_callers->stop_accepting();
    const auto last = std::chrono::steady_clock::now() + m_options.drain_timeout;
    while (m_callers->open_exchanges() > 0 && std::chrono::steady_clock::now() < last) {
      std::this_thread::sleep_for(k_drain_poll);
    }
    const std::size_t cut_off = m_callers->stop();
    m_admin->stop();
    return cut_off;
  }

  [[nodiscard]] std::uint16_t caller_port() const override { return m_callers->port(); }
  [[nodiscard]] std::uint16_t admin_port() const override { return m_admin->port(); }

  void set_services(const std::vector<routing::ServiceConfig>& services,
                    const std::vector<routing::TeamConfig>& teams) override {
    m_dispatcher->set_services(services, teams);
  }

  void set_targets(const std::string& service,
                   const std::vector<routing::TargetInfo>& targets) override {
    m_dispatcher->set_targets(service, targets);
  }

  void set_peers(const std::string& service, const std::vector<routing::PeerInfo>& own_domain,
                 const std::vector<routing::PeerInfo>& other_domains) override {
    m_dispatcher->set_peers(service, own_domain, other_domains);
  }

  [[nodiscard]] std::vector<routing::ServiceStats> figures() const override {
    return m_dispatcher->figures();
  }

  [[nodiscard]] std::size_t open_calls() const override { return m_callers->open_exchanges(); }

 private:
  void refresh_gauges() {
    const auto set = [this](const char* name, const char* help, const std::string& service,
                            double value) {
      m_registry.gauge(name, help, {{"service", service}}).set(value);
    };
    for (const auto& service : m_dispatcher->figures()) {
      set("arbutusdale_queued_calls", "Calls waiting for a target.", service.service,
          service.queued);
      set("arbutusdale_in_flight_calls", "Calls sent and not ended.", service.service,
          service.in_flight);
      set("arbutusdale_targets", "Targets in the own failure domain.", service.service,
          service.targets);
      set("arbutusdale_ejected_targets", "Targets ejected as outliers.", service.service,
          service.ejected);
      set("arbutusdale_queue_delay_seconds", "Expected wait of a call admitted now.",
          service.service, std::chrono::duration<double>(service.queue_delay).count());
    }
  }

  const GatewayOptions m_options;
  observe::Registry& m_registry;
  std::atomic<bool> m_draining{false};
  AdminEntry m_admin_entry;
  // Declared before the dispatcher: its calls hold exchanges, which refer to the server.
  std::unique_ptr<HttpServer> m_callers;
  std::unique_ptr<HttpServer> m_admin;
  std::unique_ptr<Dispatcher> m_dispatcher;
  CallerEntry m_caller_entry;
};

}  // namespace

std::unique_ptr<Gateway> make_gateway(GatewayOptions options, GatewayParts parts) {
  return std::make_unique<GatewayImpl>(std::move(options), std::move(parts));
}

}  // namespace arbutusdale::gateway
