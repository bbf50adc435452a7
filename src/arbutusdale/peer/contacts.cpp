// Selects the daemons that receive heartbeats.
#include "contacts.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace arbutusdale::peer {
namespace {

constexpr std::size_t k_max_contacts = 1'024;
constexpr std::uint32_t k_unresponsive_after_heartbeats = 5;  // then retried less often
constexpr Duration k_unresponsive_retry = std::chrono::seconds{10};
constexpr std::size_t k_unknown_contacts_per_heartbeat = 8;  // addresses of unknown domain
constexpr std::size_t k_random_domains = 2;
// Regions can be partitioned for an hour, and their daemons must still be known afterwards.
constexpr Duration k_expire_after = std::chrono::hours{2};

}  // namespace

std::vector<std::string> linked_domains(const std::string& own, const std::string& daemon,
                                        const std::vector<std::string>& domains) {
  const auto position = std::find(domains.begin(), domains.end(), own);
  if (position == domains.end() || domains.size() < 2) {
    return {};
  }
  const auto index = static_cast<std::size_t>(position - domains.begin());
  const std::size_t count = domains.size();
  std::set<std::string> linked{domains[(index + 1) % count], domains[(index + count - 1) % count]};
  std::vector<std::pair<std::uint64_t, std::string>> others;
  for (const std::string& domain : domains) {
    if (domain != own && !linked.contains(domain)) {
      others.emplace_back(stable_hash(domain, stable_hash(daemon)), domain);
    }
  }
  std::sort(others.begin(), others.end());
  for (std::size_t i = 0; i < std::min(k_random_domains, others.size()); ++i) {
    linked.insert(others[i].second);
  }
  return {linked.begin(), linked.end()};
}

Contacts::Contacts(std::string daemon, std::string domain, std::string own_address,
                   std::uint32_t links_per_domain)
    : m_daemon(std::move(daemon)),
      m_domain(std::move(domain)),
      m_own_address(std::move(own_address)),
      m_links_per_domain(links_per_domain) {}

Contact* Contacts::insert(const std::string& address) {
  if (address.empty() || address == m_own_address) {
    return nullptr;
  }
  const auto found = m_contacts.find(address);
  if (found != m_contacts.end()) {
    return &found->second;
  }
  if (m_contacts.size() >= k_max_contacts) {
    return nullptr;
  }
  Contact& contact = m_contacts[address];
  contact.address = address;
  return &contact;
}

void Contacts::add_seed(const std::string& address) {
  if (Contact* contact = insert(address)) {
    contact->seed = true;
  }
}

void Contacts::record_heartbeat(const std::string& address, const std::string& daemon,
                                const std::string& domain, TimePoint now) {
  // The daemon may have moved; its previous address no longer belongs to it.
  for (auto& [other_address, other] : m_contacts) {
    if (other.daemon == daemon && other_address != address) {
      other.daemon.clear();
      other.domain.clear();
      other.last_seen_at = {};
    }
  }
  if (Contact* contact = insert(address)) {
    contact->daemon = daemon;
    contact->domain = domain;
    contact->unanswered = 0;
    contact->last_seen_at = now;
  }
}

void Contacts::record_hint(const std::string& address, const std::string& daemon,
                           const std::string& domain, TimePoint now) {
  Contact* contact = insert(address);
  if (contact == nullptr) {
    return;
  }
  if (contact->daemon != daemon) {
    contact->daemon = daemon;
    contact->domain = domain;
    contact->unanswered = 0;
  }
  contact->last_seen_at = now;
}

void Contacts::record_sent(const std::string& address, TimePoint now) {
  const auto found = m_contacts.find(address);
  if (found == m_contacts.end()) {
    return;
  }
  Contact& contact = found->second;
  ++contact.unanswered;
  contact.next_attempt = is_responding(contact) ? now : now + k_unresponsive_retry;
}

void Contacts::expire(TimePoint now) {
  std::erase_if(m_contacts, [&](const auto& item) {
    return !item.second.seed && item.second.last_seen_at + k_expire_after < now;
  });
}

bool Contacts::is_responding(const Contact& contact) {
  return contact.unanswered < k_unresponsive_after_heartbeats;
}

bool Contacts::is_due(const Contact& contact, TimePoint now) {
  return is_responding(contact) || contact.next_attempt <= now;
}

std::vector<const Contact*> Contacts::mesh_targets(TimePoint now) const {
  std::vector<const Contact*> due;
  for (const auto& [address, contact] : m_contacts) {
    if (contact.domain == m_domain && is_due(contact, now)) {
      due.push_back(&contact);
    }
  }
  return due;
}

void Contacts::add_domain_links(const std::string& domain, TimePoint now,
                                std::vector<const Contact*>& chosen) const {
  ByHash responding;
  ByHash unresponsive;
  for (const auto& [address, contact] : m_contacts) {
    if (contact.domain != domain || !is_due(contact, now)) {
      continue;
    }
    ByHash& group = is_responding(contact) ? responding : unresponsive;
    group.emplace_back(stable_hash(contact.daemon, stable_hash(m_daemon)), &contact);
  }
  ByHash& group = responding.empty() ? unresponsive : responding;
  std::sort(group.begin(), group.end());
  for (std::size_t i = 0; i < std::min<std::size_t>(m_links_per_domain, group.size()); ++i) {
    chosen.push_back(group[i].second);
  }
}

void Contacts::add_unknown(TimePoint now, std::vector<const Contact*>& chosen) const {
  std::size_t count = 0;
  for (const auto& [address, contact] : m_contacts) {
    if (contact.domain.empty() && is_due(contact, now) &&
        count < k_unknown_contacts_per_heartbeat) {
      chosen.push_back(&contact);
      ++count;
    }
  }
}

std::vector<const Contact*> Contacts::link_targets(TimePoint now) const {
  std::set<std::string> names{m_domain};
  for (const auto& [address, contact] : m_contacts) {
    if (!contact.domain.empty()) {
      names.insert(contact.domain);
    }
  }
  std::vector<const Contact*> chosen;
  for (const std::string& domain :
       linked_domains(m_domain, m_daemon, {names.begin(), names.end()})) {
    add_domain_links(domain, now, chosen);
  }
  add_unknown(now, chosen);
  return chosen;
}

}  // namespace arbutusdale::peer
