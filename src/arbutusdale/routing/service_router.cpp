// Admission and queueing of a service's calls; attempts and retries are in service_attempts.cpp.
#include "service_router.hpp"

#include "arbutusdale/core/hash.hpp"

#include <algorithm>

namespace arbutusdale::routing {
namespace {

PoolOptions pool_options(const ServiceConfig& config, const RouterOptions& options,
                         std::uint64_t seed) {
  return PoolOptions{options.policy, config.slots, config.connections, options.max_ejected_share,
                     seed};
}

// Daemons with the same configured seed must draw different numbers; otherwise they choose the same
// workers after a simultaneous restart.
std::uint64_t derive_seed(const ServiceConfig& config, const RouterOptions& options,
                          std::uint64_t part) {
  return stable_hash(options.daemon + "/" + config.name, options.seed * 4 + part);
}

}  // namespace

ServiceRouter::ServiceRouter(const ServiceConfig& config, const RouterOptions& options)
    : m_config{config},
      m_options{options},
      m_random{derive_seed(config, options, 0)},
      m_pool{pool_options(config, options, derive_seed(config, options, 1))},
      m_spill{options.cross_domain_cost, options.cross_domain_ramp,
              derive_seed(config, options, 2)},
      m_budget{options.retry_budget} {
  m_queue.set_teams({});
}

void ServiceRouter::set_config(const ServiceConfig& config, const std::vector<TeamConfig>& teams) {
  m_config = config;
  m_pool.set_options(config.slots, config.connections);
  m_queue.set_teams(teams);
}

void ServiceRouter::set_targets(const std::vector<TargetInfo>& targets, TimePoint now) {
  m_pool.set_targets(targets, now);
}

void ServiceRouter::set_peers(const std::vector<PeerInfo>& own_domain,
                              const std::vector<PeerInfo>& other_domains, TimePoint now) {
  std::uint32_t position = 0;
  std::uint32_t idle = 0;
  std::uint32_t borrowers = 1;
  m_peer_delay = Duration::zero();
  m_shortest_peer_delay = Duration::max();
  for (const auto& peer : own_domain) {
    position += peer.daemon < m_options.daemon ? 1 : 0;
    idle += peer.idle_slots;
    m_peer_delay += peer.queue_delay / static_cast<Duration::rep>(own_domain.size());
    borrowers += peer.idle_slots == 0 ? 1 : 0;
  }
  for (const auto& peer : own_domain) {
    m_shortest_peer_delay = std::min(m_shortest_peer_delay, peer.queue_delay);
  }
  m_peers = static_cast<std::uint32_t>(own_domain.size());
  m_pool.set_membership(m_peers + 1, position);
  // A daemon with idle slots does not borrow, so the idle slots are divided among the daemons that
  // have none.
  m_pool.set_borrow_allowance(idle / borrowers);
  m_spill.set_peers(other_domains, now);
}

void ServiceRouter::close(TimePoint now) {
  std::vector<CallId> waiting;
  for (const auto& [id, state] : m_calls) {
    if (state.stage != Stage::in_flight) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const CallId id : waiting) {
    remove_from_queue(id, m_calls.at(id));
    drop(id, ErrorCode::not_found, "the service was removed");
  }
  set_targets({}, now);
}

Duration ServiceRouter::expected_wait(double calls_ahead) const {
  if (m_pool.idle_slots() > 0 && calls_ahead < 1.0) {
    return Duration::zero();
  }
  const std::uint32_t capacity = m_pool.capacity();
  if (capacity == 0) {
    return Duration::max();
  }
  const double mean_us = static_cast<double>(m_pool.mean_latency().count());
  return Duration{static_cast<Duration::rep>((calls_ahead + 1.0) * mean_us / capacity)};
}

Result<void> ServiceRouter::check_admission(const Call& call, TimePoint now) {
  const Duration wait =
      expected_wait(m_queue.calls_ahead(call.team) + static_cast<double>(m_retries.size()));
  const Duration left = call.deadline - now;
  if (left <= Duration::zero()) {
    return not_run(ErrorCode::deadline_exceeded, "the deadline has passed");
  }
  if (wait == Duration::max()) {
    return not_run(ErrorCode::overloaded, "no target can serve the call");
  }
  if (wait > left - std::min(left, m_pool.mean_latency())) {
    return not_run(ErrorCode::overloaded, "the expected wait exceeds the deadline");
  }
  if (m_queue.size() < m_config.queue_limit) {
    return {};
  }
  const auto displaced = m_queue.displace_for(call.team);
  if (!displaced) {
    return not_run(ErrorCode::overloaded, "the queue is full");
  }
  m_deadlines.erase({m_calls.at(*displaced).call.deadline, *displaced});
  drop(*displaced, ErrorCode::overloaded, "the queue is full and the team is above its share");
  return {};
}

Result<void> ServiceRouter::submit(CallId id, const Call& call, TimePoint now) {
  advance(now);
  CallState state;
  state.call = call;
  state.ready = now;
  if (call.deadline == TimePoint{}) {
    state.call.deadline = now + m_config.timeout;
  }
  const Duration wait =
      expected_wait(m_queue.calls_ahead(call.team) + static_cast<double>(m_retries.size()));
  if (state.call.deadline > now && try_spill(id, state, wait, now)) {
    m_budget.record_call();
    ++m_counts.admitted;
    m_calls.emplace(id, std::move(state));
    return {};
  }
  if (auto admitted = check_admission(state.call, now); !admitted) {
    ++m_counts.refused;
    return admitted;
  }
  m_budget.record_call();
  ++m_counts.admitted;
  enqueue(id, m_calls.emplace(id, std::move(state)).first->second);
  dispatch(now);
  return {};
}

void ServiceRouter::enqueue(CallId id, CallState& state) {
  state.stage = Stage::queued;
  m_deadlines.emplace(state.call.deadline, id);
  if (state.is_retry) {
    m_retries.push_back(id);
  } else {
    m_queue.push(id, state.call.team);
  }
}

void ServiceRouter::remove_from_queue(CallId id, const CallState& state) {
  m_deadlines.erase({state.call.deadline, id});
  if (!m_queue.erase(id)) {
    std::erase(m_retries, id);
  }
}

void ServiceRouter::drop(CallId id, ErrorCode code, const char* message) {
  const auto found = m_calls.find(id);
  const Verdict verdict = found->second.may_have_run ? Verdict::may_have_run : Verdict::not_run;
  if (!found->second.cancelled) {
    m_dropped.push_back(DroppedCall{id, Error{code, verdict, message}});
  }
  m_calls.erase(found);
}

void ServiceRouter::drop_expired(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const CallId id = m_deadlines.begin()->second;
    remove_from_queue(id, m_calls.at(id));
    drop(id, ErrorCode::deadline_exceeded, "the deadline passed while the call waited");
  }
}

