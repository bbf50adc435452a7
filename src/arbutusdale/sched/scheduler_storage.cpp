// What the leader stores: the progress of jobs, with the roster and the interference evidence.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/progress_size.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"
#include "arbutusdale/sched/takeover_record.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Starts alone cause a write only after this time, so that most are stored with other progress.
constexpr Duration k_start_record_delay = std::chrono::milliseconds{150};

}  // namespace

std::size_t Scheduler::max_value_bytes() const {
  return m_options.max_record_bytes - std::min(m_options.max_record_bytes, k_record_reserve_bytes);
}

void Scheduler::mark_dirty(Job& job) {
  m_dirty.insert(job.id);
}

void Scheduler::mark_started(Job& job) {
  if (m_started.empty()) {
    m_store_starts_at = m_timer.now() + k_start_record_delay;
  }
  m_started.insert(job.id);
}

// What is not urgent waits for the next tick, or for a write that is.
bool Scheduler::may_write_progress() const {
  const bool has_urgent_start =
      std::any_of(m_pending_starts.begin(), m_pending_starts.end(),
                  [](const PendingStart& start) { return start.is_urgent; });
  return m_has_urgent_progress || has_urgent_start ||
         m_timer.now() - m_written_at >= m_options.write_interval;
}

void Scheduler::flush() {
  if (m_flushing) {
    return;
  }
  auto roster = roster_update();
  if (!roster && !may_write_progress()) {
    return;
  }
  if (!m_dirty.empty() || m_timer.now() >= m_store_starts_at) {
    m_dirty.merge(m_started);
    m_started.clear();
  }
  const std::vector<ProcessedEnds> processed = unstored_ends();
  std::vector<store::KeyedValue> entries;
  std::vector<WorkerSlot> roster_additions;
  if (roster) {
    entries.push_back(std::move(roster->entry));
    roster_additions = std::move(roster->additions);
  }
  // Interference evidence is stored only together with progress, to save writes.
  if (m_evidence_due && !m_dirty.empty()) {
    m_evidence_due = false;
    entries.push_back(jobs::encode(m_interference.save(m_timer.now(), max_value_bytes())));
  }
  if (m_dirty.empty() && entries.empty() && !m_takeover_record_due) {
    on_flushed(true, {}, processed);
    return;
  }
  std::vector<jobs::JobId> written;
  for (const jobs::JobId& id : std::exchange(m_dirty, {})) {
    Job* job = m_tasks.find(id);
    if (job == nullptr) {
      continue;
    }
    entries.push_back(jobs::encode(storable_progress(*job)));
    written.push_back(id);
  }
  // After the records of jobs, since it confirms those that are not written again, and only the
  // first ones of the entries may get stored.
  const bool writes_takeover = std::exchange(m_takeover_record_due, false);
  if (writes_takeover) {
    entries.push_back(
        jobs::encode(make_takeover_record(m_tasks, m_workers, m_options.term, max_value_bytes())));
  }
  if (entries.empty() && m_pending_starts.empty()) {
    // The jobs have been removed meanwhile.
    on_flushed(true, written, processed);
    return;
  }
  m_flushing = true;
  m_written_at = m_timer.now();
  m_has_urgent_progress = false;
  m_log.write(std::move(entries), [this, alive = m_alive, written = std::move(written), processed,
                                   writes_takeover, starts = std::exchange(m_pending_starts, {}),
                                   roster_additions = std::move(roster_additions)](bool stored) {
    if (!*alive) {
      return;
    }
    m_flushing = false;
    m_takeover_record_due = m_takeover_record_due || (writes_takeover && !stored);
    if (stored) {
      send_recorded_starts(starts);
    } else {
      m_pending_starts.insert(m_pending_starts.end(), starts.begin(), starts.end());
    }
    for (const WorkerSlot slot : roster_additions) {
      m_workers.at(slot).in_roster = stored;
      m_place_due = true;
    }
    on_flushed(stored, written, processed);
    process_pending();
  });
}

// Submissions are checked, so a record stays too large only if its job was accepted with another
// limit. The ends of its runs could never be confirmed to their workers, so the job fails.
void Scheduler::note_incomplete(Job& job) const {
  if (job.incomplete_since_ms != 0 || !job.has_waiting_lasting_tasks()) {
    return;
  }
  job.incomplete_since_ms = m_timer.wall_ms();
}

jobs::JobProgress Scheduler::storable_progress(Job& job) {
  note_incomplete(job);
  const bool names_located_tasks = claim_locations(job);
  jobs::JobProgress progress = job.progress(m_workers, m_timer.wall_ms());
  if (names_located_tasks) {
    progress.set_term(m_options.term);
  }
  if (trim_progress(progress, job.terms().max_attempts(), max_value_bytes())) {
    return progress;
  }
  EventLine(Event::record_too_large)
      .add("job", job.id.view())
      .add("bytes", progress.ByteSizeLong())
      .add("limit", max_value_bytes())
      .write();
  finish_job(job, proto::jobs::JobState::FAILED);
  return job.progress(m_workers, m_timer.wall_ms());
}

std::vector<ProcessedEnds> Scheduler::unstored_ends() {
  std::vector<ProcessedEnds> processed;
  std::erase_if(m_unstored_workers, [this, &processed](WorkerSlot slot) {
    const Worker& worker = m_workers.at(slot);
    if (worker.processed_through <= worker.stored_through) {
      return true;
    }
    processed.push_back({slot, worker.entry.incarnation, worker.processed_through});
    return false;
  });
  return processed;
}

void Scheduler::on_flushed(bool stored, const std::vector<jobs::JobId>& written,
                           const std::vector<ProcessedEnds>& processed) {
  if (!stored) {
    m_dirty.insert(written.begin(), written.end());
    return;
  }
  for (const jobs::JobId& id : written) {
    Job* job = m_tasks.find(id);
    if (job != nullptr && job->ending) {
      job->end_stored = true;
    }
  }
  for (const ProcessedEnds& ends : processed) {
    Worker& worker = m_workers.at(ends.slot);
    // After a restart of the worker its ended runs are numbered from the start again.
    if (worker.entry.incarnation != ends.incarnation) {
      continue;
    }
    worker.stored_through = std::max(worker.stored_through, ends.through);
    const std::uint64_t through =
        worker.held_ends.acknowledgeable(worker.stored_through, m_timer.now());
    if (through > worker.acknowledged_through) {
      schedule_poll(worker, Duration::zero());
    }
  }
}

}  // namespace arbutusdale::sched
