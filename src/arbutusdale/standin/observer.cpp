// Counts breaches of the invariants from the events that agents and targets report.
#include "arbutusdale/standin/observer.hpp"

#include <algorithm>
#include <cstddef>

#include <nlohmann/json.hpp>

namespace arbutusdale::standin {
namespace {

// Maximum number of request ids kept, to bound memory; later ones count only in the total.
constexpr std::size_t k_kept_request_ids = 2'000'000;

std::string task_name(const AttemptKey& key) {
  return key.job + "/" + std::to_string(key.task);
}

}  // namespace

std::uint64_t ObserverCounts::breaches() const {
  return overcommits + double_runs + double_completions + starts_after_success + repeated_keys +
         starts_on_leaving + requests_on_leaving;
}

void Observer::breach(std::uint64_t& count, const std::string& text) {
  ++count;
  if (m_breach_log.size() >= k_kept_breaches) {
    m_breach_log.erase(m_breach_log.begin());
  }
  m_breach_log.push_back(text);
}

void Observer::set_capacity(const std::string& worker, const Resources& capacity) {
  m_workers[worker].capacity = capacity;
}

bool Observer::past_grace(const std::string& worker, TimePoint now) const {
  const auto found = m_workers.find(worker);
  return found != m_workers.end() && found->second.leaving &&
         now > found->second.leaving_since + k_leaving_grace;
}

void Observer::start_command(const std::string& worker, TimePoint now) {
  if (past_grace(worker, now)) {
    breach(m_counts.starts_on_leaving, "start command to the leaving VM " + worker);
  }
}

void Observer::attempt_started(const std::string& worker, const AttemptKey& key,
                               const Resources& amount, const std::string& checkpoint) {
  const std::string name = task_name(key);
  const std::string text = name + " attempt " + std::to_string(key.attempt) + " on " + worker;
  TaskView& task = m_tasks[name];
  ++m_counts.starts;
  if (!task.running.empty()) {
    breach(m_counts.double_runs, "started " + text + " while it runs on " + task.running[0].worker);
  }
  if (std::any_of(task.successes.begin(), task.successes.end(),
                  [](const Success& success) { return success.acknowledged; })) {
    breach(m_counts.starts_after_success, "started " + text + " after its recorded success");
  }
  if (checkpoint.empty() && !task.checkpoint.empty()) {
    ++m_counts.scratch_restarts;
  }
  task.running.push_back({worker, key.attempt, amount});
  WorkerView& view = m_workers[worker];
  view.tasks.insert(name);
  view.committed = plus(view.committed, amount);
  if (!fits(view.committed, view.capacity)) {
    breach(m_counts.overcommits, "started " + text + " beyond the VM's capacity");
  }
}

void Observer::checkpoint_taken(const AttemptKey& key, const std::string& checkpoint) {
  m_tasks[task_name(key)].checkpoint = checkpoint;
}

void Observer::end_attempt(const std::string& worker, const AttemptKey& key) {
  TaskView& task = m_tasks[task_name(key)];
  const auto ended =
      std::find_if(task.running.begin(), task.running.end(), [&](const RunningAttempt& running) {
        return running.worker == worker && running.attempt == key.attempt;
      });
  if (ended == task.running.end()) {
    return;
  }
  WorkerView& view = m_workers[worker];
  view.committed = minus(view.committed, ended->amount);
  task.running.erase(ended);
}

void Observer::attempt_succeeded(const std::string& worker, const AttemptKey& key) {
  end_attempt(worker, key);
  TaskView& task = m_tasks[task_name(key)];
  ++m_counts.successes;
  if (!task.successes.empty()) {
    breach(m_counts.double_completions, "second success of " + task_name(key) + " on " + worker);
  }
  task.successes.push_back({worker, key.attempt, false});
  if (!task.finished) {
    task.finished = true;
    ++m_finished[key.job];
  }
}

void Observer::attempt_failed(const std::string& worker, const AttemptKey& key) {
  end_attempt(worker, key);
  ++m_counts.failures;
}

void Observer::attempt_stopped(const std::string& worker, const AttemptKey& key,
                               bool lease_expired) {
  end_attempt(worker, key);
  ++(lease_expired ? m_counts.lease_expiries : m_counts.stops);
}

void Observer::attempt_acknowledged(const AttemptKey& key) {
  for (Success& success : m_tasks[task_name(key)].successes) {
    success.acknowledged = success.acknowledged || success.attempt == key.attempt;
  }
}

void Observer::drop_task(const std::string& worker, TaskView& task) {
  m_counts.lost_with_vm += static_cast<std::uint64_t>(std::erase_if(
      task.running, [&](const RunningAttempt& running) { return running.worker == worker; }));
  std::erase_if(task.successes, [&](const Success& success) {
    return success.worker == worker && !success.acknowledged;
  });
}

void Observer::vm_crashed(const std::string& worker) {
  WorkerView& view = m_workers[worker];
  for (const std::string& name : view.tasks) {
    drop_task(worker, m_tasks[name]);
  }
  view.tasks.clear();
  view.committed = {};
}

void Observer::listed_leaving(const std::string& worker, TimePoint at) {
  WorkerView& view = m_workers[worker];
  if (!view.leaving) {
    view.leaving = true;
    view.leaving_since = at;
  }
}

void Observer::listed_live(const std::string& worker) {
  m_workers[worker].leaving = false;
}

void Observer::request_executed(const std::string& worker, const std::string& key,
                                const std::string& request_id, TimePoint now) {
  ++m_counts.executions;
  if (past_grace(worker, now)) {
    breach(m_counts.requests_on_leaving, "request to the target on the leaving VM " + worker);
  }
  if (!key.empty() && ++m_key_executions[key] > 1) {
    breach(m_counts.repeated_keys, "key " + key + " executed again on " + worker);
  }
  if (!request_id.empty() && m_request_executions.size() < k_kept_request_ids) {
    ++m_request_executions[request_id];
  }
}

std::map<std::string, std::uint64_t> Observer::finished_per_job() const {
  return m_finished;
}

std::uint64_t Observer::running() const {
  std::uint64_t total = 0;
  for (const auto& [name, task] : m_tasks) {
    total += task.running.size();
  }
  return total;
}

std::uint64_t Observer::running_on(const std::string& worker) const {
  std::uint64_t total = 0;
  for (const auto& [name, task] : m_tasks) {
    for (const RunningAttempt& attempt : task.running) {
      total += attempt.worker == worker ? 1 : 0;
    }
  }
  return total;
}

std::uint64_t Observer::executions_of_key(const std::string& key) const {
  const auto found = m_key_executions.find(key);
  return found == m_key_executions.end() ? 0 : found->second;
}

std::uint64_t Observer::executions_of_request(const std::string& request_id) const {
  const auto found = m_request_executions.find(request_id);
  return found == m_request_executions.end() ? 0 : found->second;
}

std::string Observer::to_json() const {
  const nlohmann::json document = {
      {"breaches", m_counts.breaches()},
      {"overcommits", m_counts.overcommits},
      {"double_runs", m_counts.double_runs},
      {"double_completions", m_counts.double_completions},
      {"starts_after_success", m_counts.starts_after_success},
      {"repeated_keys", m_counts.repeated_keys},
      {"starts_on_leaving", m_counts.starts_on_leaving},
      {"requests_on_leaving", m_counts.requests_on_leaving},
      {"starts", m_counts.starts},
      {"successes", m_counts.successes},
      {"failures", m_counts.failures},
      {"stops", m_counts.stops},
      {"lease_expiries", m_counts.lease_expiries},
      {"lost_with_vm", m_counts.lost_with_vm},
      {"scratch_restarts", m_counts.scratch_restarts},
      {"executions", m_counts.executions},
      {"running", running()},
      {"finished_per_job", m_finished},
      {"breach_log", m_breach_log},
  };
  return document.dump(2);
}

}  // namespace arbutusdale::standin
