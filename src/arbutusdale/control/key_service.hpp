// Connects the idempotency key table to the peers and to the shard terms in the domain's stream.
#pragma once

#include "arbutusdale/routing/key_table.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "context.hpp"

namespace arbutusdale::control {

/// Owns the key table of this daemon.
class KeyService {
 public:
  explicit KeyService(const Context& context);

  void tick(TimePoint now, std::uint32_t shards);
  void receive(const proto::peer::PeerMessage& message, TimePoint now);
  /// Called when this daemon holds a new term; queries every incarnation that may hold keys of
  /// earlier terms.
  void begin_term(std::uint32_t shard, std::uint64_t term, std::uint64_t previous_term,
                  TimePoint now);
  [[nodiscard]] routing::KeyTable& table() { return *m_table; }

 private:
  void send(const std::string& daemon, proto::peer::PeerMessage message);
  [[nodiscard]] std::vector<std::string> other_live_daemons() const;
  void refresh_shards(TimePoint now, std::uint32_t shards);
  [[nodiscard]] bool may_hold_keys(const proto::state::IncarnationEntry& entry,
                                   std::uint64_t previous_term) const;

  Context m_context;
  std::unique_ptr<routing::KeyTable> m_table;
  std::uint64_t m_bytes_read = 0;  // from the stream when the terms were last confirmed
  std::vector<std::pair<std::string, std::uint64_t>> m_shard_view;  // holder and term by shard
};

}  // namespace arbutusdale::control
