// ZAP handler that checks connections against the fleet's key.
#include "zap.hpp"

#include <algorithm>
#include <array>
#include <vector>

#include <zmq_addon.hpp>

namespace arbutusdale::peer {
namespace {

constexpr std::size_t k_key_bytes = 32;
constexpr std::size_t k_key_z85_chars = 40;

// Frames of a ZAP request: version, request id, domain, address, identity, mechanism, key.
constexpr std::size_t k_request_frames = 7;
constexpr std::size_t k_request_id = 1;
constexpr std::size_t k_domain = 2;
constexpr std::size_t k_mechanism = 5;
constexpr std::size_t k_key = 6;

}  // namespace

std::string decode_key(const std::string& z85) {
  std::array<std::uint8_t, k_key_bytes> key{};
  if (z85.size() != k_key_z85_chars || zmq_z85_decode(key.data(), z85.c_str()) == nullptr) {
    return {};
  }
  return {key.begin(), key.end()};
}

ZapHandler::ZapHandler(zmq::context_t& context, const std::string& public_key_z85)
    : m_socket(context, zmq::socket_type::rep), m_public_key(decode_key(public_key_z85)) {
  m_socket.set(zmq::sockopt::linger, 0);
  m_socket.bind("inproc://zeromq.zap.01");
}

std::uint64_t ZapHandler::handle() {
  std::uint64_t refused = 0;
  while ((m_socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    refused += answer() ? 0 : 1;
  }
  return refused;
}

bool ZapHandler::answer() {
  std::vector<zmq::message_t> request;
  if (!zmq::recv_multipart(m_socket, std::back_inserter(request))) {
    return true;
  }
  const bool complete = request.size() == k_request_frames;
  const bool admitted = complete && request[k_domain].to_string_view() == k_zap_domain &&
                        request[k_mechanism].to_string_view() == "CURVE" &&
                        request[k_key].to_string_view() == m_public_key;
  const std::string id = request.size() > k_request_id ? request[k_request_id].to_string() : "";
  const std::array<std::string, 6> reply{
      "1.0", id, admitted ? "200" : "400", admitted ? "OK" : "not the fleet's public key", "", ""};
  for (std::size_t i = 0; i < reply.size(); ++i) {
    const bool last = i + 1 == reply.size();
    m_socket.send(zmq::buffer(reply[i]), last ? zmq::send_flags::none : zmq::send_flags::sndmore);
  }
  return admitted;
}

}  // namespace arbutusdale::peer
