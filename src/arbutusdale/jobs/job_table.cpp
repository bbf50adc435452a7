// Encoding of records, and their application to the table.
#include "arbutusdale/jobs/job_table.hpp"

#include "arbutusdale/core/hash.hpp"

#include <string_view>
#include <utility>

#include <spdlog/spdlog.h>

namespace arbutusdale::jobs {
namespace {

constexpr std::uint32_t k_job_partitions = 4;

// Keys start with one letter for the kind of record.
constexpr char k_submission = 'j';
constexpr char k_cancellation = 'c';
constexpr char k_progress = 'p';
constexpr char k_move = 'm';
constexpr std::string_view k_leadership_key = "leader";
constexpr std::string_view k_roster_key = "roster";
constexpr std::string_view k_interference_key = "interference";
constexpr std::string_view k_takeover_key = "takeover";

std::string key_of(char kind, std::string_view job) {
  std::string key;
  key.reserve(1 + job.size());
  key.push_back(kind);
  key.append(job);
  return key;
}

std::optional<JobId> job_id_of(const store::Record& record) {
  const std::string_view key = record.entry.key;
  return key.empty() ? std::nullopt : JobId::parse(key.substr(1));
}

void log_undecodable(const store::Record& record) {
  spdlog::warn("record at offset {} with key {} can't be decoded and is skipped", record.offset,
               record.entry.key);
}

}  // namespace

std::vector<store::Partition> job_partitions() {
  std::vector<store::Partition> partitions;
  for (std::uint32_t i = 0; i < k_job_partitions; ++i) {
    partitions.push_back({"arbutusdale.jobs", i});
  }
  return partitions;
}

std::size_t job_partition_of(const std::string& daemon) {
  return stable_hash(daemon) % k_job_partitions;
}

store::Partition leader_partition(ShardIndex shard) {
  return {"arbutusdale.leader", shard};
}

store::KeyedValue encode(const JobSubmitted& record) {
  return {key_of(k_submission, record.job()), record.SerializeAsString()};
}

store::KeyedValue encode(const JobProgress& record) {
  return {key_of(k_progress, record.job()), record.SerializeAsString()};
}

store::KeyedValue encode(const Leadership& record) {
  return {std::string(k_leadership_key), record.SerializeAsString()};
}

store::KeyedValue encode(const JobMoved& record) {
  return {key_of(k_move, record.job()), record.SerializeAsString()};
}

store::KeyedValue encode(const WorkerRoster& record) {
  return {std::string(k_roster_key), record.SerializeAsString()};
}

store::KeyedValue encode(const InterferenceEvidence& record) {
  return {std::string(k_interference_key), record.SerializeAsString()};
}

store::KeyedValue encode(const Takeover& record) {
  return {std::string(k_takeover_key), record.SerializeAsString()};
}

store::KeyedValue encode_cancellation(const JobId& job) {
  proto::jobs::JobCancelled record;
  record.set_job(job.str());
  return {key_of(k_cancellation, job.view()), record.SerializeAsString()};
}

std::vector<store::KeyedValue> encode_submission_removal(const JobId& job) {
  return {{key_of(k_submission, job.view()), ""}, {key_of(k_cancellation, job.view()), ""}};
}

store::KeyedValue encode_progress_removal(const JobId& job) {
  return {key_of(k_progress, job.view()), ""};
}

store::KeyedValue encode_move_removal(const JobId& job) {
  return {key_of(k_move, job.view()), ""};
}

JobState JobEntry::state() const {
  const JobState recorded = progress ? progress->state() : JobState::QUEUED;
  if (recorded == JobState::COMPLETED || recorded == JobState::FAILED) {
    return recorded;
  }
  return cancelled ? JobState::CANCELLED : recorded;
}

void JobTable::set_layout(ShardLayout layout) {
  m_layout = layout;
  m_shards.resize(layout.count);
  for (auto& [id, entry] : m_jobs) {
    entry.shard = layout.shard_of_job(id);
  }
}

JobEntry& JobTable::get_or_add(const JobId& job) {
  const auto [found, added] = m_jobs.try_emplace(job);
  if (added) {
    found->second.shard = m_layout.shard_of_job(job);
  }
  return found->second;
}

void JobTable::notify_submitted(const JobId& job, const JobEntry& entry) {
  if (JobListener* listener = m_shards.at(entry.shard).listener; listener != nullptr) {
    listener->on_submitted(job, entry);
  }
}

void JobTable::apply_job_record(const store::Record& record) {
  const auto job = job_id_of(record);
  if (!job) {
    log_undecodable(record);
    return;
  }
  switch (record.entry.key.front()) {
    case k_submission:
      apply_submission(*job, record);
      return;
    case k_cancellation:
      apply_cancellation(*job, record);
      return;
    default:
      log_undecodable(record);
  }
}

void JobTable::apply_leader_record(ShardIndex shard, const store::Record& record) {
  Shard& state = m_shards.at(shard);
  if (record.entry.key == k_leadership_key) {
    Leadership leadership;
    if (!leadership.ParseFromString(record.entry.value)) {
      log_undecodable(record);
      return;
    }
    state.leadership = std::move(leadership);
    return;
  }
  if (record.entry.key == k_roster_key) {
    WorkerRoster roster;
    if (!roster.ParseFromString(record.entry.value)) {
      log_undecodable(record);
      return;
    }
    state.roster = std::move(roster);
    return;
  }
  if (record.entry.key == k_interference_key) {
    if (!state.interference.ParseFromString(record.entry.value)) {
      log_undecodable(record);
    }
    return;
  }
  if (record.entry.key == k_takeover_key) {
    Takeover takeover;
    if (!takeover.ParseFromString(record.entry.value)) {
      log_undecodable(record);
      return;
    }
    state.takeover = std::move(takeover);
    return;
  }
  const auto job = job_id_of(record);
  const char kind = job ? record.entry.key.front() : '\0';
  switch (kind) {
    case k_progress:
      apply_progress(*job, record);
      return;
    case k_move:
      apply_move(shard, *job, record);
      return;
    default:
      log_undecodable(record);
  }
}

void JobTable::apply_submission(const JobId& job, const store::Record& record) {
  if (record.entry.value.empty()) {
    m_jobs.erase(job);
    return;
  }
  JobEntry& entry = get_or_add(job);
  if (entry.submitted) {
    return;  // the same job was accepted by two daemons
  }
  auto submitted = std::make_shared<JobSubmitted>();
  if (!submitted->ParseFromString(record.entry.value)) {
    log_undecodable(record);
    return;
  }
  entry.submitted = std::move(submitted);
  notify_submitted(job, entry);
}

void JobTable::apply_cancellation(const JobId& job, const store::Record& record) {
  if (record.entry.value.empty()) {
    return;  // the job is erased by the tombstone of its submission
  }
  JobEntry& entry = get_or_add(job);
  if (std::exchange(entry.cancelled, true)) {
    return;
  }
  if (JobListener* listener = m_shards.at(entry.shard).listener; listener != nullptr) {
    listener->on_cancelled(job);
  }
}

void JobTable::apply_progress(const JobId& job, const store::Record& record) {
  if (record.entry.value.empty()) {
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
      found->second.progress.reset();
    }
    return;
  }
  auto progress = std::make_shared<JobProgress>();
  if (!progress->ParseFromString(record.entry.value)) {
    log_undecodable(record);
    return;
  }
  replace_progress(get_or_add(job), std::move(progress));
}

