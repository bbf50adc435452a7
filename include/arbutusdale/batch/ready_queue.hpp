// Order in which the jobs of a shard get capacity: urgent work first, weighted fair shares and
// quotas between teams, priorities with aging within a team.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace arbutusdale::batch {

/// Share of one team in this shard.
struct TeamShare {
  std::optional<Resources> quota;  // nothing when the team has no quota
  std::uint32_t weight = 1;
};

/// A job with tasks to start.
struct ReadyJob {
  std::uint32_t job = 0;
  std::string team;
  std::uint32_t priority = 0;  // 0 to 9, 9 first
  bool urgent = false;
  Resources need;  // of one task
};

class ReadyQueue {
 public:
  /// Gain of one priority level per this time of waiting; bounds the wait of the lowest priority.
  static constexpr Duration k_aging_step = std::chrono::seconds{30};

  /// Capacity of the shard; shares are measured against it.
  void set_capacity(const Resources& capacity) { m_capacity = capacity; }
  void set_team(const std::string& team, const TeamShare& share);

  /// Adds a job that waits since `since`. Adding it again has no effect.
  void add(const ReadyJob& job, TimePoint since);
  void remove(std::uint32_t job);
  [[nodiscard]] bool contains(std::uint32_t job) const { return m_entries.contains(job); }

  /// Leaves the job out until `until`; it keeps its age.
  void defer(std::uint32_t job, TimePoint until);
  /// One task of the job was started: its age starts again, behind its equals.
  void started(std::uint32_t job, TimePoint now);

  /// Job that gets the next capacity, or nothing.
  std::optional<std::uint32_t> next(TimePoint now);

  void charge(const std::string& team, const Resources& amount);
  void release(const std::string& team, const Resources& amount);

  /// True when the team's quota admits `need` now. A team that uses nothing may run one task, so
  /// that a quota share smaller than a task does not block the team for good.
  [[nodiscard]] bool within_quota(const std::string& team, const Resources& need) const;
  [[nodiscard]] std::uint32_t last_examined() const { return m_last_examined; }

 private:
  struct TimedJob {
    TimePoint time;
    std::uint32_t job = 0;

    friend bool operator<(const TimedJob& a, const TimedJob& b) {
      return std::tie(a.time, a.job) < std::tie(b.time, b.job);
    }
  };
  struct Team {
    TeamShare share;
    Resources used;
    std::map<std::uint32_t, std::set<TimedJob>> urgent;  // by priority, oldest first
    std::map<std::uint32_t, std::set<TimedJob>> normal;
  };
  struct Entry {
    ReadyJob job;
    TimePoint since{};
    std::optional<TimePoint> deferred_until;
  };
  using PriorityLevels = std::map<std::uint32_t, std::set<TimedJob>>;

  void link(const Entry& entry);
  void unlink(const Entry& entry);
  void requeue_deferred(TimePoint now);
  [[nodiscard]] double weighted_dominant_share(const Team& team) const;
  std::optional<std::uint32_t> best_of_team(const std::string& name, const PriorityLevels& levels,
                                            TimePoint now);
  std::optional<std::uint32_t> best_of_kind(bool urgent, TimePoint now);

  Resources m_capacity;
  std::map<std::string, Team> m_teams;
  std::unordered_map<std::uint32_t, Entry> m_entries;  // all jobs, linked or deferred
  std::set<TimedJob> m_deferred;                       // by the time of waking
  std::uint32_t m_last_examined = 0;
};

/// Part of a fleet-wide quota that one shard grants: `weight / total_weight / shards`.
Resources quota_share(const Resources& fleet_quota, std::uint64_t weight,
                      std::uint64_t total_weight, std::uint32_t shards);

}  // namespace arbutusdale::batch
