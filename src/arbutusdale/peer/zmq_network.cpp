// ZeroMQ transport between daemons.
#include "arbutusdale/peer/zmq_network.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "zap.hpp"
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace arbutusdale::peer {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::chrono::milliseconds k_idle_poll{1'000};
constexpr std::chrono::milliseconds k_waiting_poll{20};  // while messages wait for a connection
constexpr int k_messages_per_round = 256;  // received before the other sockets are served

int to_ms(Duration duration) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

struct Outgoing {
  std::string address;
  std::string payload;
};

struct Waiting {
  SteadyTime since;
  std::string payload;
};

/// DEALER socket to one peer, and the messages queued until it can send.
struct PeerSocket {
  zmq::socket_t socket;
  std::deque<Waiting> waiting;
  SteadyTime used_at;
};

class ZmqNetworkImpl final : public ZmqNetwork {
 public:
  ZmqNetworkImpl(ZmqNetworkOptions options, Executor executor);
  ~ZmqNetworkImpl() override;

  void send(const std::string& address, const proto::peer::PeerMessage& message) override;
  void on_message(Handler handler) override;
  [[nodiscard]] std::string bound_address() const override { return m_bound_address; }
  [[nodiscard]] ZmqNetworkStats stats() const override;
  void stop() override;

 private:
  void bind();
  void run();
  void send_outbox();
  PeerSocket* peer_socket(const std::string& address, SteadyTime now);
  zmq::socket_t connect(const std::string& address);
  bool try_send(PeerSocket& peer, const std::string& payload);
  void send_waiting(SteadyTime now);
  void close_idle(SteadyTime now);
  void receive();
  void deliver(const zmq::message_t& payload);
  void count(std::uint64_t ZmqNetworkStats::*counter, std::uint64_t amount = 1);

  ZmqNetworkOptions m_options;
  Executor m_executor;
  std::string m_bound_address;

  // Used by the constructor, then only by the socket thread.
  zmq::context_t m_context;
  ZapHandler m_zap;
  zmq::socket_t m_router;
  std::map<std::string, PeerSocket> m_peers;  // by address
  bool m_any_waiting = false;

  int m_wakeup = -1;
  // Messages posted to the control thread and not yet handled. Shared with the posted functions,
  // which may outlive this object.
  std::shared_ptr<std::atomic<std::size_t>> m_in_delivery;

  mutable std::mutex m_mutex;  // guards the members below
  std::deque<Outgoing> m_outbox;
  std::shared_ptr<Handler> m_handler;
  ZmqNetworkStats m_stats;
  bool m_stopping = false;

  std::thread m_thread;
};

ZmqNetworkImpl::ZmqNetworkImpl(ZmqNetworkOptions options, Executor executor)
    : m_options(std::move(options)),
      m_executor(std::move(executor)),
      m_zap(m_context, m_options.keys.public_key),
      m_router(m_context, zmq::socket_type::router),
      m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      m_in_delivery(std::make_shared<std::atomic<std::size_t>>(0)) {
  try {
    bind();
  } catch (const zmq::error_t&) {
    close(m_wakeup);  // the destructor does not run when the constructor throws
    throw;
  }
  m_thread = std::thread([this] { run(); });
}

ZmqNetworkImpl::~ZmqNetworkImpl() {
  ZmqNetworkImpl::stop();
  close(m_wakeup);
}

void ZmqNetworkImpl::bind() {
  m_router.set(zmq::sockopt::linger, 0);
  m_router.set(zmq::sockopt::rcvhwm, m_options.high_water_mark);
  m_router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(m_options.max_message_bytes));
  m_router.set(zmq::sockopt::curve_server, true);
  m_router.set(zmq::sockopt::curve_secretkey, m_options.keys.secret_key);
  m_router.set(zmq::sockopt::zap_domain, k_zap_domain);
  m_router.bind("tcp://" + m_options.listen_address);
  const std::string endpoint = m_router.get(zmq::sockopt::last_endpoint);
  m_bound_address = endpoint.substr(std::string("tcp://").size());
}

void ZmqNetworkImpl::send(const std::string& address, const proto::peer::PeerMessage& message) {
  std::string payload = message.SerializeAsString();
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping || m_outbox.size() >= m_options.max_outbox ||
        payload.size() > m_options.max_message_bytes) {
      ++m_stats.dropped;
      return;
    }
    m_outbox.push_back({address, std::move(payload)});
  }
  eventfd_write(m_wakeup, 1);
}

