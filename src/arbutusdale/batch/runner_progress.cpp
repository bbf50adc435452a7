// Ends of attempts: outcome, progress records, acknowledgement after the record, next attempt.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

using proto::platform::AttemptReport;
using proto::platform::AttemptState;

constexpr Duration k_flush_interval = std::chrono::seconds{1};
// Minimum time between urgent flushes; bounds the log appends of one daemon.
constexpr Duration k_urgent_flush_interval = std::chrono::milliseconds{250};
// Notes of at most 200 bytes keep a record of 500 attempts well under its limit of 256 KiB.
constexpr std::size_t k_max_attempts_per_record = 500;
constexpr std::size_t k_max_note_bytes = 200;
constexpr std::uint32_t k_max_records_in_flight = 4;
// Maximum tries of a task over all workers, as a multiple of its limit of distinct failing workers.
constexpr std::uint32_t k_max_tries_factor = 3;

void add_ranges(const state::TaskSet& tasks,
                google::protobuf::RepeatedPtrField<proto::state::TaskRange>& ranges) {
  for (const state::TaskSpan& span : tasks.spans()) {
    proto::state::TaskRange* range = ranges.Add();
    range->set_first(span.first);
    range->set_last(span.last);
  }
}

std::string join(const std::vector<std::string>& words) {
  std::string result;
  for (const std::string& word : words) {
    result += result.empty() ? word : ", " + word;
  }
  return result;
}

std::string note_of(StopReason reason) {
  switch (reason) {
    case StopReason::drained:
      return "moved because its VM is drained or leaving";
    case StopReason::evicted:
      return "evicted because a service on its VM missed its target";
    case StopReason::preempted:
      return "evicted to make room for urgent work";
    default:
      return "stopped by its agent";
  }
}

bool is_dropped(StopReason reason) {
  return reason == StopReason::cancelled || reason == StopReason::duplicate;
}

}  // namespace

// The limit of tries applies to distinct failing workers, so that one worker on which every task
// fails does not use up the tries of a task.
Outcome Runner::outcome_of_failure(const AttemptRef& ref, Attempt& attempt) const {
  const Job& job = m_jobs.job(ref.key.job);
  const NextAttempt before = m_jobs.next_attempt(job.name, ref.key.task);
  std::vector<std::string> workers = before.failed_workers;
  const std::string& here = m_workers[ref.worker].info.id;
  if (std::find(workers.begin(), workers.end(), here) == workers.end()) {
    workers.push_back(here);
  }
  std::sort(workers.begin(), workers.end());
  workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
  const std::uint32_t limit =
      job.decl.max_tries() > 0 ? job.decl.max_tries() : m_options.default_max_tries;
  const auto usable = static_cast<std::size_t>(
      std::count_if(m_workers.begin(), m_workers.end(), [](const Worker& worker) {
        return worker.listed && worker.access == WorkerAccess::acquired;
      }));
  const std::uint32_t tries = before.failed_tries + 1;
  const bool exhausted = workers.size() >= limit || (tries >= limit && workers.size() >= usable) ||
                         tries >= limit * k_max_tries_factor;
  if (!exhausted) {
    return Outcome::failed_try;
  }
  attempt.note = "given up after " + std::to_string(tries) + " failed tries on " + join(workers) +
                 "; last failure: " + attempt.note;
  return Outcome::failed;
}

void Runner::end_attempt(const AttemptRef& ref, const AttemptReport& report) {
  Attempt& attempt = *find_attempt(ref);
  attempt.run_ms = report.run_ms();
  if (!report.checkpoint().empty()) {
    attempt.checkpoint = report.checkpoint();
  }
  switch (report.state()) {
    case AttemptState::ATTEMPT_SUCCEEDED:
      end_with_outcome(ref, Outcome::succeeded, "");
      return;
    case AttemptState::ATTEMPT_FAILED: {
      attempt.note = report.failure();
      const Outcome outcome = outcome_of_failure(ref, attempt);
      end_with_outcome(ref, outcome, attempt.note);
      return;
    }
    case AttemptState::ATTEMPT_LEASE_EXPIRED:
      end_with_outcome(ref, is_dropped(attempt.stop) ? Outcome::dropped : Outcome::evicted,
                       "stopped because the worker's lease lapsed");
      return;
    default:
      break;
  }
  if (attempt.stop == StopReason::unconfirmed && !attempt.reported) {
    end_with_outcome(ref, Outcome::lost, "start withdrawn because its answer was lost");
    return;
  }
  end_with_outcome(ref, is_dropped(attempt.stop) ? Outcome::dropped : Outcome::evicted,
                   note_of(attempt.stop));
}

