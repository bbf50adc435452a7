// Validity of cached tickets.
#include "arbutusdale/sched/ticket_cache.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// A start takes some time to arrive, and is sent again when it is not answered.
constexpr Duration k_ticket_margin = std::chrono::milliseconds{400};

}  // namespace

StepId step_id(const Step& step) {
  return {step.job->id, step.occurrence, step.index};
}

const TicketCache::Entry* TicketCache::entry_of(const Step& step) const {
  const auto found = m_steps.find(step_id(step));
  return found == m_steps.end() ? nullptr : &found->second;
}

const std::string* TicketCache::find(const Step& step, const Worker& worker, TimePoint now) const {
  const Entry* entry = entry_of(step);
  if (entry == nullptr) {
    return nullptr;
  }
  const auto found = entry->tickets.find(incarnation_of(worker));
  const bool valid = found != entry->tickets.end() && now < found->second.valid_until;
  return valid ? &found->second.text : nullptr;
}

bool TicketCache::is_candidate(const Step& step, const Worker& worker, TimePoint now) const {
  const Entry* entry = entry_of(step);
  if (entry == nullptr) {
    return true;
  }
  return !entry->ineligible.contains(incarnation_of(worker)) && find(step, worker, now) == nullptr;
}

TimePoint TicketCache::requested_at(const Step& step) const {
  const Entry* entry = entry_of(step);
  return entry == nullptr ? TimePoint{} : entry->requested_at;
}

void TicketCache::record_request(const StepId& step, TimePoint now) {
  m_steps[step].requested_at = now;
}

void TicketCache::record_advice(const StepId& step, const std::vector<WorkerEndpoint>& candidates,
                                const Advice& advice, TimePoint now) {
  Entry& entry = m_steps[step];
  std::map<std::string, std::string> texts;
  for (const Ticket& ticket : advice.tickets) {
    texts[ticket.worker] = ticket.text;
  }
  for (const WorkerEndpoint& worker : candidates) {
    const WorkerIncarnation incarnation{worker.id, worker.incarnation};
    const auto given = texts.find(worker.id);
    if (given == texts.end()) {
      entry.ineligible.insert(incarnation);
      continue;
    }
    entry.tickets[incarnation] = {
        given->second, now + advice.valid_for - std::min(k_ticket_margin, advice.valid_for / 2)};
  }
}

void TicketCache::remove(const Step& step, const Worker& worker) {
  const auto found = m_steps.find(step_id(step));
  if (found != m_steps.end()) {
    found->second.tickets.erase(incarnation_of(worker));
  }
}

void TicketCache::remove_job(const jobs::JobId& job) {
  std::erase_if(m_steps, [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace arbutusdale::sched
