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
// On a fleet with several shards the daemons' reads of progress would exceed what the store serves.
constexpr Duration k_write_interval = std::chrono::milliseconds{240};

constexpr Duration k_evidence_interval_per_shard = std::chrono::milliseconds{1'500};

Duration evidence_interval(const jobs::ShardLayout& layout) {
  return layout.count * k_evidence_interval_per_shard;
}

Duration write_interval(const jobs::ShardLayout& layout) {
  return layout.count > 1 ? k_write_interval : Duration::zero();
}

}  // namespace

class Leader::ShardWorkers final : public sched::WorkerListener {
 public:
  ShardWorkers(sched::WorkerListener& own, sched::WorkerListener& all, jobs::ShardLayout layout,
               jobs::ShardIndex shard)
      : m_own(own), m_all(all), m_layout(layout), m_shard(shard) {}

  void on_worker_updated(const sched::WorkerEntry& entry) override {
    m_all.on_worker_updated(entry);
    if (m_layout.shard_of_worker(entry.id) == m_shard) {
      m_own.on_worker_updated(entry);
    }
  }
  void on_worker_gone(const std::string& id) override {
    m_all.on_worker_gone(id);
    if (m_layout.shard_of_worker(id) == m_shard) {
      m_own.on_worker_gone(id);
    }
  }
  void on_workers_loaded() override {
    m_all.on_workers_loaded();
    m_own.on_workers_loaded();
  }

 private:
  sched::WorkerListener& m_own;  // gets the registrations of the shard only
  sched::WorkerListener& m_all;
  const jobs::ShardLayout m_layout;
  const jobs::ShardIndex m_shard;
};

Leader::Leader(const NodeDependencies& dependencies, const jobs::JobTable& jobs,
               jobs::ShardIndex shard, LeadershipClaim claim, std::function<void()> on_lost)
    : m_timer(dependencies.timer),
      m_claim(std::move(claim)),
      m_began_at(m_timer.now()),
      m_on_lost(std::move(on_lost)),
      m_rooms(jobs, shard),
      m_log(dependencies.store, m_timer, jobs::leader_partition(shard), k_leader_producer,
            m_claim.fencing_token, m_claim.claim_sequence + 1, std::nullopt,
            store::EpochPolicy::fixed, dependencies.record_limits),
      m_scheduler(
          dependencies.orders, dependencies.advisor, *this, m_timer,
          {m_claim.fencing_token, m_claim.term, write_interval(jobs.layout()),
           evidence_interval(jobs.layout()), store::max_content_bytes(dependencies.record_limits)},
          m_on_lost),
      m_shard_workers(std::make_unique<ShardWorkers>(m_scheduler, m_rooms, jobs.layout(), shard)) {
  update_order_limits(m_began_at);
  m_scheduler.take_over(jobs, shard);
  m_scheduler.set_job_mover(&m_rooms);
  m_directory = dependencies.directory(*m_shard_workers);
}

Leader::~Leader() = default;

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

void Leader::tick(std::optional<TimePoint> jobs_fresh_as_of) {
  if (m_releasing) {
    return;
  }
  update_order_limits(jobs_fresh_as_of);
  send_heartbeat();
  m_scheduler.tick();
}

void Leader::update_order_limits(std::optional<TimePoint> jobs_fresh_as_of) {
  const TimePoint last =
      std::max(m_claim.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  const TimePoint jobs_known_until =
      jobs_fresh_as_of.value_or(TimePoint{}) + k_max_job_age_for_starts;
  const TimePoint confirmed_until = last + k_max_confirmation_age_for_starts;
  const bool are_jobs_older = jobs_known_until < confirmed_until;
  m_scheduler.set_order_limits({std::min(confirmed_until, jobs_known_until),
                                last + k_max_confirmation_age_for_leases,
                                are_jobs_older ? sched::StartDelay::jobs_outdated
                                               : sched::StartDelay::leadership_unconfirmed});
}

void Leader::send_heartbeat() {
  const TimePoint last =
      std::max(m_claim.claimed_at, m_log.last_success_sent().value_or(TimePoint{}));
  const bool is_silent = m_log.is_idle() && m_timer.now() - last >= k_leader_heartbeat_interval;
  if (!is_silent && !is_stated_room_outdated()) {
    return;
  }
  m_room_stated_at = m_timer.now();
  m_heartbeat_in_flight = true;
  write({jobs::encode(make_record(false))}, [this](bool) { m_heartbeat_in_flight = false; });
}

// Any record proves that the leader is alive, but only heartbeats state the room. A busy leader
// writes other records all the time, and its shard is the one that fills up.
bool Leader::is_stated_room_outdated() const {
  return m_rooms.has_other_shards() && !m_heartbeat_in_flight &&
         m_timer.now() - m_room_stated_at >= k_leader_heartbeat_interval;
}

void Leader::delete_progress(const std::vector<jobs::JobId>& jobs) {
  std::vector<store::KeyedValue> entries;
  entries.reserve(jobs.size());
  for (const jobs::JobId& job : jobs) {
    entries.push_back(jobs::encode_progress_removal(job));
  }
  write(std::move(entries), [](bool) {});
}

void Leader::delete_moves(const std::vector<jobs::JobId>& jobs) {
  if (jobs.empty()) {
    return;
  }
  std::vector<store::KeyedValue> entries;
  entries.reserve(jobs.size());
  for (const jobs::JobId& job : jobs) {
    entries.push_back(jobs::encode_move_removal(job));
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
  const std::int64_t free_millis = m_scheduler.room().total_free_millis();
  record.set_free_cpu_millis(static_cast<std::uint64_t>(std::max<std::int64_t>(free_millis, 0)));
  const auto [step_millis, counts] = m_scheduler.lasting_room().places.count_free_workers();
  record.mutable_free_workers()->set_step_millis(step_millis);
  record.mutable_free_workers()->mutable_counts()->Assign(counts.begin(), counts.end());
  return record;
}

}  // namespace arbutusdale::fleet
