// Address book of other daemons, and the selection of those that receive heartbeats.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::peer {

/// An address that may belong to a daemon. Daemon and domain are empty until a heartbeat or a hint
/// states them.
struct Contact {
  std::string address;
  std::string daemon;
  std::string domain;
  bool seed = false;             // from the settings; never expires
  std::uint32_t unanswered = 0;  // heartbeats sent since the last one received
  TimePoint next_attempt{};      // for an unresponsive contact
  TimePoint last_seen_at{};      // newest heartbeat or hint about it
};

/// Failure domains to link to: both neighbours of `own` in the ring of sorted names, and two others
/// selected by a hash of the daemon's id. `domains` is sorted; the result is empty unless it
/// contains `own` and at least one other domain.
std::vector<std::string> linked_domains(const std::string& own, const std::string& daemon,
                                        const std::vector<std::string>& domains);

class Contacts {
 public:
  Contacts(std::string daemon, std::string domain, std::string own_address,
           std::uint32_t links_per_domain);

  void add_seed(const std::string& address);
  /// Records a heartbeat received from `daemon`.
  void record_heartbeat(const std::string& address, const std::string& daemon,
                        const std::string& domain, TimePoint now);
  /// Records a hint about `daemon` received from another daemon.
  void record_hint(const std::string& address, const std::string& daemon, const std::string& domain,
                   TimePoint now);
  /// Records that a heartbeat was sent to `address`.
  void record_sent(const std::string& address, TimePoint now);
  /// Removes contacts, except seeds, without a heartbeat or hint for `k_expire_after`.
  void expire(TimePoint now);

  /// Contacts in this daemon's failure domain that are due for a heartbeat.
  [[nodiscard]] std::vector<const Contact*> mesh_targets(TimePoint now) const;
  /// Contacts selected in other failure domains that are due for a heartbeat, and some addresses of
  /// unknown domain.
  [[nodiscard]] std::vector<const Contact*> link_targets(TimePoint now) const;

  [[nodiscard]] std::size_t size() const { return m_contacts.size(); }

 private:
  using ByHash = std::vector<std::pair<std::uint64_t, const Contact*>>;

  static bool is_responding(const Contact& contact);
  static bool is_due(const Contact& contact, TimePoint now);
  Contact* insert(const std::string& address);
  void add_domain_links(const std::string& domain, TimePoint now,
                        std::vector<const Contact*>& chosen) const;
  void add_unknown(TimePoint now, std::vector<const Contact*>& chosen) const;

  std::string m_daemon;
  std::string m_domain;
  std::string m_own_address;
  std::uint32_t m_links_per_domain;
  std::map<std::string, Contact> m_contacts;  // by address
};

}  // namespace arbutusdale::peer
