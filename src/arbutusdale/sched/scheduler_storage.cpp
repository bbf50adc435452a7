// What the leader stores: the progress of jobs, and the roster of workers that may have runs.
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

// Starts alone cause a write only after this time, so that most are stored with other progress.
constexpr Duration k_start_record_delay = std::chrono::milliseconds{150};

}  // namespace

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
  return m_has_urgent_progress || !m_pending_starts.empty() ||
         m_timer.now() - m_written_at >= m_options.write_interval;
}

void Scheduler::flush() {
  if (m_flushing) {
    return;
  }
  auto roster = roster_entry();
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
    entries.push_back(std::move(*roster));
    for (const auto& worker : m_workers.all()) {
      if (may_have_runs(*worker) && !worker->in_roster) {
        roster_additions.push_back(worker->slot);
      }
    }
  }
  // Interference evidence is stored only together with progress, to save writes.
  if (m_evidence_due && !m_dirty.empty()) {
    m_evidence_due = false;
    entries.push_back(jobs::encode(m_interference.save(m_timer.now())));
  }
  if (m_dirty.empty() && entries.empty()) {
    on_flushed(true, {}, processed);
    return;
  }
  std::vector<jobs::JobId> written;
  for (const jobs::JobId& id : std::exchange(m_dirty, {})) {
    const Job* job = m_tasks.find(id);
    if (job == nullptr) {
      continue;
    }
    entries.push_back(jobs::encode(job->progress(m_workers, m_timer.wall_ms())));
    written.push_back(id);
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
                                   starts = std::exchange(m_pending_starts, {}),
                                   roster_additions = std::move(roster_additions)](bool stored) {
    if (!*alive) {
      return;
    }
    m_flushing = false;
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

std::vector<Scheduler::ProcessedEnds> Scheduler::unstored_ends() {
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
    schedule_poll(worker, Duration::zero());
  }
}

// Whether a run that some leader has started may be alive on the worker, or may start there from
// now on. A worker that has never answered gets no starts, and the next leader need not wait for
// it.
bool Scheduler::may_have_runs(const Worker& worker) const {
  if (worker.has_ended) {
    return false;
  }
  const TimePoint now = m_timer.now();
  const bool awaiting_first_answer =
      worker.in_earlier_roster && !worker.has_answered && now <= earlier_leases_expire_at();
  const bool may_get_starts =
      worker.registered && worker.has_answered && worker.entry.state == WorkerState::ready;
  // The last answer listed no run, and no start has been left unanswered.
  const bool is_empty = worker.has_answered && worker.runs.empty() && !worker.has_unwanted_runs &&
                        worker.unanswered.empty();
  const bool may_run = now <= worker.lease.expires_at();
  return may_get_starts || !worker.runs.empty() || awaiting_first_answer || (may_run && !is_empty);
}

// The new roster, if the stored one lacks a registered worker or names one that is gone.
std::optional<store::KeyedValue> Scheduler::roster_entry() {
  if (!std::exchange(m_roster_check_due, false)) {
    return std::nullopt;
  }
  const auto& workers = m_workers.all();
  const bool needed = std::any_of(workers.begin(), workers.end(), [this](const auto& worker) {
    // Others are added with their first answer, and stay while they are registered.
    const bool is_leaving = worker->entry.state == WorkerState::draining || !worker->registered;
    return is_leaving == worker->in_roster && may_have_runs(*worker) != worker->in_roster;
  });
  if (!needed) {
    return std::nullopt;
  }
  jobs::WorkerRoster roster;
  for (const auto& worker : workers) {
    if (!may_have_runs(*worker)) {
      worker->in_roster = false;
      continue;
    }
    auto* entry = roster.add_workers();
    entry->set_worker(worker->entry.id);
    const bool has_address = !worker->answered_address.empty();
    entry->set_address(has_address ? worker->answered_address : worker->entry.address);
    entry->set_incarnation(worker->entry.incarnation);
  }
  return jobs::encode(roster);
}

}  // namespace arbutusdale::sched
