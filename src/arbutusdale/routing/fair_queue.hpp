// Weighted fair queue over teams (start-time fair queueing): a team within its share waits only for
// its own calls, regardless of the length of other teams' queues.
#pragma once

#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusdale::routing {

/// Queue of calls in weighted fair order. Not thread-safe.
class FairQueue {
 public:
  /// Sets the weights. Unlisted teams share one queue of weight 1, so that callers cannot gain a
  /// larger share with made-up team names.
  void set_teams(const std::vector<TeamConfig>& teams);

  void push(CallId call, const std::string& team);
  /// Next call in fair order, or nothing.
  [[nodiscard]] std::optional<CallId> front() const;
  /// Removes the next call and charges its team.
  void pop();
  /// Removes a queued call; false when it is not queued here.
  bool erase(CallId call);
  /// Makes room for a call of a team within its share: removes and returns the newest call of the
  /// team with the largest backlog (queued calls per weight). Removes and returns nothing unless
  /// the backlog of `team` plus one is smaller than that backlog.
  std::optional<CallId> displace_for(const std::string& team);

  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(m_locations.size());
  }
  /// Estimated number of calls that are served before a new call of `team`, given its weight.
  [[nodiscard]] double calls_ahead(const std::string& team) const;

 private:
  struct TeamQueue {
    double weight = 1.0;
    double start_tag = 0.0;  // virtual time at which the head may start
    std::list<CallId> calls;
  };
  struct Location {
    std::string team;
    std::list<CallId>::iterator position;
  };

  [[nodiscard]] const std::string& queue_name(const std::string& team) const;
  void remove(std::unordered_map<CallId, Location>::iterator location);
  void deactivate(const std::string& name, TeamQueue& queue);

  std::map<std::string, TeamQueue> m_teams;           // always holds the shared queue, named ""
  std::set<std::pair<double, std::string>> m_active;  // (start tag, team) of non-empty queues
  std::unordered_map<CallId, Location> m_locations;
  double m_virtual_time = 0.0;
  double m_active_weight = 0.0;
};

}  // namespace arbutusdale::routing
