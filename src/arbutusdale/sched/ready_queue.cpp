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

Lateness lateness_of(const Step& step, TimePoint now) {
  const Job& job = *step.job;
  const Duration remaining = std::chrono::milliseconds{step.remaining_ms};
  const TimePoint end = now + remaining;
  const auto margin = is_unstarted(step)
                          ? std::chrono::duration_cast<Duration>(remaining * k_unstarted_margin)
                          : Duration::zero();
  if (end + margin <= job.due) {
    return Lateness::in_time;
  }
  const TimePoint last = job.due + (k_expiry_factor - 1) * job.objective;
  return end <= last ? Lateness::late : Lateness::expired;
}

void ReadyQueue::push(Task& task, TimePoint now) {
  if (m_keys.contains(&task)) {
    return;
  }
  const Step& step = *task.step;
  const Job& job = *step.job;
  Key key;
  if (!step.spec->long_running()) {
    key.rank = 1 + job.terms().priority();
    key.lateness = lateness_of(step, now);
    key.unstarted = is_unstarted(step);
  }
  key.due = job.due;
  key.arrival = ++m_arrivals;
  m_tasks.emplace(key, &task);
  m_keys.emplace(&task, key);
}

void ReadyQueue::remove(Task& task) {
  const auto found = m_keys.find(&task);
  if (found == m_keys.end()) {
    return;
  }
  m_tasks.erase(found->second);
  m_keys.erase(found);
}

void ReadyQueue::refresh(TimePoint now) {
  std::vector<std::pair<Key, Task*>> moved;
  for (const auto& [key, task] : m_tasks) {
    const Step& step = *task->step;
    if (key.rank > 0 &&
        (lateness_of(step, now) != key.lateness || is_unstarted(step) != key.unstarted)) {
      moved.emplace_back(key, task);
    }
  }
  for (auto& [key, task] : moved) {
    m_tasks.erase(key);
    key.lateness = lateness_of(*task->step, now);
    key.unstarted = is_unstarted(*task->step);
    m_tasks.emplace(key, task);
    m_keys[task] = key;
  }
}

bool ReadyQueue::contains(const Task& task) const {
  return m_keys.contains(&task);
}

}  // namespace arbutusdale::sched
