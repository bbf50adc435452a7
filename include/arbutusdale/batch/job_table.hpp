// Jobs of a shard and the state of their tasks: never started, waiting for another attempt, or live
// (with an attempt whose end is not recorded). Filled from the declaration and the recorded
// progress.
#pragma once

#include "arbutusdale/batch/runner_model.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusdale::batch {

/// A task taken from the table to start its next attempt.
struct TakenTask {
  std::uint32_t task = 0;
  NextAttempt next;
};

class JobTable {
 public:
  JobTable(const state::GlobalState& global, const state::DomainState& domain, std::string name,
           std::uint32_t shard)
      : m_global(global), m_domain(domain), m_domain_name(std::move(name)), m_shard(shard) {}

  [[nodiscard]] Job& job(JobId id) { return *m_jobs.at(id); }
  [[nodiscard]] const Job& job(JobId id) const { return *m_jobs.at(id); }
  [[nodiscard]] bool exists(JobId id) const { return id < m_jobs.size() && m_jobs[id]; }
  /// Number of ids assigned so far; ids are not reused.
  [[nodiscard]] std::size_t ids() const { return m_jobs.size(); }
  /// Removes a job that nothing refers to.
  void drop(JobId id);
  [[nodiscard]] std::optional<JobId> find(const std::string& name) const;

  /// Id of the job; a job that is not in the table yet is added as undeclared.
  JobId intern(const std::string& name);

  /// Index of a job class; a new name gets the next index.
  ClassId class_of(const std::string& name);

  /// Adds the job, or updates its declaration and its assigned tasks. Returns its id, or nothing
  /// when the job is new and none of its tasks is assigned to this shard.
  std::optional<JobId> declare(const proto::state::JobDecl& decl);

  /// Takes the next pending task, those that wait for another attempt first.
  std::optional<TakenTask> take(Job& job);
  /// Puts a taken task back among those that wait for another attempt.
  static void put_back(Job& job, std::uint32_t task, NextAttempt next);

  /// Removes the task from the pending ones because an attempt of it is known.
  static void remove_pending(Job& job, std::uint32_t task);
  /// Removes all pending tasks; used when the job is cancelled.
  static void clear_pending(Job& job);

  /// Next attempt of a task according to the recorded progress.
  [[nodiscard]] NextAttempt next_attempt(const std::string& job, std::uint32_t task) const;
  /// True when the end of this attempt, or of the whole task, is recorded.
  [[nodiscard]] bool is_recorded(const std::string& job, std::uint32_t task,
                                 std::uint32_t attempt) const;
  [[nodiscard]] bool is_finished(const std::string& job, std::uint32_t task) const;

 private:
  void assign(Job& job, const state::TaskSet& assigned);

  const state::GlobalState& m_global;
  const state::DomainState& m_domain;
  std::string m_domain_name;
  std::uint32_t m_shard;
  std::vector<std::unique_ptr<Job>> m_jobs;
  std::unordered_map<std::string, JobId> m_ids;
  std::unordered_map<std::string, ClassId> m_classes;
};

}  // namespace arbutusdale::batch