// The records of shards that have had the job lie in different partitions and may be read in any
// order. Within a partition the newest comes last.
void JobTable::replace_progress(JobEntry& entry, std::shared_ptr<const JobProgress> progress) {
  if (!entry.progress || entry.progress->moves() <= progress->moves()) {
    entry.progress = std::move(progress);
  }
}

// The records of one job's moves lie in different partitions and may be read in any order.
void JobTable::apply_move(ShardIndex from, const JobId& job, const store::Record& record) {
  if (record.entry.value.empty()) {
    m_shards.at(from).moved.erase(job);
    return;
  }
  JobMoved move;
  if (!move.ParseFromString(record.entry.value) || move.to_shard() >= m_layout.count) {
    log_undecodable(record);
    return;
  }
  m_shards.at(from).moved.insert(job);
  JobEntry& entry = get_or_add(job);
  if (move.moves() <= entry.moves) {
    return;
  }
  entry.shard = move.to_shard();
  entry.moves = move.moves();
  entry.runs_through = move.runs_through();
  const bool is_newer = !entry.progress || entry.progress->moves() < move.moves();
  if (move.has_progress() && is_newer) {
    entry.progress = std::make_shared<JobProgress>(move.progress());
  }
  if (entry.submitted) {
    notify_submitted(job, entry);
  }
}

const JobEntry* JobTable::find(const JobId& job) const {
  const auto found = m_jobs.find(job);
  return found == m_jobs.end() ? nullptr : &found->second;
}

std::uint32_t JobTable::count_queued(const std::string& queue) const {
  std::uint32_t count = 0;
  for (const auto& [job, entry] : m_jobs) {
    if (!entry.submitted || entry.submitted->terms().queue() != queue) {
      continue;
    }
    count += entry.state() == JobState::QUEUED ? 1 : 0;
  }
  return count;
}

}  // namespace arbutusdale::jobs
