// Followers of the partitions, claims, and changes of leadership.
#include "arbutusdale/fleet/node.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/jobs/daemon_presence.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <utility>

namespace arbutusdale::fleet {
namespace {

using observe::Event;
using observe::EventLine;

constexpr std::uint32_t k_read_wait_ms = 1'000;
constexpr std::uint32_t k_leader_read_wait_ms = 600;
// A delay between reads lets one read return several records. It is shorter for the leader's
// records, through which callers see the end of a job; submissions are urgent only for the leader,
// which reads them without a delay.
constexpr Duration k_leader_read_delay = std::chrono::milliseconds{120};
constexpr Duration k_read_delay = std::chrono::milliseconds{300};
constexpr std::uint64_t k_claim_sequence_count = std::uint64_t{1} << 40U;
// Callers may ask for the state of a job for two minutes after its end, and a retry of a submission
// may arrive seconds after the reply; the rest is margin.
constexpr std::uint64_t k_retention_ms = 300'000;
constexpr Duration k_deletion_interval = std::chrono::seconds{5};
constexpr Duration k_deletion_timeout = std::chrono::seconds{2};
constexpr std::size_t k_max_jobs_per_deletion = 100;
constexpr Duration k_claim_timeout = std::chrono::milliseconds{1'000};

}  // namespace

class Node::JobRecords final : public store::PartitionListener {
 public:
  explicit JobRecords(Node& node) : m_node(node) {}
  void on_record(const store::Record& record) override { m_node.on_job_record(record); }
  void on_caught_up() override { m_node.on_jobs_caught_up(); }

 private:
  Node& m_node;
};

class Node::LeaderRecords final : public store::PartitionListener {
 public:
  explicit LeaderRecords(Node& node) : m_node(node) {}
  void on_record(const store::Record& record) override { m_node.on_leader_record(record); }

