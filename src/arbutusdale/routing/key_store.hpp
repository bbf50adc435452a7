// Keys that may have run, as known to one daemon as entry, owner or witness.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/peer.pb.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusdale::routing {

struct KeyId {
  std::string service;
  std::string key;
  friend bool operator==(const KeyId&, const KeyId&) = default;
};

std::uint64_t hash_of(const KeyId& id);

struct KeyIdHash {
  std::size_t operator()(const KeyId& id) const { return hash_of(id); }
};

/// Key shard: XXH64 of service and key over the shards.
std::uint32_t key_shard(const KeyId& id, std::uint32_t shards);

struct KeyRecord {
  std::uint64_t fingerprint = 0;
  std::uint64_t term = 0;
  std::uint64_t request_id = 0;  // of the grant
  std::string requester;         // daemon that was granted the key
  bool freed = false;            // proved not run; kept so that a late copy of the request is known
  // Two different grants were reported for the key. Which of them ran is unknown, so no later
  // message may free the key.
  bool contested = false;
  bool done = false;
  std::string answer;
  std::vector<std::string> witnesses;  // daemons that were asked to register the key
  TimePoint expires{};
};

class KeyStore {
 public:
  explicit KeyStore(Duration retention) : m_retention{retention} {}

  /// Record of a key, or null; freed ones are included.
  [[nodiscard]] KeyRecord* find(const KeyId& id);
  /// True when the key may have run.
  [[nodiscard]] bool may_have_run(const KeyId& id);

  /// Records a grant. A key that is known by another grant becomes contested.
  KeyRecord& add(const KeyId& id, KeyRecord record, TimePoint now);
  /// Records the end of a grant; without effect when the key is known by another one.
  void finish(const KeyId& id, std::uint64_t request_id, bool not_run, std::string answer,
              TimePoint now);
  /// Forgets keys whose retention has passed.
  void expire(TimePoint now);

  /// Keys of one shard that may have run, in parts of bounded size; at least one part.
  [[nodiscard]] std::vector<proto::peer::KeyList> list(std::uint32_t shard,
                                                       std::uint32_t shards) const;
  /// All keys that may have run, in parts of bounded size; at least one part.
  [[nodiscard]] std::vector<proto::peer::KeyList> list_all() const;

  [[nodiscard]] std::size_t size() const { return m_keys.size(); }

 private:
  template <typename Selected>
  [[nodiscard]] std::vector<proto::peer::KeyList> list_if(Selected selected) const;

  Duration m_retention;
  std::unordered_map<KeyId, KeyRecord, KeyIdHash> m_keys;
  std::deque<std::pair<TimePoint, KeyId>> m_expiry;  // in order; records may have been extended
};

}  // namespace arbutusdale::routing
