// At-most-once execution of calls that carry an idempotency key, across the daemons of a domain.
// Does no I/O: messages go out through a sink and come in through `receive`.
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
  Duration retention = std::chrono::minutes{10};
  Duration decision_timeout = std::chrono::seconds{2};  // waiting for the owner or the witness
  std::size_t max_stored_answer_bytes = 65'536;
  std::size_t max_keys = 100'000;
  std::uint64_t incarnation = 0;  // grows with every start; tells request ids of restarts apart
};

/// A keyed call.
struct KeyedCall {
  std::string service;
  std::string key;
  std::uint64_t fingerprint = 0;  // hash of method, path and body
};

enum class KeyDecision : std::uint8_t {
  run,           ///< this daemon may send the call, once
  in_progress,   ///< an earlier call with this key is under way
  done,          ///< an earlier call ended; `stored_answer` holds its answer when it was kept
  may_have_run,  ///< an earlier call with this key may have run; never sent again
  mismatch,      ///< the key was used for another call
  overloaded,    ///< the table is full; this call is not sent, an earlier one may have run
};

std::string_view to_string(KeyDecision decision);

struct KeyResult {
  KeyDecision decision = KeyDecision::may_have_run;
  std::string stored_answer;
};

/// Incarnation that may hold keys of an earlier term; `alive` when it can still be
/// asked.
struct PriorIncarnation {
  std::string daemon;
  std::string address;
  bool alive = false;
  std::uint64_t incarnation = 0;  // an answer of another incarnation does not count
};

/// Key table of one daemon: entry, owner and witness. Not thread-safe.
class KeyTable {
 public:
  using DecisionCallback = std::function<void(KeyResult)>;
  /// Sends a message to a daemon of the own domain, by daemon id.
  using Sink = std::function<void(const std::string& daemon, proto::peer::PeerMessage message)>;

  KeyTable() = default;
  KeyTable(const KeyTable&) = delete;
  KeyTable& operator=(const KeyTable&) = delete;
  virtual ~KeyTable() = default;

  /// Owner of each key shard by the domain's stream: index is the shard. An empty daemon means that
  /// the shard has no holder.
  struct ShardOwner {
    std::string daemon;
    std::uint64_t term = 0;
  };
  virtual void set_shard_owners(const std::vector<ShardOwner>& shards, TimePoint now) = 0;
  /// Other daemons whose incarnation is alive by the domain's stream, heard of or not. Calls run
  /// without a witness only while this list is empty.
  virtual void set_live_daemons(const std::vector<std::string>& daemons) = 0;

  /// This daemon has become the owner of a shard. `previous` lists every other incarnation that
  /// was alive in the earlier terms within the retention; all of them are asked for
  /// their keys.
  virtual void begin_term(std::uint32_t shard, std::uint64_t term,
                          const std::vector<PriorIncarnation>& previous, TimePoint now) = 0;

  /// Asks for permission to send a keyed call. `decided` is invoked exactly once.
  virtual void request(const KeyedCall& call, TimePoint now, DecisionCallback decided) = 0;

  /// Ends a call that was permitted: `not_run` frees the key, else the answer is kept.
  virtual void finish(const KeyedCall& call, bool not_run, std::string answer, TimePoint now) = 0;

  virtual void receive(const proto::peer::PeerMessage& message, TimePoint now) = 0;
  virtual void tick(TimePoint now) = 0;

  /// Hands all keys to the other daemons, before a graceful stop.
  virtual void hand_over(TimePoint now) = 0;

  [[nodiscard]] virtual std::size_t size() const = 0;
};

std::unique_ptr<KeyTable> make_key_table(KeyOptions options, KeyTable::Sink sink);

/// Home domain of a key: the one named by its `DOMAIN:` prefix, else chosen by hash.
std::string home_domain(const std::string& service, const std::string& key,
                        const std::vector<std::string>& domains);

}  // namespace arbutusdale::routing
