// Start-time fair queueing (Goyal, Vin, Cheng 1996) with a cost of one per call.
#include "fair_queue.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

const std::string k_shared_queue;

}  // namespace

void FairQueue::set_teams(const std::vector<TeamConfig>& teams) {
  m_teams[k_shared_queue];
  for (const auto& team : teams) {
    auto& queue = m_teams[team.name];
    const double weight = std::max(1.0, static_cast<double>(team.weight));
    if (!queue.calls.empty()) {
      m_active_weight += weight - queue.weight;
    }
    queue.weight = weight;
  }
}

const std::string& FairQueue::queue_name(const std::string& team) const {
  const auto found = m_teams.find(team);
  return found == m_teams.end() ? k_shared_queue : found->first;
}

void FairQueue::push(CallId call, const std::string& team) {
  const auto& name = queue_name(team);
  auto& queue = m_teams[name];
  queue.calls.push_back(call);
  m_locations[call] = Location{name, std::prev(queue.calls.end())};
  if (queue.calls.size() == 1) {
    queue.start_tag = std::max(queue.start_tag, m_virtual_time);
    m_active.emplace(queue.start_tag, name);
    m_active_weight += queue.weight;
  }
}

std::optional<CallId> FairQueue::front() const {
  if (m_active.empty()) {
    return std::nullopt;
  }
  return m_teams.at(m_active.begin()->second).calls.front();
}

void FairQueue::pop() {
  if (m_active.empty()) {
    return;
  }
  const auto [tag, name] = *m_active.begin();
  auto& queue = m_teams[name];
  m_virtual_time = tag;
  remove(m_locations.find(queue.calls.front()));
  m_active.erase({tag, name});
  queue.start_tag = tag + 1.0 / queue.weight;
  if (!queue.calls.empty()) {
    m_active.emplace(queue.start_tag, name);
  }
}

void FairQueue::deactivate(const std::string& name, TeamQueue& queue) {
  m_active.erase({queue.start_tag, name});
  m_active_weight -= queue.weight;
}

void FairQueue::remove(std::unordered_map<CallId, Location>::iterator location) {
  auto& queue = m_teams[location->second.team];
  queue.calls.erase(location->second.position);
  if (queue.calls.empty()) {
    deactivate(location->second.team, queue);
  }
  m_locations.erase(location);
}

bool FairQueue::erase(CallId call) {
  const auto location = m_locations.find(call);
  if (location == m_locations.end()) {
    return false;
  }
  remove(location);
  return true;
}

std::optional<CallId> FairQueue::displace_for(const std::string& team) {
  const auto& name = queue_name(team);
  const auto backlog = [](const TeamQueue& queue) {
    return static_cast<double>(queue.calls.size()) / queue.weight;
  };
  const TeamQueue* longest = nullptr;
  for (const auto& [tag, active] : m_active) {
    const auto& queue = m_teams[active];
    if (longest == nullptr || backlog(queue) > backlog(*longest)) {
      longest = &queue;
    }
  }
  if (longest == nullptr || backlog(m_teams[name]) + 1.0 >= backlog(*longest)) {
    return std::nullopt;
  }
  const CallId call = longest->calls.back();
  erase(call);
  return call;
}

double FairQueue::calls_ahead(const std::string& team) const {
  const auto found = m_teams.find(queue_name(team));
  if (found == m_teams.end()) {
    return static_cast<double>(size());
  }
  const auto& queue = found->second;
  const double active = m_active_weight + (queue.calls.empty() ? queue.weight : 0.0);
  const double by_share = static_cast<double>(queue.calls.size()) * active / queue.weight;
  return std::min(by_share, static_cast<double>(size()));
}

}  // namespace arbutusdale::routing
