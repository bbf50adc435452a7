// Heartbeat-based membership.
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/peer/peer.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "contacts.hpp"
#include "tables.hpp"

namespace arbutusdale::peer {
namespace {

using proto::peer::Heartbeat;
using proto::peer::PeerMessage;

constexpr std::size_t k_max_members = 1'024;
// Links requested by other daemons. Those beyond the limit get no heartbeats in return and select
// other daemons.
constexpr std::size_t k_max_reciprocal_links = 16;
constexpr std::size_t k_versions_per_heartbeat = 4;
constexpr std::size_t k_loads_per_message = 8;
constexpr std::size_t k_max_hints = 8;  // processed per received heartbeat
// Overhead per message on the wire: TCP/IP headers, ZMTP frame and CURVE box.
constexpr std::uint64_t k_overhead_bytes = 80;
// Token bucket for membership traffic, out of the budget of 20 KB/s per daemon; the rest is for
// ZeroMQ's own heartbeats and the calls to the log. Heartbeats are always sent, load deltas only
// while tokens are left, so deltas become less frequent when many services change.
constexpr double k_budget_bytes_per_second = 10'000;
constexpr double k_budget_burst_bytes = 10'000;
// Regions can be partitioned for an hour, and their daemons must still be known afterwards.
constexpr Duration k_expire_after = std::chrono::hours{2};
constexpr Duration k_max_round_trip = std::chrono::seconds{60};
constexpr int k_round_trip_inverse_weight = 8;  // a new sample has a weight of 1/8

std::uint64_t to_us(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

/// A member, and the state needed to reply to its heartbeats.
struct Peer {
  Member member;
  PeerLoads loads;
  std::uint64_t sent_at_us = 0;   // `sent_at_us` of its newest heartbeat
  TimePoint received_at{};        // arrival of that heartbeat
  TimePoint link_requested_at{};  // newest heartbeat that requests heartbeats in return
};

class HeartbeatMembership final : public Membership {
 public:
  HeartbeatMembership(MembershipOptions options, PeerNetwork& network, const Clock& clock);

  void set_self(const SelfReport& report) override;
  void tick(TimePoint now) override;
  void receive(const PeerMessage& message, TimePoint now) override;

  [[nodiscard]] std::vector<Member> live(TimePoint now) const override;
  [[nodiscard]] std::vector<Member> known() const override;
  [[nodiscard]] std::vector<proto::peer::DomainVersion> domain_versions() const override {
    return m_versions.list();
  }
  [[nodiscard]] std::uint64_t highest_version() const override { return m_highest_version; }
  [[nodiscard]] std::uint64_t bytes_sent() const override { return m_bytes_sent; }

 private:
  [[nodiscard]] bool is_live(const Peer& peer, TimePoint now) const;
  [[nodiscard]] static Member to_member(const Peer& peer);
  Peer* resolve_sender(const PeerMessage& message);
  void apply(const Heartbeat& heartbeat, Peer& peer, TimePoint now);
  void update_round_trip(const Heartbeat& heartbeat, Peer& peer, TimePoint now) const;
  void merge_version(const proto::peer::DomainVersion& version);

  void send_heartbeats(TimePoint now);
  [[nodiscard]] PeerMessage make_heartbeat(TimePoint now);
  void send_heartbeat(PeerMessage message, const std::string& address, const Peer* peer, bool link,
                      TimePoint now);
  void add_hint(Heartbeat& heartbeat, const Peer* receiver, TimePoint now);
  void send_loads(TimePoint now);
  void send(const std::string& address, const PeerMessage& message);
  [[nodiscard]] std::vector<std::string> reciprocal_links(const std::set<std::string>& excluded,
                                                          TimePoint now) const;
  [[nodiscard]] const Peer* find_by_address(const std::string& address) const;
  void observe_own_domain(TimePoint now);
  void refill(TimePoint now);
  void expire(TimePoint now);

  MembershipOptions m_options;
  PeerNetwork& m_network;
  const Clock& m_clock;
  Random m_random;
  Contacts m_contacts;
  SelfReport m_self;
  OwnLoads m_own_loads;
  DomainVersions m_versions;
  std::map<std::string, Peer> m_peers;  // by daemon id
  std::uint64_t m_highest_version = 0;
  std::uint64_t m_bytes_sent = 0;
  double m_tokens = k_budget_burst_bytes;
  TimePoint m_refilled_at{};
  TimePoint m_next_heartbeat{};
  TimePoint m_next_load{};
  bool m_heartbeat_requested = true;  // sends a heartbeat on the next tick
};

HeartbeatMembership::HeartbeatMembership(MembershipOptions options, PeerNetwork& network,
                                         const Clock& clock)
    : m_options(std::move(options)),
      m_network(network),
      m_clock(clock),
      m_random(m_options.seed),
      m_contacts(m_options.daemon, m_options.domain, m_options.peer_address,
                 m_options.links_per_domain),
      m_refilled_at(clock.now()) {
  for (const std::string& seed : m_options.seeds) {
    m_contacts.add_seed(seed);
  }
}

void HeartbeatMembership::set_self(const SelfReport& report) {
  // Peers must stop using a leaving daemon at once, and may use a ready one at once.
  m_heartbeat_requested =
      m_heartbeat_requested || report.leaving != m_self.leaving || report.ready != m_self.ready;
  m_self = report;
  m_own_loads.set(report.loads);
  m_highest_version = std::max(m_highest_version, report.config_version);
}

void HeartbeatMembership::tick(TimePoint now) {
  refill(now);
  if (m_heartbeat_requested || now >= m_next_heartbeat) {
    m_heartbeat_requested = false;
    m_next_heartbeat = now + m_options.heartbeat_interval;
    m_next_load = now + m_options.load_interval;
    observe_own_domain(now);
    send_heartbeats(now);
    expire(now);
  } else if (now >= m_next_load && m_own_loads.has_changes()) {
    m_next_load = now + m_options.load_interval;
    send_loads(now);
  }
}

void HeartbeatMembership::refill(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
  m_tokens = std::min(k_budget_burst_bytes, m_tokens + seconds * k_budget_bytes_per_second);
  m_refilled_at = now;
}

void HeartbeatMembership::expire(TimePoint now) {
  m_contacts.expire(now);
  std::erase_if(m_peers, [&](const auto& item) {
    return item.second.member.last_heard + k_expire_after < now;
  });
}

// A version is in force in the domain once every live and ready daemon there has applied it.
void HeartbeatMembership::observe_own_domain(TimePoint now) {
  bool any = m_self.ready;
  std::uint64_t lowest = m_self.config_version;
  for (const auto& [daemon, peer] : m_peers) {
    const Member& member = peer.member;
    if (member.domain == m_options.domain && member.ready && is_live(peer, now)) {
      lowest = any ? std::min(lowest, member.config_version) : member.config_version;
      any = true;
    }
  }
  if (!any) {
    return;
  }
  proto::peer::DomainVersion version;
  version.set_domain(m_options.domain);
  version.set_version(lowest);
  version.set_observed_at_ms(m_clock.wall_ms());
  m_versions.update(version);
}

PeerMessage HeartbeatMembership::make_heartbeat(TimePoint now) {
  PeerMessage message;
  message.set_from(m_options.daemon);
  message.set_incarnation(m_options.incarnation);
  Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_domain(m_options.domain);
  heartbeat.set_peer_address(m_options.peer_address);
  heartbeat.set_caller_address(m_options.caller_address);
  heartbeat.set_config_version(m_self.config_version);
  heartbeat.set_domain_offset(m_self.domain_offset);
  heartbeat.set_leaving(m_self.leaving);
  heartbeat.set_ready(m_self.ready);
  heartbeat.set_sent_at_us(to_us(now));
  for (const auto& load : m_own_loads.take(k_loads_per_message, false)) {
    *heartbeat.add_loads() = load;
  }
  for (const auto& version : m_versions.take(k_versions_per_heartbeat)) {
    *heartbeat.add_domains() = version;
  }
  return message;
}

void HeartbeatMembership::send_heartbeats(TimePoint now) {
  const PeerMessage message = make_heartbeat(now);
  std::set<std::string> addresses;
  std::set<std::string> links;
  for (const Contact* contact : m_contacts.mesh_targets(now)) {
    addresses.insert(contact->address);
  }
  for (const Contact* contact : m_contacts.link_targets(now)) {
    addresses.insert(contact->address);
    links.insert(contact->address);
  }
  for (const std::string& address : reciprocal_links(addresses, now)) {
    addresses.insert(address);
  }
  for (const std::string& address : addresses) {
    send_heartbeat(message, address, find_by_address(address), links.contains(address), now);
  }
}

void HeartbeatMembership::send_heartbeat(PeerMessage message, const std::string& address,
                                         const Peer* peer, bool link, TimePoint now) {
  Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.set_link(link);
  if (peer != nullptr && peer->sent_at_us > 0) {
    heartbeat.set_echo_at_us(peer->sent_at_us);
    heartbeat.set_echo_held_us(static_cast<std::uint64_t>((now - peer->received_at).count()));
  }
  // New daemons need a hint in every heartbeat; for known ones every second is enough on average.
  if (peer == nullptr || random_index(m_random, 2) == 0) {
    add_hint(heartbeat, peer, now);
  }
  send(address, message);
  m_contacts.record_sent(address, now);
}

// Adds a hint about a random live daemon; for a known receiver, half of the hints are about daemons
// of the receiver's own failure domain.
void HeartbeatMembership::add_hint(Heartbeat& heartbeat, const Peer* receiver, TimePoint now) {
  const bool same_domain = receiver != nullptr && random_index(m_random, 2) == 0;
  std::vector<const Peer*> candidates;
  for (const auto& [daemon, peer] : m_peers) {
    if (&peer != receiver && is_live(peer, now) &&
        (!same_domain || peer.member.domain == receiver->member.domain)) {
      candidates.push_back(&peer);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const Member& member = candidates[random_index(m_random, candidates.size())]->member;
  auto* hint = heartbeat.add_hints();
  hint->set_daemon(member.daemon);
  hint->set_domain(member.domain);
  hint->set_peer_address(member.peer_address);
}

// Addresses of peers that recently requested heartbeats and are not in `excluded`.
std::vector<std::string> HeartbeatMembership::reciprocal_links(
    const std::set<std::string>& excluded, TimePoint now) const {
  std::vector<std::string> addresses;
  for (const auto& [daemon, peer] : m_peers) {
    const std::string& address = peer.member.peer_address;
    const bool requested = peer.link_requested_at != TimePoint{} &&
                           peer.link_requested_at + m_options.suspect_after > now;
    if (requested && !excluded.contains(address) && addresses.size() < k_max_reciprocal_links) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

const Peer* HeartbeatMembership::find_by_address(const std::string& address) const {
  for (const auto& [daemon, peer] : m_peers) {
    if (peer.member.peer_address == address) {
      return &peer;
    }
  }
  return nullptr;
}

void HeartbeatMembership::send_loads(TimePoint now) {
  std::vector<const Peer*> receivers;
  for (const auto& [daemon, peer] : m_peers) {
    if (peer.member.domain == m_options.domain && is_live(peer, now)) {
      receivers.push_back(&peer);
    }
  }
  if (receivers.empty() || m_tokens <= 0) {
    return;
  }
  PeerMessage message;
  message.set_from(m_options.daemon);
  message.set_incarnation(m_options.incarnation);
  message.mutable_heartbeat()->set_load_delta(true);
  for (const auto& load : m_own_loads.take(k_loads_per_message, true)) {
    *message.mutable_heartbeat()->add_loads() = load;
  }
  for (const Peer* peer : receivers) {
    send(peer->member.peer_address, message);
  }
}

void HeartbeatMembership::send(const std::string& address, const PeerMessage& message) {
  const std::uint64_t bytes = message.ByteSizeLong() + k_overhead_bytes;
  m_bytes_sent += bytes;
  m_tokens -= static_cast<double>(bytes);
  m_network.send(address, message);
}

// Returns the sender's entry, which is created or reset for a new incarnation. Returns null when
// the message is malformed or from an earlier incarnation, or when no entry can be created for it.
Peer* HeartbeatMembership::resolve_sender(const PeerMessage& message) {
  const Heartbeat& heartbeat = message.heartbeat();
  const bool daemon_mismatch = !heartbeat.daemon().empty() && heartbeat.daemon() != message.from();
  const bool incarnation_mismatch =
      heartbeat.incarnation() != 0 && heartbeat.incarnation() != message.incarnation();
  if (message.from().empty() || message.from() == m_options.daemon || daemon_mismatch ||
      incarnation_mismatch) {
    return nullptr;
  }
  const auto found = m_peers.find(message.from());
  const bool known = found != m_peers.end();
  if (known && message.incarnation() < found->second.member.incarnation) {
    return nullptr;
  }
  if (known && message.incarnation() == found->second.member.incarnation) {
    return &found->second;
  }
  // A load delta lacks the fields needed to create an entry for an unknown incarnation.
  if (heartbeat.load_delta() || (!known && m_peers.size() >= k_max_members)) {
    return nullptr;
  }
  Peer& peer = m_peers[message.from()];
  peer = Peer{};
  peer.member.daemon = message.from();
  peer.member.incarnation = message.incarnation();
  return &peer;
}

void HeartbeatMembership::receive(const PeerMessage& message, TimePoint now) {
  if (!message.has_heartbeat()) {
    return;
  }
  Peer* peer = resolve_sender(message);
  if (peer == nullptr) {
    return;
  }
  const Heartbeat& heartbeat = message.heartbeat();
  peer->loads.update(heartbeat, now);
  peer->member.last_heard = now;
  if (!heartbeat.load_delta()) {
    apply(heartbeat, *peer, now);
  }
}

void HeartbeatMembership::apply(const Heartbeat& heartbeat, Peer& peer, TimePoint now) {
  Member& member = peer.member;
  member.domain = heartbeat.domain();
  member.peer_address = heartbeat.peer_address();
  member.caller_address = heartbeat.caller_address();
  // Delivery is unordered, and both values are monotonic within an incarnation.
  member.config_version = std::max(member.config_version, heartbeat.config_version());
  member.domain_offset = std::max(member.domain_offset, heartbeat.domain_offset());
  // A leaving daemon never returns under the same incarnation.
  member.leaving = member.leaving || heartbeat.leaving();
  member.ready = heartbeat.ready();
  m_highest_version = std::max(m_highest_version, heartbeat.config_version());
  update_round_trip(heartbeat, peer, now);
  if (heartbeat.sent_at_us() > peer.sent_at_us) {
    peer.sent_at_us = heartbeat.sent_at_us();
    peer.received_at = now;
  }
  if (heartbeat.link()) {
    peer.link_requested_at = now;
  }
  m_contacts.record_heartbeat(member.peer_address, member.daemon, member.domain, now);
  for (const auto& version : heartbeat.domains()) {
    merge_version(version);
  }
  for (int i = 0; i < std::min<int>(heartbeat.hints_size(), k_max_hints); ++i) {
    const auto& hint = heartbeat.hints(i);
    if (hint.daemon() != m_options.daemon && !m_peers.contains(hint.daemon())) {
      m_contacts.record_hint(hint.peer_address(), hint.daemon(), hint.domain(), now);
    }
  }
}

void HeartbeatMembership::merge_version(const proto::peer::DomainVersion& version) {
  m_highest_version = std::max(m_highest_version, version.version());
  m_versions.update(version);
}

void HeartbeatMembership::update_round_trip(const Heartbeat& heartbeat, Peer& peer,
                                            TimePoint now) const {
  const std::uint64_t now_us = to_us(now);
  if (heartbeat.echo_at_us() == 0 || heartbeat.echo_at_us() + heartbeat.echo_held_us() > now_us) {
    return;
  }
  const Duration measured{
      static_cast<std::int64_t>(now_us - heartbeat.echo_at_us() - heartbeat.echo_held_us())};
  if (measured > k_max_round_trip) {
    return;
  }
  Duration& smoothed = peer.member.round_trip;
  smoothed = smoothed == Duration{}
                 ? measured
                 : smoothed + (measured - smoothed) / k_round_trip_inverse_weight;
}

bool HeartbeatMembership::is_live(const Peer& peer, TimePoint now) const {
  return !peer.member.leaving && peer.member.last_heard + m_options.suspect_after > now;
}

Member HeartbeatMembership::to_member(const Peer& peer) {
  Member member = peer.member;
  member.loads = peer.loads.list();
  return member;
}

std::vector<Member> HeartbeatMembership::live(TimePoint now) const {
  std::vector<Member> members;
  for (const auto& [daemon, peer] : m_peers) {
    if (is_live(peer, now)) {
      members.push_back(to_member(peer));
    }
  }
  return members;
}

std::vector<Member> HeartbeatMembership::known() const {
  std::vector<Member> members;
  members.reserve(m_peers.size());
  for (const auto& [daemon, peer] : m_peers) {
    members.push_back(to_member(peer));
  }
  return members;
}

}  // namespace

std::unique_ptr<Membership> make_membership(MembershipOptions options, PeerNetwork& network,
                                            const Clock& clock) {
  return std::make_unique<HeartbeatMembership>(std::move(options), network, clock);
}

}  // namespace arbutusdale::peer
