// Addresses of other daemons and the choice of those that receive heartbeats.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::peer {

/// An address that may belong to a daemon. Daemon and domain are empty until a heartbeat or a hint
/// has named them.
struct Contact {
  std::string address;
  std::string daemon;
  std::string domain;
  bool seed = false;             // from the settings; never forgotten
  std::uint32_t unanswered = 0;  // heartbeats sent since the last one received
  TimePoint next_attempt{};      // of a contact that does not answer
  TimePoint last_seen_at{};      // newest heartbeat or hint about it
};

/// Failure domains to link to: both neighbours of `own` in the ring of names, and two others
/// chosen by a hash of the daemon's id. `domains` is sorted and contains `own`.
std::vector<std::string> linked_domains(const std::string& own, const std::string& daemon,
                                        const std::vector<std::string>& domains);

class Contacts {
 public:
  Contacts(std::string daemon, std::string domain, std::string own_address,
           std::uint32_t links_per_domain);

  void add_seed(const std::string& address);
  /// A heartbeat came from this daemon.
  void record_heartbeat(const std::string& address, const std::string& daemon,
                        const std::string& domain, TimePoint now);
  /// Another daemon has named this one.
  void record_hint(const std::string& address, const std::string& daemon, const std::string& domain,
                   TimePoint now);
  void record_sent(const std::string& address, TimePoint now);
  /// Forgets contacts that nobody has named for `k_expire_after`.
  void expire(TimePoint now);

  /// Contacts of the own failure domain that are due.
  [[nodiscard]] std::vector<const Contact*> mesh_targets(TimePoint now) const;
  /// Contacts in other failure domains that this daemon has chosen and that are due, and some
  /// addresses of unknown domain.
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
