// The daemon's replica of the jobs, the layout of the shards, and the removal of old jobs.
#include "arbutusdale/fleet/node.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/jobs/daemon_presence.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace arbutusdale::fleet {
namespace {

constexpr std::uint32_t k_read_wait_ms = 1'000;
// A delay between reads lets one read return several records. Submissions are urgent only for the
// leaders, which read them without a delay.
constexpr Duration k_read_delay = std::chrono::milliseconds{300};
// Callers may ask for the state of a job for two minutes after its end, and a retry of a submission
// may arrive seconds after the reply; the rest is margin.
constexpr std::uint64_t k_retention_ms = 300'000;
constexpr Duration k_deletion_interval = std::chrono::seconds{5};
constexpr Duration k_deletion_timeout = std::chrono::seconds{2};
constexpr std::size_t k_max_jobs_per_deletion = 100;

}  // namespace

class Node::JobRecords final : public store::PartitionListener {
 public:
  explicit JobRecords(Node& node) : m_node(node) {}
  void on_record(const store::Record& record) override { m_node.on_job_record(record); }
  void on_caught_up() override { m_node.on_jobs_caught_up(); }

 private:
  Node& m_node;
};

Node::Node(NodeDependencies dependencies)
    : m_deps(std::move(dependencies)),
      m_job_records(std::make_unique<JobRecords>(*this)),
      m_job_followers(m_deps.store, m_deps.timer, k_read_wait_ms, k_read_delay, m_deps.daemon,
                      *m_job_records),
      m_service(m_deps.store, m_deps.timer, m_jobs, m_job_followers, m_deps.daemon,
                m_deps.incarnation, m_deps.cpu_share, m_deps.record_limits),
      m_stronger(m_deps.cpu_share),
      m_agreement(std::make_unique<ShardLayoutAgreement>(
          m_deps.store, m_deps.timer, m_deps.directory,
          ShardLayoutOptions{m_deps.daemon, m_deps.cpu_share, m_deps.max_shards})),
      m_alive(std::make_shared<bool>(true)) {}

Node::~Node() {
  *m_alive = false;
}

void Node::start() {
  m_job_followers.start();
  m_agreement->start();
}

bool Node::is_ready() const {
  return !m_stopping && m_configuration.is_loaded() && m_service.is_available();
}

bool Node::leads(jobs::ShardIndex shard) const {
  return shard < m_members.size() && m_members[shard]->leader() != nullptr;
}

std::size_t Node::shards_led() const {
  return static_cast<std::size_t>(
      std::count_if(m_members.begin(), m_members.end(),
                    [](const auto& member) { return member->leader() != nullptr; }));
}

NodeStats Node::stats() const {
  NodeStats stats;
  stats.jobs = m_jobs.entries().size();
  stats.shards = static_cast<std::uint32_t>(m_members.size());
  stats.shards_led = shards_led();
  stats.jobs_fresh_as_of = m_job_followers.fresh_as_of();
  for (const auto& member : m_members) {
    stats.shards_fresh_as_of.push_back(member->fresh_as_of());
    if (member->leader() == nullptr) {
      continue;
    }
    const sched::Scheduler& scheduler = member->leader()->scheduler();
    stats.waiting_tasks += scheduler.waiting_tasks();
    for (const auto& worker : scheduler.workers().all()) {
      const bool reachable = worker->registered && worker->is_reachable(m_deps.timer.now());
      stats.registered_workers += worker->registered ? 1 : 0;
      stats.reachable_workers += reachable ? 1 : 0;
      stats.runs += worker->runs.size();
    }
  }
  return stats;
}

void Node::on_job_record(const store::Record& record) {
  if (!jobs::is_daemon_presence(record)) {
    m_jobs.apply_job_record(record);
    return;
  }
  const auto presence = jobs::decode_daemon_presence(record);
  if (!presence) {
    return;
  }
  const TimePoint now = m_deps.timer.now();
  if (m_job_followers.fresh_as_of()) {
    m_stronger.on_presence(*presence, now);
  } else {
    m_stronger.on_stored_presence(*presence, m_deps.timer.wall_ms(), now);
  }
}

void Node::on_jobs_caught_up() {
  for (const auto& member : m_members) {
    member->on_jobs_caught_up(m_job_followers.fresh_as_of());
  }
}

void Node::adopt_layout(jobs::ShardLayout layout) {
  m_agreement.reset();
  m_jobs.set_layout(layout);
  for (jobs::ShardIndex shard = 0; shard < layout.count; ++shard) {
    m_members.push_back(
        std::make_unique<ShardMember>(m_deps, m_jobs, shard, [this] { on_led_changed(); }));
    m_members.back()->start();
    m_shard_age_logs.emplace_back("shard " + std::to_string(shard));
  }
}

void Node::on_led_changed() {
  m_job_followers.set_read_delay(is_leader() ? Duration::zero() : k_read_delay);
  m_job_followers.catch_up();
  for (const auto& member : m_members) {
    member->follow_closely(is_leader());
  }
}

