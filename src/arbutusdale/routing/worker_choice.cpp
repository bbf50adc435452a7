// Choice of the worker for an attempt under each policy.
#include <algorithm>

#include "worker_pool.hpp"

namespace arbutusdale::routing {

bool WorkerPool::is_avoided(std::uint32_t index, const std::vector<std::string>& avoid) const {
  return std::find(avoid.begin(), avoid.end(), m_workers[index].id) != avoid.end();
}

// Starts at a random member and examines at most one more member than there are workers to avoid,
// which suffices to find a member that is not avoided.
std::optional<std::uint32_t> WorkerPool::pick(const IndexSet& set,
                                              const std::vector<std::string>& avoid) {
  if (set.empty()) {
    return std::nullopt;
  }
  const std::uint64_t start = random_index(m_random, set.size());
  const std::size_t steps = std::min<std::size_t>(avoid.size() + 1, set.size());
  for (std::size_t step = 0; step < steps; ++step) {
    const std::uint32_t index = set.at((start + step) % set.size());
    if (!is_avoided(index, avoid)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<std::uint32_t> WorkerPool::choose_own(const std::vector<std::string>& avoid) {
  return pick(m_own_free, avoid);
}

std::optional<std::uint32_t> WorkerPool::choose_random(const std::vector<std::string>& avoid) {
  return pick(m_open, avoid);
}

std::optional<std::uint32_t> WorkerPool::choose_least_loaded(
    const std::vector<std::string>& avoid) {
  for (const auto& level : m_by_load) {
    if (const auto index = pick(level, avoid)) {
      return index;
    }
  }
  return std::nullopt;
}

// Starts at a random worker, so that daemons that start together do not use the same worker at the
// same time. Falls back to a random open worker when the next `k_tries` workers are full.
std::optional<std::uint32_t> WorkerPool::choose_round_robin(const std::vector<std::string>& avoid) {
  constexpr std::uint32_t k_tries = 8;
  if (m_ranked.empty()) {
    return std::nullopt;
  }
  if (m_next_rank == 0) {
    m_next_rank = 1 + static_cast<std::uint32_t>(random_index(m_random, m_ranked.size()));
  }
  for (std::uint32_t i = 0; i < k_tries; ++i) {
    const std::uint32_t index = m_ranked[m_next_rank % m_ranked.size()];
    m_next_rank = 1 + m_next_rank % static_cast<std::uint32_t>(m_ranked.size());
    if (m_open.contains(index) && !is_avoided(index, avoid)) {
      return index;
    }
  }
  return choose_random(avoid);
}

std::optional<Choice> WorkerPool::choose(const std::vector<std::string>& avoid) {
  const auto as_choice = [](std::optional<std::uint32_t> index) -> std::optional<Choice> {
    return index ? std::optional<Choice>{Choice{*index, false}} : std::nullopt;
  };
  switch (m_options.policy) {
    case Policy::round_robin:
      return as_choice(choose_round_robin(avoid));
    case Policy::random:
      return as_choice(choose_random(avoid));
    case Policy::least_in_flight:
      return as_choice(choose_least_loaded(avoid));
    case Policy::slot_share:
      break;
  }
  if (const auto own = choose_own(avoid)) {
    return Choice{*own, false};
  }
  // A daemon without own slots may always borrow one; otherwise it could serve no calls.
  const std::uint32_t allowance =
      std::max<std::uint32_t>(m_own_slots == 0 ? 1 : 0, m_borrow_allowance + m_overflow_allowance);
  if (m_borrowed < allowance) {
    if (const auto borrowed = choose_least_loaded(avoid)) {
      return Choice{*borrowed, true};
    }
  }
  return as_choice(pick(m_reserve, avoid));
}

// A worker that failed this call is avoided as long as another one is usable, even when all of the
// others are busy.
std::vector<std::string> WorkerPool::effective_avoid(const std::vector<std::string>& avoid) const {
  std::uint32_t usable_avoided = 0;
  for (const auto& id : avoid) {
    const auto found = m_by_id.find(id);
    usable_avoided += found != m_by_id.end() && is_usable(m_workers[found->second]) ? 1 : 0;
  }
  return usable_avoided < m_usable ? avoid : std::vector<std::string>{};
}

std::optional<Choice> WorkerPool::take(const std::vector<std::string>& avoid, TimePoint now) {
  tick(now);
  auto choice = avoid.empty() ? choose(avoid) : choose(effective_avoid(avoid));
  if (!choice) {
    return std::nullopt;
  }
  ++m_workers[choice->worker].in_flight;
  m_borrowed += choice->borrowed ? 1 : 0;
  refresh(choice->worker);
  return choice;
}

}  // namespace arbutusdale::routing
