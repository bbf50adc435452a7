// Accounting of workers and slots; the choice of a worker is in worker_choice.cpp.
#include "worker_pool.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

constexpr Duration k_first_ejection = std::chrono::seconds{2};
constexpr Duration k_longest_ejection = std::chrono::seconds{60};
constexpr Duration k_slow_start = std::chrono::seconds{10};
constexpr double k_slow_start_share = 0.1;  // fraction of the normal rate when the ramp starts
constexpr Duration k_longest_hold = std::chrono::seconds{1};

}  // namespace

WorkerPool::WorkerPool(const PoolOptions& options)
    : m_options{options},
      m_random{options.seed},
      m_connection_share{connection_share(options.connections, 1)} {
  m_partition.slots = options.slots;
}

bool WorkerPool::is_usable(const Worker& worker) {
  return worker.listed && !worker.leaving && worker.in_subset &&
         worker.outlier == OutlierKind::none;
}

std::uint32_t WorkerPool::occupied(const Worker& worker) {
  return worker.in_flight + worker.held;
}

void WorkerPool::set_options(std::uint32_t slots, std::uint32_t connections) {
  if (slots == m_options.slots && connections == m_options.connections) {
    return;
  }
  m_options.slots = slots;
  m_options.connections = connections;
  partition_slots();
}

void WorkerPool::set_membership(std::uint32_t daemons, std::uint32_t position) {
  if (daemons == m_partition.daemons && position == m_partition.position) {
    return;
  }
  m_partition.daemons = daemons;
  m_partition.position = position;
  partition_slots();
}

std::uint32_t WorkerPool::index_of(const TargetInfo& target) {
  if (const auto found = m_by_id.find(target.worker); found != m_by_id.end()) {
    return found->second;
  }
  if (m_free_indices.empty()) {
    m_free_indices.push_back(static_cast<std::uint32_t>(m_workers.size()));
    m_workers.emplace_back();
  }
  const std::uint32_t index = m_free_indices.back();
  m_free_indices.pop_back();
  m_workers[index] = Worker{};
  m_workers[index].id = target.worker;
  m_by_id[target.worker] = index;
  return index;
}

void WorkerPool::set_targets(const std::vector<TargetInfo>& targets, TimePoint now) {
  const bool first_list = m_listed == 0;
  std::vector<bool> before(m_workers.size());
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    before[i] = m_workers[i].listed;
    m_workers[i].listed = false;
  }
  for (const auto& target : targets) {
    const std::uint32_t index = index_of(target);
    auto& worker = m_workers[index];
    const bool is_new =
        index >= before.size() || !before[index] || worker.address != target.address;
    worker.listed = true;
    worker.leaving = target.leaving;
    worker.address = target.address;
    if (!is_new) {
      continue;
    }
    worker.health = HealthAverage{k_health_weight};
    if (worker.outlier != OutlierKind::none) {
      worker.outlier = OutlierKind::none;
      --m_ejected;
    }
    worker.ramping = !first_list;  // without other workers a ramp only adds delay
    worker.ramp_start = now;
  }
  partition_slots();
}

void WorkerPool::partition_slots() {
  m_partition.slots = std::max<std::uint32_t>(1, m_options.slots);
  m_connection_share = connection_share(m_options.connections, m_partition.daemons);
  m_ranked.clear();
  m_listed = 0;
  for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
    m_workers[i].in_subset = false;
    m_workers[i].own_slots = 0;
    m_listed += m_workers[i].listed ? 1 : 0;
    if (m_workers[i].listed && !m_workers[i].leaving) {
      m_ranked.push_back(i);
    }
  }
  std::sort(m_ranked.begin(), m_ranked.end(),
            [this](auto a, auto b) { return m_workers[a].id < m_workers[b].id; });
  bool any_in_subset = false;
  for (std::uint32_t rank = 0; rank < m_ranked.size(); ++rank) {
    auto& worker = m_workers[m_ranked[rank]];
    worker.in_subset = is_in_subset(m_partition, rank);
    worker.own_slots = std::min(own_slots(m_partition, rank), m_connection_share);
    any_in_subset = any_in_subset || worker.in_subset;
  }
  if (!any_in_subset && !m_ranked.empty()) {  // more daemons than the workers' windows can hold
    m_workers[m_ranked[m_partition.position % m_ranked.size()]].in_subset = true;
  }
  for (std::uint32_t i = 0; i < m_workers.size(); ++i) {
    refresh(i);
  }
}

void WorkerPool::refresh(std::uint32_t index) {
  auto& worker = m_workers[index];
  refresh_sums(worker);
  refresh_sets(index, worker);
  if (!worker.listed && occupied(worker) == 0 && !worker.id.empty()) {
    if (worker.outlier != OutlierKind::none) {
      --m_ejected;
    }
    m_by_id.erase(worker.id);
    worker = Worker{};
    m_free_indices.push_back(index);
  }
}

void WorkerPool::refresh_sums(Worker& worker) {
  m_own_slots -= worker.counted_own;
  m_idle -= worker.counted_idle;
  m_usable -= worker.counted_usable ? 1 : 0;
  m_reserve_slots -= worker.counted_reserve;
  worker.counted_usable = is_usable(worker);
  worker.counted_own = worker.counted_usable ? worker.own_slots : 0;
  worker.counted_idle = worker.counted_own - std::min(worker.counted_own, occupied(worker));
  const bool reserve = worker.listed && !worker.leaving && worker.outlier == OutlierKind::latency;
  worker.counted_reserve = reserve ? worker.own_slots : 0;
  m_reserve_slots += worker.counted_reserve;
  m_own_slots += worker.counted_own;
  m_idle += worker.counted_idle;
  m_usable += worker.counted_usable ? 1 : 0;
}

