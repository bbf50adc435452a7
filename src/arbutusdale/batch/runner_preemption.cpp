// Reservation and preemption for jobs that find no worker. A worker is reserved for a job that
// smaller tasks would starve; urgent work preempts other work on the worker where that costs least.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

// With the backoff between searches these misses take about 10 s.
constexpr std::uint32_t k_misses_to_reserve = 16;
constexpr Duration k_reservation = std::chrono::seconds{60};
constexpr Duration k_urgent_reservation = std::chrono::seconds{5};
// One worker in this many may be reserved for work that is not urgent.
constexpr std::size_t k_workers_per_reservation = 20;
constexpr std::size_t k_max_urgent_reservations = 8;
// Workers examined for one preemption; bounds its cost.
constexpr std::size_t k_max_candidates = 64;
constexpr double k_restart_cost_ms = 3'000;

}  // namespace

bool Runner::is_reserved_for_other(const Worker& worker, JobId id) const {
  return worker.reserved_for && *worker.reserved_for != id && m_now < worker.reserved_until;
}

std::size_t Runner::reservations_of(std::optional<JobId> id) const {
  return static_cast<std::size_t>(
      std::count_if(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
        return worker.reserved_for && m_now < worker.reserved_until &&
               (!id || *worker.reserved_for == *id);
      }));
}

void Runner::reserve_or_preempt(JobId id, const Resources& need) {
  const Job& job = m_jobs.job(id);
  if (job.decl.urgent()) {
    const std::uint64_t wanted = std::min<std::uint64_t>(job.pending(), k_max_urgent_reservations);
    if (reservations_of(id) < wanted) {
      preempt_for(id, need);
    }
    return;
  }
  const std::size_t limit = std::max<std::size_t>(1, m_workers.size() / k_workers_per_reservation);
  if (job.misses >= k_misses_to_reserve && reservations_of(id) == 0 &&
      reservations_of(std::nullopt) < limit) {
    reserve_emptiest(id, need);
  }
}

// Reserves the worker with the most free processors among those that can hold the task when empty.
void Runner::reserve_emptiest(JobId id, const Resources& need) {
  Worker* best = nullptr;
  std::uint64_t most = 0;
  for (WorkerSlot slot = 0; slot < m_workers.size(); ++slot) {
    Worker& worker = m_workers[slot];
    const PlacementNode& node = m_placement.node(slot);
    if (!takes_starts(worker) || is_reserved_for_other(worker, id) || !fits(need, node.capacity) ||
        !interference_cost(slot, m_jobs.job(id), need)) {
      continue;
    }
    if (best == nullptr || node.free.cpu_millis > most) {
      best = &worker;
      most = node.free.cpu_millis;
    }
  }
  if (best != nullptr) {
    best->reserved_for = id;
    best->reserved_until = m_now + k_reservation;
  }
}

// Chooses attempts to evict, cheapest first, until `need` is free on the worker; returns nothing if
// evicting all of them does not suffice. Urgent attempts and those that are being stopped are not
// evicted.
std::optional<Runner::PreemptionPlan> Runner::plan_preemption(WorkerSlot slot,
                                                              const Resources& need) const {
  const Worker& worker = m_workers[slot];
  std::vector<PreemptionPlan::Victim> victims;
  for (const auto& [key, attempt] : worker.attempts) {
    const Job& owner = m_jobs.job(key.job);
    if (attempt.phase != AttemptPhase::running || attempt.stop != StopReason::none ||
        owner.decl.urgent()) {
      continue;
    }
    const double lost = owner.decl.checkpoint() ? 0.0 : static_cast<double>(attempt.run_ms);
    victims.push_back({key, attempt.charged_amount, k_restart_cost_ms + lost});
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [](const auto& a, const auto& b) { return a.cost < b.cost; });
  PreemptionPlan plan;
  Resources free = m_placement.node(slot).free;
  for (const PreemptionPlan::Victim& victim : victims) {
    if (fits(need, free)) {
      break;
    }
    free = plus(free, victim.amount);
    plan.cost += victim.cost;
    plan.victims.push_back(victim);
  }
  return fits(need, free) ? std::optional<PreemptionPlan>{std::move(plan)} : std::nullopt;
}

void Runner::preempt_for(JobId id, const Resources& need) {
  std::optional<PreemptionPlan> best;
  WorkerSlot chosen = 0;
  const std::size_t count = std::min(m_workers.size(), k_max_candidates);
  for (std::size_t i = 0; i < count; ++i) {
    m_preemption_cursor = static_cast<WorkerSlot>((m_preemption_cursor + 1) % m_workers.size());
    const Worker& worker = m_workers[m_preemption_cursor];
    const bool reserved = worker.reserved_for && m_now < worker.reserved_until;
    if (reserved || !takes_starts(worker) ||
        !interference_cost(m_preemption_cursor, m_jobs.job(id), need)) {
      continue;
    }
    std::optional<PreemptionPlan> plan = plan_preemption(m_preemption_cursor, need);
    if (plan && (!best || plan->cost < best->cost)) {
      best = std::move(plan);
      chosen = m_preemption_cursor;
    }
  }
  if (!best) {
    return;
  }
  m_workers[chosen].reserved_for = id;
  m_workers[chosen].reserved_until = m_now + k_urgent_reservation;
  for (const PreemptionPlan::Victim& victim : best->victims) {
    request_stop({chosen, victim.key}, StopReason::preempted);
  }
}

}  // namespace arbutusdale::batch
