// What the parts of a node share.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/peer/peer.hpp"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/stream.hpp"

#include <cstdint>
#include <string>

namespace arbutusdale::control {

/// References to the node's parts; valid for the node's life.
struct Context {
  const NodeOptions& options;
  const NodeEnvironment& environment;
  state::GlobalState& global;
  state::DomainState& domain;
  state::Stream& global_stream;
  state::Stream& domain_stream;
  peer::Membership& membership;
  std::uint64_t& incarnation;  // current one; grows when it was ended and the node joins again
};

/// True when this daemon may propose to the domain's stream: caught up, reachable, not stopped.
inline bool can_propose(const state::StreamStats& stats) {
  return stats.caught_up && stats.log_reachable && !stats.gap && stats.stopped_reason.empty();
}

/// Live daemons of the own failure domain including this one, sorted by id.
std::vector<std::string> live_in_domain(const Context& context, TimePoint now);

}  // namespace arbutusdale::control
