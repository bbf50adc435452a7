// Election, claims and changes of the leader of one shard.
#include "arbutusdale/fleet/shard_member.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"

#include <utility>

#include <fmt/format.h>

namespace arbutusdale::fleet {
namespace {

using observe::Event;
using observe::EventLine;

constexpr std::uint32_t k_read_wait_ms = 600;
// A delay between reads lets one read return several records. Callers see the end of a job through
// these records. All daemons read all shards, so the delay grows with their number.
constexpr Duration k_read_delay = std::chrono::milliseconds{120};
constexpr Duration k_read_delay_per_shard = std::chrono::milliseconds{50};
constexpr std::uint64_t k_claim_sequence_count = std::uint64_t{1} << 40U;
constexpr Duration k_claim_timeout = std::chrono::milliseconds{1'000};

// Names differ by shard, so that the daemons claim the shards in different orders.
std::string candidate_name(const std::string& daemon, jobs::ShardIndex shard) {
  return shard == jobs::k_first_shard ? daemon : daemon + "#" + std::to_string(shard);
}

// Differs between the claims of all daemons, since an append with a known number is a repeat to the
// store. A claim that is sent again for the same token keeps its number.
std::uint64_t claim_sequence(const std::string& incarnation, std::uint64_t fencing_token) {
  return stable_hash(incarnation + "#" + std::to_string(fencing_token)) % k_claim_sequence_count;
}

/// True if the reply names the record of the claim, whose token is one more than its offset. A
/// store that takes the claim for a repeat of another append answers with the offset of that one.
bool names_claim(const store::AppendReply& reply, const LeadershipClaim& claim) {
  return reply.first_offset + 1 == claim.fencing_token && reply.end >= claim.fencing_token;
}

Duration read_delay(const jobs::ShardLayout& layout) {
  return k_read_delay + (layout.count - 1) * k_read_delay_per_shard;
}

}  // namespace

ShardMember::ShardMember(const NodeDependencies& dependencies, jobs::JobTable& jobs,
                         jobs::ShardIndex shard, std::function<void()> on_led_changed)
    : m_deps(dependencies),
      m_jobs(jobs),
      m_shard(shard),
      m_on_led_changed(std::move(on_led_changed)),
      m_follower(m_deps.store, m_deps.timer,
                 {jobs::leader_partition(shard), k_read_wait_ms, read_delay(jobs.layout()),
                  stable_hash(m_deps.daemon, shard)},
                 *this),
      m_election(candidate_name(m_deps.daemon, shard), m_deps.cpu_share),
      m_alive(std::make_shared<bool>(true)) {}

ShardMember::~ShardMember() {
  *m_alive = false;
  m_jobs.set_listener(m_shard, nullptr);
}

void ShardMember::on_record(const store::Record& record) {
  m_jobs.apply_leader_record(m_shard, record);
  const TimePoint now = m_deps.timer.now();
  const auto& leadership = m_jobs.leadership(m_shard);
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
void ShardMember::become_leader_if_claim_stored() {
  const auto& leadership = m_jobs.leadership(m_shard);
  const bool stored = m_pending_claim && !m_claim_in_flight && !m_leader && leadership &&
                      leadership->fencing_token() == m_pending_claim->fencing_token &&
                      leadership->daemon() == m_deps.incarnation;
  if (stored) {
    become_leader(*m_pending_claim);
  }
}

void ShardMember::follow_closely(bool closely) {
  m_follower.set_read_delay(closely ? k_read_delay : read_delay(m_jobs.layout()));
}

void ShardMember::on_jobs_caught_up(std::optional<TimePoint> fresh_as_of) {
  if (m_leader && fresh_as_of >= m_leader->began_at()) {
    m_leader->scheduler().on_jobs_caught_up();
  }
}

void ShardMember::tick(const DaemonState& daemon) {
  if (std::exchange(m_leadership_lost, false) && m_leader) {
    step_down("another daemon leads");
  }
  if (std::exchange(m_handed_over, false) && m_leader) {
    step_down("another daemon takes over");
  }
  if (m_leader) {
    m_leader->tick(daemon.jobs_fresh_as_of);
    hand_over_if_overloaded(daemon);
    return;
  }
  if (!m_jobs.leadership(m_shard) && m_follower.is_loaded()) {
    m_election.on_leadership_vacant(m_deps.timer.now());
  }
  const FollowerState state{m_follower.is_loaded() && daemon.job_table_current,
                            m_follower.fresh_as_of(),
                            m_follower.read_latency(),
                            daemon.stronger_in_touch,
                            daemon.stronger_known,
                            daemon.shards_led};
  const bool claim_due = m_election.should_claim(m_deps.timer.now(), state);
  if (claim_due && !daemon.claim_in_flight && !m_claim_in_flight && !m_stopping) {
    send_claim();
  }
}

// A leader that is too slow for the fleet would keep the leadership, since it still sends
// heartbeats.
void ShardMember::hand_over_if_overloaded(const DaemonState& daemon) {
  const TimePoint now = m_deps.timer.now();
  const LeaderLoad load{daemon.stronger_in_touch || daemon.should_share_load, daemon.lagging_since,
                        m_leader->scheduler().can_be_taken_over_at_once()};
  if (m_handing_over || m_stopping || !m_handover.should_hand_over(now, load)) {
    return;
  }
  m_handing_over = true;
  EventLine(Event::leadership_released)
      .add("shard", m_shard)
      .add("term", m_leader->claim().term)
      .add("reason", daemon.should_share_load ? "another daemon leads no shard"
                                              : "a stronger daemon is in touch")
      .add_ms("lag_ms", daemon.lag)
      .write();
  m_leader->release([this, alive = m_alive] {
    if (*alive) {
      m_handed_over = true;
    }
  });
}

// The claim is stored only if no record has been appended since this daemon last read the
// partition, so a leader's next record or another claim makes it fail.
void ShardMember::send_claim() {
  const std::uint64_t end = m_follower.next_offset();
  LeadershipClaim claim;
  claim.daemon = m_deps.incarnation;
  claim.daemon_name = m_deps.daemon;
  claim.term = m_jobs.leadership(m_shard)
                   ? static_cast<std::uint32_t>(m_jobs.leadership(m_shard)->term()) + 1
                   : 1;
  claim.fencing_token = end + 1;
  claim.claim_sequence = claim_sequence(m_deps.incarnation, claim.fencing_token);
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
  request.partition = jobs::leader_partition(m_shard);
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

void ShardMember::on_claim_reply(
    const LeadershipClaim& claim,
    const tl::expected<store::AppendReply, store::AppendError>& reply) {
  if (reply && names_claim(*reply, claim)) {
    become_leader(claim);
    return;
  }
  EventLine(Event::leadership_refused)
      .add("shard", m_shard)
      .add("term", claim.term)
      .add("token", claim.fencing_token)
      .add("error", reply ? fmt::format("the reply names offset {} and end {}", reply->first_offset,
                                        reply->end)
                          : reply.error().message)
      .write();
  m_election.on_claim_refused(m_deps.timer.now());
  // An earlier copy of this claim that had no answer may be stored, whatever this one is told.
  become_leader_if_claim_stored();
}

// Takes the claim by value, since the argument may be m_pending_claim, which is reset here.
void ShardMember::become_leader(LeadershipClaim claim) {
  m_pending_claim.reset();
  if (m_stopping || m_leader) {
    return;
  }
  observe::record_timing(observe::Timing::leadership_claim, m_deps.timer.now() - claim.claimed_at);
  EventLine(Event::leadership_claimed)
      .add("shard", m_shard)
      .add("term", claim.term)
      .add("token", claim.fencing_token)
      .add_ms("took_ms", m_deps.timer.now() - claim.claimed_at)
      .add("jobs", m_jobs.entries().size())
      .write();
  m_election.on_leadership_held();
  m_leader = std::make_unique<Leader>(m_deps, m_jobs, m_shard, std::move(claim),
                                      [this] { m_leadership_lost = true; });
  m_jobs.set_listener(m_shard, &m_leader->job_listener());
  m_on_led_changed();
}

void ShardMember::step_down(const char* reason) {
  EventLine(Event::leadership_lost)
      .add("shard", m_shard)
      .add("term", m_leader->claim().term)
      .add("token", m_leader->claim().fencing_token)
      .add("reason", reason)
      .write();
  m_jobs.set_listener(m_shard, nullptr);
  m_leader.reset();
  m_handing_over = false;
  m_handed_over = false;
  m_handover.on_leadership_lost();
  m_election.on_leader_activity(m_deps.timer.now());
  m_on_led_changed();
}

void ShardMember::shut_down(std::function<void()> done) {
  m_stopping = true;
  if (!m_leader || m_handing_over) {
    done();
    return;
  }
  m_leader->release([this, alive = m_alive, done = std::move(done)] {
    if (!*alive) {
      return;
    }
    if (m_leader) {
      EventLine(Event::leadership_released)
          .add("shard", m_shard)
          .add("term", m_leader->claim().term)
          .write();
    }
    done();
  });
}

}  // namespace arbutusdale::fleet
