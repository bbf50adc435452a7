// Tests of the ZeroMQ network over loopback.
#include "arbutusdale/peer/zmq_network.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <zmq.hpp>

using namespace arbutusdale;
using namespace arbutusdale::peer;

namespace {

/// Waits for an event; the limit only ends a test that has failed.
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

  // The network is declared last: it stops before the members that its handler uses.
  std::atomic<std::uint64_t> newest{0};
  std::atomic<int> received{0};
  std::unique_ptr<ZmqNetwork> network;
};

/// DEALER of a program that is not the daemon.
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

std::string valid_message() {
  proto::peer::PeerMessage message;
  message.set_from("intruder");
  message.mutable_heartbeat()->set_config_version(99);
  return message.SerializeAsString();
}

}  // namespace

// Guards against a first message that is lost because the connection is not made yet.
Test(zmq_network, delivers_to_a_new_peer) {
  const FleetKeys keys = make_fleet_keys();
  const Node sender(keys);
  const Node receiver(keys);
  sender.send(receiver.network->bound_address(), 5);
  cr_assert(eventually([&] { return receiver.newest == 5; }));
  cr_assert_eq(receiver.received, 1);
  cr_assert_eq(sender.network->stats().sent, 1U);
}

// Guards against a peer that is heard without the fleet's key, even if it knows the public one.
Test(zmq_network, a_wrong_key_is_not_heard) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  const std::string address = receiver.network->bound_address();
  zmq::context_t context;
  auto intruder = foreign_dealer(context, make_fleet_keys(), keys.public_key, address);
  intruder.send(zmq::buffer(valid_message()), zmq::send_flags::dontwait);
  cr_assert(eventually([&] { return receiver.network->stats().rejected > 0; }));
  const Node other_fleet(make_fleet_keys());
  other_fleet.send(address, 7);
  const Node friendly(keys);
  friendly.send(address, 3);
  cr_assert(eventually([&] { return receiver.received > 0; }));
  cr_assert_eq(receiver.newest, 3U);
  cr_assert_eq(receiver.received, 1);
}

// Guards against unencrypted connections.
Test(zmq_network, a_plain_connection_is_not_heard) {
  const FleetKeys keys = make_fleet_keys();
  const Node receiver(keys);
  zmq::context_t context;
  zmq::socket_t plain(context, zmq::socket_type::dealer);
  plain.set(zmq::sockopt::linger, 0);
  plain.connect("tcp://" + receiver.network->bound_address());
  plain.send(zmq::buffer(valid_message()), zmq::send_flags::dontwait);
  const Node friendly(keys);
  friendly.send(receiver.network->bound_address(), 3);
  cr_assert(eventually([&] { return receiver.received > 0; }));
  cr_assert_eq(receiver.newest, 3U);
  cr_assert_eq(receiver.received, 1);
}

// Guards against malformed messages that reach the handler or end the socket thread.
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

// Guards against a restarted peer that is never reached again, and against old messages that are
// delivered to it long after they were sent.
Test(zmq_network, a_restarted_peer_is_reached_again) {
  const FleetKeys keys = make_fleet_keys();
  const Node sender(keys);
  auto receiver = std::make_unique<Node>(keys);
  const std::string address = receiver->network->bound_address();
  sender.send(address, 1);
  cr_assert(eventually([&] { return receiver->newest == 1; }));
  receiver.reset();
  // The sender notices the end of the connection, and then drops what it cannot send.
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

// Guards against an outbox without bound, against addresses that end the thread, and against a
// stop that hangs on messages for an absent peer.
Test(zmq_network, bounds_what_waits_and_stops) {
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

// Guards against a daemon that starts with unusable keys or on an address in use.
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
