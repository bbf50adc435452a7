// Independent check of the invariants: agents and targets report their actual events to the
// observer, which counts every breach. It shares no code with the scheduler's own checks.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace arbutusdale::standin {

/// Time after a VM is listed as leaving beyond which new work on it is a breach (invariant 7).
inline constexpr Duration k_leaving_grace = std::chrono::seconds{3};

/// One attempt of a task on a worker.
struct AttemptKey {
  std::string job;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.job, a.task, a.attempt) < std::tie(b.job, b.task, b.attempt);
  }
};

/// Breaches and totals since the start. All counts but the totals must stay zero. An agent reports
/// its events when it is advanced, so advance all agents before delivering a start command.
struct ObserverCounts {
  std::uint64_t overcommits = 0;           // starts that put a VM beyond its capacity
  std::uint64_t double_runs = 0;           // starts of a task that was running elsewhere
  std::uint64_t double_completions = 0;    // successes of a task after an earlier success
  std::uint64_t starts_after_success = 0;  // starts after an acknowledged success of the task
  std::uint64_t repeated_keys = 0;         // executions of a key beyond the first
  std::uint64_t starts_on_leaving = 0;     // start commands > 3 s after listing as leaving
  std::uint64_t requests_on_leaving = 0;   // target requests > 3 s after listing as leaving
  std::uint64_t starts = 0;                // total
  std::uint64_t successes = 0;             // total
  std::uint64_t failures = 0;              // total
  std::uint64_t stops = 0;                 // total
  std::uint64_t lease_expiries = 0;        // total
  std::uint64_t lost_with_vm = 0;          // total: attempts that were running when a VM crashed
  std::uint64_t scratch_restarts = 0;      // total: starts that ignore an existing checkpoint
  std::uint64_t executions = 0;            // total: requests that targets executed

  /// Sum of the breaches.
  [[nodiscard]] std::uint64_t breaches() const;
};

class Observer {
 public:
  // Batch: called by the agents.
  void set_capacity(const std::string& worker, const Resources& capacity);
  void start_command(const std::string& worker, TimePoint now);
  void attempt_started(const std::string& worker, const AttemptKey& key, const Resources& amount,
                       const std::string& checkpoint);
  void checkpoint_taken(const AttemptKey& key, const std::string& checkpoint);
  void attempt_succeeded(const std::string& worker, const AttemptKey& key);
  void attempt_failed(const std::string& worker, const AttemptKey& key);
  void attempt_stopped(const std::string& worker, const AttemptKey& key, bool lease_expired);
  /// The scheduler has recorded the end of the attempt; a success is now final.
  void attempt_acknowledged(const AttemptKey& key);
  /// Attempts on the VM are lost, and so are successes that were not yet acknowledged.
  void vm_crashed(const std::string& worker);

  // Listing: called by the VM list.
  void listed_leaving(const std::string& worker, TimePoint at);
  void listed_live(const std::string& worker);

  // Requests: called by the targets.
  void request_executed(const std::string& worker, const std::string& key,
                        const std::string& request_id, TimePoint now);

  [[nodiscard]] const ObserverCounts& counts() const { return m_counts; }
  /// Number of distinct tasks that have succeeded, per job.
  [[nodiscard]] std::map<std::string, std::uint64_t> finished_per_job() const;
  [[nodiscard]] std::uint64_t running() const;
  [[nodiscard]] std::uint64_t running_on(const std::string& worker) const;
  [[nodiscard]] std::uint64_t executions_of_key(const std::string& key) const;
  [[nodiscard]] std::uint64_t executions_of_request(const std::string& request_id) const;
  /// Descriptions of the newest breaches, oldest first; at most `k_kept_breaches`.
  [[nodiscard]] const std::vector<std::string>& breach_log() const { return m_breach_log; }
  /// Counts, finished tasks and breaches as a JSON document.
  [[nodiscard]] std::string to_json() const;

  static constexpr std::size_t k_kept_breaches = 100;

 private:
  struct RunningAttempt {
    std::string worker;
    std::uint32_t attempt = 0;
    Resources amount;
  };
  struct Success {
    std::string worker;
    std::uint32_t attempt = 0;
    bool acknowledged = false;
  };
  struct TaskView {
    std::vector<RunningAttempt> running;
    std::vector<Success> successes;  // except those lost before their acknowledgement
    std::string checkpoint;          // newest one taken
    bool finished = false;           // has succeeded at least once
  };
  struct WorkerView {
    Resources capacity;
    Resources committed;
    bool leaving = false;
    TimePoint leaving_since{};
    std::unordered_set<std::string> tasks;  // names of tasks running or succeeded here
  };

  void breach(std::uint64_t& count, const std::string& text);
  void end_attempt(const std::string& worker, const AttemptKey& key);
  void drop_task(const std::string& worker, TaskView& task);
  [[nodiscard]] bool past_grace(const std::string& worker, TimePoint now) const;

  ObserverCounts m_counts;
  std::unordered_map<std::string, TaskView> m_tasks;
  std::unordered_map<std::string, WorkerView> m_workers;
  std::map<std::string, std::uint64_t> m_finished;
  std::unordered_map<std::string, std::uint64_t> m_key_executions;
  std::unordered_map<std::string, std::uint64_t> m_request_executions;
  std::vector<std::string> m_breach_log;
};

}  // namespace arbutusdale::standin
