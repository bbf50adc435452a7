// Service loads and domain versions in heartbeats.
#include "tables.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::peer {
namespace {

constexpr std::size_t k_max_services = 256;
constexpr std::size_t k_max_domains = 256;
constexpr Duration k_load_expiry = std::chrono::seconds{60};

bool equal(const proto::peer::ServiceLoad& a, const proto::peer::ServiceLoad& b) {
  return a.queued() == b.queued() && a.idle_slots() == b.idle_slots() &&
         a.queue_delay_ms() == b.queue_delay_ms() && a.in_flight() == b.in_flight();
}

}  // namespace

void OwnLoads::set(const std::vector<proto::peer::ServiceLoad>& loads) {
  std::map<std::string, Entry> updated;
  for (const auto& load : loads) {
    const auto known = m_loads.find(load.service());
    Entry entry = known == m_loads.end() ? Entry{} : known->second;
    entry.changed = entry.changed || !equal(entry.load, load);
    entry.load = load;
    updated[load.service()] = std::move(entry);
  }
  m_loads = std::move(updated);
}

bool OwnLoads::has_changes() const {
  return std::any_of(m_loads.begin(), m_loads.end(),
                     [](const auto& item) { return item.second.changed; });
}

std::vector<proto::peer::ServiceLoad> OwnLoads::take(std::size_t limit, bool only_changed) {
  std::vector<Entry*> order;
  for (auto& [service, entry] : m_loads) {
    if (entry.changed || !only_changed) {
      order.push_back(&entry);
    }
  }
  // Least recently sent first, so that services that change often do not starve others.
  std::stable_sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) {
    return a->changed != b->changed ? a->changed : a->sent_in_round < b->sent_in_round;
  });
  ++m_round;
  std::vector<proto::peer::ServiceLoad> taken;
  for (std::size_t i = 0; i < std::min(limit, order.size()); ++i) {
    order[i]->changed = false;
    order[i]->sent_in_round = m_round;
    taken.push_back(order[i]->load);
  }
  return taken;
}

void PeerLoads::update(const proto::peer::Heartbeat& heartbeat, TimePoint now) {
  for (const auto& load : heartbeat.loads()) {
    if (m_loads.size() < k_max_services || m_loads.contains(load.service())) {
      m_loads[load.service()] = {load, now};
    }
  }
  std::erase_if(m_loads,
                [&](const auto& item) { return item.second.updated_at + k_load_expiry < now; });
}

std::vector<proto::peer::ServiceLoad> PeerLoads::list() const {
  std::vector<proto::peer::ServiceLoad> loads;
  loads.reserve(m_loads.size());
  for (const auto& [service, entry] : m_loads) {
    loads.push_back(entry.load);
  }
  return loads;
}

bool DomainVersions::update(const proto::peer::DomainVersion& version) {
  const auto found = m_versions.find(version.domain());
  if (found == m_versions.end()) {
    if (version.domain().empty() || m_versions.size() >= k_max_domains) {
      return false;
    }
    m_versions[version.domain()] = {version, 0};
    return true;
  }
  if (version.version() <= found->second.version.version()) {
    return false;
  }
  found->second = {version, 0};
  return true;
}

std::vector<proto::peer::DomainVersion> DomainVersions::take(std::size_t limit) {
  std::vector<Entry*> order;
  for (auto& [domain, entry] : m_versions) {
    order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) {
    return a->sent_in_round < b->sent_in_round;
  });
  ++m_round;
  std::vector<proto::peer::DomainVersion> taken;
  for (std::size_t i = 0; i < std::min(limit, order.size()); ++i) {
    order[i]->sent_in_round = m_round;
    taken.push_back(order[i]->version);
  }
  return taken;
}

std::vector<proto::peer::DomainVersion> DomainVersions::list() const {
  std::vector<proto::peer::DomainVersion> versions;
  versions.reserve(m_versions.size());
  for (const auto& [domain, entry] : m_versions) {
    versions.push_back(entry.version);
  }
  return versions;
}

}  // namespace arbutusdale::peer
