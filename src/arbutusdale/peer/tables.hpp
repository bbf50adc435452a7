// What heartbeats pass on besides the sender's own state: loads and versions of failure domains.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::peer {

/// Loads that this daemon reports, and which of them its peers have not seen yet.
class OwnLoads {
 public:
  void set(const std::vector<proto::peer::ServiceLoad>& loads);
  [[nodiscard]] bool has_changes() const;
  /// Changed loads first, then others in rotation; at most `limit`. Marks them as sent.
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

/// Loads of one other daemon. Services that are no longer named are dropped after a while.
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

/// Newest version in force per failure domain. Versions only grow, so the highest wins.
class DomainVersions {
 public:
  /// Returns false when nothing changed.
  bool update(const proto::peer::DomainVersion& version);
  /// Entries that were passed on longest ago, changed ones first; at most `limit`.
  std::vector<proto::peer::DomainVersion> take(std::size_t limit);
  [[nodiscard]] std::vector<proto::peer::DomainVersion> list() const;

 private:
  struct Entry {
    proto::peer::DomainVersion version;
    std::uint64_t sent_in_round = 0;  // 0 when changed since
  };

  std::map<std::string, Entry> m_versions;
  std::uint64_t m_round = 0;
};

}  // namespace arbutusdale::peer
