// Attempts of a service's calls: assignment, outcome, verdict and retries.
#include <algorithm>

#include "service_router.hpp"

namespace arbutusdale::routing {
namespace {

constexpr Duration k_first_backoff = std::chrono::milliseconds{5};
constexpr Duration k_longest_backoff = std::chrono::milliseconds{250};

/// True when the result proves that no target ran the call.
bool proves_not_run(AttemptResult result) {
  return result == AttemptResult::refused || result == AttemptResult::not_sent;
}

}  // namespace

bool ServiceRouter::assign(CallId id, CallState& state, TimePoint now) {
  const auto choice = m_pool.take(state.tried, now);
  if (!choice) {
    return false;
  }
  state.choice = *choice;
  state.to_peer = false;
  m_counts.borrowed += choice->borrowed ? 1 : 0;
  m_deadlines.erase({state.call.deadline, id});
  start_attempt(id, state, m_pool.worker_id(choice->worker), m_pool.address(choice->worker), now);
  return true;
}

void ServiceRouter::start_attempt(CallId id, CallState& state, const std::string& target,
                                  const std::string& address, TimePoint now) {
  state.stage = Stage::in_flight;
  ++state.attempts;
  state.tried.push_back(target);
  ++m_in_flight;
  m_assignments.push_back(
      Assignment{id, state.attempts, target, address, state.to_peer, now - state.ready});
}

bool ServiceRouter::try_spill(CallId id, CallState& state, Duration local_wait, TimePoint now) {
  if (state.call.forwarded || local_wait == Duration::zero()) {
    return false;
  }
  const auto target = m_spill.take(local_wait, m_pool.mean_latency(), state.tried, now);
  if (!target) {
    return false;
  }
  state.to_peer = true;
  ++m_counts.spilled;
  start_attempt(id, state, target->daemon, target->address, now);
  return true;
}

void ServiceRouter::start_retries(TimePoint now) {
  while (!m_backoff.empty() && m_backoff.top().first <= now) {
    const CallId id = m_backoff.top().second;
    m_backoff.pop();
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.stage != Stage::backoff) {
      continue;
    }
    found->second.ready = now;
    m_deadlines.erase({found->second.call.deadline, id});
    enqueue(id, found->second);
  }
}

// The first retry may have to wait for a worker that it has not tried. The next few are examined
// too, so that it does not block them.
bool ServiceRouter::dispatch_retries(TimePoint now) {
  constexpr std::size_t k_examined = 4;
  const std::size_t count = std::min(k_examined, m_retries.size());
  for (std::size_t i = 0; i < count; ++i) {
    const CallId id = m_retries[i];
    if (!assign(id, m_calls.at(id), now)) {
      continue;
    }
    m_retries.erase(m_retries.begin() + static_cast<std::ptrdiff_t>(i));
    return true;
  }
  return false;
}

void ServiceRouter::end_attempt(CallState& state, const AttemptOutcome& outcome, TimePoint now) {
  --m_in_flight;
  state.may_have_run = state.may_have_run || !proves_not_run(outcome.result);
  if (!state.to_peer) {
    m_pool.release(state.choice, outcome, now);
    return;
  }
  const bool link_failed = outcome.result == AttemptResult::not_sent ||
                           outcome.result == AttemptResult::connection_lost ||
                           outcome.result == AttemptResult::timed_out;
  m_spill.release(state.tried.back(), link_failed, now);
}

bool ServiceRouter::may_retry(const CallState& state, const AttemptOutcome& outcome,
                              TimePoint now) {
  if (outcome.result == AttemptResult::answered || state.cancelled) {
    return false;
  }
  // Sending a call again that may have run can run it twice, so it must be idempotent.
  if (state.may_have_run && !state.call.idempotent) {
    return false;
  }
  if (state.attempts >= m_options.max_attempts || state.call.deadline <= now ||
      m_pool.capacity() == 0) {
    return false;
  }
  if (m_options.retry_budget_enabled && !m_budget.take()) {
    return false;
  }
  ++m_counts.retries;
  return true;
}

void ServiceRouter::schedule_retry(CallId id, CallState& state, TimePoint now) {
  const std::uint32_t doublings = std::min<std::uint32_t>(state.attempts - 1, 10);
  const Duration backoff = std::min(k_first_backoff * (1 << doublings), k_longest_backoff);
  const double jitter = 0.5 + random_unit(m_random);
  const auto delay = std::chrono::duration_cast<Duration>(backoff * jitter);
  state.stage = Stage::backoff;
  state.is_retry = true;
  m_deadlines.emplace(state.call.deadline, id);
  m_backoff.emplace(now + delay, id);
}

Verdict ServiceRouter::verdict(const CallState& state, AttemptResult result) {
  if (result == AttemptResult::answered || result == AttemptResult::server_error) {
    return Verdict::answered;
  }
  return state.may_have_run ? Verdict::may_have_run : Verdict::not_run;
}

Completion ServiceRouter::finish_attempt(CallId id, const AttemptOutcome& outcome, TimePoint now) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || found->second.stage != Stage::in_flight) {
    return Completion{NextStep::finish, Verdict::may_have_run};
  }
  auto& state = found->second;
  end_attempt(state, outcome, now);
  Completion completion{NextStep::finish, verdict(state, outcome.result)};
  if (may_retry(state, outcome, now)) {
    schedule_retry(id, state, now);
    completion.next = NextStep::retry;
  } else {
    m_calls.erase(found);
  }
  advance(now);
  return completion;
}

}  // namespace arbutusdale::routing