// Called once the end of the attempt is proved. The attempt stays in `live` until it is recorded,
// so that the task does not start again before that.
void Runner::end_with_outcome(const AttemptRef& ref, Outcome outcome, std::string note) {
  Attempt& attempt = *find_attempt(ref);
  release(ref, attempt);
  attempt.phase = AttemptPhase::ended;
  const bool ended_by_stop = outcome == Outcome::lost || outcome == Outcome::evicted;
  attempt.outcome = ended_by_stop && is_dropped(attempt.stop) ? Outcome::dropped : outcome;
  attempt.note = std::move(note);
  switch (attempt.outcome) {
    case Outcome::succeeded:
      ++m_stats.succeeded;
      break;
    case Outcome::failed_try:
    case Outcome::failed:
      ++m_stats.failed;
      break;
    case Outcome::evicted:
      m_stats.evictions +=
          attempt.stop == StopReason::evicted || attempt.stop == StopReason::preempted ? 1 : 0;
      break;
    case Outcome::lost:
      ++m_stats.lost;
      break;
    default:
      break;
  }
  update_health(ref.worker, attempt, ref.key);
  if (may_acknowledge(attempt)) {
    queue_acknowledgement(ref);
  }
  if (attempt.outcome == Outcome::dropped) {
    // A cancelled or duplicate attempt has no result to record.
    finish_recorded(ref);
    return;
  }
  const bool restarts = attempt.outcome != Outcome::succeeded && attempt.outcome != Outcome::failed;
  m_flush_urgent |= restarts && m_jobs.job(ref.key.job).decl.urgent();
  m_unrecorded.push_back(ref);
}

/// An agent forgets an acknowledged attempt, so an ended attempt may be acknowledged only once it
/// is recorded.
bool Runner::may_acknowledge(const Attempt& attempt) const {
  return attempt.phase == AttemptPhase::recorded ||
         m_options.seeded_fault == SeededFault::acknowledge_before_record;
}

// The agent has answered a stop without having received the start, and refuses the start from now
// on, so the task may start elsewhere.
void Runner::withdraw_start(const AttemptRef& ref) {
  Attempt& attempt = *find_attempt(ref);
  release(ref, attempt);
  Job& job = m_jobs.job(ref.key.job);
  NextAttempt next = m_jobs.next_attempt(job.name, ref.key.task);
  next.attempt = std::max(next.attempt, ref.key.attempt + 1);
  m_workers[ref.worker].attempts.erase(ref.key);
  release_task(ref, std::move(next));
}

void Runner::release_task(const AttemptRef& ref, NextAttempt next) {
  Job& job = m_jobs.job(ref.key.job);
  const auto live = job.live.find(ref.key.task);
  if (live == job.live.end() || live->second.worker != ref.worker || live->second.key != ref.key) {
    return;
  }
  job.live.erase(live);
  if (!m_jobs.is_finished(job.name, ref.key.task) && !job.cancelled) {
    JobTable::put_back(job, ref.key.task, std::move(next));
  }
  refresh_queue(ref.key.job);
}

void Runner::add_entry(proto::state::JobTaskProgress& progress, const AttemptRef& ref,
                       const Attempt& attempt) const {
  proto::state::TaskNote note;
  note.set_task(ref.key.task);
  note.set_attempt(ref.key.attempt);
  note.set_worker(m_workers[ref.worker].info.id);
  note.set_checkpoint(attempt.checkpoint);
  note.set_note(attempt.note.substr(0, k_max_note_bytes));
  switch (attempt.outcome) {
    case Outcome::failed_try:
      *progress.add_failed_tries() = std::move(note);
      break;
    case Outcome::failed:
      *progress.add_failed() = std::move(note);
      break;
    case Outcome::evicted:
      *progress.add_evicted() = std::move(note);
      break;
    default:
      *progress.add_lost() = std::move(note);
      break;
  }
}

