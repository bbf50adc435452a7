// Followers, claims and changes of the leadership.
#include "arbutusdale/fleet/node.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <utility>

namespace arbutusdale::fleet {
namespace {

using observe::Event;
using observe::EventLine;

constexpr std::uint32_t k_read_wait_ms = 1'000;
constexpr std::uint32_t k_leader_read_wait_ms = 600;
// A pause between reads lets several records share one. Callers see the end of a job through the
// leader's records; of submissions only the leader has to know at once.
constexpr Duration k_leader_read_pause = std::chrono::milliseconds{120};
constexpr Duration k_read_pause = std::chrono::milliseconds{300};
constexpr std::uint64_t k_claim_sequences = std::uint64_t{1} << 40U;
// Callers may ask for the state of a job for two minutes after its end, and a repeat of a
// submission may come seconds after its answer; the rest is margin.
constexpr std::uint64_t k_retention_ms = 300'000;
constexpr Duration k_forget_interval = std::chrono::seconds{5};
constexpr Duration k_forget_timeout = std::chrono::seconds{2};
constexpr std::size_t k_max_forgotten = 100;  // jobs a time
constexpr Duration k_claim_timeout = std::chrono::milliseconds{1'000};

}  // namespace

class Node::JobRecords final : public store::PartitionListener {
 public:
  explicit JobRecords(Node& node) : m_node(node) {}
  void on_record(const store::Record& record) override { m_node.m_jobs.apply_job_record(record); }
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

Node::Node(NodeParts parts)
    : m_parts(std::move(parts)),
      m_job_records(std::make_unique<JobRecords>(*this)),
      m_leader_records(std::make_unique<LeaderRecords>(*this)),
      m_job_followers(m_parts.store, m_parts.timer, k_read_wait_ms, k_read_pause, *m_job_records),
      m_leader_follower(m_parts.store, m_parts.timer,
                        {jobs::leader_partition(), k_leader_read_wait_ms, k_leader_read_pause},
                        *m_leader_records),
      m_service(m_parts.store, m_parts.timer, m_jobs, m_job_followers, m_parts.daemon,
                m_parts.incarnation),
      m_election(m_parts.daemon, m_parts.cpu_share),
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

NodeFigures Node::figures() const {
  NodeFigures figures;
  figures.jobs = m_jobs.entries().size();
  figures.jobs_fresh_as_of = m_job_followers.fresh_as_of();
  if (!m_leader) {
    return figures;
  }
  const sched::Scheduler& scheduler = m_leader->scheduler();
  figures.waiting_tasks = scheduler.waiting_tasks();
  for (const auto& worker : scheduler.workers().all()) {
    figures.registered_workers += worker->registered ? 1 : 0;
    figures.reachable_workers +=
        worker->registered && worker->is_reachable(m_parts.timer.now()) ? 1 : 0;
    figures.runs += worker->runs.size();
  }
  return figures;
}

void Node::on_leader_record(const store::Record& record) {
  m_jobs.apply_leader_record(record);
  const TimePoint now = m_parts.timer.now();
  const auto& leadership = m_jobs.leadership();
  m_election.on_sign_of_leader(now);
  if (!leadership) {
    return;
  }
  // An earlier incarnation of this daemon is dead.
  const bool own_past =
      leadership->daemon_name() == m_parts.daemon && leadership->daemon() != m_parts.incarnation;
  if (leadership->released() || own_past) {
    m_election.on_vacant(now);
  } else {
    m_election.on_taken();
  }
  if (m_leader && leadership->fencing_token() > m_leader->term().fencing_token) {
    m_lost = true;
  }
  lead_if_claim_is_stored();
}

// A claim may succeed though its answer is lost; the partition then shows it.
void Node::lead_if_claim_is_stored() {
  const auto& leadership = m_jobs.leadership();
  const bool stored = m_claim && !m_claiming && !m_leader && leadership &&
                      leadership->fencing_token() == m_claim->fencing_token &&
                      leadership->daemon() == m_parts.incarnation;
  if (stored) {
    lead(*m_claim);
  }
}

void Node::on_jobs_caught_up() {
  if (m_leader && m_job_followers.fresh_as_of() >= m_leader->began_at()) {
    m_leader->scheduler().on_jobs_caught_up();
  }
}

void Node::tick() {
  m_service.tick();
  if (std::exchange(m_lost, false) && m_leader) {
    step_down("another daemon leads");
  }
  if (m_leader) {
    m_leader->tick();
    if (m_parts.timer.now() >= m_next_forgetting) {
      m_next_forgetting = m_parts.timer.now() + k_forget_interval;
      forget_old_jobs();
    }
    return;
  }
  if (!m_jobs.leadership() && m_leader_follower.is_loaded()) {
    m_election.on_vacant(m_parts.timer.now());
  }
  const FollowerState state{m_leader_follower.is_loaded(), m_leader_follower.fresh_as_of(),
                            m_leader_follower.read_latency()};
  const bool allowed = !m_claiming && !m_stopping && m_service.knows_all_jobs();
  if (allowed && m_election.should_claim(m_parts.timer.now(), state)) {
    claim();
  }
}

// Keeps the store and every daemon's memory from growing with all jobs that ever were.
void Node::forget_old_jobs() {
  const std::uint64_t now_ms = m_parts.timer.wall_ms();
  std::vector<jobs::JobId> old;
  for (const auto& [id, entry] : m_jobs.entries()) {
    const std::uint64_t ended_ms = entry.progress ? entry.progress->ended_wall_ms() : 0;
    if (ended_ms > 0 && entry.submitted && now_ms > ended_ms + k_retention_ms) {
      old.push_back(id);
    }
    if (old.size() == k_max_forgotten) {
      break;
    }
  }
  if (old.empty()) {
    return;
  }
  m_service.forget(old, m_parts.timer.now() + k_forget_timeout,
                   [this, alive = m_alive, old](WriteVerdict verdict) {
                     if (*alive && m_leader && verdict == WriteVerdict::stored) {
                       m_leader->forget(old);
                     }
                   });
}

// The claim is stored only if no record has been added since this daemon last read the partition,
// so a leader's next record or another claim makes it fail.
void Node::claim() {
  const std::uint64_t end = m_leader_follower.next_offset();
  LeaderTerm term;
  term.daemon = m_parts.incarnation;
  term.daemon_name = m_parts.daemon;
  term.term = m_jobs.leadership() ? static_cast<std::uint32_t>(m_jobs.leadership()->term()) + 1 : 1;
  term.fencing_token = end + 1;
  term.claim_sequence = stable_hash(m_parts.incarnation) % k_claim_sequences;
  term.claimed_at = m_parts.timer.now();

  jobs::Leadership record;
  record.set_daemon(term.daemon);
  record.set_daemon_name(term.daemon_name);
  record.set_term(term.term);
  record.set_fencing_token(term.fencing_token);
  store::AppendRequest request;
  request.partition = jobs::leader_partition();
  request.entries = {jobs::encode(record)};
  request.expected_end = end;
  request.stamp = store::ProducerStamp{k_leader_producer, term.fencing_token, term.claim_sequence};
  request.timeout = k_claim_timeout;
  m_claim = term;
  m_claiming = true;
  m_parts.store.append(std::move(request),
                       [this, alive = m_alive,
                        term](const tl::expected<store::AppendReply, store::AppendError>& reply) {
                         if (*alive) {
                           m_claiming = false;
                           on_claim_reply(term, reply);
                         }
                       });
}

void Node::on_claim_reply(const LeaderTerm& term,
                          const tl::expected<store::AppendReply, store::AppendError>& reply) {
  if (reply) {
    lead(term);
    return;
  }
  EventLine(Event::leadership_refused)
      .add("term", term.term)
      .add("token", term.fencing_token)
      .add("error", reply.error().message)
      .write();
  m_election.on_claim_refused(m_parts.timer.now());
  if (reply.error().reason != store::AppendFailure::unknown) {
    m_claim.reset();
    return;
  }
  lead_if_claim_is_stored();
}

// Takes the term by value, since it may be the claim that is forgotten here.
void Node::lead(LeaderTerm term) {
  m_claim.reset();
  if (m_stopping || m_leader) {
    return;
  }
  observe::record_timing(observe::Timing::claim, m_parts.timer.now() - term.claimed_at);
  EventLine(Event::leadership_claimed)
      .add("term", term.term)
      .add("token", term.fencing_token)
      .add_ms("took_ms", m_parts.timer.now() - term.claimed_at)
      .add("jobs", m_jobs.entries().size())
      .write();
  m_election.on_taken();
  m_leader = std::make_unique<Leader>(m_parts.store, m_parts.orders, m_parts.advisor, m_parts.timer,
                                      m_jobs, m_parts.directory, std::move(term),
                                      [this] { m_lost = true; });
  m_jobs.set_listener(&m_leader->job_listener());
  m_job_followers.set_pause(Duration::zero());
  m_job_followers.catch_up();
}

void Node::step_down(const char* reason) {
  EventLine(Event::leadership_lost)
      .add("term", m_leader->term().term)
      .add("token", m_leader->term().fencing_token)
      .add("reason", reason)
      .write();
  m_jobs.set_listener(nullptr);
  m_leader.reset();
  m_job_followers.set_pause(k_read_pause);
  m_election.on_sign_of_leader(m_parts.timer.now());
}

void Node::shut_down(std::function<void()> done) {
  m_stopping = true;
  if (!m_leader) {
    done();
    return;
  }
  m_leader->release([this, alive = m_alive, done = std::move(done)] {
    if (!*alive) {
      return;
    }
    EventLine(Event::leadership_released).add("term", m_leader->term().term).write();
    done();
  });
}

}  // namespace arbutusdale::fleet
