// State shared by the components of a node.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/peer/peer.hpp"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/stream.hpp"

#include <cstdint>
#include <string>

namespace arbutusdale::control {

/// References to the node's components; valid for the lifetime of the node.
struct Context {
  const NodeOptions& options;
  const NodeEnvironment& environment;
  state::GlobalState& global;
  state::DomainState& domain;
  state::Stream& global_stream;
  state::Stream& domain_stream;
  peer::Membership& membership;
  std::uint64_t& incarnation;  // current one; increases when it was ended and the node rejoins
};

/// True when this daemon may propose to the stream: it is caught up, the log is reachable, there is
/// no gap, and the stream has not stopped.
inline bool can_propose(const state::StreamStats& stats) {
  return stats.caught_up && stats.log_reachable && !stats.gap && stats.stopped_reason.empty();
}

/// Ids of the live daemons of this failure domain, including this one, sorted.
std::vector<std::string> live_in_domain(const Context& context, TimePoint now);

}  // namespace arbutusdale::control
