// Validity of tickets.
#include "arbutusdale/sched/ticket_book.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

// A start takes some time to arrive, and is sent again when it has no answer.
constexpr Duration k_ticket_margin = std::chrono::milliseconds{400};

}  // namespace

StepId step_id(const Step& step) {
  return {step.job->id, step.occurrence, step.index};
}

const TicketBook::Entry* TicketBook::entry_of(const Step& step) const {
  const auto found = m_steps.find(step_id(step));
  return found == m_steps.end() ? nullptr : &found->second;
}

const std::string* TicketBook::find(const Step& step, const Worker& worker, TimePoint now) const {
  const Entry* entry = entry_of(step);
  if (entry == nullptr) {
    return nullptr;
  }
  const auto found = entry->tickets.find(life_of(worker));
  const bool valid = found != entry->tickets.end() && now < found->second.valid_until;
  return valid ? &found->second.text : nullptr;
}

bool TicketBook::is_worth_asking(const Step& step, const Worker& worker, TimePoint now) const {
  const Entry* entry = entry_of(step);
  if (entry == nullptr) {
    return true;
  }
  return !entry->refused.contains(life_of(worker)) && find(step, worker, now) == nullptr;
}

TimePoint TicketBook::asked_at(const Step& step) const {
  const Entry* entry = entry_of(step);
  return entry == nullptr ? TimePoint{} : entry->asked_at;
}

void TicketBook::note_call(const StepId& step, TimePoint now) {
  m_steps[step].asked_at = now;
}

void TicketBook::note_answer(const StepId& step, const std::vector<WorkerEndpoint>& asked,
                             const Advice& advice, TimePoint now) {
  Entry& entry = m_steps[step];
  std::map<std::string, std::string> texts;
  for (const Ticket& ticket : advice.tickets) {
    texts[ticket.worker] = ticket.text;
  }
  for (const WorkerEndpoint& worker : asked) {
    const Life life{worker.id, worker.incarnation};
    const auto given = texts.find(worker.id);
    if (given == texts.end()) {
      entry.refused.insert(life);
      continue;
    }
    entry.tickets[life] = {
        given->second, now + advice.valid_for - std::min(k_ticket_margin, advice.valid_for / 2)};
  }
}

void TicketBook::drop(const Step& step, const Worker& worker) {
  const auto found = m_steps.find(step_id(step));
  if (found != m_steps.end()) {
    found->second.tickets.erase(life_of(worker));
  }
}

void TicketBook::forget(const jobs::JobId& job) {
  std::erase_if(m_steps, [&job](const auto& entry) { return entry.first.job == job; });
}

}  // namespace arbutusdale::sched
