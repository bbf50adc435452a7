// Cache of tickets for the steps of advised queues. The advice service takes one call at a time,
// and each worker named in a call makes it longer. During a burst of such steps, workers that are
// not eligible for a step are therefore not named again, and the step whose last call is longest
// ago comes first.
#pragma once

#include "arbutusdale/sched/advisor.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/worker_table.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::sched {

class TicketCache {
 public:
  /// Text of a ticket that is valid for a start now; null when there is none.
  [[nodiscard]] const std::string* find(const Step& step, const Worker& worker,
                                        TimePoint now) const;
  /// True when the next call for the step should name the worker: false when an earlier call has
  /// shown that it must not run the step, or has returned a ticket that is still valid.
  [[nodiscard]] bool is_candidate(const Step& step, const Worker& worker, TimePoint now) const;
  /// Time of the last call for the step; zero before the first.
  [[nodiscard]] TimePoint requested_at(const Step& step) const;

  void record_request(const StepId& step, TimePoint now);
  /// `candidates` are the workers that the call named, with their incarnations at that time.
  void record_advice(const StepId& step, const std::vector<WorkerEndpoint>& candidates,
                     const Advice& advice, TimePoint now);
  /// Removes the step's ticket for the worker, which the worker has refused.
  void remove(const Step& step, const Worker& worker);
  void remove_job(const jobs::JobId& job);

 private:
  /// Id and incarnation; a restarted worker needs a new ticket.
  using WorkerIncarnation = std::pair<std::string, std::uint64_t>;

  struct CachedTicket {
    std::string text;
    TimePoint valid_until{};
  };

  struct Entry {
    TimePoint requested_at{};
    std::map<WorkerIncarnation, CachedTicket> tickets;
    std::set<WorkerIncarnation> ineligible;  // disjoint from the keys of `tickets`
  };

  static WorkerIncarnation incarnation_of(const Worker& worker) {
    return {worker.entry.id, worker.entry.incarnation};
  }
  [[nodiscard]] const Entry* entry_of(const Step& step) const;

  std::map<StepId, Entry> m_steps;
};

/// Id of a step in calls to the advice service.
StepId step_id(const Step& step);

}  // namespace arbutusdale::sched
