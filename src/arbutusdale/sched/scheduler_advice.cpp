// Requests to the advice service, for tickets for the steps of advised queues.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/process_metrics.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Advice for a step without a worker is requested again after this time, since capacity may have
// become free on other workers.
constexpr Duration k_advice_retry_interval = std::chrono::milliseconds{300};

}  // namespace

// Requests advice for a step of each queue: the one whose last request is oldest, and of equals the
// first in queue order.
void Scheduler::request_advice(const std::vector<Step*>& unplaced) {
  const TimePoint now = m_timer.now();
  std::map<std::string, const Step*> next;  // by queue
  for (const Step* step : unplaced) {
    const std::string& queue = step->job->terms().queue();
    const TimePoint requested_at = m_tickets.requested_at(*step);
    if (m_advice_calls.is_in_flight(queue) || now - requested_at < k_advice_retry_interval) {
      continue;
    }
    const Step*& oldest = next[queue];
    if (oldest == nullptr || requested_at < m_tickets.requested_at(*oldest)) {
      oldest = step;
    }
  }
  for (const auto& [queue, step] : next) {
    request_advice_for(*step);
  }
}

void Scheduler::request_advice_for(const Step& step) {
  const std::vector<WorkerEndpoint> candidates = advice_candidates(step);
  m_tickets.record_request(step_id(step), m_timer.now());
  if (!candidates.empty()) {
    send_advice_request(step, candidates);
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
  const AdviceTimes times = m_advisor.times_of(step.job->terms().queue());
  const std::size_t count = std::min(ranked.size(), workers_to_name(times));
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
  const StepId id = step_id(step);
  const TimePoint sent = m_timer.now();
  const std::string& queue = step.job->terms().queue();
  const Duration time = m_advisor.times_of(queue).of_call(ids.size());
  const Duration timeout = m_advice_calls.begin(queue, time, sent);
  m_advisor.advise(id, ids, timeout,
                   [this, alive = m_alive, id, candidates, queue,
                    sent](const tl::expected<Advice, AdviceError>& advice) {
                     if (!*alive) {
                       return;
                     }
                     m_advice_calls.end(queue, advice.has_value(), m_timer.now());
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
