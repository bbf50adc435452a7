// A key that may have run is never removed before its retention has passed.
#include "key_store.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

// Keeps a message far below the network's size limit with keys of a few hundred bytes.
constexpr int k_keys_per_part = 500;

}  // namespace

std::uint64_t hash_of(const KeyId& id) {
  return stable_hash(id.key, stable_hash(id.service));
}

std::uint32_t key_shard(const KeyId& id, std::uint32_t shards) {
  return static_cast<std::uint32_t>(hash_of(id) % std::max<std::uint32_t>(1, shards));
}

KeyRecord* KeyStore::find(const KeyId& id) {
  const auto found = m_keys.find(id);
  return found == m_keys.end() ? nullptr : &found->second;
}

bool KeyStore::may_have_run(const KeyId& id) {
  const auto* known = find(id);
  return known != nullptr && !known->freed;
}

KeyRecord& KeyStore::add(const KeyId& id, KeyRecord record, TimePoint now) {
  record.expires = now + m_retention;
  m_expiry.emplace_back(record.expires, id);
  const auto [place, is_new] = m_keys.try_emplace(id);
  auto& known = place->second;
  if (is_new || (known.freed && known.request_id != record.request_id)) {
    known = std::move(record);
    return known;
  }
  if (known.freed) {
    return known;  // late copy of the freed grant
  }
  known.expires = record.expires;
  known.contested = known.contested || known.request_id != record.request_id;
  known.done = known.done || record.done;
  return known;
}

void KeyStore::finish(const KeyId& id, std::uint64_t request_id, bool not_run, std::string answer,
                      TimePoint now) {
  auto* known = find(id);
  if (known == nullptr) {
    KeyRecord record;
    record.request_id = request_id;
    known = &add(id, std::move(record), now);
    known->done = !not_run;
  }
  if (known->request_id != request_id || known->contested || known->freed) {
    return;
  }
  known->freed = not_run;
  known->done = !not_run;
  known->answer = std::move(answer);
  known->expires = now + m_retention;
  m_expiry.emplace_back(known->expires, id);
}

void KeyStore::expire(TimePoint now) {
  while (!m_expiry.empty() && m_expiry.front().first <= now) {
    const auto known = m_keys.find(m_expiry.front().second);
    if (known != m_keys.end() && known->second.expires <= now) {
      m_keys.erase(known);
    }
    m_expiry.pop_front();
  }
}

template <typename Selected>
std::vector<proto::peer::KeyList> KeyStore::list_if(Selected selected) const {
  std::vector<proto::peer::KeyList> parts(1);
  for (const auto& [id, known] : m_keys) {
    if (known.freed || !selected(id)) {
      continue;
    }
    if (parts.back().keys_size() >= k_keys_per_part) {
      parts.emplace_back();
    }
    auto* key = parts.back().add_keys();
    key->set_service(id.service);
    key->set_key(id.key);
    key->set_fingerprint(known.fingerprint);
    key->set_term(known.term);
    // Without a request id the receiver frees none of the conflicting grants.
    key->set_request_id(known.contested ? 0 : known.request_id);
    key->set_entry(known.requester);
    key->set_done(known.done);
  }
  for (std::size_t part = 0; part < parts.size(); ++part) {
    parts[part].set_part(static_cast<std::uint32_t>(part));
    parts[part].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

std::vector<proto::peer::KeyList> KeyStore::list(std::uint32_t shard, std::uint32_t shards) const {
  return list_if([&](const KeyId& id) { return key_shard(id, shards) == shard; });
}

std::vector<proto::peer::KeyList> KeyStore::list_all() const {
  return list_if([](const KeyId&) { return true; });
}

}  // namespace arbutusdale::routing
