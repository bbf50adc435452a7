// Heartbeats, confirmation of the leadership, and its release.
#include "arbutusdale/fleet/leader.hpp"

#include "arbutusdale/fleet/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::fleet {
namespace {

// Progress is tried until it is stored or the leadership is lost.
constexpr Duration k_progress_patience = std::chrono::hours{1};
constexpr Duration k_release_patience = std::chrono::seconds{1};

}  // namespace

Leader::Leader(store::MetadataStore& store, sched::WorkerOrders& orders, sched::Advisor& advisor,
               Timer& timer, const jobs::JobTable& jobs,
               const sched::WorkerDirectoryFactory& directory, LeaderTerm term,
               std::function<void()> on_lost)
    : m_timer(timer),
      m_term(std::move(term)),
      m_began_at(timer.now()),
      m_on_lost(std::move(on_lost)),
      m_log(store, timer, jobs::leader_partition(), k_leader_producer, m_term.fencing_token,
            m_term.claim_sequence + 1),
      m_scheduler(orders, advisor, *this, timer, {m_term.fencing_token, m_term.term}, m_on_lost) {
  m_scheduler.take_over(jobs);
  m_directory = directory(m_scheduler);
}

void Leader::write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) {
  if (m_releasing) {
    // A record after the release would make the claims of other daemons fail.
    return;
  }
  m_log.write(std::move(entries), m_timer.now() + k_progress_patience,
              [this, done = std::move(done)](store::CommitOutcome outcome) {
                if (outcome == store::CommitOutcome::fenced) {
                  // The scheduler would write again at once; it ends with the leadership.
                  m_on_lost();
                  return;
                }
                done(outcome == store::CommitOutcome::stored);
              });
}

void Leader::tick() {
  confirm();
  if (!m_releasing) {
    send_heartbeat();
    m_scheduler.tick();
  }
}

void Leader::confirm() {
  const TimePoint last =
      std::max(m_term.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  const Duration age = m_timer.now() - last;
  m_scheduler.set_permissions(!m_releasing && age <= k_start_confirmation,
                              !m_releasing && age <= k_hold_confirmation);
}

void Leader::send_heartbeat() {
  const TimePoint last =
      std::max(m_term.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  if (!m_log.is_idle() || m_timer.now() - last < k_leader_heartbeat) {
    return;
  }
  write({jobs::encode(record(false))}, [](bool) {});
}

void Leader::forget(const std::vector<jobs::JobId>& jobs) {
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
  m_scheduler.set_permissions(false, false);
  m_log.write({jobs::encode(record(true))}, m_timer.now() + k_release_patience,
              [done = std::move(done)](store::CommitOutcome) { done(); });
}

jobs::Leadership Leader::record(bool released) const {
  jobs::Leadership record;
  record.set_daemon(m_term.daemon);
  record.set_daemon_name(m_term.daemon_name);
  record.set_term(m_term.term);
  record.set_fencing_token(m_term.fencing_token);
  record.set_released(released);
  return record;
}

}  // namespace arbutusdale::fleet
