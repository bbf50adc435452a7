// Executes the steps of confirmed plans that apply to this failure domain.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "context.hpp"
#include "shard_manager.hpp"

namespace arbutusdale::control {

/// Step 0 of a plan is done when its configuration is in force in the failure domain; step N + 1 is
/// done when change N (counted from 0) has completed there. A step is recorded only after the
/// previous step of the same failure domain. Each daemon derives the open steps from the streams,
/// so any live daemon can continue a plan.
class PlanExecutor {
 public:
  PlanExecutor(const Context& context, const ShardManager& shards)
      : m_context(context), m_shards(shards) {}

  void tick(TimePoint now);

 private:
  using StepId = std::pair<std::string, std::uint32_t>;

  void advance(const proto::state::PlanEntry& entry, TimePoint now);
  void report_progress();
  /// Returns true when a record was proposed.
  bool report_job(const proto::state::JobDecl& job);
  [[nodiscard]] bool concerns_another_domain(const proto::state::Change& change) const;
  /// Shard whose holder records the step: for a drain the shard of the VM, since only its holder
  /// tracks the VM; otherwise one fixed shard.
  [[nodiscard]] std::uint32_t executor_shard(const proto::state::PlanEntry& entry,
                                             std::uint32_t step) const;
  [[nodiscard]] bool is_step_done(const proto::state::PlanEntry& entry, std::uint32_t step,
                                  TimePoint now, std::string& outcome);
  [[nodiscard]] bool config_in_force(std::uint64_t version, TimePoint now) const;
  [[nodiscard]] bool change_done(const proto::state::Change& change, std::string& outcome);
  [[nodiscard]] bool job_stopped(const std::string& job, std::string& outcome) const;
  [[nodiscard]] bool job_ended(const std::string& job, std::string& outcome);
  std::uint64_t assigned_here(const proto::state::JobDecl& job);
  [[nodiscard]] proto::state::JobProgress job_totals(const proto::state::JobDecl& job) const;

  Context m_context;
  const ShardManager& m_shards;
  std::set<StepId> m_proposed;                    // steps whose record is proposed and not yet seen
  std::map<std::string, std::string> m_reported;  // last totals proposed, by job
  std::map<std::string, std::uint64_t>
      m_assigned;           // tasks in this failure domain, by job and layout
  int m_report_cursor = 0;  // index of the job checked last
  TimePoint m_next_advance{};
  TimePoint m_next_progress{};
};

}  // namespace arbutusdale::control
