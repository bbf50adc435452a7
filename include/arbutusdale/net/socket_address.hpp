// Socket addresses from "IP:port" or "[IPv6]:port".
#pragma once

#include <optional>
#include <string>

#include <sys/socket.h>

namespace arbutusdale::net {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;
};

/// Nothing when `text` is not such an address.
std::optional<SocketAddress> parse_socket_address(const std::string& text);

}  // namespace arbutusdale::net
