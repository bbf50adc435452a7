// Requests to the advice service, for tickets for the steps of advised queues.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Advice for a step without a worker is requested again after this time, since capacity may have
// become free on other workers.
constexpr Duration k_advice_retry_interval = std::chrono::milliseconds{300};

}  // namespace

// Requests advice for the step whose last request is oldest; of equals, the first in queue order.
void Scheduler::request_advice(const std::vector<Step*>& unplaced) {
  if (m_advice_in_flight) {
    return;
  }
  const TimePoint now = m_timer.now();
  Step* next = nullptr;
  for (Step* step : unplaced) {
    const TimePoint requested_at = m_tickets.requested_at(*step);
    if (now - requested_at < k_advice_retry_interval) {
      continue;
    }
    if (next == nullptr || requested_at < m_tickets.requested_at(*next)) {
      next = step;
    }
  }
  if (next == nullptr) {
    return;
  }
  const std::vector<WorkerEndpoint> candidates = advice_candidates(*next);
  m_tickets.record_request(step_id(*next), now);
  if (!candidates.empty()) {
    send_advice_request(*next, candidates);
  }
}

// Workers with the most free processors first: some are likely still free when the answer arrives.
std::vector<WorkerEndpoint> Scheduler::advice_candidates(const Step& step) const {
  PlacementView view = placement_view();
  auto waiting = std::find_if(step.tasks.begin(), step.tasks.end(), [&view](const Task& task) {
    return task.phase == TaskPhase::waiting && !task.crashes.is_suspect() &&
           !awaits_late_start(view, task);
  });
  if (waiting == step.tasks.end()) {
    waiting = std::find_if(step.tasks.begin(), step.tasks.end(),
                           [](const Task& task) { return task.phase == TaskPhase::waiting; });
  }
  if (waiting == step.tasks.end()) {
    return {};
  }
  view.allows_harm = is_starved(*waiting);
  view.shares_processors = view.allows_harm;
  std::vector<std::pair<double, WorkerSlot>> ranked;  // of equals, the first in slot order
  for (const auto& worker : m_workers.all()) {
    const bool useful =
        m_tickets.is_candidate(step, *worker, view.now) && can_host(view, *worker, *waiting);
    if (useful) {
      const Resources free = minus(worker->entry.capacity, worker->committed);
      ranked.emplace_back(-static_cast<double>(free.cpu_millis), worker->slot);
    }
  }
  const std::size_t count = std::min(ranked.size(), k_advised_workers);
  const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), middle, ranked.end());
  std::vector<WorkerEndpoint> candidates;
  candidates.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    candidates.push_back(m_workers.at(ranked[i].second).endpoint());
  }
  return candidates;
}

void Scheduler::send_advice_request(const Step& step,
                                    const std::vector<WorkerEndpoint>& candidates) {
  std::vector<std::string> ids;
  ids.reserve(candidates.size());
  for (const WorkerEndpoint& worker : candidates) {
    ids.push_back(worker.id);
  }
  m_advice_in_flight = true;
  const StepId id = step_id(step);
  const TimePoint sent = m_timer.now();
  m_advisor.advise(id, ids,
                   [this, alive = m_alive, id, candidates,
                    sent](const tl::expected<Advice, AdviceError>& advice) {
                     if (!*alive) {
                       return;
                     }
                     m_advice_in_flight = false;
                     on_advice(id, candidates, sent, advice);
                     process_pending();
                   });
}

void Scheduler::on_advice(const StepId& step, const std::vector<WorkerEndpoint>& candidates,
                          TimePoint sent, const tl::expected<Advice, AdviceError>& advice) {
  observe::record_timing(observe::Timing::advice_call, m_timer.now() - sent);
  EventLine line(advice ? Event::advice_received : Event::advice_missing);
  line.add("job", step.job.view())
      .add("step", step.step)
      .add("asked", candidates.size())
      .add_ms("took_ms", m_timer.now() - sent);
  if (!advice) {
    line.add("error", advice.error().message).write();
    return;  // the next placement round requests it again
  }
  line.add("eligible", advice->tickets.size()).add_ms("valid_ms", advice->valid_for).write();
  if (m_tasks.find(step.job) != nullptr) {
    m_tickets.record_advice(step, candidates, *advice, m_timer.now());
    m_place_due = true;
  }
}

}  // namespace arbutusdale::sched
