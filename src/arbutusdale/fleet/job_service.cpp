// Durable writes for callers, and the check that the job table is recent.
#include "arbutusdale/fleet/job_service.hpp"

#include "arbutusdale/jobs/daemon_presence.hpp"
#include "arbutusdale/sched/progress_size.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::fleet {
namespace {

constexpr std::uint64_t k_first_epoch = 1;
constexpr std::uint64_t k_first_sequence = 1;
// A caller is better served by a retry at another daemon than by waiting here for a store that does
// not reply.
constexpr store::FailFastPolicy k_fail_fast{std::chrono::milliseconds{250},
                                            std::chrono::milliseconds{800}};
constexpr Duration k_presence_interval = std::chrono::seconds{2};
constexpr double k_millis = 1'000;
// Reads wait up to a second for a record, so a job table older than this means that they fail.
constexpr Duration k_max_staleness = std::chrono::milliseconds{2'500};

// Space in an append with a submission for the lengths and for the daemon's presence record.
constexpr std::size_t k_append_reserve_bytes = 1'024;

std::size_t max_submission_bytes_of(const store::RecordLimits& limits) {
  const std::size_t in_append = limits.append - std::min(limits.append, k_append_reserve_bytes);
  return std::min(limits.record, in_append);
}

std::size_t max_progress_bytes_of(const store::RecordLimits& limits) {
  const std::size_t content = store::max_content_bytes(limits);
  return content - std::min(content, sched::k_record_reserve_bytes);
}

}  // namespace

JobService::JobService(store::MetadataStore& store, Timer& timer, const jobs::JobTable& jobs,
                       const JobFollowers& followers, const std::string& daemon,
                       const std::string& incarnation, double cpu_share,
                       const store::RecordLimits& limits)
    : m_timer(timer),
      m_jobs(jobs),
      m_followers(followers),
      m_daemon(daemon),
      m_cpu_millis(static_cast<std::uint32_t>(cpu_share * k_millis)),
      m_max_submission_bytes(max_submission_bytes_of(limits)),
      m_max_progress_bytes(max_progress_bytes_of(limits)),
      m_own_partition(jobs::job_partition_of(daemon)) {
  for (const store::Partition& partition : jobs::job_partitions()) {
    m_writers.push_back(std::make_unique<store::GroupCommit>(
        store, timer, partition, incarnation, k_first_epoch, k_first_sequence, k_fail_fast,
        store::EpochPolicy::rising, limits));
  }
}

void JobService::tick() {
  for (const auto& writer : m_writers) {
    writer->expire();
  }
}

void JobService::submit(const jobs::JobId& id, const jobs::JobSubmitted& record, TimePoint deadline,
                        Done done) {
  const jobs::JobEntry* known = m_jobs.find(id);
  if (known != nullptr && known->submitted) {
    done(WriteOutcome::stored);
    return;
  }
  std::vector<store::KeyedValue> entries{jobs::encode(record)};
  if (auto presence = due_presence()) {
    entries.push_back(std::move(*presence));
  }
  write(std::move(entries), deadline, std::move(done));
}

std::optional<store::KeyedValue> JobService::due_presence() {
  const TimePoint now = m_timer.now();
  if (m_presence_written_at && now - *m_presence_written_at < k_presence_interval) {
    return std::nullopt;
  }
  m_presence_written_at = now;
  return jobs::encode(jobs::DaemonPresence{m_daemon, m_cpu_millis, m_timer.wall_ms()});
}

void JobService::cancel(const jobs::JobId& id, TimePoint deadline, Done done) {
  const jobs::JobEntry* known = m_jobs.find(id);
  if (known != nullptr && known->cancelled) {
    done(WriteOutcome::stored);
    return;
  }
  write({jobs::encode_cancellation(id)}, deadline, std::move(done));
}

// A job's records may be in any partition, and a missing tombstone would bring the job back after a
// restart, so the deletion must be stored in every partition.
void JobService::delete_jobs(const std::vector<jobs::JobId>& jobs, TimePoint deadline,
                             const Done& done) {
  std::vector<store::KeyedValue> entries;
  for (const jobs::JobId& job : jobs) {
    for (store::KeyedValue& entry : jobs::encode_submission_removal(job)) {
      entries.push_back(std::move(entry));
    }
  }
  struct PendingDeletion {
    std::size_t pending = 0;
    bool all_stored = true;
  };
  const auto deletion = std::make_shared<PendingDeletion>();
  deletion->pending = m_writers.size();
  for (const auto& writer : m_writers) {
    writer->write(entries, deadline, [deletion, done](store::CommitOutcome outcome) {
      deletion->all_stored = deletion->all_stored && outcome == store::CommitOutcome::stored;
      if (--deletion->pending == 0) {
        done(deletion->all_stored ? WriteOutcome::stored : WriteOutcome::unknown);
      }
    });
  }
}

void JobService::write(std::vector<store::KeyedValue> entries, TimePoint deadline, Done done) {
  if (!is_available()) {
    done(WriteOutcome::not_stored);
    return;
  }
  m_writers[m_own_partition]->write(std::move(entries), deadline,
                                    [done = std::move(done)](store::CommitOutcome outcome) {
                                      switch (outcome) {
                                        case store::CommitOutcome::stored:
                                          done(WriteOutcome::stored);
                                          return;
                                        case store::CommitOutcome::refused:
                                          done(WriteOutcome::not_stored);
                                          return;
                                        case store::CommitOutcome::unknown:
                                        case store::CommitOutcome::fenced:
                                          done(WriteOutcome::unknown);
                                          return;
                                      }
                                    });
}

bool JobService::is_available() const {
  return is_job_table_current();
}

bool JobService::is_job_table_current() const {
  const auto as_of = m_followers.fresh_as_of();
  return as_of && m_timer.now() - *as_of <= k_max_staleness;
}

}  // namespace arbutusdale::fleet