void ServiceRouter::cancel(CallId id, TimePoint) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  if (found->second.stage == Stage::in_flight) {
    found->second.cancelled = true;
    return;
  }
  remove_from_queue(id, found->second);
  m_calls.erase(found);
}

void ServiceRouter::advance(TimePoint now) {
  drop_expired(now);
  start_retries(now);
  m_pool.tick(now);
  dispatch(now);
}

// Between two load reports the queue of one daemon may grow while other daemons have free slots.
// This daemon then occupies additional slots, in proportion to how much longer its queue is than
// the mean of the others. When all queues are long, this would gain nothing and only lengthen the
// queues at the workers.
std::uint32_t ServiceRouter::overflow_slots() const {
  const auto mean = m_pool.mean_latency();
  if (m_peers == 0 || mean <= Duration::zero() || m_shortest_peer_delay > mean) {
    return 0;
  }
  const Duration wait = expected_wait(static_cast<double>(m_queue.size()));
  if (wait == Duration::max()) {
    return 0;
  }
  const double excess = std::chrono::duration<double>(wait - m_peer_delay) / mean;
  const double share = std::clamp(excess, 0.0, 1.0);
  return static_cast<std::uint32_t>(share * m_pool.capacity());
}

void ServiceRouter::dispatch(TimePoint now) {
  while (dispatch_retries(now)) {
  }
  while (const auto id = m_queue.front()) {
    m_pool.set_overflow_allowance(overflow_slots());
    if (!assign(*id, m_calls.at(*id), now)) {
      return;
    }
    m_queue.pop();
  }
}

TimePoint ServiceRouter::next_due() const {
  TimePoint due = m_pool.next_due();
  if (!m_deadlines.empty()) {
    due = std::min(due, m_deadlines.begin()->first);
  }
  if (!m_backoff.empty()) {
    due = std::min(due, m_backoff.top().first);
  }
  return due;
}

ServiceStats ServiceRouter::stats() const {
  ServiceStats stats = m_counts;
  stats.service = m_config.name;
  stats.queued = m_queue.size() + static_cast<std::uint32_t>(m_retries.size());
  stats.in_flight = m_in_flight;
  stats.idle_slots = stats.queued == 0 ? m_pool.idle_slots() : 0;
  stats.targets = m_pool.targets();
  stats.ejected = m_pool.ejected();
  stats.queue_delay = expected_wait(static_cast<double>(stats.queued));
  return stats;
}

}  // namespace arbutusdale::routing
