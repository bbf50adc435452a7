// Passes the configuration, the VM list and the peers' load on to the router.
#pragma once

#include <map>
#include <string>

#include "context.hpp"
#include "vm_view.hpp"

namespace arbutusdale::control {

/// Updates a RoutingSink. Services and targets are sent by `refresh`, peers by `exchange_load`.
class RoutingFeed {
 public:
  RoutingFeed(const Context& context, const VmView& vms) : m_context(context), m_vms(vms) {}

  /// Sends services and targets; called when the configuration or the VM list has changed.
  void refresh();
  /// Sends the peers' load to the router and returns this daemon's load for its heartbeats.
  std::vector<proto::peer::ServiceLoad> exchange_load(TimePoint now);

 private:
  void set_services();
  void set_peers(TimePoint now);
  [[nodiscard]] routing::PeerInfo peer_info(const peer::Member& member,
                                            const std::string& service) const;

  Context m_context;
  const VmView& m_vms;
};

}  // namespace arbutusdale::control
