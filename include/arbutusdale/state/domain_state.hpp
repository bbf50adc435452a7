// Replicated state of one failure domain's stream: incarnations, shard terms and task progress.
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

/// Reason of an `IncarnationEnded` record that a daemon writes of itself at a graceful stop.
inline constexpr const char* k_reason_left = "left";

/// Ownership of one shard. The term is the offset of the claim and the workers' fencing token.
struct ShardOwner {
  std::uint32_t shard = 0;
  std::uint64_t term = 0;  // 0 when the shard was never claimed
  std::string daemon;
  std::uint64_t incarnation = 0;
  bool owned = false;  // false after a release or the end of the holder's incarnation
};

/// What is recorded of one job in this failure domain.
struct JobRecord {
  TaskSet succeeded;
  TaskSet failed;                                                 // given up
  std::map<std::uint32_t, proto::state::TaskEntry> task_entries;  // retries, checkpoints, notes
  std::uint32_t evictions = 0;
};

/// State machine of a failure domain's stream. `apply` uses only the record and the state before.
class DomainState {
 public:
  DomainState() = default;
  DomainState(const DomainState&) = delete;
  DomainState& operator=(const DomainState&) = delete;
  virtual ~DomainState() = default;

  /// Applies one record. A record id that was applied before has no effect. A record that carries
  /// a term is ignored unless the term is current. Fails on an unknown record type or format.
  virtual Result<void> apply(std::uint64_t offset, const proto::state::Record& record) = 0;

  /// Owner of a shard; a shard that was never claimed has term 0.
  [[nodiscard]] virtual ShardOwner shard(std::uint32_t shard) const = 0;
  /// Incarnations that joined, in the order of their joining; ended ones are kept for a while.
  [[nodiscard]] virtual std::vector<proto::state::IncarnationEntry> incarnations() const = 0;
  /// True when the incarnation has joined and has not been ended.
  [[nodiscard]] virtual bool is_alive(const std::string& daemon,
                                      std::uint64_t incarnation) const = 0;
  /// Progress of a job, or null when nothing is recorded. In a job that was retired all tasks count
  /// as succeeded, so that a holder which still finds it in the declaration starts none.
  [[nodiscard]] virtual const JobRecord* job(const std::string& name) const = 0;
  [[nodiscard]] virtual std::vector<std::string> jobs() const = 0;
  /// Quarantines in force or past, newest per worker.
  [[nodiscard]] virtual std::vector<proto::state::WorkerQuarantined> quarantines() const = 0;
  /// Moves between shards in the order of the log.
  [[nodiscard]] virtual const std::vector<proto::state::TasksMoved>& moves() const = 0;
  [[nodiscard]] virtual bool has_record(const std::string& record_id) const = 0;

  [[nodiscard]] virtual proto::state::DomainSnapshot snapshot() const = 0;
  virtual void restore(const proto::state::DomainSnapshot& snapshot) = 0;
};

std::unique_ptr<DomainState> make_domain_state(std::string domain);

/// Tasks of `job` that belong to one shard: the range dealt by the declaration, as changed by
/// the moves recorded in the domain's stream. The same on every daemon.
TaskSet assigned_tasks(const proto::state::Declaration& declaration,
                       const proto::state::JobDecl& job, const DomainState& domain_state,
                       const std::string& domain, std::uint32_t shard);

/// Shard of a worker: rendezvous hash of its id over the failure domain's shards.
std::uint32_t shard_of_worker(const std::string& worker, std::uint32_t shards);

/// Shards of a declared failure domain; `k_default_shards` when the declaration gives none.
std::uint32_t shard_count(const proto::state::Declaration& declaration, const std::string& domain);

}  // namespace arbutusdale::state
