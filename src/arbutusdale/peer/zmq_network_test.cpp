// Tests the ZeroMQ transport over loopback.
#include "arbutusdale/peer/zmq_network.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.hpp>

using namespace arbutusdale;
using namespace arbutusdale::peer;

namespace {

/// Polls until the condition holds. The limit of 20 s is reached only when the test fails.
bool eventually(const std::function<bool()>& condition) {
  constexpr int k_tries = 2'000;
  for (int i = 0; i < k_tries; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return false;
}

struct Node {
  explicit Node(const FleetKeys& keys, const std::string& address = "127.0.0.1:0") {
    ZmqNetworkOptions options;
    options.listen_address = address;
    options.keys = keys;
    network = std::move(
        make_zmq_network(options, [](const std::function<void()>& task) { task(); }).value());
    network->on_message([this](const proto::peer::PeerMessage& message) {
      newest = message.heartbeat().config_version();
      ++received;
    });
  }

  void send(const std::string& address, std::uint64_t version) const {
    proto::peer::PeerMessage message;
    message.set_from("sender");
    message.mutable_heartbeat()->set_config_version(version);
    network->send(address, message);
  }

  // The network is declared last, so that it stops before the members that its handler uses are
  // destroyed.
  std::atomic<std::uint64_t> newest{0};
  std::atomic<int> received{0};
  std::unique_ptr<ZmqNetwork> network;
};

/// DEALER socket of a client that does not use ZmqNetwork.
zmq::socket_t foreign_dealer(zmq::context_t& context, const FleetKeys& own,
                             const std::string& server_key, const std::string& address) {
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::curve_serverkey, server_key);
  socket.set(zmq::sockopt::curve_publickey, own.public_key);
  socket.set(zmq::sockopt::curve_secretkey, own.secret_key);
  socket.connect("tcp://" + address);
  return socket;
}

/// Forwards TCP connections to a port. `freeze` stops forwarding on the connections open at that
/// time but does not close them, as after the loss of a route; later connections work.
class Forwarder {
 public:
  explicit Forwarder(std::uint16_t target) : m_target(target) {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    bind(m_listener, reinterpret_cast<sockaddr*>(&address), length);
    listen(m_listener, 16);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
  }

  ~Forwarder() {
    m_stopping = true;
    m_thread.join();
    close(m_listener);
    for (const Link& link : m_links) {
      close(link.client);
      close(link.server);
    }
  }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  void freeze() { m_freeze = true; }

 private:
  struct Link {
    int client = -1;
    int server = -1;
    bool frozen = false;
  };

  static sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  void run() {
    while (!m_stopping) {
      std::vector<pollfd> ready{{m_listener, POLLIN, 0}};
      for (const Link& link : m_links) {
        ready.push_back({link.frozen ? -1 : link.client, POLLIN, 0});
        ready.push_back({link.frozen ? -1 : link.server, POLLIN, 0});
      }
      poll(ready.data(), ready.size(), 10);
      const bool freezing = m_freeze.exchange(false);
      for (std::size_t i = 0; i < m_links.size(); ++i) {
        Link& link = m_links[i];
        link.frozen = link.frozen || freezing || !copy(ready[1 + 2 * i], link.server) ||
                      !copy(ready[2 + 2 * i], link.client);
      }
      if ((ready[0].revents & POLLIN) != 0) {
        accept_link();
      }
    }
  }

