// Sort keys of waiting tasks.
#include "arbutusdale/sched/ready_queue.hpp"

#include <utility>
#include <vector>

namespace arbutusdale::sched {
namespace {

// The result of a job that takes longer than this multiple of its objective is of no use.
constexpr int k_expiry_factor = 3;
// Margin of a job that has not started. Estimates are rough, so a job that could only just be in
// time is usually late; its workers are better used for a job with more time left.
constexpr double k_unstarted_margin = 0.35;  // of the estimated remaining time

bool is_unstarted(const Step& step) {
  return step.spec->opportunistic() && step.job->state == proto::jobs::JobState::QUEUED;
}

}  // namespace

Lateness lateness_at(const Job& job, TimePoint end) {
  if (end <= job.due) {
    return Lateness::in_time;
  }
  const TimePoint last = job.due + (k_expiry_factor - 1) * job.objective;
  return end <= last ? Lateness::late : Lateness::expired;
}

Lateness lateness_of(const Step& step, TimePoint now) {
  const Job& job = *step.job;
  const Duration remaining = std::chrono::milliseconds{step.remaining_ms};
  const TimePoint end = now + remaining;
  const auto margin = is_unstarted(step)
                          ? std::chrono::duration_cast<Duration>(remaining * k_unstarted_margin)
                          : Duration::zero();
  if (lateness_at(job, end + margin) == Lateness::in_time) {
    return Lateness::in_time;
  }
  return lateness_at(job, end) == Lateness::expired ? Lateness::expired : Lateness::late;
}

ReadyQueue::Key ReadyQueue::make_key(const Step& step, TimePoint now, std::uint64_t arrival) {
  const Job& job = *step.job;
  Key key;
  if (!step.spec->long_running()) {
    key.rank = 1 + job.terms().priority();
    key.lateness = lateness_of(step, now);
    key.unstarted = is_unstarted(step);
  }
  key.due = job.due;
  key.arrival = arrival;
  return key;
}

void ReadyQueue::push(Task& task, TimePoint now) {
  const std::uint64_t arrival = m_arrivals + 1;
  if (!m_arrivals_of.emplace(&task, arrival).second) {
    return;
  }
  m_arrivals = arrival;
  const auto [found, added] = m_steps.try_emplace(task.step);
  WaitingStep& step = found->second;
  step.tasks.emplace(arrival, &task);
  if (added) {
    step.key = make_key(*task.step, now, arrival);
    m_order.emplace(step.key, task.step);
  }
}

void ReadyQueue::remove(Task& task) {
  const auto found = m_arrivals_of.find(&task);
  if (found == m_arrivals_of.end()) {
    return;
  }
  const auto step = m_steps.find(task.step);
  step->second.tasks.erase(found->second);
  m_arrivals_of.erase(found);
  if (step->second.tasks.empty()) {
    m_order.erase(step->second.key);
    m_steps.erase(step);
  }
}

void ReadyQueue::refresh(TimePoint now) {
  std::vector<std::pair<const Step*, Key>> moved;
  for (const auto& [key, step] : m_order) {
    const Key current = make_key(*step, now, key.arrival);
    if (current != key) {
      moved.emplace_back(step, current);
    }
  }
  for (const auto& [step, key] : moved) {
    WaitingStep& waiting = m_steps.at(step);
    m_order.erase(waiting.key);
    waiting.key = key;
    m_order.emplace(key, step);
  }
}

}  // namespace arbutusdale::sched
