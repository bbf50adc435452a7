// Which parties reach each other, how long messages take, and how they are lost or repeated.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/random.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace arbutusdale::scenario {

/// State of the network between daemons, platform and workers.
struct Links {
  Duration in_domain = std::chrono::microseconds{300};  // one way
  Duration between_domains = std::chrono::microseconds{3'500};
  Duration to_platform = std::chrono::milliseconds{2};
  Duration to_caller = std::chrono::milliseconds{1};

  bool domains_cut = false;
  std::set<std::string> domains_cut_from_platform;
  std::set<std::string> daemons_cut_from_agents;
  std::set<std::string> daemons_cut_from_peers;
  std::set<std::string> workers_losing_answers;
  bool duplicate_messages = false;
  bool reorder_messages = false;
};

}  // namespace arbutusdale::scenario
