// Sums the workers of a shard by kind.
#include "arbutusdale/sched/shard_room.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace arbutusdale::sched {
namespace {

std::uint64_t quotient(std::uint64_t capacity, std::uint64_t need) {
  return need == 0 ? std::numeric_limits<std::uint64_t>::max() : capacity / need;
}

/// Number of tasks that fit on an empty worker.
std::uint64_t tasks_that_fit(const Resources& capacity, const StepNeed& need) {
  const std::uint64_t fitting = std::min({quotient(capacity.cpu_millis, need.task.cpu_millis),
                                          quotient(capacity.memory_mib, need.task.memory_mib),
                                          quotient(capacity.accelerators, need.task.accelerators),
                                          std::uint64_t{std::max(need.tasks_at_once, 1U)}});
  return need.max_per_worker == 0 ? fitting : std::min(fitting, std::uint64_t{need.max_per_worker});
}

}  // namespace

void ShardRoom::add_to_kind(const Kind& kind, const Resources& capacity,
                            std::uint64_t free_millis) {
  Workers& workers = m_kinds[kind];
  workers.capacities.push_back(capacity);
  workers.capacity_millis += capacity.cpu_millis;
  workers.free_millis += static_cast<std::int64_t>(free_millis);
}

void ShardRoom::add_worker(const WorkerEntry& entry, std::uint64_t free_millis) {
  m_total_free_millis += static_cast<std::int64_t>(free_millis);
  add_to_kind({entry.service, ""}, entry.capacity, free_millis);
  const std::set<std::string> labels(entry.labels.begin(), entry.labels.end());
  for (const std::string& label : labels) {
    if (label.empty()) {
      continue;
    }
    add_to_kind({entry.service, label}, entry.capacity, free_millis);
  }
}

void ShardRoom::change_free(const std::string& service, const std::string& label,
                            std::int64_t millis) {
  const auto workers = m_kinds.find({service, label});
  if (workers == m_kinds.end()) {
    return;
  }
  workers->second.free_millis += millis;
  m_total_free_millis += millis;
  if (!label.empty()) {
    m_kinds.at({service, ""}).free_millis += millis;
  }
}

void ShardRoom::take(const std::string& service, const std::string& label,
                     std::uint64_t cpu_millis) {
  change_free(service, label, -static_cast<std::int64_t>(cpu_millis));
}

void ShardRoom::take(const JobNeed& need) {
  for (const LabelNeed& part : need.first) {
    take(need.service, part.label, part.cpu_millis);
  }
}

void ShardRoom::give_back(const JobNeed& need) {
  for (const LabelNeed& part : need.first) {
    change_free(need.service, part.label, static_cast<std::int64_t>(part.cpu_millis));
  }
}

bool ShardRoom::can_host(const std::string& service, const StepNeed& need) const {
  const auto workers = m_kinds.find({service, need.label});
  if (workers == m_kinds.end()) {
    return false;
  }
  std::uint64_t fitting = 0;
  for (const Resources& capacity : workers->second.capacities) {
    fitting += tasks_that_fit(capacity, need);
    if (fitting >= need.tasks_at_once) {
      return true;
    }
  }
  return false;
}

bool ShardRoom::can_host(const JobNeed& need) const {
  return std::all_of(need.steps.begin(), need.steps.end(),
                     [&](const StepNeed& step) { return can_host(need.service, step); });
}

std::uint64_t ShardRoom::capacity_millis(const std::string& service,
                                         const std::string& label) const {
  const auto found = m_kinds.find({service, label});
  return found == m_kinds.end() ? 0 : found->second.capacity_millis;
}

std::int64_t ShardRoom::free_millis(const std::string& service, const std::string& label) const {
  const auto found = m_kinds.find({service, label});
  return found == m_kinds.end() ? 0 : found->second.free_millis;
}

}  // namespace arbutusdale::sched
