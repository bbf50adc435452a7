// Adapter between the key table, the peers and the shard terms.
#include "key_service.hpp"

#include <algorithm>

namespace arbutusdale::control {
namespace {

// Retention of keys plus the largest clock difference between VMs that is tolerated.
constexpr std::uint64_t k_keys_possible_after_end_ms = 1'200'000;

}  // namespace

KeyService::KeyService(const Context& context) : m_context(context) {
  routing::KeyOptions options;
  options.daemon = m_context.options.daemon;
  options.domain = m_context.options.domain;
  options.incarnation = m_context.incarnation;
  m_table = routing::make_key_table(
      options, [this](const std::string& daemon, proto::peer::PeerMessage message) {
        send(daemon, std::move(message));
      });
}

void KeyService::send(const std::string& daemon, proto::peer::PeerMessage message) {
  message.set_from(m_context.options.daemon);
  message.set_incarnation(m_context.incarnation);
  for (const auto& member : m_context.membership.known()) {
    if (member.daemon == daemon) {
      m_context.environment.peers.send(member.peer_address, message);
      return;
    }
  }
}

void KeyService::tick(TimePoint now, std::uint32_t shards) {
  m_table->set_live_daemons(other_live_daemons());
  refresh_shards(now, shards);
  m_table->tick(now);
}

/// Derived from the stream and not from heartbeats: an owner that receives no heartbeats must not
/// conclude that it is the only live daemon.
std::vector<std::string> KeyService::other_live_daemons() const {
  std::vector<std::string> daemons;
  for (const auto& entry : m_context.domain.incarnations()) {
    if (entry.ended_offset() == 0 && entry.daemon() != m_context.options.daemon) {
      daemons.push_back(entry.daemon());
    }
  }
  return daemons;
}

void KeyService::refresh_shards(TimePoint now, std::uint32_t shards) {
  std::vector<std::pair<std::string, std::uint64_t>> current;
  std::vector<routing::KeyTable::ShardOwner> views;
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    const auto owner = m_context.domain.shard(shard);
    const auto daemon = owner.owned ? owner.daemon : std::string{};
    current.emplace_back(daemon, owner.term);
    views.push_back({daemon, owner.term});
  }
  // Each read of the stream confirms that the terms are current.
  const auto& stats = m_context.domain_stream.stats();
  if (stats.bytes_read != m_bytes_read || current != m_shard_view) {
    m_bytes_read = stats.bytes_read;
    m_shard_view = std::move(current);
    m_table->set_shard_owners(views, now);
  }
}

void KeyService::receive(const proto::peer::PeerMessage& message, TimePoint now) {
  m_table->receive(message, now);
}

bool KeyService::may_hold_keys(const proto::state::IncarnationEntry& entry,
                               std::uint64_t previous_term) const {
  if (entry.ended_offset() == 0) {
    return true;
  }
  // A daemon that stopped gracefully has handed over its keys to its peers.
  if (entry.left() || entry.ended_offset() < previous_term) {
    return false;
  }
  return m_context.environment.clock.wall_ms() < entry.ended_at_ms() + k_keys_possible_after_end_ms;
}

void KeyService::begin_term(std::uint32_t shard, std::uint64_t term, std::uint64_t previous_term,
                            TimePoint now) {
  std::vector<routing::PriorIncarnation> witnesses;
  if (previous_term != 0) {
    for (const auto& entry : m_context.domain.incarnations()) {
      const bool self = entry.daemon() == m_context.options.daemon &&
                        entry.incarnation() == m_context.incarnation;
      if (self || !may_hold_keys(entry, previous_term)) {
        continue;
      }
      routing::PriorIncarnation witness;
      witness.daemon = entry.daemon();
      witness.incarnation = entry.incarnation();
      witness.alive = entry.ended_offset() == 0;
      witnesses.push_back(std::move(witness));
    }
  }
  m_table->begin_term(shard, term, witnesses, now);
}

}  // namespace arbutusdale::control
