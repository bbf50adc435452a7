// Reads the stored layout, and proposes one when there is none.
#include "arbutusdale/fleet/shard_layout_agreement.hpp"

#include "arbutusdale/core/hash.hpp"
#include "arbutusdale/jobs/job_table.hpp"
#include "arbutusdale/observe/event_log.hpp"

#include <algorithm>
#include <utility>

#include <spdlog/spdlog.h>

namespace arbutusdale::fleet {
namespace {

using observe::Event;
using observe::EventLine;

constexpr std::uint32_t k_read_wait_ms = 1'000;
constexpr Duration k_proposal_timeout = std::chrono::milliseconds{1'000};
// Strong daemons propose first, so that the layout suits the daemons that will lead.
constexpr double k_one_core_delay_ms = 15;
constexpr double k_min_cpu_share = 0.05;
constexpr std::uint64_t k_max_jitter_ms = 60;
// Workers that start together with the daemons register over some seconds. Jobs wait until the
// layout is known, so the count ends when no worker has been added for a while, or at the latest
// after a longer time. Weak daemons read the registrations late, and wait longer.
constexpr Duration k_quiet_time = std::chrono::milliseconds{1'200};
constexpr double k_one_core_extra_wait_ms = 50;
constexpr Duration k_max_wait_for_workers = std::chrono::milliseconds{3'800};

Duration scaled(double one_core_ms, double cpu_share) {
  const double share = std::clamp(cpu_share, k_min_cpu_share, 1.0);
  return std::chrono::milliseconds{static_cast<std::int64_t>(one_core_ms / share)};
}

Duration proposal_delay(const ShardLayoutOptions& options) {
  return scaled(k_one_core_delay_ms, options.cpu_share) +
         std::chrono::milliseconds{stable_hash(options.daemon) % k_max_jitter_ms};
}

}  // namespace

ShardLayoutAgreement::ShardLayoutAgreement(store::MetadataStore& store, Timer& timer,
                                           sched::WorkerDirectoryFactory directory,
                                           ShardLayoutOptions options)
    : m_store(store),
      m_timer(timer),
      m_make_directory(std::move(directory)),
      m_options(std::move(options)),
      m_follower(store, timer,
                 {jobs::layout_partition(), k_read_wait_ms, Duration::zero(),
                  stable_hash(m_options.daemon)},
                 *this) {}

ShardLayoutAgreement::~ShardLayoutAgreement() {
  *m_alive = false;
}

void ShardLayoutAgreement::start() {
  m_follower.start();
}

void ShardLayoutAgreement::on_record(const store::Record& record) {
  if (m_layout) {
    return;
  }
  m_layout = jobs::decode_layout(record);
  if (!m_layout) {
    m_has_unreadable_record = true;
    spdlog::error(
        "the shard layout at offset {} can't be read: expected a number from 1 to {}; this daemon "
        "leads no shard",
        record.offset, jobs::k_max_shards);
    return;
  }
  m_directory.reset();
  EventLine(Event::shard_layout_known).add("shards", m_layout->count).write();
}

void ShardLayoutAgreement::on_scan_complete() {
  if (!m_layout && !m_has_unreadable_record && !m_missing_since) {
    m_missing_since = m_timer.now();
  }
}

void ShardLayoutAgreement::tick() {
  const bool due = !m_layout && !m_has_unreadable_record && !m_call_in_flight && m_missing_since &&
                   m_timer.now() >= *m_missing_since + proposal_delay(m_options);
  if (!due) {
    return;
  }
  if (!m_directory) {
    m_directory = m_make_directory(*this);
  }
  if (!m_had_leader) {
    find_earlier_leader();
    return;
  }
  if (may_propose()) {
    propose();
  }
}

void ShardLayoutAgreement::find_earlier_leader() {
  m_call_in_flight = true;
  m_store.scan(jobs::leader_partition(jobs::k_first_shard), "",
               [this, alive = m_alive](tl::expected<store::ScanPage, store::ReadError> page) {
                 if (!*alive) {
                   return;
                 }
                 m_call_in_flight = false;
                 if (page) {
                   m_had_leader = !page->records.empty();
                 }
               });
}

void ShardLayoutAgreement::on_worker_updated(const sched::WorkerEntry& entry) {
  if (m_workers.insert(entry.id).second) {
    m_worker_added_at = m_timer.now();
  }
}

void ShardLayoutAgreement::on_workers_loaded() {
  m_counted_since = m_counted_since.value_or(m_timer.now());
}

bool ShardLayoutAgreement::may_propose() const {
  if (!m_counted_since) {
    return false;
  }
  const TimePoint now = m_timer.now();
  const Duration max_wait =
      k_max_wait_for_workers + scaled(k_one_core_extra_wait_ms, m_options.cpu_share);
  const bool is_complete = m_worker_added_at && now >= *m_worker_added_at + k_quiet_time;
  return *m_had_leader || is_complete || now >= *m_counted_since + max_wait;
}

void ShardLayoutAgreement::propose() {
  const jobs::ShardLayout layout =
      *m_had_leader
          ? jobs::ShardLayout{}
          : jobs::choose_layout(m_workers.size(), m_options.cpu_share, m_options.max_shards);
  store::AppendRequest request;
  request.partition = jobs::layout_partition();
  request.entries = {jobs::encode(layout)};
  request.expected_end = 0;
  request.timeout = k_proposal_timeout;
  m_call_in_flight = true;
  m_store.append(std::move(request),
                 [this, alive = m_alive, layout, workers = m_workers.size()](
                     const tl::expected<store::AppendReply, store::AppendError>& reply) {
                   if (!*alive) {
                     return;
                   }
                   m_call_in_flight = false;
                   EventLine(Event::shard_layout_proposed)
                       .add("shards", layout.count)
                       .add("workers", workers)
                       .add("accepted", reply ? 1 : 0)
                       .write();
                   m_follower.catch_up();
                 });
}

}  // namespace arbutusdale::fleet
