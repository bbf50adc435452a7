// The roster of workers that may have runs. It must fit into one record of the store: a worker that
// it has no room for gets no starts.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// A worker whose id and address take more than this part of a record would displace too many.
constexpr std::size_t k_min_roster_workers = 64;
constexpr std::size_t k_worker_header_bytes = 6;  // tag and length, at most

proto::jobs::HeldWorker describe(const Worker& worker) {
  proto::jobs::HeldWorker held;
  held.set_worker(worker.entry.id);
  const bool has_address = !worker.answered_address.empty();
  held.set_address(has_address ? worker.answered_address : worker.entry.address);
  held.set_incarnation(worker.entry.incarnation);
  return held;
}

std::size_t bytes_of(const Worker& worker) {
  return describe(worker).ByteSizeLong() + k_worker_header_bytes;
}

}  // namespace

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

// True if the stored roster lacks a registered worker or names one that is gone.
bool Scheduler::is_roster_outdated() const {
  const auto& workers = m_workers.all();
  return std::any_of(workers.begin(), workers.end(), [this](const auto& worker) {
    // Others are added with their first answer, and stay while they are registered. One that has
    // not answered this leader has got no order from it.
    const bool is_leaving = worker->entry.state == WorkerState::draining || !worker->registered ||
                            (worker->in_earlier_roster && worker->last_answer == TimePoint{});
    return is_leaving == worker->in_roster && may_have_runs(*worker) != worker->in_roster;
  });
}

// Workers of the stored roster that may have runs keep their place, since the next leader has to
// know of them. Of the others, those with short ids and addresses come first.
std::vector<WorkerSlot> Scheduler::find_roster_additions() const {
  std::size_t free_bytes = max_value_bytes();
  std::vector<std::pair<std::size_t, WorkerSlot>> candidates;  // bytes and worker
  for (const auto& worker : m_workers.all()) {
    if (!may_have_runs(*worker)) {
      continue;
    }
    const std::size_t bytes = bytes_of(*worker);
    if (worker->in_roster) {
      free_bytes -= std::min(free_bytes, bytes);
    } else if (bytes <= max_value_bytes() / k_min_roster_workers) {
      candidates.emplace_back(bytes, worker->slot);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<WorkerSlot> additions;
  for (const auto& [bytes, slot] : candidates) {
    if (bytes > free_bytes) {
      break;
    }
    free_bytes -= bytes;
    additions.push_back(slot);
  }
  return additions;
}

void Scheduler::note_workers_left_out(std::size_t count) {
  if (std::exchange(m_workers_left_out, count) == count) {
    return;
  }
  EventLine(Event::roster_full)
      .add("left_out", count)
      .add("limit_bytes", max_value_bytes())
      .write();
}

std::optional<Scheduler::RosterUpdate> Scheduler::roster_update() {
  if (!std::exchange(m_roster_check_due, false) || !is_roster_outdated()) {
    return std::nullopt;
  }
  RosterUpdate update;
  update.additions = find_roster_additions();
  const std::set<WorkerSlot> added(update.additions.begin(), update.additions.end());
  jobs::WorkerRoster roster;
  std::size_t left_out = 0;
  std::vector<WorkerSlot> removed;
  for (const auto& worker : m_workers.all()) {
    if (!may_have_runs(*worker)) {
      if (worker->in_roster) {
        removed.push_back(worker->slot);
      }
      continue;
    }
    if (worker->in_roster || added.contains(worker->slot)) {
      *roster.add_workers() = describe(*worker);
    } else {
      ++left_out;
    }
  }
  note_workers_left_out(left_out);
  // An address that has become longer can make even the kept workers too large.
  const bool is_same = added.empty() && removed.empty();
  if (is_same || roster.ByteSizeLong() > max_value_bytes()) {
    return std::nullopt;
  }
  for (const WorkerSlot slot : removed) {
    m_workers.at(slot).in_roster = false;
  }
  update.entry = jobs::encode(roster);
  return update;
}

}  // namespace arbutusdale::sched
