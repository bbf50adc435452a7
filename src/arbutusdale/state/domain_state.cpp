// State machine of a failure domain's stream.
#include "arbutusdale/state/domain_state.hpp"

#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>

#include "objects.hpp"
#include "record_ids.hpp"

namespace arbutusdale::state {
namespace {

using proto::state::IncarnationEntry;
using proto::state::Record;
using proto::state::TaskEntry;
using proto::state::TaskNote;
using Ranges = google::protobuf::RepeatedPtrField<proto::state::TaskRange>;

// Largest task index. Only retired jobs contain it: a declared job never has that many tasks.
constexpr std::uint32_t k_last_task = std::numeric_limits<std::uint32_t>::max();

TaskSpan span_of(const proto::state::TaskRange& range) {
  return TaskSpan{range.first(), range.last()};
}

void save_spans(const TaskSet& tasks, Ranges& out) {
  for (const TaskSpan& span : tasks.spans()) {
    auto& range = *out.Add();
    range.set_first(span.first);
    range.set_last(span.last);
  }
}

/// Applies the progress that a shard owner reports to the record of one job. An attempt counts
/// once: if it was recorded but not acknowledged to the agent, the next owner finds it in the
/// agent's report again.
class ProgressWriter {
 public:
  explicit ProgressWriter(JobRecord& job) : m_job(job) {}

  void apply(const proto::state::JobTaskProgress& progress);

 private:
  void succeed(const TaskSpan& span);
  void give_up(const TaskNote& note);
  /// Records the end of an attempt and returns the entry of its task; null if the attempt was
  /// already recorded or the task has ended.
  TaskEntry* end_attempt(const TaskNote& note);
  [[nodiscard]] bool has_ended(std::uint32_t task) const {
    return m_job.succeeded.contains(task) || m_job.failed.contains(task);
  }

  JobRecord& m_job;
};

void ProgressWriter::apply(const proto::state::JobTaskProgress& progress) {
  for (const auto& range : progress.succeeded()) {
    succeed(span_of(range));
  }
  for (const TaskNote& note : progress.failed_tries()) {
    TaskEntry* entry = end_attempt(note);
    if (entry == nullptr) {
      continue;
    }
    entry->set_failed_tries(entry->failed_tries() + 1);
    const auto& workers = entry->failed_workers();
    const bool known = std::find(workers.begin(), workers.end(), note.worker()) != workers.end();
    if (!known && static_cast<std::size_t>(workers.size()) < k_max_failed_workers_kept) {
      entry->add_failed_workers(note.worker());
    }
  }
  for (const TaskNote& note : progress.evicted()) {
    m_job.evictions += end_attempt(note) != nullptr ? 1 : 0;
  }
  for (const TaskNote& note : progress.lost()) {
    end_attempt(note);
  }
  for (const TaskNote& note : progress.failed()) {
    give_up(note);
  }
}

void ProgressWriter::succeed(const TaskSpan& span) {
  if (span.first > span.last || span.last == k_last_task) {
    return;
  }
  m_job.succeeded.insert(span);
  m_job.failed.erase(span);
  m_job.task_entries.erase(m_job.task_entries.lower_bound(span.first),
                           m_job.task_entries.upper_bound(span.last));
}

void ProgressWriter::give_up(const TaskNote& note) {
  if (has_ended(note.task())) {
    return;
  }
  m_job.failed.insert(note.task());
  if (m_job.failed.size() > k_max_failed_notes_kept) {
    m_job.task_entries.erase(note.task());
    return;
  }
  TaskEntry& entry = m_job.task_entries[note.task()];
  entry.set_task(note.task());
  entry.set_next_attempt(std::max(entry.next_attempt(), note.attempt() + 1));
  entry.set_note(note.note());
}

TaskEntry* ProgressWriter::end_attempt(const TaskNote& note) {
  if (has_ended(note.task())) {
    return nullptr;
  }
  TaskEntry& entry = m_job.task_entries[note.task()];
  entry.set_task(note.task());
  if (note.attempt() < entry.next_attempt()) {
    return nullptr;
  }
  entry.set_next_attempt(note.attempt() + 1);
  if (!note.checkpoint().empty()) {
    entry.set_checkpoint(note.checkpoint());
  }
  if (!note.note().empty()) {
    entry.set_note(note.note());
  }
  return &entry;
}

class DomainStateMachine final : public DomainState {
 public:
  explicit DomainStateMachine(std::string domain) : m_domain(std::move(domain)) {}

  Result<void> apply(std::uint64_t offset, const Record& record) override;

