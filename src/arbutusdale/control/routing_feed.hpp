// Tells the router what the configuration, the VM list and the peers say.
#pragma once

#include <map>
#include <string>

#include "context.hpp"
#include "vm_view.hpp"

namespace arbutusdale::control {

/// Feeds a RoutingSink; sends services and targets only when they have changed.
class RoutingFeed {
 public:
  RoutingFeed(const Context& context, const VmView& vms) : m_context(context), m_vms(vms) {}

  /// The configuration or the VM list has changed.
  void refresh();
  /// Refreshes the peers' load and returns this daemon's own for its heartbeats.
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
