// Exchange of keys between tables: queries of a new owner, handover before a graceful stop, and
// registration of keys that were run without a witness.
#include <algorithm>

#include "key_table_impl.hpp"

namespace arbutusdale::routing {
namespace {

constexpr Duration k_resend_interval = std::chrono::milliseconds{200};
constexpr Duration k_list_resend_time = std::chrono::seconds{60};
constexpr Duration k_pledge_interval = std::chrono::seconds{1};
// A daemon that restarts under the same id has lost the pledges it received, so they are repeated.
constexpr Duration k_pledge_repeat_interval = std::chrono::seconds{10};
constexpr std::size_t k_max_registered_per_message = 500;

}  // namespace

void KeyTableImpl::send_queries(std::uint32_t shard) {
  const auto& takeover = m_owned.at(shard);
  for (const auto& daemon : takeover.unanswered()) {
    proto::peer::PeerMessage message;
    auto* query = message.mutable_key_query();
    query->set_request_id(takeover.query_id());
    query->set_shard(shard);
    query->set_below_term(takeover.term());
    send(daemon, std::move(message));
  }
}

void KeyTableImpl::add_handovers(proto::peer::KeyList& list) const {
  for (const auto& [sender, handover] : m_handovers) {
    if (!handover.complete) {
      continue;
    }
    auto* entry = list.add_handed_over();
    entry->set_daemon(sender.first);
    entry->set_incarnation(sender.second);
  }
}

void KeyTableImpl::receive_query(const proto::peer::KeyQuery& query, const std::string& from) {
  auto& min_term_of_shard = m_min_term[query.shard()];
  min_term_of_shard = std::max(min_term_of_shard, query.below_term());
  const std::uint64_t list_id = next_id();
  for (auto& part : m_store.list(query.shard(), static_cast<std::uint32_t>(m_shards.size()))) {
    part.set_request_id(query.request_id());
    part.set_shard(query.shard());
    part.set_incarnation(m_options.incarnation);
    part.set_list_id(list_id);
    for (const auto& [sender, received] : m_pledged) {
      auto* pledged = part.add_pledged();
      pledged->set_daemon(sender.first);
      pledged->set_incarnation(sender.second);
    }
    add_handovers(part);
    proto::peer::PeerMessage message;
    *message.mutable_key_list() = std::move(part);
    send(from, std::move(message));
  }
}

void KeyTableImpl::receive_list(const proto::peer::KeyList& list, const std::string& from,
                                TimePoint now) {
  const bool merged = merge(list, now);
  for (auto& [shard, takeover] : m_owned) {
    if (takeover.query_id() != list.request_id()) {
      continue;
    }
    if (!merged) {
      takeover.record_overflow();
    }
    takeover.record_answer(from, list);
    return;
  }
  if (!merged || list.list_id() == 0) {
    return;  // without an acknowledgement the sender tries another daemon
  }
  if (list.handover()) {
    record_handover_part(list, from, now);
  }
  Reply reply;
  reply.set_request_id(list.request_id());
  reply.set_decision(Reply::RECORDED);
  send_reply(from, std::move(reply));
}

/// Stores the keys of a list; false when a key could not be stored. A key that is registered under
/// a term below the lowest accepted one is stored only by the shard's owner: the other daemons have
/// already answered the owner's query, so the owner would not learn of the key.
bool KeyTableImpl::merge(const proto::peer::KeyList& list, TimePoint now) {
  bool complete = true;
  for (const auto& key : list.keys()) {
    const KeyId id{key.service(), key.key()};
    const std::uint32_t shard = shard_of(id);
    const bool late = !list.handover() && key.term() < min_term(shard) && !m_owned.contains(shard);
    if (late || (m_store.find(id) == nullptr && is_full())) {
      complete = false;
      continue;
    }
    KeyRecord record;
    record.fingerprint = key.fingerprint();
    record.term = key.term();
    record.request_id = key.request_id();
    record.requester = key.entry();
    record.contested = key.request_id() == 0;
    record.done = key.done();
    m_store.add(id, std::move(record), now);
  }
  return complete;
}

void KeyTableImpl::record_handover_part(const proto::peer::KeyList& list, const std::string& from,
                                        TimePoint now) {
  auto& handover = m_handovers[{from, list.incarnation()}];
  handover.last_seen = now;
  handover.parts.insert(list.part());
  handover.complete = handover.complete || handover.parts.size() >= list.parts();
  if (!handover.complete) {
    return;
  }
  complete_handover(from, list.incarnation(), now);
  // The sender's list includes the keys that other daemons handed over to it.
  for (const auto& sender : list.handed_over()) {
    complete_handover(sender.daemon(), sender.incarnation(), now);
  }
}

void KeyTableImpl::complete_handover(const std::string& daemon, std::uint64_t incarnation,
                                     TimePoint now) {
  auto& handover = m_handovers[{daemon, incarnation}];
  handover.complete = true;
  handover.last_seen = now;
  for (auto& [shard, takeover] : m_owned) {
    takeover.record_handover(daemon, incarnation);
  }
}

void KeyTableImpl::hand_over(TimePoint now) {
  detect_pause(now);
  if (m_closing) {
    return;
  }
  m_closing = true;  // from now on no key is granted, accepted or registered
  while (!m_pending.empty()) {
    abandon(m_pending.begin()->first, now);
  }
  const std::uint64_t list_id = next_id();
  for (auto& part : m_store.list_all()) {
    part.set_incarnation(m_options.incarnation);
    part.set_handover(true);
    add_handovers(part);
    part.set_list_id(list_id);
    for (const auto& daemon : m_live) {
      const std::uint64_t id = next_id();
      part.set_request_id(id);
      proto::peer::PeerMessage message;
      *message.mutable_key_list() = part;
      send_until_acknowledged(
          id, Outgoing{std::move(message), daemon, 0, now, now + k_list_resend_time}, now);
    }
  }
}

// Sends the keys that were run without a witness to the live daemons in turn, until one of them has
// stored them. No pledge is sent before that.
void KeyTableImpl::register_unwitnessed(TimePoint now) {
  if (m_unwitnessed.empty() || m_live.empty()) {
    return;
  }
  m_outbox.erase(m_registration_id);
  m_registering_ids.clear();
  const std::uint64_t id = next_id();
  proto::peer::PeerMessage message;
  auto* list = message.mutable_key_list();
  list->set_request_id(id);
  list->set_incarnation(m_options.incarnation);
  list->set_parts(1);
  list->set_list_id(id);
  for (const auto& [request_id, key_id] : m_unwitnessed) {
    if (m_registering_ids.size() >= k_max_registered_per_message) {
      break;
    }
    m_registering_ids.push_back(request_id);
    const auto* known = m_store.find(key_id);
    if (known == nullptr || known->freed) {
      continue;
    }
    auto* key = list->add_keys();
    key->set_service(key_id.service);
    key->set_key(key_id.key);
    key->set_fingerprint(known->fingerprint);
    key->set_term(known->term);
    key->set_request_id(known->request_id);
    key->set_entry(known->requester);
    key->set_done(known->done);
  }
  m_registration_id = id;
  const auto& witness = m_live[id % m_live.size()];
  send_until_acknowledged(
      id, Outgoing{std::move(message), witness, 0, now, now + k_list_resend_time}, now);
}

void KeyTableImpl::send_pledges(TimePoint now) {
  if (now < m_next_pledge || !m_unwitnessed.empty()) {
    return;
  }
  m_next_pledge = now + k_pledge_interval;
  for (const auto& daemon : m_live) {
    const auto acked = m_pledge_acked.find(daemon);
    if (acked != m_pledge_acked.end() && now - acked->second < k_pledge_repeat_interval) {
      continue;
    }
    proto::peer::PeerMessage message;
    message.mutable_key_pledge()->set_acknowledge(false);
    send(daemon, std::move(message));
  }
}

void KeyTableImpl::receive_pledge(const proto::peer::PeerMessage& message, TimePoint now) {
  const auto& from = message.from();
  if (message.key_pledge().acknowledge()) {
    if (is_live(from)) {
      m_pledge_acked[from] = now;
    }
    return;
  }
  m_pledged[{from, message.incarnation()}] = now;
  proto::peer::PeerMessage reply;
  reply.mutable_key_pledge()->set_acknowledge(true);
  send(from, std::move(reply));
}

// Request ids increase with time, so expired keys come first.
void KeyTableImpl::prune_unwitnessed() {
  while (!m_unwitnessed.empty() && !m_store.may_have_run(m_unwitnessed.begin()->second)) {
    m_unwitnessed.erase(m_unwitnessed.begin());
  }
}

void KeyTableImpl::send_until_acknowledged(std::uint64_t id, Outgoing outgoing, TimePoint now) {
  auto& queued = m_outbox[id] = std::move(outgoing);
  transmit(queued, now);
}

void KeyTableImpl::transmit(Outgoing& outgoing, TimePoint now) {
  outgoing.next_send = now + k_resend_interval;
  std::string to = outgoing.to;
  if (to.empty() && outgoing.shard < m_shards.size()) {
    to = m_shards[outgoing.shard].daemon;
  }
  if (!to.empty() && to != m_options.daemon) {
    send(to, outgoing.message);
  }
}

void KeyTableImpl::resend(TimePoint now) {
  std::erase_if(m_outbox, [now](const auto& entry) { return entry.second.until <= now; });
  for (auto& [id, outgoing] : m_outbox) {
    if (outgoing.next_send <= now) {
      transmit(outgoing, now);
    }
  }
}

}  // namespace arbutusdale::routing