  [[nodiscard]] ShardOwner shard(std::uint32_t shard) const override;
  [[nodiscard]] std::vector<IncarnationEntry> incarnations() const override {
    return m_incarnations;
  }
  [[nodiscard]] bool is_alive(const std::string& daemon, std::uint64_t incarnation) const override;
  [[nodiscard]] const JobRecord* job(const std::string& name) const override;
  [[nodiscard]] std::vector<std::string> jobs() const override;
  [[nodiscard]] std::vector<proto::state::WorkerQuarantined> quarantines() const override;
  [[nodiscard]] const std::vector<proto::state::TasksMoved>& moves() const override {
    return m_moves;
  }
  [[nodiscard]] bool has_record(const std::string& record_id) const override {
    return m_ids.contains(record_id);
  }

  [[nodiscard]] proto::state::DomainSnapshot snapshot() const override;
  void restore(const proto::state::DomainSnapshot& snapshot) override;

 private:
  void dispatch(std::uint64_t offset, const Record& record);
  void join(std::uint64_t offset, const proto::state::DaemonJoined& joined);
  void end(std::uint64_t offset, const Record& record);
  void claim(std::uint64_t offset, const proto::state::ShardClaimed& claim);
  void release(const proto::state::ShardReleased& released);
  void progress(const proto::state::TaskProgress& progress);
  void move(const proto::state::TasksMoved& move);
  void quarantine(const proto::state::WorkerQuarantined& quarantine);
  void retire(const proto::state::JobRetired& retired);
  void clear_retired_job(const std::string& job);
  void drop_ended_incarnations();
  [[nodiscard]] bool is_current(std::uint32_t shard, std::uint64_t term) const;
  IncarnationEntry* find(const std::string& daemon, std::uint64_t incarnation);

