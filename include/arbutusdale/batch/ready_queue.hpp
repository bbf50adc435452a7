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

/// Quota and weight of one team in this shard.
struct TeamShare {
  std::optional<Resources> quota;  // nothing when the team has no quota
  std::uint32_t weight = 1;
};

/// A job with pending tasks.
struct ReadyJob {
  std::uint32_t job = 0;
  std::string team;
  std::uint32_t priority = 0;  // 0 to 9, 9 first
  bool urgent = false;
  Resources need;  // of one task
};

class ReadyQueue {
 public:
  /// Waiting time that raises a job by one priority level; bounds the wait of the lowest priority.
  static constexpr Duration k_aging_step = std::chrono::seconds{30};

  /// Sets the capacity of the shard, which the shares of the teams refer to.
  void set_capacity(const Resources& capacity) { m_capacity = capacity; }
  void set_team(const std::string& team, const TeamShare& share);

  /// Adds a job that has waited since `since`. Adding it again has no effect.
  void add(const ReadyJob& job, TimePoint since);
  void remove(std::uint32_t job);
  [[nodiscard]] bool contains(std::uint32_t job) const { return m_entries.contains(job); }

  /// Excludes the job until `until`; its waiting time goes on.
  void defer(std::uint32_t job, TimePoint until);
  /// Restarts the waiting time of a job after the start of one of its tasks, which puts the job
  /// behind others of its priority.
  void started(std::uint32_t job, TimePoint now);

  /// Job whose task is to be placed next, or nothing.
  std::optional<std::uint32_t> next(TimePoint now);

  /// Adds `amount` to the use of the team.
  void charge(const std::string& team, const Resources& amount);
  /// Subtracts `amount` from the use of the team.
  void release(const std::string& team, const Resources& amount);

  /// True when the team's quota admits `need` now. A team that uses nothing may run one task, so
  /// that a quota share smaller than a task does not block the team permanently.
  [[nodiscard]] bool within_quota(const std::string& team, const Resources& need) const;
  /// Jobs examined by the last call of `next`.
  [[nodiscard]] std::uint32_t last_examined() const { return m_last_examined; }

 private:
  /// A job ordered by the start of its waiting time, or by the end of its deferral.
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
  std::set<TimedJob> m_deferred;                       // by the end of the deferral
  std::uint32_t m_last_examined = 0;
};

/// Part of a fleet-wide quota that applies in one shard: `weight / total_weight / shards`.
Resources quota_share(const Resources& fleet_quota, std::uint64_t weight,
                      std::uint64_t total_weight, std::uint32_t shards);

}  // namespace arbutusdale::batch
