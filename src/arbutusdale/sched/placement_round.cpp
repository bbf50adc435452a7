// Rankings of workers, updated as tasks are placed.
#include "arbutusdale/sched/placement_round.hpp"

#include <chrono>
#include <cstddef>

namespace arbutusdale::sched {
namespace {

// Eligible workers without a penalty that are compared by cost, from the best fit on.
constexpr std::size_t k_compared_workers = 6;
// From this cost on, a worker is avoided if another fits; see the penalties in placement.cpp.
constexpr double k_penalized_cost = 2;
// After this many ineligible workers, the best one found so far is taken.
constexpr std::size_t k_max_ineligible_workers = 48;
// Comparisons with all workers in a round, for tasks whose search has ended early without a worker.
constexpr std::size_t k_max_full_searches = 8;
// A step for which such a comparison finds no worker leaves the next ones to other steps this long.
constexpr Duration k_full_search_interval = std::chrono::seconds{1};

double free_cpu(const Worker& worker) {
  return static_cast<double>(minus(worker.entry.capacity, worker.committed).cpu_millis);
}

/// True when a ranking can serve the step's tasks; other tasks are compared with every worker.
bool has_simple_needs(const Step& step) {
  return !step.job->terms().advised() && step.spec->required_label().empty() &&
         step.spec->preferred_rack().empty() && !step.spec->same_rack() &&
         step.spec->tail_target_ms() == 0;
}

}  // namespace

PlacementRound::PlacementRound(const PlacementView& view) : m_view(view) {}

std::optional<WorkerSlot> PlacementRound::choose(const Task& task) {
  const Step& step = *task.step;
  const bool examines_all = !has_simple_needs(step) || task.crashes.is_suspect() ||
                            awaits_late_start(m_view, task) || may_use_quarantined(m_view, task);
  if (examines_all) {
    m_workers_examined += m_view.workers.all().size();
    return choose_worker(m_view, task);
  }
  return step.spec->opportunistic() ? choose_by_image(task) : choose_by_fit(task);
}

PlacementRound::Ranking::iterator PlacementRound::reposition(Ranking& ranking,
                                                             Ranking::iterator stale, double rank,
                                                             double min_rank) {
  const WorkerSlot slot = stale->slot;
  const auto next = ranking.erase(stale);
  const auto moved = ranking.insert({rank, slot}).first;
  const bool comes_next = rank >= min_rank && (next == ranking.end() || *moved < *next);
  return comes_next ? moved : next;
}

PlacementRound::Ranking& PlacementRound::free_cpu_ranking(const std::string& service) {
  const auto [found, added] = m_free_cpu_rankings.try_emplace(service);
  Ranking& ranking = found->second;
  if (!added) {
    return ranking;
  }
  m_workers_examined += m_view.workers.all().size();
  for (const auto& worker : m_view.workers.all()) {
    if (accepts_tasks(*worker, service, m_view.now)) {
      ranking.insert({free_cpu(*worker), worker->slot});
    }
  }
  return ranking;
}

std::optional<WorkerSlot> PlacementRound::choose_by_fit(const Task& task) {
  Ranking& ranking = free_cpu_ranking(task.step->job->terms().service());
  const auto need = static_cast<double>(task.step->need.cpu_millis);
  std::optional<WorkerSlot> best;
  double best_cost = 0;
  std::size_t unpenalized = 0;
  std::size_t ineligible = 0;
  for (auto next = ranking.lower_bound({need, 0}); next != ranking.end();) {
    const Ranked ranked = *next;
    const Worker& worker = m_view.workers.at(ranked.slot);
    ++m_workers_examined;
    if (const double rank = free_cpu(worker); rank != ranked.rank) {
      next = reposition(ranking, next, rank, need);
      continue;
    }
    ++next;
    if (!is_eligible(m_view, worker, task)) {
      if (++ineligible >= k_max_ineligible_workers) {
        return best ? best : search_all(task);
      }
      continue;
    }
    const double cost = placement_cost(m_view, worker, task);
    if (!best || cost < best_cost) {
      best = ranked.slot;
      best_cost = cost;
    }
    unpenalized += cost < k_penalized_cost ? 1 : 0;
    if (unpenalized >= k_compared_workers) {
      break;
    }
  }
  return best;
}

std::optional<WorkerSlot> PlacementRound::search_all(const Task& task) {
  Step& step = *task.step;
  if (m_full_searches >= k_max_full_searches || m_view.now < step.next_full_search_at) {
    return std::nullopt;
  }
  ++m_full_searches;
  m_workers_examined += m_view.workers.all().size();
  const auto slot = choose_worker(m_view, task);
  if (!slot) {
    step.next_full_search_at = m_view.now + k_full_search_interval;
  }
  return slot;
}

PlacementRound::Ranking& PlacementRound::image_ranking(const Task& task) {
  const Step& step = *task.step;
  const auto [found, added] =
      m_image_rankings.try_emplace(ServiceImage{step.job->terms().service(), step.image});
  Ranking& ranking = found->second;
  if (!added) {
    return ranking;
  }
  m_workers_examined += m_view.workers.all().size();
  for (const auto& worker : m_view.workers.all()) {
    const bool usable = accepts_tasks(*worker, step.job->terms().service(), m_view.now) &&
                        accepts_image(m_view, *worker, step.image);
    if (usable) {
      ranking.insert({image_cost(m_view, *worker, step.image), worker->slot});
    }
  }
  return ranking;
}

std::optional<WorkerSlot> PlacementRound::choose_by_image(const Task& task) {
  Ranking& ranking = image_ranking(task);
  std::optional<WorkerSlot> best;
  double best_cost = 0;
  std::size_t ineligible = 0;
  for (auto next = ranking.begin(); next != ranking.end();) {
    const Ranked ranked = *next;
    const Worker& worker = m_view.workers.at(ranked.slot);
    if (best && ranked.rank >= best_cost) {
      break;
    }
    ++m_workers_examined;
    const double rank = image_cost(m_view, worker, task.step->image);
    if (rank != ranked.rank) {
      next = reposition(ranking, next, rank, rank);
      continue;
    }
    ++next;
    if (!is_eligible(m_view, worker, task)) {
      if (++ineligible >= k_max_ineligible_workers) {
        return best ? best : search_all(task);
      }
      continue;
    }
    const double cost = placement_cost(m_view, worker, task);
    if (!best || cost < best_cost) {
      best = ranked.slot;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace arbutusdale::sched