  std::string m_domain;
  std::vector<IncarnationEntry> m_incarnations;  // in the order in which they joined
  std::map<std::uint32_t, ShardOwner> m_shards;
  std::map<std::string, JobRecord> m_jobs;
  std::map<std::string, proto::state::WorkerQuarantined> m_quarantines;  // latest one by worker
  std::vector<std::string> m_quarantine_order;  // workers, least recently quarantined first
  std::vector<proto::state::TasksMoved> m_moves;
  std::deque<std::string> m_retired;  // jobs in m_jobs whose details were cleared, oldest first
  RecordIds m_ids;
};

Result<void> DomainStateMachine::apply(std::uint64_t offset, const Record& record) {
  if (record.format() != k_record_format) {
    return unknown_format(record, offset);
  }
  switch (record.body_case()) {
    case Record::kDaemonJoined:
    case Record::kIncarnationEnded:
    case Record::kShardClaimed:
    case Record::kShardReleased:
    case Record::kTaskProgress:
    case Record::kTasksMoved:
    case Record::kWorkerQuarantined:
    case Record::kJobRetired:
      break;
    default:
      return unknown_type(record, offset);
  }
  if (m_ids.insert(record.id())) {
    dispatch(offset, record);
  }
  return {};
}

void DomainStateMachine::dispatch(std::uint64_t offset, const Record& record) {
  if (record.has_daemon_joined()) {
    join(offset, record.daemon_joined());
  } else if (record.has_incarnation_ended()) {
    end(offset, record);
  } else if (record.has_shard_claimed()) {
    claim(offset, record.shard_claimed());
  } else if (record.has_shard_released()) {
    release(record.shard_released());
  } else if (record.has_task_progress()) {
    progress(record.task_progress());
  } else if (record.has_tasks_moved()) {
    move(record.tasks_moved());
  } else if (record.has_worker_quarantined()) {
    quarantine(record.worker_quarantined());
  } else {
    retire(record.job_retired());
  }
}

ShardOwner DomainStateMachine::shard(std::uint32_t shard) const {
  const auto it = m_shards.find(shard);
  if (it != m_shards.end()) {
    return it->second;
  }
  ShardOwner unclaimed;
  unclaimed.shard = shard;
  return unclaimed;
}

bool DomainStateMachine::is_alive(const std::string& daemon, std::uint64_t incarnation) const {
  return std::any_of(m_incarnations.begin(), m_incarnations.end(), [&](const auto& entry) {
    return entry.daemon() == daemon && entry.incarnation() == incarnation &&
           entry.ended_offset() == 0;
  });
}

const JobRecord* DomainStateMachine::job(const std::string& name) const {
  const auto it = m_jobs.find(name);
  return it == m_jobs.end() ? nullptr : &it->second;
}

std::vector<std::string> DomainStateMachine::jobs() const {
  std::vector<std::string> names;
  names.reserve(m_jobs.size());
  for (const auto& [name, record] : m_jobs) {
    names.push_back(name);
  }
  return names;
}

std::vector<proto::state::WorkerQuarantined> DomainStateMachine::quarantines() const {
  std::vector<proto::state::WorkerQuarantined> result;
  result.reserve(m_quarantines.size());
  for (const auto& [worker, quarantine] : m_quarantines) {
    result.push_back(quarantine);
  }
  return result;
}

IncarnationEntry* DomainStateMachine::find(const std::string& daemon, std::uint64_t incarnation) {
  for (auto& entry : m_incarnations) {
    if (entry.daemon() == daemon && entry.incarnation() == incarnation) {
      return &entry;
    }
  }
  return nullptr;
}

void DomainStateMachine::join(std::uint64_t offset, const proto::state::DaemonJoined& joined) {
  if (find(joined.daemon(), joined.incarnation()) != nullptr) {
    return;
  }
  IncarnationEntry entry;
  entry.set_daemon(joined.daemon());
  entry.set_incarnation(joined.incarnation());
  entry.set_joined_offset(offset);
  m_incarnations.push_back(std::move(entry));
}

void DomainStateMachine::end(std::uint64_t offset, const Record& record) {
  const auto& ended = record.incarnation_ended();
  IncarnationEntry* entry = find(ended.daemon(), ended.incarnation());
  if (entry == nullptr) {
    // Recorded as ended, so that a join that the log delivers late does not revive the incarnation.
    m_incarnations.emplace_back();
    entry = &m_incarnations.back();
    entry->set_daemon(ended.daemon());
    entry->set_incarnation(ended.incarnation());
    entry->set_joined_offset(offset);
  }
  if (entry->ended_offset() != 0) {
    return;
  }
  entry->set_ended_offset(std::max<std::uint64_t>(offset, 1));
  entry->set_ended_at_ms(record.written_at_ms());
  entry->set_left(ended.reason() == k_reason_left);
  for (auto& [number, owner] : m_shards) {
    if (owner.daemon == ended.daemon() && owner.incarnation == ended.incarnation()) {
      owner.owned = false;
    }
  }
  drop_ended_incarnations();
}

void DomainStateMachine::drop_ended_incarnations() {
  const auto has_ended = [](const IncarnationEntry& entry) { return entry.ended_offset() != 0; };
  auto count = static_cast<std::size_t>(
      std::count_if(m_incarnations.begin(), m_incarnations.end(), has_ended));
  for (; count > k_max_ended_incarnations_kept; --count) {
    m_incarnations.erase(std::find_if(m_incarnations.begin(), m_incarnations.end(), has_ended));
  }
}

/// A claim takes effect only if the claiming incarnation is alive, the claim names the term that it
/// replaces, and the new term is higher. An owned shard can be claimed only by its owner. A claim
/// at offset 0 is ignored, because term 0 means "never claimed".
void DomainStateMachine::claim(std::uint64_t offset, const proto::state::ShardClaimed& claim) {
  const ShardOwner owner = shard(claim.shard());
  const bool is_owner = owner.daemon == claim.daemon() && owner.incarnation == claim.incarnation();
  if (claim.shard() >= k_max_shards || offset <= owner.term ||
      claim.expected_term() != owner.term || (owner.owned && !is_owner) ||
      !is_alive(claim.daemon(), claim.incarnation())) {
    return;
  }
  m_shards[claim.shard()] =
      ShardOwner{claim.shard(), offset, claim.daemon(), claim.incarnation(), true};
}

void DomainStateMachine::release(const proto::state::ShardReleased& released) {
  if (is_current(released.shard(), released.term())) {
    m_shards[released.shard()].owned = false;
  }
}

/// The term stays current after the owner's incarnation has ended, until the next claim: records
/// that the owner appended before that claim are valid, and the next owner reads them before its
/// own claim.
bool DomainStateMachine::is_current(std::uint32_t shard, std::uint64_t term) const {
  const auto it = m_shards.find(shard);
  return it != m_shards.end() && it->second.term == term;
}

void DomainStateMachine::progress(const proto::state::TaskProgress& progress) {
  if (!is_current(progress.shard(), progress.term())) {
    return;
  }
  for (const auto& job : progress.jobs()) {
    ProgressWriter(m_jobs[job.job()]).apply(job);
  }
}

void DomainStateMachine::move(const proto::state::TasksMoved& move) {
  const JobRecord* record = job(move.job());
  const bool is_retired = record != nullptr && record->succeeded.contains(k_last_task);
  if (!is_current(move.from_shard(), move.from_term()) || move.to_shard() >= k_max_shards ||
      m_moves.size() >= k_max_moves_kept || is_retired) {
    return;
  }
  m_moves.push_back(move);
}

void DomainStateMachine::quarantine(const proto::state::WorkerQuarantined& quarantine) {
  if (!is_current(quarantine.shard(), quarantine.term())) {
    return;
  }
  const std::string& worker = quarantine.worker();
  auto& order = m_quarantine_order;
  order.erase(std::remove(order.begin(), order.end(), worker), order.end());
  order.push_back(worker);
  m_quarantines[worker] = quarantine;
  if (order.size() > k_max_quarantines_kept) {
    m_quarantines.erase(order.front());
    order.erase(order.begin());
  }
}

void DomainStateMachine::retire(const proto::state::JobRetired& retired) {
  const std::string& job = retired.job();
  const auto it = m_jobs.find(job);
  if (!is_current(retired.shard(), retired.term()) || it == m_jobs.end() ||
      it->second.succeeded.contains(k_last_task)) {
    return;
  }
  clear_retired_job(job);
  m_retired.push_back(job);
  if (m_retired.size() > k_max_retired_jobs_kept) {
    m_jobs.erase(m_retired.front());
    m_retired.pop_front();
  }
}

void DomainStateMachine::clear_retired_job(const std::string& job) {
  m_jobs[job] = JobRecord{};
  m_jobs[job].succeeded.insert(TaskSpan{0, k_last_task});
  m_moves.erase(std::remove_if(m_moves.begin(), m_moves.end(),
                               [&job](const auto& move) { return move.job() == job; }),
                m_moves.end());
}

proto::state::DomainSnapshot DomainStateMachine::snapshot() const {
  proto::state::DomainSnapshot snapshot;
  snapshot.set_domain(m_domain);
  for (const auto& entry : m_incarnations) {
    *snapshot.add_incarnations() = entry;
  }
  for (const auto& [number, owner] : m_shards) {
    auto& entry = *snapshot.add_shards();
    entry.set_shard(owner.shard);
    entry.set_term(owner.term);
    entry.set_daemon(owner.daemon);
    entry.set_incarnation(owner.incarnation);
    entry.set_owned(owner.owned);
  }
  for (const auto& job : m_retired) {
    snapshot.add_retired_jobs(job);
  }
  for (const auto& [name, record] : m_jobs) {
    if (record.succeeded.contains(k_last_task)) {
      continue;
    }
    auto& entry = *snapshot.add_jobs();
    entry.set_job(name);
    save_spans(record.succeeded, *entry.mutable_succeeded());
    save_spans(record.failed, *entry.mutable_failed());
    for (const auto& [task, task_entry] : record.task_entries) {
      *entry.add_tasks() = task_entry;
    }
    entry.set_evictions(record.evictions);
  }
  for (const auto& worker : m_quarantine_order) {
    *snapshot.add_quarantined() = m_quarantines.at(worker);
  }
  for (const auto& move : m_moves) {
    *snapshot.add_moves() = move;
  }
  m_ids.save(*snapshot.mutable_recent_record_ids());
  return snapshot;
}

void DomainStateMachine::restore(const proto::state::DomainSnapshot& snapshot) {
  m_incarnations = {snapshot.incarnations().begin(), snapshot.incarnations().end()};
  m_shards.clear();
  for (const auto& entry : snapshot.shards()) {
    m_shards[entry.shard()] =
        ShardOwner{entry.shard(), entry.term(), entry.daemon(), entry.incarnation(), entry.owned()};
  }
  m_jobs.clear();
  for (const auto& entry : snapshot.jobs()) {
    JobRecord& record = m_jobs[entry.job()];
    for (const auto& range : entry.succeeded()) {
      record.succeeded.insert(span_of(range));
    }
    for (const auto& range : entry.failed()) {
      record.failed.insert(span_of(range));
    }
    for (const auto& task : entry.tasks()) {
      record.task_entries[task.task()] = task;
    }
    record.evictions = entry.evictions();
  }
  m_quarantines.clear();
  m_quarantine_order.clear();
  for (const auto& quarantine : snapshot.quarantined()) {
    m_quarantines[quarantine.worker()] = quarantine;
    m_quarantine_order.push_back(quarantine.worker());
  }
  m_moves = {snapshot.moves().begin(), snapshot.moves().end()};
  m_retired = {snapshot.retired_jobs().begin(), snapshot.retired_jobs().end()};
  for (const auto& job : m_retired) {
    clear_retired_job(job);
  }
  m_ids.restore(snapshot.recent_record_ids());
}

}  // namespace

std::unique_ptr<DomainState> make_domain_state(std::string domain) {
  return std::make_unique<DomainStateMachine>(std::move(domain));
}

}  // namespace arbutusdale::state
