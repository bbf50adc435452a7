// Replicated state built from the `global` stream: configuration, plans, cancellations and job
// totals. Every daemon applies the same records in the same order and reaches the same state.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::state {

/// State machine of the `global` stream. `apply` is deterministic: its result depends only on the
/// record, its offset and the previous state.
class GlobalState {
 public:
  GlobalState() = default;
  GlobalState(const GlobalState&) = delete;
  GlobalState& operator=(const GlobalState&) = delete;
  virtual ~GlobalState() = default;

  /// Applies one record. A record whose id was already applied has no effect. Fails on an unknown
  /// record type or format; the caller must then stop following the stream.
  virtual Result<void> apply(std::uint64_t offset, const proto::state::Record& record) = 0;

  /// Version of the configuration: the number of confirmed plans. Never decreases.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  [[nodiscard]] virtual const proto::state::Declaration& declaration() const = 0;
  /// Configuration version in which the object last changed; 0 if it never existed.
  [[nodiscard]] virtual std::uint64_t object_version(const std::string& kind,
                                                     const std::string& name) const = 0;
  /// Plan with this id, or null. States: proposed, confirmed, refused (a precondition no longer
  /// holds), rejected (by an operator), cancelled, done.
  [[nodiscard]] virtual const proto::state::PlanEntry* plan(const std::string& id) const = 0;
  /// Plans in the order in which they were proposed, at most `k_max_plans_kept`.
  [[nodiscard]] virtual std::vector<const proto::state::PlanEntry*> plans() const = 0;
  [[nodiscard]] virtual bool is_cancelled(const std::string& job) const = 0;
  /// Latest totals of each job per failure domain.
  [[nodiscard]] virtual std::vector<proto::state::JobProgress> progress() const = 0;
  /// True if a record with this id was applied, as far as the bounded set of ids reaches.
  [[nodiscard]] virtual bool has_record(const std::string& record_id) const = 0;

  [[nodiscard]] virtual proto::state::GlobalSnapshot snapshot() const = 0;
  virtual void restore(const proto::state::GlobalSnapshot& snapshot) = 0;
};

std::unique_ptr<GlobalState> make_global_state();

}  // namespace arbutusdale::state
