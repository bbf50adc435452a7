// Key table, role of the requester: asks the owner for a grant and reports the outcome.
#include "arbutusdale/core/hash.hpp"

#include <algorithm>

#include "key_table_impl.hpp"

namespace arbutusdale::routing {
namespace {

constexpr Duration k_resend_interval = std::chrono::milliseconds{200};
constexpr Duration k_outcome_resend_time = std::chrono::seconds{60};

KeyDecision decision_of(proto::peer::KeyReply::Decision decision) {
  switch (decision) {
    case proto::peer::KeyReply::IN_PROGRESS:
      return KeyDecision::in_progress;
    case proto::peer::KeyReply::DONE:
      return KeyDecision::done;
    case proto::peer::KeyReply::MISMATCH:
      return KeyDecision::mismatch;
    case proto::peer::KeyReply::OVERLOADED:
      return KeyDecision::overloaded;
    default:
      return KeyDecision::may_have_run;
  }
}

proto::peer::PeerMessage forward_message(const KeyId& id, std::uint64_t fingerprint,
                                         std::uint64_t request_id, std::uint32_t shard,
                                         std::uint64_t term) {
  proto::peer::PeerMessage message;
  auto* forward = message.mutable_key_forward();
  forward->set_request_id(request_id);
  forward->set_service(id.service);
  forward->set_key(id.key);
  forward->set_fingerprint(fingerprint);
  forward->set_shard(shard);
  forward->set_term(term);
  return message;
}

}  // namespace

void KeyTableImpl::request(const KeyedCall& call, TimePoint now, DecisionCallback on_decision) {
  detect_pause(now);
  if (m_closing || is_full()) {
    on_decision(KeyResult{m_closing ? KeyDecision::may_have_run : KeyDecision::overloaded, {}});
    return;
  }
  const std::uint64_t request_id = next_id();
  auto& pending = m_pending[request_id];
  pending.id = KeyId{call.service, call.key};
  pending.fingerprint = call.fingerprint;
  pending.on_decision = std::move(on_decision);
  pending.shard = shard_of(pending.id);
  pending.started = now;
  ask_owner(request_id, now);
}

/// Sends the request to the current owner, for the first time or again.
void KeyTableImpl::ask_owner(std::uint64_t request_id, TimePoint now) {
  auto& pending = m_pending.at(request_id);
  pending.next_send = now + k_resend_interval;
  if (owns(pending.shard)) {
    decide_as_owner(request_id, now);
    return;
  }
  if (pending.shard >= m_shards.size()) {
    return;
  }
  const auto& view = m_shards[pending.shard];
  if (view.daemon.empty() || view.daemon == m_options.daemon ||
      view.term < min_term(pending.shard)) {
    return;
  }
  pending.asked_in_other_term =
      pending.asked_in_other_term || (pending.term != 0 && pending.term != view.term);
  pending.awaiting_witness = false;
  pending.term = view.term;
  send(view.daemon,
       forward_message(pending.id, pending.fingerprint, request_id, pending.shard, pending.term));
}

void KeyTableImpl::decide_as_owner(std::uint64_t request_id, TimePoint now) {
  auto& pending = m_pending.at(request_id);
  const auto decision = decide(pending.id, pending.fingerprint, request_id, m_options.daemon, now);
  if (!decision) {
    return;
  }
  if (decision->decision != Reply::RUN) {
    Reply reply;
    reply.set_decision(decision->decision);
    reply.set_stored_answer(decision->answer);
    refuse(request_id, reply, now);
    return;
  }
  const std::uint64_t term = m_owned.at(pending.shard).term();
  pending.asked_in_other_term =
      pending.asked_in_other_term || (pending.term != 0 && pending.term != term);
  pending.term = term;
  pending.awaiting_witness = true;
  if (!m_live.empty()) {
    ask_witness(request_id, pending);
    return;
  }
  if (m_live_list_stale) {
    return;
  }
  m_unwitnessed[request_id] = pending.id;
  accept_grant(request_id, now);
}

/// Asks the live daemons in turn, starting with one that depends on the key.
void KeyTableImpl::ask_witness(std::uint64_t request_id, Pending& pending) {
  const std::uint64_t start = hash_of(pending.id);
  const auto& witness = m_live[(start + pending.witness_requests++) % m_live.size()];
  auto* known = m_store.find(pending.id);
  if (known != nullptr && std::ranges::find(known->witnesses, witness) == known->witnesses.end()) {
    known->witnesses.push_back(witness);
  }
  auto message =
      forward_message(pending.id, pending.fingerprint, request_id, pending.shard, pending.term);
  message.mutable_key_forward()->set_witness_only(true);
  send(witness, std::move(message));
}

void KeyTableImpl::record_acknowledged(std::uint64_t request_id, const std::string& from) {
  const auto sent = m_outbox.find(request_id);
  if (sent == m_outbox.end() || (!sent->second.to.empty() && sent->second.to != from)) {
    return;
  }
  m_outbox.erase(sent);
  if (request_id != m_registration_id) {
    return;
  }
  for (const auto registered : m_registering_ids) {
    m_unwitnessed.erase(registered);
  }
  m_registration_id = 0;
}

void KeyTableImpl::receive_reply(const Reply& reply, const std::string& from, TimePoint now) {
  if (reply.decision() == Reply::RECORDED) {
    record_acknowledged(reply.request_id(), from);
    return;
  }
  const auto found = m_pending.find(reply.request_id());
  if (found == m_pending.end() || reply.decision() == Reply::NOT_OWNER) {
    return;  // already decided, or resent after the interval
  }
  const auto& pending = found->second;
  const bool current = reply.term() == pending.term && reply.term() >= min_term(pending.shard);
  const bool grants = reply.decision() == Reply::RUN || reply.decision() == Reply::WITNESSED;
  if (!grants) {
    if (!pending.awaiting_witness) {
      refuse(reply.request_id(), reply, now);
    }
    return;
  }
  const bool by_witness = reply.decision() == Reply::WITNESSED;
  if (!current || by_witness != pending.awaiting_witness || (by_witness && !owns(pending.shard))) {
    return;
  }
  accept_grant(reply.request_id(), now);
}

/// Accepts a grant, unless this daemon knows that the key may have run.
void KeyTableImpl::accept_grant(std::uint64_t request_id, TimePoint now) {
  const auto& pending = m_pending.at(request_id);
  const auto* known = m_store.find(pending.id);
  const bool same_grant = known != nullptr && known->request_id == request_id && !known->contested;
  // A freed record of this grant can only result from a fault; the call must not run then.
  const bool other_grant = known != nullptr && !known->freed && !same_grant;
  if (other_grant || (same_grant && known->freed)) {
    abandon(request_id, now);
    return;
  }
  if (known == nullptr || known->freed) {
    KeyRecord record;
    record.fingerprint = pending.fingerprint;
    record.term = pending.term;
    record.request_id = request_id;
    record.requester = m_options.daemon;
    m_store.add(pending.id, std::move(record), now);
  }
  complete_request(request_id, KeyResult{KeyDecision::run, {}});
}

void KeyTableImpl::refuse(std::uint64_t request_id, const Reply& reply, TimePoint now) {
  const auto& pending = m_pending.at(request_id);
  if (pending.asked_in_other_term || pending.awaiting_witness) {
    report_outcome(pending.id, request_id, true, {}, now);
  }
  complete_request(request_id, KeyResult{decision_of(reply.decision()), reply.stored_answer()});
}

void KeyTableImpl::complete_request(std::uint64_t request_id, KeyResult result) {
  const auto found = m_pending.find(request_id);
  const auto on_decision = std::move(found->second.on_decision);
  m_pending.erase(found);
  on_decision(std::move(result));
}

/// Abandons a request. An owner that has granted it, or still will, is told that it was not run.
void KeyTableImpl::abandon(std::uint64_t request_id, TimePoint now) {
  const auto id = m_pending.at(request_id).id;
  report_outcome(id, request_id, true, {}, now);
  complete_request(request_id, KeyResult{KeyDecision::may_have_run, {}});
}

void KeyTableImpl::expire_pending(TimePoint now) {
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> due;
  for (const auto& [request_id, pending] : m_pending) {
    if (now - pending.started >= m_options.decision_timeout) {
      expired.push_back(request_id);
    } else if (now >= pending.next_send) {
      due.push_back(request_id);
    }
  }
  // A callback may complete other requests, so each is looked up again.
  for (const auto request_id : expired) {
    if (m_pending.contains(request_id)) {
      abandon(request_id, now);
    }
  }
  for (const auto request_id : due) {
    if (m_pending.contains(request_id)) {
      ask_owner(request_id, now);
    }
  }
}

void KeyTableImpl::finish(const KeyedCall& call, bool not_run, std::string answer, TimePoint now) {
  detect_pause(now);
  const KeyId id{call.service, call.key};
  const auto* known = m_store.find(id);
  if (known == nullptr || known->requester != m_options.daemon || known->done || known->freed) {
    return;
  }
  if (answer.size() > m_options.max_stored_answer_bytes) {
    answer.clear();
  }
  report_outcome(id, known->request_id, not_run, std::move(answer), now);
}

/// Records the outcome locally and reports it to the owner and to the witnesses.
void KeyTableImpl::report_outcome(const KeyId& id, std::uint64_t request_id, bool not_run,
                                  std::string answer, TimePoint now) {
  const std::uint32_t shard = shard_of(id);
  const bool own = owns(shard);
  proto::peer::PeerMessage message;
  auto* done = message.mutable_key_done();
  done->set_service(id.service);
  done->set_key(id.key);
  done->set_shard(shard);
  done->set_not_run(not_run);
  done->set_request_id(request_id);
  if (auto* known = m_store.find(id); known != nullptr && known->request_id == request_id) {
    done->set_term(known->term);
    for (const auto& witness : known->witnesses) {
      send(witness, message);
    }
    m_store.finish(id, request_id, not_run, own ? answer : std::string{}, now);
  }
  if (not_run) {
    m_unwitnessed.erase(request_id);
  }
  if (own) {
    return;
  }
  done->set_stored_answer(std::move(answer));
  send_until_acknowledged(
      request_id, Outgoing{std::move(message), {}, shard, now, now + k_outcome_resend_time}, now);
}

}  // namespace arbutusdale::routing