 private:
  Node& m_node;
};

Node::Node(NodeDependencies dependencies)
    : m_deps(std::move(dependencies)),
      m_job_records(std::make_unique<JobRecords>(*this)),
      m_leader_records(std::make_unique<LeaderRecords>(*this)),
      m_job_followers(m_deps.store, m_deps.timer, k_read_wait_ms, k_read_delay, *m_job_records),
      m_leader_follower(m_deps.store, m_deps.timer,
                        {jobs::leader_partition(), k_leader_read_wait_ms, k_leader_read_delay},
                        *m_leader_records),
      m_service(m_deps.store, m_deps.timer, m_jobs, m_job_followers, m_deps.daemon,
                m_deps.incarnation, m_deps.cpu_share),
      m_election(m_deps.daemon, m_deps.cpu_share),
      m_stronger(m_deps.cpu_share),
      m_alive(std::make_shared<bool>(true)) {}

Node::~Node() {
  *m_alive = false;
}

void Node::start() {
  m_job_followers.start();
  m_leader_follower.start();
}

bool Node::is_ready() const {
  return !m_stopping && m_configuration.is_loaded() && m_service.is_available();
}

NodeStats Node::stats() const {
  NodeStats stats;
  stats.jobs = m_jobs.entries().size();
  stats.jobs_fresh_as_of = m_job_followers.fresh_as_of();
  if (!m_leader) {
    return stats;
  }
  const sched::Scheduler& scheduler = m_leader->scheduler();
  stats.waiting_tasks = scheduler.waiting_tasks();
  for (const auto& worker : scheduler.workers().all()) {
    stats.registered_workers += worker->registered ? 1 : 0;
    stats.reachable_workers +=
        worker->registered && worker->is_reachable(m_deps.timer.now()) ? 1 : 0;
    stats.runs += worker->runs.size();
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

void Node::on_leader_record(const store::Record& record) {
  m_jobs.apply_leader_record(record);
  const TimePoint now = m_deps.timer.now();
  const auto& leadership = m_jobs.leadership();
  m_election.on_leader_activity(now);
  if (!leadership) {
    return;
  }
  // An earlier incarnation of this daemon has ended.
  const bool earlier_incarnation =
      leadership->daemon_name() == m_deps.daemon && leadership->daemon() != m_deps.incarnation;
  if (leadership->released()) {
    m_election.on_leadership_vacant(now);
  } else if (earlier_incarnation) {
    m_election.on_earlier_incarnation_led(now);
  } else {
    m_election.on_leadership_held();
  }
  if (m_leader && leadership->fencing_token() > m_leader->claim().fencing_token) {
    m_leadership_lost = true;
  }
  become_leader_if_claim_stored();
}

// A claim may succeed although its reply is lost; its record is then read from the partition.
void Node::become_leader_if_claim_stored() {
  const auto& leadership = m_jobs.leadership();
  const bool stored = m_pending_claim && !m_claim_in_flight && !m_leader && leadership &&
                      leadership->fencing_token() == m_pending_claim->fencing_token &&
                      leadership->daemon() == m_deps.incarnation;
  if (stored) {
    become_leader(*m_pending_claim);
  }
}

void Node::on_jobs_caught_up() {
  if (m_leader && m_job_followers.fresh_as_of() >= m_leader->began_at()) {
    m_leader->scheduler().on_jobs_caught_up();
  }
}

void Node::tick() {
  m_service.tick();
  m_lag.on_tick(m_deps.timer.now());
  if (std::exchange(m_leadership_lost, false) && m_leader) {
    step_down("another daemon leads");
  }
  if (std::exchange(m_handed_over, false) && m_leader) {
    step_down("a stronger daemon takes over");
  }
  if (m_leader) {
    m_leader->tick();
    hand_over_if_overloaded();
    if (m_deps.timer.now() >= m_next_deletion) {
      m_next_deletion = m_deps.timer.now() + k_deletion_interval;
      delete_expired_jobs();
    }
    return;
  }
  if (!m_jobs.leadership() && m_leader_follower.is_loaded()) {
    m_election.on_leadership_vacant(m_deps.timer.now());
  }
  const FollowerState state{m_leader_follower.is_loaded() && m_service.is_job_table_current(),
                            m_leader_follower.fresh_as_of(), m_leader_follower.read_latency(),
                            m_stronger.are_in_touch(m_deps.timer.now()),
                            m_stronger.are_known(m_deps.timer.now())};
  const bool claim_due = m_election.should_claim(m_deps.timer.now(), state);
  if (claim_due && !m_claim_in_flight && !m_stopping) {
    send_claim();
  }
}

// A leader that is too slow for the fleet would keep the leadership, since it still sends
// heartbeats.
void Node::hand_over_if_overloaded() {
  const TimePoint now = m_deps.timer.now();
  const LeaderLoad load{m_stronger.are_in_touch(now), m_lag.lagging_since(),
                        m_leader->scheduler().can_be_taken_over_at_once()};
  if (m_handing_over || m_stopping || !m_handover.should_hand_over(now, load)) {
    return;
  }
  m_handing_over = true;
  EventLine(Event::leadership_released)
      .add("term", m_leader->claim().term)
      .add("reason", "a stronger daemon is in touch")
      .add_ms("lag_ms", m_lag.lag())
      .write();
  m_leader->release([this, alive = m_alive] {
    if (*alive) {
      m_handed_over = true;
    }
  });
}

// Keeps the store and the daemons' memory from growing with every job ever submitted.
void Node::delete_expired_jobs() {
  const std::uint64_t now_ms = m_deps.timer.wall_ms();
  std::vector<jobs::JobId> expired;
  for (const auto& [id, entry] : m_jobs.entries()) {
    const std::uint64_t ended_ms = entry.progress ? entry.progress->ended_wall_ms() : 0;
    if (ended_ms > 0 && entry.submitted && now_ms > ended_ms + k_retention_ms) {
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
                          if (*alive && m_leader && outcome == WriteOutcome::stored) {
                            m_leader->delete_progress(expired);
                          }
                        });
}

// The claim is stored only if no record has been appended since this daemon last read the
// partition, so a leader's next record or another claim makes it fail.
void Node::send_claim() {
  const std::uint64_t end = m_leader_follower.next_offset();
  LeadershipClaim claim;
  claim.daemon = m_deps.incarnation;
  claim.daemon_name = m_deps.daemon;
  claim.term =
      m_jobs.leadership() ? static_cast<std::uint32_t>(m_jobs.leadership()->term()) + 1 : 1;
  claim.fencing_token = end + 1;
  claim.claim_sequence = stable_hash(m_deps.incarnation) % k_claim_sequence_count;
  claim.claimed_at = m_deps.timer.now();
  if (m_pending_claim && m_pending_claim->fencing_token == claim.fencing_token) {
    // The store may confirm the earlier claim, from whose record the other daemons count.
    claim.claimed_at = m_pending_claim->claimed_at;
  }

  jobs::Leadership record;
  record.set_daemon(claim.daemon);
  record.set_daemon_name(claim.daemon_name);
  record.set_term(claim.term);
  record.set_fencing_token(claim.fencing_token);
  store::AppendRequest request;
  request.partition = jobs::leader_partition();
  request.entries = {jobs::encode(record)};
  request.expected_end = end;
  request.stamp =
      store::ProducerStamp{k_leader_producer, claim.fencing_token, claim.claim_sequence};
  request.timeout = k_claim_timeout;
  m_pending_claim = claim;
  m_claim_in_flight = true;
  m_deps.store.append(std::move(request),
                      [this, alive = m_alive,
                       claim](const tl::expected<store::AppendReply, store::AppendError>& reply) {
                        if (*alive) {
                          m_claim_in_flight = false;
                          on_claim_reply(claim, reply);
                        }
                      });
}

void Node::on_claim_reply(const LeadershipClaim& claim,
                          const tl::expected<store::AppendReply, store::AppendError>& reply) {
  if (reply) {
    become_leader(claim);
    return;
  }
  EventLine(Event::leadership_refused)
      .add("term", claim.term)
      .add("token", claim.fencing_token)
      .add("error", reply.error().message)
      .write();
  m_election.on_claim_refused(m_deps.timer.now());
  if (reply.error().reason != store::AppendFailure::unknown) {
    m_pending_claim.reset();
    return;
  }
  become_leader_if_claim_stored();
}

// Takes the claim by value, since the argument may be m_pending_claim, which is reset here.
void Node::become_leader(LeadershipClaim claim) {
  m_pending_claim.reset();
  if (m_stopping || m_leader) {
    return;
  }
  observe::record_timing(observe::Timing::leadership_claim, m_deps.timer.now() - claim.claimed_at);
  EventLine(Event::leadership_claimed)
      .add("term", claim.term)
      .add("token", claim.fencing_token)
      .add_ms("took_ms", m_deps.timer.now() - claim.claimed_at)
      .add("jobs", m_jobs.entries().size())
      .write();
  m_election.on_leadership_held();
  m_leader = std::make_unique<Leader>(m_deps.store, m_deps.orders, m_deps.advisor, m_deps.timer,
                                      m_jobs, m_deps.directory, std::move(claim),
                                      [this] { m_leadership_lost = true; });
  m_jobs.set_listener(&m_leader->job_listener());
  m_job_followers.set_read_delay(Duration::zero());
  m_job_followers.catch_up();
}

void Node::step_down(const char* reason) {
  EventLine(Event::leadership_lost)
      .add("term", m_leader->claim().term)
      .add("token", m_leader->claim().fencing_token)
      .add("reason", reason)
      .write();
  m_jobs.set_listener(nullptr);
  m_leader.reset();
  m_handing_over = false;
  m_handed_over = false;
  m_handover.on_leadership_lost();
  m_job_followers.set_read_delay(k_read_delay);
  m_election.on_leader_activity(m_deps.timer.now());
}

void Node::shut_down(std::function<void()> done) {
  m_stopping = true;
  if (!m_leader || m_handing_over) {
    done();
    return;
  }
  m_leader->release([this, alive = m_alive, done = std::move(done)] {
    if (!*alive) {
      return;
    }
    EventLine(Event::leadership_released).add("term", m_leader->claim().term).write();
    done();
  });
}

}  // namespace arbutusdale::fleet
