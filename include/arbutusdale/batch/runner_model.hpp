// State of a shard's workers, jobs and attempts as its holder knows it. Plain data; the runner
// changes it.
#pragma once

#include "arbutusdale/batch/interference.hpp"
#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/batch/size_model.hpp"
#include "arbutusdale/batch/worker_health.hpp"
#include "arbutusdale/state/task_set.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace arbutusdale::batch {

using JobId = std::uint32_t;       // index of a job in the runner's table
using WorkerSlot = std::uint32_t;  // index of a worker in the runner's table

/// One attempt of a task; unique on a worker.
struct AttemptKey {
  JobId job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;

  friend bool operator==(const AttemptKey&, const AttemptKey&) = default;
  friend bool operator<(const AttemptKey& a, const AttemptKey& b) {
    return std::tie(a.job, a.task, a.attempt) < std::tie(b.job, b.task, b.attempt);
  }
};

/// An attempt and its worker.
struct AttemptRef {
  WorkerSlot worker = 0;
  AttemptKey key;
};

enum class AttemptPhase : std::uint8_t {
  starting,  ///< start sent, not yet confirmed by the agent
  running,   ///< confirmed by the agent
  ended,     ///< the agent or the loss of the VM proved its end; not yet recorded
  recorded,  ///< recorded; not yet acknowledged to the agent
};

/// Why an attempt is stopped. `unconfirmed`: it is not known whether the attempt runs, as when the
/// answer to its start was lost; the stop prevents a later start.
enum class StopReason : std::uint8_t {
  none,
  cancelled,
  drained,
  evicted,
  preempted,
  duplicate,
  unconfirmed
};

/// Why no task of a job starts now.
enum class WaitReason : std::uint8_t { none, no_worker_fits, services_under_pressure };

/// How an attempt ended. `failed_try` allows another attempt, `failed` gives the task up, `dropped`
/// is not recorded.
enum class Outcome : std::uint8_t { none, succeeded, failed_try, failed, evicted, lost, dropped };

struct Attempt {
  AttemptPhase phase = AttemptPhase::starting;
  Outcome outcome = Outcome::none;
  StopReason stop = StopReason::none;
  bool command_in_flight = false;  // at most one command per attempt is in flight
  /// A start without an answer may reach the agent later; cleared only by an answered stop.
  bool start_may_arrive = false;
  bool command_queued = false;      // in the queue of attempts that need a command
  bool resend_start = false;        // the start is to be sent again
  bool fenced = false;              // stopped or ended at the agent, which refuses any later start
  bool reported = false;            // listed in a report, or its start was confirmed
  bool inherited = false;           // started under an earlier term
  bool running_after_loss = false;  // reported as running after its loss was proved
  bool charged = false;             // counted in its team's use and its worker's occupied amount
  /// Time of the first report that should list the attempt and does not.
  std::optional<TimePoint> missing_since;
  std::uint32_t starts_sent = 0;
  std::uint32_t throttle_percent = 100;  // as the agent reports it
  std::uint32_t wanted_percent = 100;
  /// Reports requested with a higher number show the effect of the last answered command.
  std::uint64_t report_number_at_answer = 0;
  std::string boot_id;  // boot in which it was last reported
  std::string checkpoint;
  std::string note;
  Resources committed;  // as in the start command
  Resources charged_amount;
  Resources used;
  // As charged; the declaration and the VM list may change before the release.
  std::string team;
  std::string rack;
  ClassId job_class = 0;
  double share = 0;  // of the worker's processors
  std::uint64_t run_ms = 0;
  TimePoint started{};
  TimePoint next_command{};  // earliest time of the next command
};

/// What the next attempt of a task starts from.
struct NextAttempt {
  std::uint32_t attempt = 1;
  std::uint32_t failed_tries = 0;
  std::string checkpoint;
  std::vector<std::string> failed_workers;
};

/// Workers of this shard on which attempts of a job succeeded or failed; distinguishes failing jobs
/// from failing workers.
struct JobOutcomes {
  std::set<std::string> succeeded_workers;
  std::set<std::string> failed_workers;
};

struct Job {
  TimePoint admitted_at{};  // when the shard first saw the job
  std::string name;
  proto::state::JobDecl decl;
  SizeModel sizes;
  ClassId job_class = 0;
  bool declared = false;  // false for a job known only from a report
  bool cancelled = false;
  Resources declared_size;
  std::uint64_t assigned_hash = 0;
  std::vector<state::TaskSpan> unstarted;  // never started, in descending order
  std::uint64_t unstarted_count = 0;       // tasks in `unstarted`
  std::map<std::uint32_t, NextAttempt> waiting;
  /// Task -> its newest attempt that is not recorded yet. A task is in at most one of `unstarted`,
  /// `waiting` and `live`.
  std::unordered_map<std::uint32_t, AttemptRef> live;
  std::map<std::string, std::uint32_t> racks;  // running attempts per rack
  JobOutcomes outcomes;
  WaitReason reason = WaitReason::none;
  std::uint32_t misses = 0;  // consecutive failures to find a worker

  [[nodiscard]] std::uint64_t pending() const { return unstarted_count + waiting.size(); }
};

/// Latest measurement of one service on one worker.
struct ServiceState {
  std::string service;
  double p99_ratio = 0;  // p99 over its target; 0 when unknown
  double load = 0;
};

/// Whether the agent of a worker has accepted the runner's term.
enum class WorkerAccess : std::uint8_t {
  unacquired,  ///< has not yet answered `acquire` for the term
  acquired,
  gone,  ///< the VM is proved gone
};

struct Worker {
  WorkerInfo info;
  WorkerAccess access = WorkerAccess::unacquired;
  bool listed = false;
  bool draining = false;     // leaving, or drained by the declaration
  bool at_capacity = false;  // answered NO_CAPACITY since the last report
  bool acquire_in_flight = false;
  bool report_in_flight = false;
  bool renew_in_flight = false;
  bool acknowledge_in_flight = false;
  bool reachable = true;
  /// Time of the first trusted list without the worker, or of its last answer after that.
  std::optional<TimePoint> absent_since;
  /// No starts before this time, after a LEAVING answer; the VM list lags behind the agent.
  TimePoint refused_until{};
  TimePoint next_acquire{};
  TimePoint next_report{};
  TimePoint next_renew{};
  std::uint64_t report_number = 0;  // of the last report handled
  std::string boot_id;
  std::uint64_t measured_at_ms = 0;
  TimePoint measured_received{};
  std::uint64_t act_after_measured_ms = 0;  // actions for a service need a newer measurement
  std::uint32_t reports_below_relax = 0;
  Resources capacity;            // as reported, else as listed
  Resources reserve;             // reserved for the services on the VM
  Resources occupied;            // sum of the charged amounts of its attempts
  Resources unlisted_committed;  // committed by the agent beyond its listed attempts
  std::map<AttemptKey, Attempt> attempts;
  std::vector<proto::platform::AttemptRequest> to_acknowledge;
  std::vector<ServiceState> services;
  std::map<ClassId, double> class_shares;     // shares of the attempts charged now
  std::map<ClassId, double> measured_shares;  // shares at the last measurement
  WorkerHealth health;
  std::optional<JobId> reserved_for;  // takes only this job until `reserved_until`
  TimePoint reserved_until{};
};

}  // namespace arbutusdale::batch
