// Spillover: chooses daemons of other failure domains for calls that would wait too long locally.
#pragma once

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::routing {

/// Daemon that a call is forwarded to.
struct SpillTarget {
  std::string daemon;
  std::string address;
};

/// Daemons of other failure domains, with their reported load. Not thread-safe.
class SpillTable {
 public:
  SpillTable(Duration cross_domain_cost, Duration ramp, std::uint64_t seed);

  void set_peers(const std::vector<PeerInfo>& peers, TimePoint now);

  /// Daemon that is expected to serve a call sooner than `local_wait`, or nothing. The call counts
  /// as in flight to it until `release`. `service_time` is the mean latency of a call at a target.
  std::optional<SpillTarget> take(Duration local_wait, Duration service_time,
                                  const std::vector<std::string>& avoid, TimePoint now);
  /// Ends a forwarded call. After a failure the calls to its failure domain restart from none and
  /// ramp up.
  void release(const std::string& daemon, bool failed, TimePoint now);

 private:
  struct Peer {
    PeerInfo info;
    std::uint32_t in_flight = 0;
    bool listed = false;
  };
  struct Domain {
    TimePoint ramp_start{};
    TimePoint last_seen{};
  };

  [[nodiscard]] Duration delay(const Peer& peer, Duration service_time) const;
  [[nodiscard]] double ramp_share(const std::string& domain, TimePoint now) const;

  Duration m_cross_domain_cost;
  Duration m_ramp;
  Random m_random;
  std::unordered_map<std::string, Peer> m_peers;      // by daemon
  std::unordered_map<std::string, Domain> m_domains;  // by name
  std::vector<std::string> m_listed;                  // daemons of the last `set_peers`
};

}  // namespace arbutusdale::routing
