// Replicated state built from one failure domain's stream: daemon incarnations, shard ownership,
// task progress, moves of tasks between shards, and worker quarantines.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"
#include "arbutusdale/state/task_set.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::state {

/// Reason in the `IncarnationEnded` record that a daemon writes for itself on graceful shutdown.
inline constexpr const char* k_reason_left = "left";

/// Ownership of one shard. The term is the log offset of the claim; workers use it as the fencing
/// token.
struct ShardOwner {
  std::uint32_t shard = 0;
  std::uint64_t term = 0;  // 0 if the shard was never claimed
  std::string daemon;
  std::uint64_t incarnation = 0;
  bool owned = false;  // false after a release or after the end of the owner's incarnation
};

/// Progress of one job in this failure domain.
struct JobRecord {
  TaskSet succeeded;
  TaskSet failed;  // failed permanently, not retried
  // Attempt numbers, checkpoints and notes by task; only tasks with something to keep.
  std::map<std::uint32_t, proto::state::TaskEntry> task_entries;
  std::uint32_t evictions = 0;  // attempts that ended with an eviction
};

/// State machine of a failure domain's stream. `apply` is deterministic: its result depends only on
/// the record, its offset and the previous state.
class DomainState {
 public:
  DomainState() = default;
  DomainState(const DomainState&) = delete;
  DomainState& operator=(const DomainState&) = delete;
  virtual ~DomainState() = default;

  /// Applies one record. A record whose id was already applied has no effect. A record that carries
  /// a term is ignored unless that term is current. Fails on an unknown record type or format.
  virtual Result<void> apply(std::uint64_t offset, const proto::state::Record& record) = 0;

  /// Ownership of a shard; the term is 0 if the shard was never claimed.
  [[nodiscard]] virtual ShardOwner shard(std::uint32_t shard) const = 0;
  /// Incarnations in the order in which they joined. Of the ended ones, the latest
  /// `k_max_ended_incarnations_kept` are kept.
  [[nodiscard]] virtual std::vector<proto::state::IncarnationEntry> incarnations() const = 0;
  /// True when the incarnation has joined and has not been ended.
  [[nodiscard]] virtual bool is_alive(const std::string& daemon,
                                      std::uint64_t incarnation) const = 0;
  /// Progress of a job, or null if nothing is recorded. All tasks of a retired job count as
  /// succeeded, so that a shard owner whose declaration still lists the job starts none of them.
  [[nodiscard]] virtual const JobRecord* job(const std::string& name) const = 0;
  [[nodiscard]] virtual std::vector<std::string> jobs() const = 0;
  /// Latest quarantine of each worker, including expired ones.
  [[nodiscard]] virtual std::vector<proto::state::WorkerQuarantined> quarantines() const = 0;
  /// Moves of tasks between shards, in log order.
  [[nodiscard]] virtual const std::vector<proto::state::TasksMoved>& moves() const = 0;
  [[nodiscard]] virtual bool has_record(const std::string& record_id) const = 0;

  [[nodiscard]] virtual proto::state::DomainSnapshot snapshot() const = 0;
  virtual void restore(const proto::state::DomainSnapshot& snapshot) = 0;
};

std::unique_ptr<DomainState> make_domain_state(std::string domain);

/// Tasks of `job` that belong to one shard: the range that the declaration gives the shard, with
/// the moves recorded in the domain's stream applied. The same on every daemon.
TaskSet assigned_tasks(const proto::state::Declaration& declaration,
                       const proto::state::JobDecl& job, const DomainState& domain_state,
                       const std::string& domain, std::uint32_t shard);

/// Shard that a worker belongs to: rendezvous hash of its id over the `shards` shards of its
/// failure domain.
std::uint32_t shard_of_worker(const std::string& worker, std::uint32_t shards);

/// Number of shards of a failure domain; `k_default_shards` if the declaration does not set it.
std::uint32_t shard_count(const proto::state::Declaration& declaration, const std::string& domain);

}  // namespace arbutusdale::state
