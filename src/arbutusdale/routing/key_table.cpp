// Key table: membership, timers and message dispatch.
#include "arbutusdale/routing/key_table.hpp"

#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/core/hash.hpp"

#include <algorithm>

#include "key_table_impl.hpp"

namespace arbutusdale::routing {
namespace {

constexpr EnumNames<KeyDecision, 6> k_decision_names{{
    {KeyDecision::run, "run"},
    {KeyDecision::in_progress, "in_progress"},
    {KeyDecision::done, "done"},
    {KeyDecision::may_have_run, "may_have_run"},
    {KeyDecision::mismatch, "mismatch"},
    {KeyDecision::overloaded, "overloaded"},
}};

constexpr Duration k_max_pause_without_peers = std::chrono::seconds{3};
constexpr Duration k_exchange_interval = std::chrono::milliseconds{200};

}  // namespace

KeyTableImpl::KeyTableImpl(KeyOptions options, Sink sink)
    : m_options{std::move(options)}, m_sink{std::move(sink)}, m_store{m_options.retention} {}

void KeyTableImpl::set_shard_owners(const std::vector<ShardOwner>& shards, TimePoint now) {
  detect_pause(now);
  if (!m_shards.empty() && m_shards.size() != shards.size()) {
    m_resharded = now;  // keys have moved to owners that have no record of them
  }
  const auto before = std::exchange(m_shards, shards);
  m_live_list_stale = false;
  m_ownership_stale = false;
  std::erase_if(m_owned, [this](const auto& owned) {
    if (owned.first >= m_shards.size()) {
      return true;
    }
    const auto& view = m_shards[owned.first];
    const bool newer = view.term > owned.second.term();
    return newer || (view.term == owned.second.term() && view.daemon != m_options.daemon);
  });
  std::vector<std::uint64_t> moved;
  for (auto& [request_id, pending] : m_pending) {
    pending.shard = shard_of(pending.id);
    const bool known = pending.shard < before.size() && pending.shard < m_shards.size();
    if (!known || before[pending.shard].term != m_shards[pending.shard].term) {
      moved.push_back(request_id);
    }
  }
  for (const auto request_id : moved) {
    if (m_pending.contains(request_id)) {
      ask_owner(request_id, now);
    }
  }
}

void KeyTableImpl::set_live_daemons(const std::vector<std::string>& daemons) {
  m_live.clear();
  std::ranges::copy_if(daemons, std::back_inserter(m_live),
                       [this](const auto& daemon) { return daemon != m_options.daemon; });
  std::erase_if(m_pledge_acked, [this](const auto& acked) { return !is_live(acked.first); });
}

void KeyTableImpl::begin_term(std::uint32_t shard, std::uint64_t term,
                              const std::vector<PriorIncarnation>& previous, TimePoint now) {
  detect_pause(now);
  const auto owned = m_owned.find(shard);
  if (term < min_term(shard) || (owned != m_owned.end() && owned->second.term() >= term)) {
    return;
  }
  m_min_term[shard] = term;
  KeyTakeover takeover{term, next_id(), previous, now};
  for (const auto& [sender, received] : m_pledged) {
    takeover.record_pledge(sender.first, sender.second);
  }
  for (const auto& [sender, handover] : m_handovers) {
    if (handover.complete) {
      takeover.record_handover(sender.first, sender.second);
    }
  }
  m_owned[shard] = std::move(takeover);
  send_queries(shard);
  for (auto& [request_id, pending] : m_pending) {
    pending.next_send = now;
  }
}

void KeyTableImpl::receive(const proto::peer::PeerMessage& message, TimePoint now) {
  detect_pause(now);
  if (message.has_key_forward()) {
    receive_forward(message.key_forward(), message.from(), now);
  } else if (message.has_key_reply()) {
    receive_reply(message.key_reply(), message.from(), now);
  } else if (message.has_key_done()) {
    receive_done(message.key_done(), message.from(), now);
  } else if (message.has_key_query()) {
    receive_query(message.key_query(), message.from());
  } else if (message.has_key_list()) {
    receive_list(message.key_list(), message.from(), now);
  } else if (message.has_key_pledge()) {
    receive_pledge(message, now);
  }
}

void KeyTableImpl::tick(TimePoint now) {
  detect_pause(now);
  m_store.expire(now);
  prune_unwitnessed();
  std::erase_if(m_handovers, [&](const auto& entry) {
    return now - entry.second.last_seen > 2 * m_options.retention;
  });
  std::erase_if(m_pledged,
                [&](const auto& entry) { return now - entry.second > 2 * m_options.retention; });
  expire_pending(now);
  resend(now);
  if (now < m_next_exchange) {
    return;
  }
  m_next_exchange = now + k_exchange_interval;
  for (const auto& [shard, takeover] : m_owned) {
    send_queries(shard);
  }
  register_unwitnessed(now);
  send_pledges(now);
}

// A process that was paused may not know that its term has ended. Within the retention the records
// of the other daemons prevent a second grant. After it, or without other daemons, this daemon has
// to read the stream first.
void KeyTableImpl::detect_pause(TimePoint now) {
  if (m_last_activity != TimePoint{}) {
    const Duration gap = now - m_last_activity;
    m_live_list_stale = m_live_list_stale || gap > k_max_pause_without_peers;
    m_ownership_stale = m_ownership_stale || gap > m_options.retention / 2;
  }
  m_last_activity = std::max(m_last_activity, now);
}

void KeyTableImpl::send(const std::string& daemon, proto::peer::PeerMessage message) {
  message.set_from(m_options.daemon);
  message.set_incarnation(m_options.incarnation);
  m_sink(daemon, std::move(message));
}

void KeyTableImpl::send_reply(const std::string& daemon, Reply reply) {
  proto::peer::PeerMessage message;
  *message.mutable_key_reply() = std::move(reply);
  send(daemon, std::move(message));
}

// Ids of different incarnations differ, so that a reply to an earlier one matches no request.
std::uint64_t KeyTableImpl::next_id() {
  constexpr int k_sequence_bits = 32;
  return (m_options.incarnation << k_sequence_bits) + ++m_last_id;
}

std::uint32_t KeyTableImpl::shard_of(const KeyId& id) const {
  return key_shard(id, static_cast<std::uint32_t>(m_shards.size()));
}

std::uint64_t KeyTableImpl::min_term(std::uint32_t shard) const {
  const auto found = m_min_term.find(shard);
  const std::uint64_t recorded = found == m_min_term.end() ? 0 : found->second;
  return std::max(recorded, shard < m_shards.size() ? m_shards[shard].term : 0);
}

bool KeyTableImpl::is_live(const std::string& daemon) const {
  return std::ranges::find(m_live, daemon) != m_live.end();
}

bool KeyTableImpl::is_full() const {
  return m_store.size() + m_pending.size() >= m_options.max_keys;
}

std::string_view to_string(KeyDecision decision) {
  return enum_name(k_decision_names, decision);
}

std::unique_ptr<KeyTable> make_key_table(KeyOptions options, KeyTable::Sink sink) {
  return std::make_unique<KeyTableImpl>(std::move(options), std::move(sink));
}

std::string home_domain(const std::string& service, const std::string& key,
                        const std::vector<std::string>& domains) {
  auto prefix = key.substr(0, key.find(':'));
  if (prefix.size() < key.size() && std::ranges::find(domains, prefix) != domains.end()) {
    return prefix;
  }
  // Rendezvous hashing, so that a change of the declaration moves as few keys as possible.
  const std::uint64_t hash = hash_of(KeyId{service, key});
  std::string best;
  std::uint64_t best_weight = 0;
  for (const auto& domain : domains) {
    const std::uint64_t weight = stable_hash(domain, hash);
    if (best.empty() || weight > best_weight || (weight == best_weight && domain < best)) {
      best = domain;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace arbutusdale::routing
