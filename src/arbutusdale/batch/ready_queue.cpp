// Fair shares, quotas and aging.
#include "arbutusdale/batch/ready_queue.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

// Jobs of one priority examined while the oldest ones exceed the quota; bounds the cost of `next`.
constexpr std::uint32_t k_quota_lookahead = 4;

double ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

Resources quota_share(const Resources& fleet_quota, std::uint64_t weight,
                      std::uint64_t total_weight, std::uint32_t shards) {
  const std::uint64_t parts = std::max<std::uint64_t>(1, total_weight * shards);
  return Resources{fleet_quota.cpu_millis * weight / parts, fleet_quota.memory_mib * weight / parts,
                   static_cast<std::uint32_t>(fleet_quota.accelerators * weight / parts)};
}

void ReadyQueue::set_team(const std::string& team, const TeamShare& share) {
  m_teams[team].share = share;
}

void ReadyQueue::link(const Entry& entry) {
  Team& team = m_teams[entry.job.team];
  PriorityLevels& levels = entry.job.urgent ? team.urgent : team.normal;
  levels[entry.job.priority].insert(TimedJob{entry.since, entry.job.job});
}

void ReadyQueue::unlink(const Entry& entry) {
  if (entry.deferred_until) {
    m_deferred.erase(TimedJob{*entry.deferred_until, entry.job.job});
    return;
  }
  Team& team = m_teams[entry.job.team];
  PriorityLevels& levels = entry.job.urgent ? team.urgent : team.normal;
  std::set<TimedJob>& jobs = levels[entry.job.priority];
  jobs.erase(TimedJob{entry.since, entry.job.job});
  if (jobs.empty()) {
    levels.erase(entry.job.priority);
  }
}

void ReadyQueue::add(const ReadyJob& job, TimePoint since) {
  const auto [found, added] = m_entries.try_emplace(job.job, Entry{job, since, {}});
  if (added) {
    link(found->second);
  }
}

void ReadyQueue::remove(std::uint32_t job) {
  const auto found = m_entries.find(job);
  if (found == m_entries.end()) {
    return;
  }
  unlink(found->second);
  m_entries.erase(found);
}

void ReadyQueue::defer(std::uint32_t job, TimePoint until) {
  const auto found = m_entries.find(job);
  if (found == m_entries.end()) {
    return;
  }
  unlink(found->second);
  found->second.deferred_until = until;
  m_deferred.insert(TimedJob{until, job});
}

void ReadyQueue::started(std::uint32_t job, TimePoint now) {
  const auto found = m_entries.find(job);
  if (found == m_entries.end() || found->second.deferred_until) {
    return;
  }
  unlink(found->second);
  found->second.since = now;
  link(found->second);
}

void ReadyQueue::requeue_deferred(TimePoint now) {
  while (!m_deferred.empty() && m_deferred.begin()->time <= now) {
    Entry& entry = m_entries.at(m_deferred.begin()->job);
    m_deferred.erase(m_deferred.begin());
    entry.deferred_until.reset();
    link(entry);
  }
}

double ReadyQueue::weighted_dominant_share(const Team& team) const {
  const double used = std::max({ratio(team.used.cpu_millis, m_capacity.cpu_millis),
                                ratio(team.used.memory_mib, m_capacity.memory_mib),
                                ratio(team.used.accelerators, m_capacity.accelerators)});
  return used / std::max(1U, team.share.weight);
}

bool ReadyQueue::within_quota(const std::string& team, const Resources& need) const {
  const auto found = m_teams.find(team);
  if (found == m_teams.end() || !found->second.share.quota) {
    return true;
  }
  return is_zero(found->second.used) ||
         fits(plus(found->second.used, need), *found->second.share.quota);
}

std::optional<std::uint32_t> ReadyQueue::best_of_team(const std::string& name,
                                                      const PriorityLevels& levels, TimePoint now) {
  std::optional<std::uint32_t> best;
  double best_rank = 0;
  for (const auto& [priority, jobs] : levels) {
    std::uint32_t examined = 0;
    for (const TimedJob& waiting : jobs) {
      if (++examined > k_quota_lookahead) {
        break;
      }
      ++m_last_examined;
      if (!within_quota(name, m_entries.at(waiting.job).job.need)) {
        continue;
      }
      const double age = std::chrono::duration<double>(now - waiting.time) /
                         std::chrono::duration<double>(k_aging_step);
      const double rank = priority + age;
      if (!best || rank > best_rank) {
        best = waiting.job;
        best_rank = rank;
      }
      break;
    }
  }
  return best;
}

std::optional<std::uint32_t> ReadyQueue::best_of_kind(bool urgent, TimePoint now) {
  std::optional<std::uint32_t> best;
  double best_share = 0;
  for (const auto& [name, team] : m_teams) {
    const PriorityLevels& levels = urgent ? team.urgent : team.normal;
    if (levels.empty()) {
      continue;
    }
    const double share = weighted_dominant_share(team);
    if (best && share >= best_share) {
      continue;
    }
    const std::optional<std::uint32_t> candidate = best_of_team(name, levels, now);
    if (candidate) {
      best = candidate;
      best_share = share;
    }
  }
  return best;
}

std::optional<std::uint32_t> ReadyQueue::next(TimePoint now) {
  m_last_examined = 0;
  requeue_deferred(now);
  const std::optional<std::uint32_t> urgent = best_of_kind(true, now);
  return urgent ? urgent : best_of_kind(false, now);
}

void ReadyQueue::charge(const std::string& team, const Resources& amount) {
  Team& entry = m_teams[team];
  entry.used = plus(entry.used, amount);
}

void ReadyQueue::release(const std::string& team, const Resources& amount) {
  Team& entry = m_teams[team];
  entry.used = minus(entry.used, amount);
}

}  // namespace arbutusdale::batch