void ZmqNetworkImpl::on_message(Handler handler) {
  const std::lock_guard lock(m_mutex);
  m_handler = std::make_shared<Handler>(std::move(handler));
}

ZmqNetworkStats ZmqNetworkImpl::stats() const {
  const std::lock_guard lock(m_mutex);
  return m_stats;
}

void ZmqNetworkImpl::count(std::uint64_t ZmqNetworkStats::*counter, std::uint64_t amount) {
  const std::lock_guard lock(m_mutex);
  m_stats.*counter += amount;
}

void ZmqNetworkImpl::stop() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  eventfd_write(m_wakeup, 1);
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void ZmqNetworkImpl::run() {
  while (true) {
    std::array<zmq::pollitem_t, 3> items{{{m_router.handle(), 0, ZMQ_POLLIN, 0},
                                          {m_zap.socket().handle(), 0, ZMQ_POLLIN, 0},
                                          {nullptr, m_wakeup, ZMQ_POLLIN, 0}}};
    zmq::poll(items, m_any_waiting ? k_waiting_poll : k_idle_poll);
    eventfd_t ignored = 0;
    eventfd_read(m_wakeup, &ignored);
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopping) {
        break;
      }
    }
    count(&ZmqNetworkStats::rejected, m_zap.handle());
    receive();
    send_outbox();
    const auto now = std::chrono::steady_clock::now();
    send_waiting(now);
    close_idle(now);
  }
  m_peers.clear();
  m_router.close();
}

void ZmqNetworkImpl::send_outbox() {
  std::deque<Outgoing> outbox;
  {
    const std::lock_guard lock(m_mutex);
    outbox.swap(m_outbox);
  }
  const auto now = std::chrono::steady_clock::now();
  for (Outgoing& outgoing : outbox) {
    PeerSocket* peer = peer_socket(outgoing.address, now);
    if (peer == nullptr) {
      count(&ZmqNetworkStats::dropped);
      continue;
    }
    peer->used_at = now;
    if (peer->waiting.empty() && try_send(*peer, outgoing.payload)) {
      continue;
    }
    if (peer->waiting.size() >= m_options.max_waiting_per_peer) {
      count(&ZmqNetworkStats::dropped);
      continue;
    }
    peer->waiting.push_back({now, std::move(outgoing.payload)});
  }
}

// Returns null for an invalid address or when `max_peers` is reached.
PeerSocket* ZmqNetworkImpl::peer_socket(const std::string& address, SteadyTime now) {
  const auto found = m_peers.find(address);
  if (found != m_peers.end()) {
    return &found->second;
  }
  if (m_peers.size() >= m_options.max_peers) {
    return nullptr;
  }
  try {
    return &m_peers.emplace(address, PeerSocket{connect(address), {}, now}).first->second;
  } catch (const zmq::error_t&) {
    return nullptr;
  }
}

zmq::socket_t ZmqNetworkImpl::connect(const std::string& address) {
  zmq::socket_t socket(m_context, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, m_options.high_water_mark);
  // Queues messages for a disconnected peer in `PeerSocket::waiting`, where their age is bounded.
  // The socket's own queue would deliver them however old they are.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(m_options.max_message_bytes));
  socket.set(zmq::sockopt::reconnect_ivl, to_ms(m_options.reconnect_interval));
  socket.set(zmq::sockopt::reconnect_ivl_max, to_ms(m_options.reconnect_max));
  socket.set(zmq::sockopt::connect_timeout, to_ms(m_options.heartbeat_timeout));
  socket.set(zmq::sockopt::heartbeat_ivl, to_ms(m_options.heartbeat_interval));
  socket.set(zmq::sockopt::heartbeat_timeout, to_ms(m_options.heartbeat_timeout));
  socket.set(zmq::sockopt::curve_serverkey, m_options.keys.public_key);
  socket.set(zmq::sockopt::curve_publickey, m_options.keys.public_key);
  socket.set(zmq::sockopt::curve_secretkey, m_options.keys.secret_key);
  socket.connect("tcp://" + address);
  return socket;
}

