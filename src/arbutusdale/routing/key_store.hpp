// Keys that one daemon knows as requester, owner or witness.
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

/// Key shard: XXH64 of service and key, modulo the number of shards.
std::uint32_t key_shard(const KeyId& id, std::uint32_t shards);

/// What a daemon knows about a granted key.
struct KeyRecord {
  std::uint64_t fingerprint = 0;
  std::uint64_t term = 0;
  std::uint64_t request_id = 0;  // of the granted request
  std::string requester;         // daemon that was granted the key
  bool freed = false;            // proved not run; kept to recognise late copies of the request
  // Two different grants were reported for the key. It is unknown which of them ran, so no later
  // message may free the key.
  bool contested = false;
  bool done = false;
  std::string answer;
  std::vector<std::string> witnesses;  // daemons that were asked to register the key
  TimePoint expires{};
};

/// Records of keys until their retention has passed.
class KeyStore {
 public:
  explicit KeyStore(Duration retention) : m_retention{retention} {}

  /// Record of a key, also of a freed one; null when the key is unknown.
  [[nodiscard]] KeyRecord* find(const KeyId& id);
  /// True when the key may have run.
  [[nodiscard]] bool may_have_run(const KeyId& id);

  /// Records a grant. A key that already has another grant becomes contested.
  KeyRecord& add(const KeyId& id, KeyRecord record, TimePoint now);
  /// Records the end of a grant. Has no effect when the key has another grant.
  void finish(const KeyId& id, std::uint64_t request_id, bool not_run, std::string answer,
              TimePoint now);
  /// Removes keys whose retention has passed.
  void expire(TimePoint now);

  /// Keys of one shard that may have run, split into messages of bounded size; at least one.
  [[nodiscard]] std::vector<proto::peer::KeyList> list(std::uint32_t shard,
                                                       std::uint32_t shards) const;
  /// All keys that may have run, split into messages of bounded size; at least one.
  [[nodiscard]] std::vector<proto::peer::KeyList> list_all() const;

  [[nodiscard]] std::size_t size() const { return m_keys.size(); }

 private:
  template <typename Selected>
  [[nodiscard]] std::vector<proto::peer::KeyList> list_if(Selected selected) const;

  Duration m_retention;
  std::unordered_map<KeyId, KeyRecord, KeyIdHash> m_keys;
  // In ascending order; the record of a key may expire later than its entry here.
  std::deque<std::pair<TimePoint, KeyId>> m_expiry;
};

}  // namespace arbutusdale::routing
