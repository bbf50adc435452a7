// Workers of a shard by service and label, with their room. Whether a shard can run a job depends
// on the workers that have the service, labels and size that its tasks need, not on all of them.
#pragma once

#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/sched/job_need.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// Processors are in thousandths. Not thread-safe.
class ShardRoom {
 public:
  /// Counts a worker, with the processors that are not committed.
  void add_worker(const WorkerEntry& entry, std::uint64_t free_millis);
  /// Leaves out what tasks that wait, or that are on their way to the shard, will take. Tasks that
  /// no worker of the shard could run take nothing.
  void take(const std::string& service, const std::string& label, std::uint64_t cpu_millis);
  void take(const JobNeed& need);
  /// Undoes `take`.
  void give_back(const JobNeed& need);

  [[nodiscard]] bool is_empty() const { return m_kinds.empty(); }
  /// True when the workers could run each step of the job if nothing else ran on them.
  [[nodiscard]] bool can_host(const JobNeed& need) const;
  /// Processors of the service's workers that have the label; with an empty label, of all.
  [[nodiscard]] std::uint64_t capacity_millis(const std::string& service,
                                              const std::string& label) const;
  /// Processors of these workers that are left. Negative when more is needed than there is.
  [[nodiscard]] std::int64_t free_millis(const std::string& service,
                                         const std::string& label) const;
  /// What is left on the workers of all services.
  [[nodiscard]] std::int64_t total_free_millis() const { return m_total_free_millis; }

 private:
  struct Kind {
    std::string service;
    std::string label;  // empty: the workers with any labels

    // The check mistakes the comparison with zero inside for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Kind&, const Kind&) = default;
  };
  /// The workers of one kind. A worker with several labels is counted under each.
  struct Workers {
    std::vector<Resources> capacities;  // by worker
    std::uint64_t capacity_millis = 0;
    std::int64_t free_millis = 0;
  };

  void add_to_kind(const Kind& kind, const Resources& capacity, std::uint64_t free_millis);
  void change_free(const std::string& service, const std::string& label, std::int64_t millis);
  [[nodiscard]] bool can_host(const std::string& service, const StepNeed& need) const;

  std::map<Kind, Workers> m_kinds;  // each has a worker
  std::int64_t m_total_free_millis = 0;
};

}  // namespace arbutusdale::sched
