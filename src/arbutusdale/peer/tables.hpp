// Tables exchanged in heartbeats: service loads and configuration versions of failure domains.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::peer {

/// Loads that this daemon reports, with a mark on those that changed since they were last sent.
class OwnLoads {
 public:
  void set(const std::vector<proto::peer::ServiceLoad>& loads);
  [[nodiscard]] bool has_changes() const;
  /// Returns at most `limit` loads and marks them as sent: changed ones first, then the others, the
  /// least recently sent ones first.
  std::vector<proto::peer::ServiceLoad> take(std::size_t limit, bool only_changed);

 private:
  struct Entry {
    proto::peer::ServiceLoad load;
    bool changed = true;
    std::uint64_t sent_in_round = 0;
  };

  std::map<std::string, Entry> m_loads;
  std::uint64_t m_round = 0;
};

/// Loads of one other daemon. A service that is no longer reported expires after `k_load_expiry`.
class PeerLoads {
 public:
  void update(const proto::peer::Heartbeat& heartbeat, TimePoint now);
  [[nodiscard]] std::vector<proto::peer::ServiceLoad> list() const;

 private:
  struct Entry {
    proto::peer::ServiceLoad load;
    TimePoint updated_at{};
  };

  std::map<std::string, Entry> m_loads;
};

/// Newest configuration version in force per failure domain. Versions are monotonic, so the highest
/// one is kept.
class DomainVersions {
 public:
  /// Returns false when nothing changed.
  bool update(const proto::peer::DomainVersion& version);
  /// Returns at most `limit` entries and marks them as sent: changed ones first, then the least
  /// recently sent ones.
  std::vector<proto::peer::DomainVersion> take(std::size_t limit);
  [[nodiscard]] std::vector<proto::peer::DomainVersion> list() const;

 private:
  struct Entry {
    proto::peer::DomainVersion version;
    std::uint64_t sent_in_round = 0;  // 0 when changed since it was last sent
  };

  std::map<std::string, Entry> m_versions;
  std::uint64_t m_round = 0;
};

}  // namespace arbutusdale::peer