void WorkerPool::refresh_sets(std::uint32_t index, Worker& worker) {
  const auto place = [index](IndexSet& set, bool member) {
    member ? set.insert(index) : set.erase(index);
  };
  const std::uint32_t load = occupied(worker);
  const bool open = is_usable(worker) && load < m_connection_share;
  place(m_own_free, worker.counted_idle > 0);
  place(m_open, open);
  place(m_reserve, worker.listed && !worker.leaving && worker.outlier == OutlierKind::latency &&
                       load < worker.own_slots);
  if (worker.counted_load < m_by_load.size()) {
    m_by_load[worker.counted_load].erase(index);
  }
  worker.counted_load = open ? load : k_not_open;
  if (!open) {
    return;
  }
  if (m_by_load.size() <= load) {
    m_by_load.resize(load + 1U);
  }
  m_by_load[load].insert(index);
}

void WorkerPool::release(const Choice& choice, const AttemptOutcome& outcome, TimePoint now) {
  auto& worker = m_workers[choice.worker];
  --worker.in_flight;
  m_borrowed -= choice.borrowed ? 1 : 0;
  const bool failed = is_failure(outcome.result);
  const bool has_latency = !failed || outcome.result == AttemptResult::timed_out;
  worker.health.record(failed, has_latency, outcome.latency);
  m_service.record(failed, !failed, outcome.latency);
  eject_if_outlier(choice.worker, now);
  hold_slot(choice.worker, outcome, now);
  refresh(choice.worker);
}

// A slot whose calls fail fast would be free more often than others and attract more calls, so it
// stays occupied for the mean latency of an answer. During slow start, a pause after each call
// limits the worker's rate.
void WorkerPool::hold_slot(std::uint32_t index, const AttemptOutcome& outcome, TimePoint now) {
  auto& worker = m_workers[index];
  const auto mean_us = m_service.latency_us();
  double pause_us = 0.0;
  if (is_failure(outcome.result)) {
    pause_us = mean_us - static_cast<double>(outcome.latency.count());
  }
  if (worker.ramping) {
    const auto age = std::chrono::duration<double>(now - worker.ramp_start);
    const double share = std::max(k_slow_start_share, age / k_slow_start);
    worker.ramping = share < 1.0;
    pause_us = std::max(pause_us, worker.ramping ? mean_us * (1.0 / share - 1.0) : 0.0);
  }
  if (pause_us < 1.0 || !worker.listed) {
    return;
  }
  const Duration pause{static_cast<Duration::rep>(pause_us)};
  ++worker.held;
  m_due.push(Due{now + std::min(pause, k_longest_hold), index, true});
}

void WorkerPool::eject_if_outlier(std::uint32_t index, TimePoint now) {
  auto& worker = m_workers[index];
  if (worker.outlier != OutlierKind::none || !worker.listed) {
    return;
  }
  const auto kind = detect_outlier(worker.health, m_service);
  const double limit = m_options.max_ejected_share * static_cast<double>(m_ranked.size());
  if (kind == OutlierKind::none || static_cast<double>(m_ejected + 1) > limit) {
    return;
  }
  if (now - worker.eject_until > k_longest_ejection) {
    worker.ejections = 0;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(worker.ejections++, 5);
  worker.outlier = kind;
  worker.eject_until = now + std::min(k_first_ejection * (1 << doublings), k_longest_ejection);
  ++m_ejected;
  m_due.push(Due{worker.eject_until, index, false});
}

void WorkerPool::end_ejection(std::uint32_t index, TimePoint now) {
  auto& worker = m_workers[index];
  if (worker.outlier == OutlierKind::none || worker.eject_until > now) {
    return;
  }
  --m_ejected;
  // A worker that was ejected for latency has still served as a reserve. A ramp would reduce the
  // capacity that queued calls wait for.
  worker.ramping = worker.outlier == OutlierKind::errors;
  worker.ramp_start = now;
  worker.outlier = OutlierKind::none;
  worker.health = HealthAverage{k_health_weight};
}

bool WorkerPool::tick(TimePoint now) {
  bool changed = false;
  while (!m_due.empty() && m_due.top().time <= now) {
    const Due due = m_due.top();
    m_due.pop();
    if (!due.hold) {
      end_ejection(due.worker, now);
    } else if (m_workers[due.worker].held > 0) {
      --m_workers[due.worker].held;
    }
    refresh(due.worker);
    changed = true;
  }
  return changed;
}

TimePoint WorkerPool::next_due() const {
  return m_due.empty() ? TimePoint::max() : m_due.top().time;
}

const std::string& WorkerPool::worker_id(std::uint32_t worker) const {
  return m_workers[worker].id;
}

const std::string& WorkerPool::address(std::uint32_t worker) const {
  return m_workers[worker].address;
}

std::uint32_t WorkerPool::idle_slots() const {
  return m_idle;
}

std::uint32_t WorkerPool::capacity() const {
  if (m_options.policy == Policy::slot_share) {
    const std::uint32_t own = std::max<std::uint32_t>(m_own_slots, m_usable > 0 ? 1 : 0);
    return own + m_reserve_slots + m_borrow_allowance;
  }
  return m_usable * m_connection_share;
}

Duration WorkerPool::mean_latency() const {
  return Duration{static_cast<Duration::rep>(m_service.latency_us())};
}

}  // namespace arbutusdale::routing