void Runner::flush_progress() {
  const bool due = m_now >= m_next_flush;
  const bool urgent =
      m_flush_urgent && m_now >= m_next_flush - (k_flush_interval - k_urgent_flush_interval);
  if ((!due && !urgent) || m_unrecorded.empty() || m_records_in_flight >= k_max_records_in_flight) {
    return;
  }
  m_next_flush = m_now + k_flush_interval;
  const std::size_t count = std::min(m_unrecorded.size(), k_max_attempts_per_record);
  const auto end = m_unrecorded.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<AttemptRef> refs(m_unrecorded.begin(), end);
  m_unrecorded.erase(m_unrecorded.begin(), end);

  std::map<JobId, state::TaskSet> succeeded;
  std::map<JobId, proto::state::JobTaskProgress> jobs;
  for (const AttemptRef& ref : refs) {
    const Attempt& attempt = *find_attempt(ref);
    proto::state::JobTaskProgress& progress = jobs[ref.key.job];
    if (attempt.outcome == Outcome::succeeded) {
      succeeded[ref.key.job].insert(ref.key.task);
    } else {
      add_entry(progress, ref, attempt);
    }
  }
  proto::state::Record record;
  proto::state::TaskProgress* body = record.mutable_task_progress();
  body->set_shard(m_options.shard);
  body->set_term(m_options.term);
  for (auto& [id, progress] : jobs) {
    progress.set_job(m_jobs.job(id).name);
    add_ranges(succeeded[id], *progress.mutable_succeeded());
    *body->add_jobs() = std::move(progress);
  }
  ++m_records_in_flight;
  const bool send_now = m_flush_urgent;
  m_flush_urgent = false;
  m_stream.propose(std::move(record), send_now,
                   guarded([this, refs](const Result<std::uint64_t>& offset) {
                     --m_records_in_flight;
                     on_recorded(refs, offset.has_value() && record_took_effect());
                   }));
}

/// A record with a term is ignored when a later term has begun before it in the log. Records are
/// applied in log order, so a record that has just been applied has taken effect if the term is
/// still current.
bool Runner::record_took_effect() const {
  return m_domain.shard(m_options.shard).term == m_options.term;
}

void Runner::on_recorded(const std::vector<AttemptRef>& refs, bool applied) {
  if (!applied) {
    // Recording an attempt twice is harmless: the state ignores what it has already applied.
    m_unrecorded.insert(m_unrecorded.begin(), refs.begin(), refs.end());
    return;
  }
  for (const AttemptRef& ref : refs) {
    finish_recorded(ref);
  }
}

void Runner::finish_recorded(const AttemptRef& ref) {
  Attempt* attempt = find_attempt(ref);
  if (attempt == nullptr) {
    return;
  }
  if (attempt->running_after_loss) {
    // Recorded as lost, but still running: the task stays assigned to it until its stop is proved.
    attempt->running_after_loss = false;
    attempt->phase = AttemptPhase::running;
    attempt->outcome = Outcome::none;
    charge(ref, *attempt);
    request_stop(ref, StopReason::unconfirmed);
    return;
  }
  attempt->phase = AttemptPhase::recorded;
  // An attempt of an earlier term has no known start.
  if (!attempt->inherited) {
    trace(TaskStage::finish, ref, attempt->started);
  }
  Job& job = m_jobs.job(ref.key.job);
  NextAttempt next = m_jobs.next_attempt(job.name, ref.key.task);
  next.attempt = std::max(next.attempt, ref.key.attempt + 1);
  release_task(ref, std::move(next));
  Worker& worker = m_workers[ref.worker];
  // The loss of a VM leaves nothing to acknowledge.
  if (worker.access == WorkerAccess::gone || attempt->outcome == Outcome::lost) {
    worker.attempts.erase(ref.key);
    return;
  }
  queue_acknowledgement(ref);
}

void Runner::queue_acknowledgement(const AttemptRef& ref) {
  Worker& worker = m_workers[ref.worker];
  if (worker.access == WorkerAccess::gone) {
    return;
  }
  // An agent forgets an acknowledged attempt, so a duplicate of its start that is still in flight
  // would run it again. A stop is sent first, after which the agent refuses the duplicate.
  Attempt* attempt = find_attempt(ref);
  if (attempt != nullptr && attempt->start_may_arrive) {
    queue_command(ref, *attempt);
    return;
  }
  const proto::platform::AttemptRequest request = request_for(ref.key);
  const auto same = [&request](const proto::platform::AttemptRequest& other) {
    return other.job() == request.job() && other.task() == request.task() &&
           other.attempt() == request.attempt();
  };
  if (std::none_of(worker.to_acknowledge.begin(), worker.to_acknowledge.end(), same)) {
    worker.to_acknowledge.push_back(request);
  }
}

}  // namespace arbutusdale::batch
