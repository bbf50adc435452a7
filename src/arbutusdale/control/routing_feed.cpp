// Conversion of the declared services and the peers' load into the router's types.
#include "routing_feed.hpp"

namespace arbutusdale::control {
namespace {

constexpr std::uint32_t k_default_slots = 8;
constexpr std::uint32_t k_default_connections = 64;
constexpr std::uint32_t k_default_p99_target_ms = 100;
constexpr std::uint32_t k_default_timeout_ms = 10'000;
constexpr std::uint32_t k_default_queue_limit = 1'024;

template <typename T>
T or_default(T value, T fallback) {
  return value == T{} ? fallback : value;
}

routing::ServiceConfig service_config(const proto::state::ServiceDecl& service) {
  routing::ServiceConfig config;
  config.name = service.name();
  config.path_prefix = service.path_prefix();
  config.slots = or_default(service.slots(), k_default_slots);
  config.connections = or_default(service.connections(), k_default_connections);
  config.p99_target =
      std::chrono::milliseconds{or_default(service.p99_target_ms(), k_default_p99_target_ms)};
  config.timeout =
      std::chrono::milliseconds{or_default(service.timeout_ms(), k_default_timeout_ms)};
  config.queue_limit = or_default(service.queue_limit(), k_default_queue_limit);
  return config;
}

}  // namespace

void RoutingFeed::refresh() {
  set_services();
  const auto& declaration = m_context.global.declaration();
  for (const auto& service : declaration.services()) {
    m_context.environment.routing.set_targets(service.name(), m_vms.targets(service, declaration));
  }
}

void RoutingFeed::set_services() {
  const auto& declaration = m_context.global.declaration();
  std::vector<routing::ServiceConfig> services;
  for (const auto& service : declaration.services()) {
    services.push_back(service_config(service));
  }
  std::vector<routing::TeamConfig> teams;
  for (const auto& team : declaration.teams()) {
    teams.push_back({team.name(), or_default(team.request_weight(), std::uint32_t{1})});
  }
  m_context.environment.routing.set_services(services, teams);
}

std::vector<proto::peer::ServiceLoad> RoutingFeed::exchange_load(TimePoint now) {
  set_peers(now);
  std::vector<proto::peer::ServiceLoad> loads;
  for (const auto& figures : m_context.environment.routing.figures()) {
    proto::peer::ServiceLoad load;
    load.set_service(figures.service);
    load.set_queued(figures.queued);
    load.set_idle_slots(figures.idle_slots);
    load.set_in_flight(figures.in_flight);
    load.set_queue_delay_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(figures.queue_delay).count()));
    loads.push_back(std::move(load));
  }
  return loads;
}

void RoutingFeed::set_peers(TimePoint now) {
  const auto live = m_context.membership.live(now);
  for (const auto& service : m_context.global.declaration().services()) {
    std::vector<routing::PeerInfo> own;
    std::vector<routing::PeerInfo> others;
    for (const auto& member : live) {
      auto& list = member.domain == m_context.options.domain ? own : others;
      list.push_back(peer_info(member, service.name()));
    }
    m_context.environment.routing.set_peers(service.name(), own, others);
  }
}

routing::PeerInfo RoutingFeed::peer_info(const peer::Member& member,
                                         const std::string& service) const {
  routing::PeerInfo info;
  info.daemon = member.daemon;
  info.domain = member.domain;
  info.caller_address = member.caller_address;
  info.round_trip = member.round_trip;
  for (const auto& load : member.loads) {
    if (load.service() == service) {
      info.idle_slots = load.idle_slots();
      info.queue_delay = std::chrono::milliseconds{load.queue_delay_ms()};
    }
  }
  return info;
}

}  // namespace arbutusdale::control
