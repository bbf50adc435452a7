// Glue between the key table, the peers and the shard terms.
#include "key_service.hpp"

#include <algorithm>

namespace arbutusdale::control {
namespace {

// Retention of keys plus the largest clock difference between VMs that is tolerated.
constexpr std::uint64_t k_doubt_after_end_ms = 20 * 60 * 1'000;

}  // namespace

KeyService::KeyService(Context context) : m_context(std::move(context)) {
  routing::KeyOptions options;
  options.daemon = m_context.options.daemon;
  options.domain = m_context.options.domain;
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
  m_table->set_live(live_in_domain(m_context, now));
  refresh_shards(now, shards);
  m_table->tick(now);
}

void KeyService::refresh_shards(TimePoint now, std::uint32_t shards) {
  std::vector<std::pair<std::string, std::uint64_t>> current;
  std::vector<routing::KeyTable::ShardView> views;
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    const auto owner = m_context.domain.shard(shard);
    const auto daemon = owner.owned ? owner.daemon : std::string{};
    current.emplace_back(daemon, owner.term);
    views.push_back({daemon, owner.term});
  }
  if (current != m_shard_view) {
    m_shard_view = std::move(current);
    m_table->set_shards(views, now);
  }
}

void KeyService::receive(const proto::peer::PeerMessage& message, TimePoint now) {
  m_table->receive(message, now);
}

void KeyService::incarnation_ended(const proto::state::IncarnationEnded& ended,
                                   std::uint64_t written_at_ms) {
  // A daemon that left gracefully has handed its keys to its peers.
  if (ended.reason() != "left") {
    m_ended_ms[{ended.daemon(), ended.incarnation()}] = written_at_ms;
  }
}

bool KeyService::may_hold_keys(const proto::state::IncarnationEntry& entry,
                               std::uint64_t previous_term) const {
  if (entry.ended_offset() == 0) {
    return true;
  }
  const auto ended = m_ended_ms.find({entry.daemon(), entry.incarnation()});
  if (ended == m_ended_ms.end() || entry.ended_offset() < previous_term) {
    return false;
  }
  return m_context.environment.clock.wall_ms() < ended->second + k_doubt_after_end_ms;
}

void KeyService::begin_term(std::uint32_t shard, std::uint64_t term, std::uint64_t previous_term,
                            TimePoint now) {
  std::vector<routing::TermWitness> witnesses;
  if (previous_term != 0) {
    for (const auto& entry : m_context.domain.incarnations()) {
      const bool self = entry.daemon() == m_context.options.daemon &&
                        entry.incarnation() == m_context.incarnation;
      if (self || !may_hold_keys(entry, previous_term)) {
        continue;
      }
      witnesses.push_back({entry.daemon(), {}, entry.ended_offset() == 0});
    }
  }
  m_table->begin_term(shard, term, witnesses, now);
}

}  // namespace arbutusdale::control
