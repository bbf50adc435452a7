// Heartbeats, confirmation of the leadership by the store, and its release.
#include "arbutusdale/fleet/leader.hpp"

#include "arbutusdale/fleet/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::fleet {
namespace {

// Long enough that progress is retried until it is stored or the leadership is lost.
constexpr Duration k_progress_timeout = std::chrono::hours{1};
constexpr Duration k_release_timeout = std::chrono::seconds{1};

}  // namespace

Leader::Leader(store::MetadataStore& store, sched::WorkerOrders& orders, sched::Advisor& advisor,
               Timer& timer, const jobs::JobTable& jobs,
               const sched::WorkerDirectoryFactory& directory, LeadershipClaim claim,
               std::function<void()> on_lost)
    : m_timer(timer),
      m_claim(std::move(claim)),
      m_began_at(timer.now()),
      m_on_lost(std::move(on_lost)),
      m_log(store, timer, jobs::leader_partition(), k_leader_producer, m_claim.fencing_token,
            m_claim.claim_sequence + 1),
      m_scheduler(orders, advisor, *this, timer, {m_claim.fencing_token, m_claim.term}, m_on_lost) {
  update_order_limits();
  m_scheduler.take_over(jobs);
  m_directory = directory(m_scheduler);
}

void Leader::write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) {
  if (m_releasing) {
    // A record after the release would make the claims of other daemons fail.
    return;
  }
  m_log.write(std::move(entries), m_timer.now() + k_progress_timeout,
              [this, done = std::move(done)](store::CommitOutcome outcome) {
                if (outcome == store::CommitOutcome::fenced) {
                  // Does not call `done`: the scheduler, which ends with the leadership, would
                  // retry at once.
                  m_on_lost();
                  return;
                }
                done(outcome == store::CommitOutcome::stored);
              });
}

void Leader::tick() {
  if (m_releasing) {
    return;
  }
  update_order_limits();
  send_heartbeat();
  m_scheduler.tick();
}

void Leader::update_order_limits() {
  const TimePoint last =
      std::max(m_claim.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  m_scheduler.set_order_limits(
      {last + k_max_confirmation_age_for_starts, last + k_max_confirmation_age_for_leases});
}

void Leader::send_heartbeat() {
  const TimePoint last =
      std::max(m_claim.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  if (!m_log.is_idle() || m_timer.now() - last < k_leader_heartbeat_interval) {
    return;
  }
  write({jobs::encode(make_record(false))}, [](bool) {});
}

void Leader::delete_progress(const std::vector<jobs::JobId>& jobs) {
  std::vector<store::KeyedValue> entries;
  entries.reserve(jobs.size());
  for (const jobs::JobId& job : jobs) {
    entries.push_back(jobs::encode_progress_removal(job));
  }
  write(std::move(entries), [](bool) {});
}

void Leader::release(std::function<void()> done) {
  if (std::exchange(m_releasing, true)) {
    return;
  }
  m_scheduler.set_order_limits({TimePoint{}, TimePoint{}});
  m_log.write({jobs::encode(make_record(true))}, m_timer.now() + k_release_timeout,
              [done = std::move(done)](store::CommitOutcome) { done(); });
}

jobs::Leadership Leader::make_record(bool released) const {
  jobs::Leadership record;
  record.set_daemon(m_claim.daemon);
  record.set_daemon_name(m_claim.daemon_name);
  record.set_term(m_claim.term);
  record.set_fencing_token(m_claim.fencing_token);
  record.set_released(released);
  return record;
}

}  // namespace arbutusdale::fleet
