// ZeroMQ network between daemons: a ROUTER socket for receiving and a DEALER socket per peer for
// sending, encrypted with CURVE. One thread owns all sockets.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/peer/peer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace arbutusdale::peer {

/// Posts a function to the control thread. Must be thread-safe and stay valid until the network
/// stops.
using Executor = std::function<void(std::function<void()>)>;

/// CURVE key pair that all daemons of a fleet share, in Z85 (40 characters each).
struct FleetKeys {
  std::string public_key;
  std::string secret_key;
};

/// Generates a key pair, for settings and tests. Both keys are empty when this fails.
FleetKeys make_fleet_keys();

struct ZmqNetworkOptions {
  std::string listen_address;  // host:port; port 0 selects a free port
  FleetKeys keys;
  int high_water_mark = 1'000;                 // messages per connection
  std::size_t max_message_bytes = 16'777'216;  // snapshots are the largest
  std::size_t max_outbox = 8'192;              // messages queued for the socket thread
  std::size_t max_undelivered = 10'000;        // messages posted and not yet handled
  // How long a message waits for the connection to its peer; an older one would be stale.
  Duration connect_wait = std::chrono::milliseconds{1'000};
  std::size_t max_waiting_per_peer = 64;
  std::size_t max_peers = 1'024;
  Duration idle_peer = std::chrono::minutes{5};  // then its DEALER socket is closed
  // ZeroMQ heartbeats detect dead connections before peers suspect the daemon (3 s).
  Duration heartbeat_interval = std::chrono::milliseconds{1'000};
  Duration heartbeat_timeout = std::chrono::milliseconds{2'000};
  Duration reconnect_interval = std::chrono::milliseconds{100};
  Duration reconnect_max = std::chrono::milliseconds{1'000};
};

struct ZmqNetworkStats {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  // Not sent: peer not connected, its queue or the outbox full, `max_peers` reached, message too
  // large, invalid address, or the network stopped.
  std::uint64_t dropped = 0;
  std::uint64_t malformed = 0;    // received, but not a valid PeerMessage
  std::uint64_t undelivered = 0;  // received and dropped: control thread behind, or no handler
  std::uint64_t rejected = 0;     // connections that did not use the fleet's key
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

class ZmqNetwork : public PeerNetwork {
 public:
  /// Address that the ROUTER socket is bound to, host:port.
  [[nodiscard]] virtual std::string bound_address() const = 0;
  [[nodiscard]] virtual ZmqNetworkStats stats() const = 0;
  /// Closes the sockets and joins the thread; messages not yet sent are dropped.
  virtual void stop() = 0;
};

/// Returns `invalid_argument` for an invalid key and `unavailable` when the address cannot be
/// bound.
Result<std::unique_ptr<ZmqNetwork>> make_zmq_network(ZmqNetworkOptions options, Executor executor);

}  // namespace arbutusdale::peer
