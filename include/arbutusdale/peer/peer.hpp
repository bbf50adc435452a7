// Messages between daemons and the membership built on them.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/peer.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::peer {

/// Sends messages to daemons by address. Delivery is unreliable and unordered.
class PeerNetwork {
 public:
  using Handler = std::function<void(const proto::peer::PeerMessage&)>;

  PeerNetwork() = default;
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;
  virtual ~PeerNetwork() = default;

  /// Sends without blocking; drops the message when the peer's queue is full.
  virtual void send(const std::string& address, const proto::peer::PeerMessage& message) = 0;

  /// Handler of received messages; invoked on the control thread.
  virtual void on_message(Handler handler) = 0;
};

struct MembershipOptions {
  std::string daemon;             // id, stable over restarts
  std::uint64_t incarnation = 0;  // grows with every start
  std::string domain;
  std::string peer_address;        // host:port of our ZeroMQ socket
  std::string caller_address;      // host:port of our HTTP listener
  std::vector<std::string> seeds;  // addresses of other daemons, from the settings
  Duration heartbeat_interval = std::chrono::seconds{1};
  Duration load_interval = std::chrono::milliseconds{100};  // inside the failure domain
  Duration suspect_after = std::chrono::seconds{3};
  std::uint32_t links_per_domain = 2;  // to other failure domains
  std::uint64_t seed = 1;
};

/// A daemon as its heartbeats describe it.
struct Member {
  std::string daemon;
  std::uint64_t incarnation = 0;
  std::string domain;
  std::string peer_address;
  std::string caller_address;
  std::uint64_t config_version = 0;
  std::uint64_t domain_offset = 0;
  std::vector<proto::peer::ServiceLoad> loads;
  bool leaving = false;
  bool ready = false;
  TimePoint last_heard{};
  Duration round_trip{};  // smoothed; zero until measured
};

/// What this daemon tells of itself in its heartbeats.
struct SelfReport {
  std::uint64_t config_version = 0;
  std::uint64_t domain_offset = 0;
  std::vector<proto::peer::ServiceLoad> loads;
  bool leaving = false;
  bool ready = false;
};

/// Membership by heartbeats: full mesh inside the failure domain, few links to other domains.
class Membership {
 public:
  Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;
  virtual ~Membership() = default;

  virtual void set_self(const SelfReport& report) = 0;
  /// Sends heartbeats that are due.
  virtual void tick(TimePoint now) = 0;
  /// Takes a heartbeat; a lower incarnation than the one known is ignored.
  virtual void receive(const proto::peer::PeerMessage& message, TimePoint now) = 0;

  /// Daemons heard of within `suspect_after` and not leaving, without this one, sorted by id.
  [[nodiscard]] virtual std::vector<Member> live(TimePoint now) const = 0;
  /// All daemons known, also silent and leaving ones, without this one, sorted by id.
  [[nodiscard]] virtual std::vector<Member> known() const = 0;
  /// Newest version that each failure domain is known to have in force, sorted by domain.
  [[nodiscard]] virtual std::vector<proto::peer::DomainVersion> domain_versions() const = 0;
  /// Highest configuration version seen in any heartbeat.
  [[nodiscard]] virtual std::uint64_t highest_version() const = 0;
  /// Bytes sent so far, for the budget of 20 KB/s.
  [[nodiscard]] virtual std::uint64_t bytes_sent() const = 0;
};

/// `network` and `clock` must outlive the membership.
std::unique_ptr<Membership> make_membership(MembershipOptions options, PeerNetwork& network,
                                            const Clock& clock);

}  // namespace arbutusdale::peer