bool ZmqNetworkImpl::try_send(PeerSocket& peer, const std::string& payload) {
  if (!peer.socket.send(zmq::buffer(payload), zmq::send_flags::dontwait)) {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  ++m_stats.sent;
  m_stats.bytes_sent += payload.size();
  return true;
}

void ZmqNetworkImpl::send_waiting(SteadyTime now) {
  m_any_waiting = false;
  for (auto& [address, peer] : m_peers) {
    while (!peer.waiting.empty()) {
      if (peer.waiting.front().since + m_options.connect_wait < now) {
        count(&ZmqNetworkStats::dropped);
      } else if (!try_send(peer, peer.waiting.front().payload)) {
        m_any_waiting = true;
        break;
      }
      peer.waiting.pop_front();
    }
  }
}

void ZmqNetworkImpl::close_idle(SteadyTime now) {
  std::erase_if(m_peers,
                [&](const auto& item) { return item.second.used_at + m_options.idle_peer < now; });
}

void ZmqNetworkImpl::receive() {
  for (int i = 0; i < k_messages_per_round; ++i) {
    std::vector<zmq::message_t> frames;
    const auto received =
        zmq::recv_multipart(m_router, std::back_inserter(frames), zmq::recv_flags::dontwait);
    if (!received) {
      return;
    }
    // The first frame is the connection's routing id; a valid message has exactly one more frame.
    if (frames.size() == 2) {
      deliver(frames[1]);
    } else {
      count(&ZmqNetworkStats::malformed);
    }
  }
}

void ZmqNetworkImpl::deliver(const zmq::message_t& payload) {
  auto message = std::make_shared<proto::peer::PeerMessage>();
  const bool parsed = message->ParseFromArray(payload.data(), static_cast<int>(payload.size()));
  if (!parsed || message->from().empty() ||
      message->body_case() == proto::peer::PeerMessage::BODY_NOT_SET) {
    count(&ZmqNetworkStats::malformed);
    return;
  }
  std::shared_ptr<Handler> handler;
  {
    const std::lock_guard lock(m_mutex);
    ++m_stats.received;
    m_stats.bytes_received += payload.size();
    handler = m_handler;
  }
  if (handler == nullptr || *m_in_delivery >= m_options.max_undelivered) {
    count(&ZmqNetworkStats::undelivered);
    return;
  }
  ++*m_in_delivery;
  m_executor([handler, message, in_delivery = m_in_delivery] {
    --*in_delivery;
    (*handler)(*message);
  });
}

}  // namespace

FleetKeys make_fleet_keys() {
  constexpr std::size_t k_key_buffer = 41;  // 40 characters and the terminating null
  std::array<char, k_key_buffer> public_key{};
  std::array<char, k_key_buffer> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    return {};
  }
  return {public_key.data(), secret_key.data()};
}

Result<std::unique_ptr<ZmqNetwork>> make_zmq_network(ZmqNetworkOptions options, Executor executor) {
  if (decode_key(options.keys.public_key).empty() || decode_key(options.keys.secret_key).empty()) {
    return not_run(ErrorCode::invalid_argument,
                   "the fleet's public and secret keys must each be 40 valid Z85 characters");
  }
  try {
    return std::unique_ptr<ZmqNetwork>(
        std::make_unique<ZmqNetworkImpl>(std::move(options), std::move(executor)));
  } catch (const zmq::error_t& error) {
    return not_run(ErrorCode::unavailable,
                   std::string("cannot bind the peer socket: ") + error.what());
  }
}

}  // namespace arbutusdale::peer
