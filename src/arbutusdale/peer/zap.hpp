// Authentication of ZeroMQ connections by the ZAP protocol (ZeroMQ RFC 27).
#pragma once

#include <cstdint>
#include <string>

#include <zmq.hpp>

namespace arbutusdale::peer {

/// Domain by which the ROUTER socket asks for authentication. Must not be empty, since ZeroMQ
/// otherwise admits every CURVE client.
inline constexpr const char* k_zap_domain = "arbutusdale";

/// Admits only connections whose CURVE key is the fleet's public key.
class ZapHandler {
 public:
  /// Binds the handler's socket; must exist before the ROUTER socket is bound.
  ZapHandler(zmq::context_t& context, const std::string& public_key_z85);

  [[nodiscard]] zmq::socket_t& socket() { return m_socket; }
  /// Answers all requests that wait; returns the number of those refused.
  std::uint64_t handle();

 private:
  bool answer();

  zmq::socket_t m_socket;
  std::string m_public_key;  // 32 bytes
};

/// Decodes a Z85 key; empty when it is not one.
std::string decode_key(const std::string& z85);

}  // namespace arbutusdale::peer