std::set<std::string> Node::leading_daemons() const {
  std::set<std::string> names;
  for (jobs::ShardIndex shard = 0; shard < m_members.size(); ++shard) {
    const auto& leadership = m_jobs.leadership(shard);
    if (leadership && !leadership->released()) {
      names.insert(leadership->daemon_name());
    }
  }
  return names;
}

DaemonState Node::daemon_state() const {
  const TimePoint now = m_deps.timer.now();
  DaemonState state;
  state.job_table_current = m_service.is_job_table_current();
  state.jobs_fresh_as_of = m_job_followers.fresh_as_of();
  state.stronger_in_touch = m_stronger.are_in_touch(now);
  state.stronger_known = m_stronger.are_known(now);
  state.shards_led = shards_led();
  state.claim_in_flight = std::any_of(m_members.begin(), m_members.end(), [](const auto& member) {
    return member->has_claim_in_flight();
  });
  state.lagging_since = m_lag.lagging_since();
  state.lag = m_lag.lag();
  return state;
}

void Node::log_view_ages() {
  const TimePoint now = m_deps.timer.now();
  m_jobs_age_log.on_tick(m_job_followers.fresh_as_of(), now, m_lag.lag());
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    m_shard_age_logs[i].on_tick(m_members[i]->fresh_as_of(), now, m_lag.lag());
  }
}

void Node::tick() {
  m_service.tick();
  m_lag.on_tick(m_deps.timer.now());
  log_view_ages();
  if (m_agreement) {
    m_agreement->tick();
    if (const auto layout = m_agreement->layout()) {
      adopt_layout(*layout);
    }
  }
  // Gives away one shard at a time.
  bool may_share =
      shards_led() > 1 && m_stronger.is_peer_idle(leading_daemons(), m_deps.timer.now());
  // A daemon has one claim in flight, so daemons that began with the same shard would leave the
  // others to slower ones.
  const std::size_t first = m_members.empty() ? 0 : stable_hash(m_deps.daemon) % m_members.size();
  for (std::size_t i = 0; i < m_members.size(); ++i) {
    ShardMember& member = *m_members[(first + i) % m_members.size()];
    DaemonState state = daemon_state();
    state.should_share_load = member.leader() != nullptr && std::exchange(may_share, false);
    member.tick(state);
  }
  if (is_leader() && m_deps.timer.now() >= m_next_deletion) {
    m_next_deletion = m_deps.timer.now() + k_deletion_interval;
    delete_expired_jobs();
    delete_old_moves();
  }
}

// Keeps the store and the daemons' memory from growing with every job ever submitted.
void Node::delete_expired_jobs() {
  const std::uint64_t now_ms = m_deps.timer.wall_ms();
  std::vector<jobs::JobId> expired;
  for (const auto& [id, entry] : m_jobs.entries()) {
    const std::uint64_t ended_ms = entry.progress ? entry.progress->ended_wall_ms() : 0;
    if (leads(entry.shard) && ended_ms > 0 && entry.submitted &&
        now_ms > ended_ms + k_retention_ms) {
      expired.push_back(id);
    }
    if (expired.size() == k_max_jobs_per_deletion) {
      break;
    }
  }
  if (expired.empty()) {
    return;
  }
  m_service.delete_jobs(expired, m_deps.timer.now() + k_deletion_timeout,
                        [this, alive = m_alive, expired](WriteOutcome outcome) {
                          if (*alive && outcome == WriteOutcome::stored) {
                            delete_progress(expired);
                          }
                        });
}

void Node::delete_progress(const std::vector<jobs::JobId>& jobs) {
  for (const auto& member : m_members) {
    if (member->leader() != nullptr) {
      member->leader()->delete_progress(jobs);
    }
  }
}

// What a shard keeps of a job that it has handed over is of no use once the job is deleted. The
// submission of a job is known before the job is moved, but after a start of this daemon records of
// moves may be read first.
void Node::delete_old_moves() {
  for (const auto& member : m_members) {
    const bool knows_submissions = member->leader() != nullptr &&
                                   m_job_followers.fresh_as_of() >= member->leader()->began_at();
    if (!knows_submissions) {
      continue;
    }
    std::vector<jobs::JobId> gone;
    for (const jobs::JobId& job : m_jobs.moved_from(member->shard())) {
      const jobs::JobEntry* entry = m_jobs.find(job);
      const bool is_deleted = entry == nullptr || !entry->submitted;
      if (is_deleted && gone.size() < k_max_jobs_per_deletion) {
        gone.push_back(job);
      }
    }
    member->leader()->delete_moves(gone);
  }
}

void Node::shut_down(std::function<void()> done) {
  m_stopping = true;
  const auto pending = std::make_shared<std::size_t>(m_members.size() + 1);
  const auto finish = [pending, done = std::move(done)] {
    if (--*pending == 0) {
      done();
    }
  };
  for (const auto& member : m_members) {
    member->shut_down(finish);
  }
  finish();
}

}  // namespace arbutusdale::fleet
