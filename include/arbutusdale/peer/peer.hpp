// Message transport between daemons, and the heartbeat membership protocol on top of it.
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

  /// Sets the handler of received messages. It is called on the control thread.
  virtual void on_message(Handler handler) = 0;
};

struct MembershipOptions {
  std::string daemon;             // id, stable across restarts
  std::uint64_t incarnation = 0;  // increases with every start
  std::string domain;
  std::string peer_address;        // host:port of this daemon's ZeroMQ socket
  std::string caller_address;      // host:port of this daemon's HTTP listener
  std::vector<std::string> seeds;  // addresses of other daemons, from the settings
  Duration heartbeat_interval = std::chrono::seconds{1};
  Duration load_interval = std::chrono::milliseconds{100};  // load deltas, own domain only
  Duration suspect_after = std::chrono::seconds{3};
  std::uint32_t links_per_domain = 2;  // to each linked failure domain
  std::uint64_t seed = 1;
};

/// State of a daemon as reported by its heartbeats.
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

/// State that this daemon reports in its heartbeats.
struct SelfReport {
  std::uint64_t config_version = 0;
  std::uint64_t domain_offset = 0;
  std::vector<proto::peer::ServiceLoad> loads;
  bool leaving = false;
  bool ready = false;
};

/// Tracks the daemons of the fleet by heartbeats: a full mesh within the failure domain, and a few
/// links to other failure domains.
class Membership {
 public:
  Membership() = default;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;
  virtual ~Membership() = default;

  virtual void set_self(const SelfReport& report) = 0;
  /// Sends the heartbeats and load deltas that are due, and removes expired daemons.
  virtual void tick(TimePoint now) = 0;
  /// Processes a heartbeat. Ignores other messages, malformed heartbeats and heartbeats of an
  /// earlier incarnation than the known one.
  virtual void receive(const proto::peer::PeerMessage& message, TimePoint now) = 0;

  /// Daemons that sent a heartbeat within `suspect_after` and are not leaving, sorted by id.
  /// Excludes this daemon.
  [[nodiscard]] virtual std::vector<Member> live(TimePoint now) const = 0;
  /// All known daemons, including unresponsive and leaving ones, sorted by id. Excludes this
  /// daemon.
  [[nodiscard]] virtual std::vector<Member> known() const = 0;
  /// Newest configuration version known to be in force in each failure domain, sorted by domain.
  [[nodiscard]] virtual std::vector<proto::peer::DomainVersion> domain_versions() const = 0;
  /// Highest configuration version seen in any heartbeat.
  [[nodiscard]] virtual std::uint64_t highest_version() const = 0;
  /// Bytes sent so far including overhead, to check the budget of 20 KB/s per daemon.
  [[nodiscard]] virtual std::uint64_t bytes_sent() const = 0;
};

/// `network` and `clock` must outlive the membership.
std::unique_ptr<Membership> make_membership(MembershipOptions options, PeerNetwork& network,
                                            const Clock& clock);

}  // namespace arbutusdale::peer
