// At-most-once execution of calls that carry an idempotency key, across the daemons of a domain.
// Does no I/O: outgoing messages are passed to a sink, incoming ones to `receive`.
//
// Each key belongs to a key shard, and each shard has one owner daemon per term. The daemon that
// received a call (the requester) asks the owner for a grant before it sends the call. When the
// owner is itself the requester, a second daemon (the witness) records the grant.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/peer.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::routing {

struct KeyOptions {
  std::string daemon;
  std::string domain;
  Duration retention = std::chrono::minutes{10};        // since the last change of a key
  Duration decision_timeout = std::chrono::seconds{2};  // wait for the owner or the witness
  std::size_t max_stored_answer_bytes = 65'536;
  std::size_t max_keys = 100'000;
  std::uint64_t incarnation = 0;  // increases with each start; makes request ids unique
};

/// A call that carries an idempotency key.
struct KeyedCall {
  std::string service;
  std::string key;
  std::uint64_t fingerprint = 0;  // hash of method, path and body
};

enum class KeyDecision : std::uint8_t {
  run,           ///< the key is granted: this daemon may send the call once
  in_progress,   ///< an earlier call with this key is still running
  done,          ///< an earlier call has ended; `stored_answer` is its answer, or empty
  may_have_run,  ///< an earlier call with this key may have run, so this one is not sent
  mismatch,      ///< the key was used for a call with another fingerprint
  overloaded,    ///< the table is full: this call is not sent; an earlier one may have run
};

std::string_view to_string(KeyDecision decision);

/// Decision on a keyed call, with the stored answer when it is `done`.
struct KeyResult {
  KeyDecision decision = KeyDecision::may_have_run;
  std::string stored_answer;
};

/// Incarnation that was alive in an earlier term and may have recorded its keys.
struct PriorIncarnation {
  std::string daemon;
  std::string address;
  bool alive = false;             // can still be queried
  std::uint64_t incarnation = 0;  // answers of other incarnations are ignored
};

/// Key table of one daemon, which acts as requester, owner and witness. Not thread-safe.
class KeyTable {
 public:
  using DecisionCallback = std::function<void(KeyResult)>;
  /// Sends a message to the daemon with this id in the same domain.
  using Sink = std::function<void(const std::string& daemon, proto::peer::PeerMessage message)>;

  KeyTable() = default;
  KeyTable(const KeyTable&) = delete;
  KeyTable& operator=(const KeyTable&) = delete;
  virtual ~KeyTable() = default;

  /// Owner of a key shard according to the domain's stream. An empty `daemon` means that the shard
  /// has no owner.
  struct ShardOwner {
    std::string daemon;
    std::uint64_t term = 0;
  };
  /// Sets the owners of all key shards; the index is the shard number.
  virtual void set_shard_owners(const std::vector<ShardOwner>& shards, TimePoint now) = 0;
  /// Other daemons that are alive according to the domain's stream, whether or not a heartbeat of
  /// them has arrived. Calls run without a witness only while this list is empty.
  virtual void set_live_daemons(const std::vector<std::string>& daemons) = 0;

  /// Starts a term of this daemon as owner of a shard. `previous` lists every other incarnation
  /// that was alive in an earlier term within the retention; all of them are queried for their
  /// keys.
  virtual void begin_term(std::uint32_t shard, std::uint64_t term,
                          const std::vector<PriorIncarnation>& previous, TimePoint now) = 0;

  /// Requests permission to send a keyed call. `on_decision` is invoked exactly once,
  /// possibly before this function returns.
  virtual void request(const KeyedCall& call, TimePoint now, DecisionCallback on_decision) = 0;

  /// Reports the end of a granted call. `not_run` frees the key; otherwise the answer is stored,
  /// unless it exceeds `max_stored_answer_bytes`.
  virtual void finish(const KeyedCall& call, bool not_run, std::string answer, TimePoint now) = 0;

  /// Handles a message of another daemon.
  virtual void receive(const proto::peer::PeerMessage& message, TimePoint now) = 0;
  /// Removes expired keys, ends requests that timed out and resends what is due.
  virtual void tick(TimePoint now) = 0;

  /// Sends all keys to the other daemons before a graceful stop. No key is granted afterwards.
  virtual void hand_over(TimePoint now) = 0;

  /// Number of stored keys.
  [[nodiscard]] virtual std::size_t size() const = 0;
};

std::unique_ptr<KeyTable> make_key_table(KeyOptions options, KeyTable::Sink sink);

/// Failure domain that decides a key: the one named by the key's `DOMAIN:` prefix, otherwise chosen
/// by hash. Empty when `domains` is empty.
std::string home_domain(const std::string& service, const std::string& key,
                        const std::vector<std::string>& domains);

}  // namespace arbutusdale::routing
