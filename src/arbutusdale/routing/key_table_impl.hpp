// Key table of one daemon. Its roles as requester, owner and witness share one store.
//
// At-most-once execution depends on these rules:
// - Two daemons store each grant before its call is sent, unless no other daemon is alive (see
//   key_takeover.cpp).
// - A daemon that has answered a query for keys below term T, or has seen term T in the stream,
//   takes part in no grant of a lower term: the owner grants none, the requester accepts none, and
//   the witness records none.
// - Only a message that names the grant's request id frees a key.
#pragma once

#include "arbutusdale/routing/key_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "key_store.hpp"
#include "key_takeover.hpp"

namespace arbutusdale::routing {

class KeyTableImpl final : public KeyTable {
 public:
  KeyTableImpl(KeyOptions options, Sink sink);

  void set_shard_owners(const std::vector<ShardOwner>& shards, TimePoint now) override;
  void set_live_daemons(const std::vector<std::string>& daemons) override;
  void begin_term(std::uint32_t shard, std::uint64_t term,
                  const std::vector<PriorIncarnation>& previous, TimePoint now) override;
  void request(const KeyedCall& call, TimePoint now, DecisionCallback on_decision) override;
  void finish(const KeyedCall& call, bool not_run, std::string answer, TimePoint now) override;
  void receive(const proto::peer::PeerMessage& message, TimePoint now) override;
  void tick(TimePoint now) override;
  void hand_over(TimePoint now) override;
  [[nodiscard]] std::size_t size() const override { return m_store.size(); }

 private:
  using Reply = proto::peer::KeyReply;

  /// A call that this daemon received and that waits for its decision.
  struct Pending {
    KeyId id;
    std::uint64_t fingerprint = 0;
    DecisionCallback on_decision;
    std::uint32_t shard = 0;
    std::uint64_t term = 0;  // of the last request to an owner; 0 before the first
    TimePoint started{};
    TimePoint next_send{};
    std::uint32_t witness_requests = 0;  // sent so far
    bool awaiting_witness = false;       // granted by this daemon as owner
    bool asked_in_other_term = false;    // an earlier owner may have recorded a grant
  };
  /// A message that is resent until it is acknowledged or `until` has passed.
  struct Outgoing {
    proto::peer::PeerMessage message;
    std::string to;  // empty: the shard's current owner at the time of sending
    std::uint32_t shard = 0;
    TimePoint next_send{};
    TimePoint until{};
  };
  /// Key list received from an incarnation that is stopping. It sends only one list.
  struct Handover {
    std::set<std::uint32_t> parts;
    bool complete = false;
    TimePoint last_seen{};
  };
  struct OwnerDecision {
    Reply::Decision decision = Reply::MAY_HAVE_RUN;
    std::string answer;
  };

  // key_requester.cpp
  void ask_owner(std::uint64_t request_id, TimePoint now);
  void record_acknowledged(std::uint64_t request_id, const std::string& from);
  void decide_as_owner(std::uint64_t request_id, TimePoint now);
  void ask_witness(std::uint64_t request_id, Pending& pending);
  void complete_request(std::uint64_t request_id, KeyResult result);
  void abandon(std::uint64_t request_id, TimePoint now);
  void accept_grant(std::uint64_t request_id, TimePoint now);
  void report_outcome(const KeyId& id, std::uint64_t request_id, bool not_run, std::string answer,
                      TimePoint now);
  void receive_reply(const Reply& reply, const std::string& from, TimePoint now);
  void refuse(std::uint64_t request_id, const Reply& reply, TimePoint now);
  void expire_pending(TimePoint now);

  // key_owner.cpp
  [[nodiscard]] bool owns(std::uint32_t shard) const;
  std::optional<OwnerDecision> decide(const KeyId& id, std::uint64_t fingerprint,
                                      std::uint64_t request_id, const std::string& requester,
                                      TimePoint now);
  std::optional<OwnerDecision> decide_known(const KeyRecord& known, std::uint64_t fingerprint,
                                            std::uint64_t request_id,
                                            const std::string& requester) const;
  void receive_forward(const proto::peer::KeyForward& forward, const std::string& from,
                       TimePoint now);
  [[nodiscard]] Reply::Decision register_witness(const proto::peer::KeyForward& forward,
                                                 const std::string& from, TimePoint now);
  void receive_done(const proto::peer::KeyDone& done, const std::string& from, TimePoint now);

  // key_exchange.cpp
  void receive_query(const proto::peer::KeyQuery& query, const std::string& from);
  void receive_list(const proto::peer::KeyList& list, const std::string& from, TimePoint now);
  bool merge(const proto::peer::KeyList& list, TimePoint now);
  void receive_pledge(const proto::peer::PeerMessage& message, TimePoint now);
  void record_handover_part(const proto::peer::KeyList& list, const std::string& from,
                            TimePoint now);
  void complete_handover(const std::string& daemon, std::uint64_t incarnation, TimePoint now);
  void add_handovers(proto::peer::KeyList& list) const;
  void send_queries(std::uint32_t shard);
  void send_pledges(TimePoint now);
  void register_unwitnessed(TimePoint now);
  void prune_unwitnessed();
  void transmit(Outgoing& outgoing, TimePoint now);
  void resend(TimePoint now);
  void send_until_acknowledged(std::uint64_t id, Outgoing outgoing, TimePoint now);

  // key_table.cpp
  void detect_pause(TimePoint now);
  void send(const std::string& daemon, proto::peer::PeerMessage message);
  void send_reply(const std::string& daemon, Reply reply);
  [[nodiscard]] std::uint64_t next_id();
  [[nodiscard]] std::uint32_t shard_of(const KeyId& id) const;
  [[nodiscard]] std::uint64_t min_term(std::uint32_t shard) const;
  [[nodiscard]] bool is_live(const std::string& daemon) const;
  [[nodiscard]] bool is_full() const;

  KeyOptions m_options;
  Sink m_sink;
  KeyStore m_store;
  std::vector<ShardOwner> m_shards;
  std::vector<std::string> m_live;
  std::map<std::uint32_t, KeyTakeover> m_owned;       // by shard that this daemon owns
  std::map<std::uint32_t, std::uint64_t> m_min_term;  // lowest term whose grants are accepted
  std::map<std::uint64_t, Pending> m_pending;         // by request id
  std::map<std::uint64_t, Outgoing> m_outbox;         // by request id
  std::map<std::pair<std::string, std::uint64_t>, Handover> m_handovers;  // by incarnation
  // Time of receipt of the pledges, by incarnation of the sender.
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_pledged;
  std::map<std::string, TimePoint> m_pledge_acked;  // by daemon
  std::map<std::uint64_t, KeyId> m_unwitnessed;     // run without a witness, by request id
  std::uint64_t m_registration_id = 0;  // outbox id of the registration in progress, or 0
  std::vector<std::uint64_t> m_registering_ids;
  std::uint64_t m_last_id = 0;
  TimePoint m_last_activity{};
  TimePoint m_next_exchange{};
  TimePoint m_next_pledge{};
  std::optional<TimePoint> m_resharded;
  bool m_live_list_stale = false;  // this process paused; others may have joined meanwhile
  bool m_ownership_stale = false;  // paused so long that others may have dropped expired keys
  bool m_closing = false;
};

}  // namespace arbutusdale::routing
