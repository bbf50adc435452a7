// Key table, role of the owner of key shards and of the witness.
#include "key_table_impl.hpp"

namespace arbutusdale::routing {

bool KeyTableImpl::owns(std::uint32_t shard) const {
  const auto owned = m_owned.find(shard);
  return owned != m_owned.end() && owned->second.term() >= min_term(shard) && !m_ownership_stale &&
         !m_closing;
}

std::optional<KeyTableImpl::OwnerDecision> KeyTableImpl::decide_known(
    const KeyRecord& known, std::uint64_t fingerprint, std::uint64_t request_id,
    const std::string& requester) const {
  const bool same_grant = known.request_id == request_id && known.requester == requester;
  if (known.fingerprint != 0 && known.fingerprint != fingerprint) {
    return OwnerDecision{Reply::MISMATCH, {}};
  }
  if (known.done) {
    return OwnerDecision{Reply::DONE, known.answer};
  }
  // The requester asks again only as long as it has not accepted a grant for this request.
  if (same_grant && !known.contested) {
    return OwnerDecision{Reply::RUN, {}};
  }
  const bool running = known.requester == m_options.daemon || is_live(known.requester);
  return OwnerDecision{running ? Reply::IN_PROGRESS : Reply::MAY_HAVE_RUN, {}};
}

// Returns nothing while other daemons have yet to report keys of earlier terms; the requester asks
// again.
std::optional<KeyTableImpl::OwnerDecision> KeyTableImpl::decide(const KeyId& id,
                                                                std::uint64_t fingerprint,
                                                                std::uint64_t request_id,
                                                                const std::string& requester,
                                                                TimePoint now) {
  const auto* known = m_store.find(id);
  if (known != nullptr && !known->freed) {
    return decide_known(*known, fingerprint, request_id, requester);
  }
  if (known != nullptr && known->request_id == request_id) {
    return std::nullopt;  // late copy of a request that its requester has abandoned
  }
  const auto& takeover = m_owned.at(shard_of(id));
  if (!takeover.is_ready(now, m_options.decision_timeout)) {
    return std::nullopt;
  }
  const bool resharded = m_resharded && now - *m_resharded < m_options.retention;
  if (resharded || !takeover.can_grant_unknown_keys(now, m_options.retention)) {
    return OwnerDecision{Reply::MAY_HAVE_RUN, {}};
  }
  // A call that this daemon received has passed this check in `request`, which reserved its place.
  if (requester != m_options.daemon && is_full()) {
    return OwnerDecision{Reply::OVERLOADED, {}};
  }
  KeyRecord record;
  record.fingerprint = fingerprint;
  record.term = takeover.term();
  record.request_id = request_id;
  record.requester = requester;
  m_store.add(id, std::move(record), now);
  return OwnerDecision{Reply::RUN, {}};
}

void KeyTableImpl::receive_forward(const proto::peer::KeyForward& forward, const std::string& from,
                                   TimePoint now) {
  Reply reply;
  reply.set_request_id(forward.request_id());
  reply.set_term(forward.term());
  if (forward.witness_only()) {
    reply.set_decision(register_witness(forward, from, now));
    send_reply(from, std::move(reply));
    return;
  }
  const KeyId id{forward.service(), forward.key()};
  const std::uint32_t shard = shard_of(id);
  if (!owns(shard) || m_owned.at(shard).term() != forward.term() || shard != forward.shard()) {
    reply.set_decision(Reply::NOT_OWNER);
    send_reply(from, std::move(reply));
    return;
  }
  auto decision = decide(id, forward.fingerprint(), forward.request_id(), from, now);
  if (!decision) {
    return;
  }
  reply.set_decision(decision->decision);
  reply.set_stored_answer(std::move(decision->answer));
  send_reply(from, std::move(reply));
}

KeyTableImpl::Reply::Decision KeyTableImpl::register_witness(const proto::peer::KeyForward& forward,
                                                             const std::string& from,
                                                             TimePoint now) {
  const KeyId id{forward.service(), forward.key()};
  const std::uint32_t shard = shard_of(id);
  if (m_closing || shard != forward.shard() || forward.term() < min_term(shard)) {
    return Reply::NOT_OWNER;
  }
  if (m_store.find(id) == nullptr && is_full()) {
    return Reply::OVERLOADED;
  }
  KeyRecord record;
  record.fingerprint = forward.fingerprint();
  record.term = forward.term();
  record.request_id = forward.request_id();
  record.requester = from;
  m_store.add(id, std::move(record), now);
  return Reply::WITNESSED;
}

void KeyTableImpl::receive_done(const proto::peer::KeyDone& done, const std::string& from,
                                TimePoint now) {
  const KeyId id{done.service(), done.key()};
  if (m_store.find(id) != nullptr || !is_full()) {
    m_store.finish(id, done.request_id(), done.not_run(), done.stored_answer(), now);
  }
  if (!owns(shard_of(id))) {
    return;
  }
  Reply reply;
  reply.set_request_id(done.request_id());
  reply.set_decision(Reply::RECORDED);
  reply.set_term(done.term());
  send_reply(from, std::move(reply));
}

}  // namespace arbutusdale::routing
