// Parser of socket addresses.
#include "arbutusdale/net/socket_address.hpp"

#include <charconv>
#include <cstdint>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace arbutusdale::net {
namespace {

std::optional<std::uint16_t> parse_port(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(port) : std::nullopt;
}

}  // namespace

std::optional<SocketAddress> parse_socket_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  const auto port = parse_port(std::string_view(text).substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(*port);
    address.size = sizeof(sockaddr_in);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(*port);
    address.size = sizeof(sockaddr_in6);
    return address;
  }
  return std::nullopt;
}

}  // namespace arbutusdale::net
