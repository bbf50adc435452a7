// Applies the declaration: jobs, cancellations, drains and team shares. Each tick applies a bounded
// number of jobs.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

// Jobs scanned in one tick of 50 ms; a declaration of 100,000 jobs is applied in 5 s.
constexpr int k_max_jobs_scanned_per_tick = 1'000;
constexpr std::size_t k_jobs_between_drops = 1'000;
constexpr Duration k_gauge_interval = std::chrono::milliseconds{500};

}  // namespace

void Runner::state_changed(TimePoint now) {
  m_now = now;
  if (m_stopped) {
    return;
  }
  const state::ShardOwner owner = m_domain.shard(m_options.shard);
  if (owner.term > m_options.term || (owner.term == m_options.term && !owner.owned)) {
    on_stale_term();
    return;
  }
  cancel_jobs();
  const bool version_changed = !m_config_seen || m_global.version() != m_seen_version;
  if (version_changed) {
    m_config_seen = true;
    m_seen_version = m_global.version();
    update_shares();
    update_drains();
  }
  if (version_changed || m_domain.moves().size() != m_seen_moves) {
    m_scan_all |= m_domain.moves().size() != m_seen_moves;
    m_seen_moves = m_domain.moves().size();
    // A scan in progress is finished first; otherwise frequent changes could keep it from
    // completing.
    m_scan_again = m_scan_next >= 0;
    m_scan_next = std::max(0, m_scan_next);
  }
}

void Runner::update_shares() {
  const proto::state::Declaration& declaration = m_global.declaration();
  std::uint64_t total = 0;
  std::uint64_t own = 0;
  for (const proto::state::DomainDecl& domain : declaration.domains()) {
    total += domain.weight();
    own += domain.name() == m_options.domain ? domain.weight() : 0;
  }
  if (total == 0) {
    total = static_cast<std::uint64_t>(std::max(1, declaration.domains_size()));
    own = 1;
  }
  const std::uint32_t shards = state::shard_count(declaration, m_options.domain);
  for (const proto::state::TeamDecl& team : declaration.teams()) {
    TeamShare share;
    share.weight = std::max(1U, team.batch_weight());
    const Resources quota = backplane::from_proto(team.quota());
    if (!is_zero(quota)) {
      share.quota = quota_share(quota, own, total, shards);
    }
    m_queue.set_team(team.name(), share);
  }
  m_targets_ms.clear();
  for (const proto::state::ServiceDecl& service : declaration.services()) {
    m_targets_ms[service.name()] = service.p99_target_ms();
  }
}

void Runner::cancel_jobs() {
  std::vector<JobId> cancelled;
  for (const JobId id : m_active) {
    const Job& job = m_jobs.job(id);
    if (!job.cancelled && m_global.is_cancelled(job.name)) {
      cancelled.push_back(id);
    }
  }
  for (const JobId id : cancelled) {
    cancel_job(id);
  }
}

void Runner::cancel_job(JobId id) {
  Job& job = m_jobs.job(id);
  if (m_options.seeded_fault == SeededFault::start_cancelled) {
    return;
  }
  job.cancelled = true;
  JobTable::clear_pending(job);
  m_queue.remove(id);
  std::vector<AttemptRef> live;
  for (const auto& [task, ref] : job.live) {
    live.push_back(ref);
  }
  // The table is unordered; commands are sent in a fixed order so that runs are reproducible.
  std::sort(live.begin(), live.end(),
            [](const AttemptRef& a, const AttemptRef& b) { return a.key < b.key; });
  for (const AttemptRef& ref : live) {
    request_stop(ref, StopReason::cancelled);
  }
}

