// Owner of the request router: calls it under a mutex and applies its decisions without the mutex.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/gateway/gateway.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "proxy_call.hpp"
#include "service_metrics.hpp"
#include "upstream.hpp"

namespace arbutusdale::gateway {

/// A declared service and its metrics; immutable, replaced when the configuration changes.
struct Service {
  routing::ServiceConfig config;
  std::shared_ptr<ServiceMetrics> metrics;
};

class Dispatcher {
 public:
  Dispatcher(const GatewayOptions& options, GatewayParts parts);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  [[nodiscard]] TimePoint now() const { return m_parts.clock->now(); }
  [[nodiscard]] const GatewayOptions& options() const { return m_options; }
  [[nodiscard]] observe::Tracer* tracer() const { return m_parts.tracer; }
  [[nodiscard]] KeyGate* keys() const { return m_parts.keys; }
  [[nodiscard]] Upstream& upstream() { return *m_upstream; }

  /// Returns the service that serves a path, or null.
  [[nodiscard]] std::shared_ptr<const Service> match(std::string_view path) const;
  [[nodiscard]] bool has_team(const std::string& team) const;

  /// Keeps a call alive while its key is decided.
  void hold(const std::shared_ptr<ProxyCall>& call);
  void release(const std::shared_ptr<ProxyCall>& call);

  /// Submits a call to the router.
  void submit(const std::shared_ptr<ProxyCall>& call);
  /// Reports the end of an attempt; `last` forbids a retry because the answer has already begun.
  routing::Completion finish_attempt(routing::CallId id, const routing::AttemptOutcome& outcome,
                                     bool last);

  void set_services(const std::vector<routing::ServiceConfig>& services,
                    const std::vector<routing::TeamConfig>& teams);
  void set_targets(const std::string& service, const std::vector<routing::TargetInfo>& targets);
  void set_peers(const std::string& service, const std::vector<routing::PeerInfo>& own_domain,
                 const std::vector<routing::PeerInfo>& other_domains);
  [[nodiscard]] std::vector<routing::ServiceStats> figures() const;

 private:
  using SharedCall = std::shared_ptr<ProxyCall>;

  /// Decisions of the router, applied without the lock.
  struct Decisions {
    std::vector<std::pair<SharedCall, routing::Assignment>> assigned;
    std::vector<std::pair<SharedCall, Error>> dropped;
  };

  Decisions collect_locked(TimePoint now);
  static void apply(const Decisions& decisions);
  void cancel(routing::CallId id);
  void run_timer();

  const GatewayOptions m_options;
  const GatewayParts m_parts;

  // Outermost lock, see the lock order in gateway.hpp. Guards the members up to m_stopping.
  mutable std::mutex m_mutex;
  std::unordered_map<routing::CallId, SharedCall> m_calls;  // queued or in flight
  std::set<SharedCall> m_awaiting_key;                      // waiting for the decision on their key
  std::map<std::string, std::shared_ptr<const Service>> m_services;
  std::set<std::string> m_teams;
  std::condition_variable m_wakeup;
  TimePoint m_timer_due = TimePoint::max();  // next wakeup of the timer thread
  bool m_stopping = false;

  std::thread m_timer;
  std::unique_ptr<Upstream> m_upstream;
};

}  // namespace arbutusdale::gateway