  void accept_link() {
    const sockaddr_in address = loopback(m_target);
    Link link{accept(m_listener, nullptr, nullptr), socket(AF_INET, SOCK_STREAM, 0)};
    connect(link.server, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    m_links.push_back(link);
  }

  static bool copy(const pollfd& from, int to) {
    char buffer[65'536];
    if (from.fd < 0 || from.revents == 0) {
      return true;
    }
    const ssize_t count = recv(from.fd, buffer, sizeof(buffer), 0);
    return count > 0 && ::send(to, buffer, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
  }

  std::uint16_t m_target;
  std::uint16_t m_port = 0;
  int m_listener = -1;
  std::vector<Link> m_links;
  std::atomic<bool> m_freeze{false};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

std::string valid_message() {
  proto::peer::PeerMessage message;
  message.set_from("intruder");
  message.mutable_heartbeat()->set_config_version(99);
  return message.SerializeAsString();
}

}  // namespace

// Guards against losing the first message to a peer because its connection is not established yet.
Test(zmq_network, delivers_to_a_new_peer) {
  const FleetKeys keys = make_fleet_keys();
  const Node sender(keys);
  const Node receiver(keys);
  sender.send(receiver.network->bound_address(), 5);
  cr_assert(eventually([&] { return receiver.newest == 5; }));
  cr_assert_eq(receiver.received, 1);
  cr_assert_eq(sender.network->stats().sent, 1U);
}

// Guards against accepting messages from a client without the fleet's key pair, even if it knows
// the public key.
Test(zmq_network, rejects_a_wrong_key) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  const std::string address = receiver.network->bound_address();
  zmq::context_t context;
  auto intruder = foreign_dealer(context, make_fleet_keys(), keys.public_key, address);
  intruder.send(zmq::buffer(valid_message()), zmq::send_flags::dontwait);
  cr_assert(eventually([&] { return receiver.network->stats().rejected > 0; }));
  const Node other_fleet(make_fleet_keys());
  other_fleet.send(address, 7);
  const Node authorized(keys);
  authorized.send(address, 3);
  cr_assert(eventually([&] { return receiver.received > 0; }));
  cr_assert_eq(receiver.newest, 3U);
  cr_assert_eq(receiver.received, 1);
}

// Guards against accepting messages over unencrypted connections.
Test(zmq_network, rejects_an_unencrypted_connection) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  zmq::context_t context;
  zmq::socket_t plain(context, zmq::socket_type::dealer);
  plain.set(zmq::sockopt::linger, 0);
  plain.connect("tcp://" + receiver.network->bound_address());
  plain.send(zmq::buffer(valid_message()), zmq::send_flags::dontwait);
  const Node authorized(keys);
  authorized.send(receiver.network->bound_address(), 3);
  cr_assert(eventually([&] { return receiver.received > 0; }));
  cr_assert_eq(receiver.newest, 3U);
  cr_assert_eq(receiver.received, 1);
}

// Guards against malformed messages that reach the handler or terminate the socket thread.
Test(zmq_network, malformed_messages_are_counted_and_dropped) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  zmq::context_t context;
  auto dealer = foreign_dealer(context, keys, keys.public_key, receiver.network->bound_address());
  dealer.send(zmq::str_buffer("\xff\xff\xff"), zmq::send_flags::none);
  dealer.send(zmq::message_t(), zmq::send_flags::none);
  dealer.send(zmq::buffer(valid_message()), zmq::send_flags::sndmore);
  dealer.send(zmq::buffer(valid_message()), zmq::send_flags::none);
  cr_assert(eventually([&] { return receiver.network->stats().malformed == 3; }));
  cr_assert_eq(receiver.received, 0);
  dealer.send(zmq::buffer(valid_message()), zmq::send_flags::none);
  cr_assert(eventually([&] { return receiver.received == 1; }));
}

// Guards against a restarted peer that cannot be reached again, and against stale messages
// delivered to it long after they were sent.
Test(zmq_network, a_restarted_peer_is_reached_again) {
  const FleetKeys keys = make_fleet_keys();
  const Node sender(keys);
  auto receiver = std::make_unique<Node>(keys);
  const std::string address = receiver->network->bound_address();
  sender.send(address, 1);
  cr_assert(eventually([&] { return receiver->newest == 1; }));
  receiver.reset();
  // The sender detects the closed connection and then drops the messages that it cannot send.
  cr_assert(eventually([&] {
    sender.send(address, 2);
    return sender.network->stats().dropped > 0;
  }));
  receiver = std::make_unique<Node>(keys, address);
  cr_assert(eventually([&] {
    sender.send(address, 3);
    return receiver->newest == 3;
  }));
}

// Guards against using a dead connection forever: a connection that stays open but delivers nothing
// is detected only by ZeroMQ's heartbeats, without which the sender would never open a new one.
Test(zmq_network, a_silent_connection_is_replaced) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  Forwarder forwarder(port_of(receiver.network->bound_address()));
  const Node sender(keys);
  sender.send(forwarder.address(), 1);
  cr_assert(eventually([&] { return receiver.newest == 1; }));
  forwarder.freeze();
  cr_assert(eventually([&] {
    sender.send(forwarder.address(), 2);
    return receiver.newest == 2;
  }));
}

// Guards against an unbounded queue, against invalid addresses that terminate the socket thread,
// and against a stop that hangs on messages queued for an unreachable peer.
Test(zmq_network, bounds_queued_messages_and_stops) {
  const FleetKeys keys = make_fleet_keys();
  const Node sender(keys);
  sender.send("not an address", 1);
  cr_assert(eventually([&] { return sender.network->stats().dropped == 1; }));
  for (int i = 0; i < 100; ++i) {
    sender.send("127.0.0.1:1", 1);
  }
  cr_assert(eventually([&] { return sender.network->stats().dropped == 101; }));
  sender.network->stop();
  sender.send("127.0.0.1:1", 1);
  cr_assert_eq(sender.network->stats().dropped, 102U);
}

// Guards against a daemon that starts with invalid keys or on an address already in use.
Test(zmq_network, refuses_bad_settings) {
  ZmqNetworkOptions options;
  options.listen_address = "127.0.0.1:0";
  options.keys = {"short", "short"};
  const Executor executor = [](const std::function<void()>& task) { task(); };
  cr_assert(make_zmq_network(options, executor).error().code == ErrorCode::invalid_argument);
  const FleetKeys keys = make_fleet_keys();
  const Node first(keys);
  options.keys = keys;
  options.listen_address = first.network->bound_address();
  cr_assert(make_zmq_network(options, executor).error().code == ErrorCode::unavailable);
}
