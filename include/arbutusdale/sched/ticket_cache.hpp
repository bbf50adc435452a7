// Tickets for the steps of advised queues. Answers a burst of such steps: the advice service takes
// one call at a time and charges for each worker named, so workers that were refused for a step are
// not named again, and the step that has waited longest since its last call comes first.
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

/// Workers named in one call. The service allows 100, and each makes the call longer.
inline constexpr std::size_t k_advised_workers = 30;

class TicketCache {
 public:
  /// Text of a ticket that is valid for a start now; null without one.
  [[nodiscard]] const std::string* find(const Step& step, const Worker& worker,
                                        TimePoint now) const;
  /// False when a call has shown that the worker must not run the step, or has given a ticket that
  /// is still valid.
  [[nodiscard]] bool is_candidate(const Step& step, const Worker& worker, TimePoint now) const;
  /// When the step was last asked for; zero before the first call.
  [[nodiscard]] TimePoint requested_at(const Step& step) const;

  void record_request(const StepId& step, TimePoint now);
  /// `candidates` are the workers that the call named, with the incarnations they had.
  void record_advice(const StepId& step, const std::vector<WorkerEndpoint>& candidates,
                     const Advice& advice, TimePoint now);
  /// The worker refused the step's ticket.
  void remove(const Step& step, const Worker& worker);
  void remove_job(const jobs::JobId& job);

 private:
  /// An incarnation of a worker; a restarted worker needs a new ticket.
  using WorkerIncarnation = std::pair<std::string, std::uint64_t>;

  struct CachedTicket {
    std::string text;
    TimePoint valid_until{};
  };

  struct Entry {
    TimePoint requested_at{};
    std::map<WorkerIncarnation, CachedTicket> tickets;
    std::set<WorkerIncarnation> ineligible;  // has no incarnation that is in `tickets`
  };

  static WorkerIncarnation incarnation_of(const Worker& worker) {
    return {worker.entry.id, worker.entry.incarnation};
  }
  [[nodiscard]] const Entry* entry_of(const Step& step) const;

  std::map<StepId, Entry> m_steps;
};

/// Id of a step, as the advice service knows it.
StepId step_id(const Step& step);

}  // namespace arbutusdale::sched
