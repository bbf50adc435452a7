// Power of two choices: two candidates are drawn at random and the better one is used, so that many
// daemons with the same load reports do not all choose the same peer.
#include "spill.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

// Delay of a lost packet: one retransmission after a typical TCP retransmission timeout.
constexpr Duration k_loss_delay = std::chrono::milliseconds{300};
// A failure domain without reports for this long counts as unreachable; once reports arrive again,
// the calls to it ramp up.
constexpr Duration k_unreachable_after = std::chrono::seconds{3};

}  // namespace

SpillTable::SpillTable(Duration cross_domain_cost, Duration ramp, std::uint64_t seed)
    : m_cross_domain_cost{cross_domain_cost}, m_ramp{ramp}, m_random{seed} {}

void SpillTable::set_peers(const std::vector<PeerInfo>& peers, TimePoint now) {
  for (auto& [daemon, peer] : m_peers) {
    peer.listed = false;
  }
  m_listed.clear();
  for (const auto& info : peers) {
    auto& peer = m_peers[info.daemon];
    peer.info = info;
    peer.listed = true;
    m_listed.push_back(info.daemon);
    const auto [domain, is_new] = m_domains.try_emplace(info.domain, Domain{now, now});
    if (!is_new && now - domain->second.last_seen > k_unreachable_after) {
      domain->second.ramp_start = now;
    }
    domain->second.last_seen = now;
  }
  std::erase_if(m_peers, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
}

Duration SpillTable::delay(const Peer& peer, Duration service_time) const {
  const double own_queue = static_cast<double>(peer.in_flight) /
                           std::max(1.0, static_cast<double>(peer.info.idle_slots));
  const auto queueing = std::chrono::duration_cast<Duration>(service_time * own_queue);
  const auto loss = std::chrono::duration_cast<Duration>(k_loss_delay * peer.info.loss);
  return peer.info.queue_delay + peer.info.round_trip + m_cross_domain_cost + loss + queueing;
}

double SpillTable::ramp_share(const std::string& domain, TimePoint now) const {
  const auto found = m_domains.find(domain);
  if (found == m_domains.end() || m_ramp <= Duration::zero()) {
    return 1.0;
  }
  const std::chrono::duration<double> age = now - found->second.ramp_start;
  return std::clamp(age / m_ramp, 0.0, 1.0);
}

std::optional<SpillTarget> SpillTable::take(Duration local_wait, Duration service_time,
                                            const std::vector<std::string>& avoid, TimePoint now) {
  constexpr int k_candidates = 2;
  Peer* best = nullptr;
  Duration best_delay = local_wait;
  for (int i = 0; i < k_candidates && !m_listed.empty(); ++i) {
    auto& peer = m_peers[m_listed[random_index(m_random, m_listed.size())]];
    const bool avoided = std::find(avoid.begin(), avoid.end(), peer.info.daemon) != avoid.end();
    const Duration expected = delay(peer, service_time);
    if (avoided || expected >= best_delay) {
      continue;
    }
    best = &peer;
    best_delay = expected;
  }
  if (best == nullptr || random_unit(m_random) >= ramp_share(best->info.domain, now)) {
    return std::nullopt;
  }
  ++best->in_flight;
  return SpillTarget{best->info.daemon, best->info.caller_address};
}

void SpillTable::release(const std::string& daemon, bool failed, TimePoint now) {
  const auto found = m_peers.find(daemon);
  if (found == m_peers.end()) {
    return;
  }
  found->second.in_flight -= std::min<std::uint32_t>(1, found->second.in_flight);
  if (failed) {
    m_domains[found->second.info.domain].ramp_start = now;
  }
}

}  // namespace arbutusdale::routing
