// Authentication of ZeroMQ connections by the ZeroMQ Authentication Protocol (ZAP, RFC 27).
#pragma once

#include <cstdint>
#include <string>

#include <zmq.hpp>

namespace arbutusdale::peer {

/// ZAP domain of the ROUTER socket. Must not be empty, since ZeroMQ then admits every CURVE
/// client.
inline constexpr const char* k_zap_domain = "arbutusdale";

/// Accepts only connections whose CURVE key is the fleet's public key.
class ZapHandler {
 public:
  /// Binds the handler's socket. Must be constructed before the ROUTER socket is bound.
  ZapHandler(zmq::context_t& context, const std::string& public_key_z85);

  [[nodiscard]] zmq::socket_t& socket() { return m_socket; }
  /// Answers all pending requests without blocking. Returns the number of rejected connections.
  std::uint64_t handle();

 private:
  /// Answers one request; returns whether the connection is accepted.
  bool answer();

  zmq::socket_t m_socket;
  std::string m_public_key;  // 32 bytes
};

/// Decodes a key from 40 characters of Z85 to 32 bytes. Returns an empty string when it is invalid.
std::string decode_key(const std::string& z85);

}  // namespace arbutusdale::peer