void Runner::scan_declaration() {
  if (m_scan_next < 0) {
    return;
  }
  const auto& jobs = m_global.declaration().jobs();
  const int end = std::min(jobs.size(), m_scan_next + k_max_jobs_scanned_per_tick);
  for (; m_scan_next < end; ++m_scan_next) {
    const proto::state::JobDecl& decl = jobs[m_scan_next];
    const std::uint64_t version = m_global.object_version("job", decl.name());
    std::uint64_t& scanned = m_scanned[decl.name()];
    if ((!m_scan_all && scanned == version) || m_global.is_cancelled(decl.name())) {
      continue;
    }
    scanned = version;
    const std::optional<JobId> id = m_jobs.declare(decl);
    if (id) {
      Job& job = m_jobs.job(*id);
      job.admitted_at = job.admitted_at == TimePoint{} ? m_now : job.admitted_at;
      // Team, priority or urgency may have changed.
      m_queue.remove(*id);
      refresh_queue(*id);
    }
  }
  if (m_scan_next >= jobs.size()) {
    m_scan_next = m_scan_again ? 0 : -1;
    m_scan_all &= m_scan_again;
    m_scan_again = false;
    if (m_jobs.ids() >= m_ids_at_last_drop + k_jobs_between_drops) {
      drop_ended_jobs();
    }
  }
}

// Drops jobs that are no longer declared and have no task or attempt here. At 100,000 jobs a day
// the table would otherwise grow without bound.
void Runner::drop_ended_jobs() {
  std::set<JobId> used = m_active;
  for (const Worker& worker : m_workers) {
    for (const auto& [key, attempt] : worker.attempts) {
      used.insert(key.job);
    }
  }
  const std::unordered_map<std::string, std::uint64_t> scanned = std::exchange(m_scanned, {});
  for (const proto::state::JobDecl& decl : m_global.declaration().jobs()) {
    if (const auto found = scanned.find(decl.name()); found != scanned.end()) {
      m_scanned.insert(*found);
    }
    if (const std::optional<JobId> id = m_jobs.find(decl.name())) {
      used.insert(*id);
    }
  }
  for (JobId id = 0; id < m_jobs.ids(); ++id) {
    if (m_jobs.exists(id) && !used.contains(id)) {
      m_queue.remove(id);
      m_jobs.drop(id);
    }
  }
  m_ids_at_last_drop = m_jobs.ids();
}

void Runner::refresh_queue(JobId id) {
  const Job& job = m_jobs.job(id);
  if (job.pending() > 0 || !job.live.empty()) {
    m_active.insert(id);
  } else {
    m_active.erase(id);
  }
  if (job.pending() == 0 || !job_may_start(job)) {
    m_queue.remove(id);
    return;
  }
  if (!m_queue.contains(id)) {
    m_queue.add(ReadyJob{id, job.decl.team(), std::min(9U, job.decl.priority()), job.decl.urgent(),
                         size_of(job)},
                m_now);
  }
}

void Runner::update_gauges() {
  if (m_now < m_next_gauge_update) {
    return;
  }
  m_next_gauge_update = m_now + k_gauge_interval;
  std::uint64_t pending = 0;
  for (const JobId id : m_active) {
    pending += m_jobs.job(id).pending();
  }
  m_stats.pending = static_cast<std::uint32_t>(pending);
  m_stats.blocked = m_takeover_complete ? 0 : m_stats.pending;
  m_stats.workers_acquired = 0;
  m_stats.workers_unreachable = 0;
  m_stats.quarantined = 0;
  Resources capacity;
  for (const Worker& worker : m_workers) {
    if (worker.access == WorkerAccess::gone) {
      continue;
    }
    m_stats.workers_acquired += worker.access == WorkerAccess::acquired ? 1 : 0;
    m_stats.workers_unreachable += worker.reachable ? 0 : 1;
    const HealthState health = worker.health.state(m_now, failure_cause_on(worker));
    m_stats.quarantined += health == HealthState::quarantined ? 1 : 0;
    capacity = plus(capacity, worker.capacity);
  }
  m_queue.set_capacity(capacity);
}

}  // namespace arbutusdale::batch
