// Model of a worker's agent: fencing token, capacity check, attempts, tombstones, lease,
// checkpoints, throttling, delayed reports, leaving, and crashes followed by a new boot id.
// It does no I/O and reads no clock: the caller passes the time, so fault tests use a fake clock.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/platform.pb.h"
#include "arbutusdale/standin/observer.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutusdale::standin {

struct AgentModelOptions {
  std::string worker;
  Resources capacity;
  Duration report_lag = std::chrono::seconds{1};      // age of usage and service metrics
  Duration default_lease = std::chrono::seconds{30};  // granted by acquire and start
  Duration stop_delay{};  // from a stop command to the end of the attempt
  // The platform keeps the highest fencing token across a restart of the VM. Otherwise a paused
  // former leader could start tasks on a restarted VM before the current leader acquires it.
  bool token_survives_boot = true;
};

struct AgentFaults {
  bool fail_all_tasks = false;  // every attempt fails shortly after its start
  bool unreachable = false;     // no command arrives; attempts keep running
  bool lose_answers = false;    // commands take effect, but their responses are lost
};

/// Parameters parsed from a task's command: `name=value` pairs separated by spaces. The names are
/// run_ms, cpu_millis and memory_mib (actual usage), fail=1 (the task always fails) and class.
/// Other words are ignored.
struct TaskCommand {
  std::uint64_t run_ms = 0;      // actual run time; 0 means the declared `expected_ms`
  std::uint64_t cpu_millis = 0;  // actual usage; 0 means the declared amount
  std::uint64_t memory_mib = 0;
  bool fail = false;
  std::string job_class;
};

TaskCommand parse_command(const std::string& command);

/// CPU load of the batch attempts of one job class on a worker, as a fraction of its processors.
struct ClassLoad {
  std::string job_class;
  double load = 0;  // 0 to 1, after throttling
};

class AgentModel {
 public:
  /// `observer` may be null.
  AgentModel(AgentModelOptions options, Observer* observer);

  proto::platform::AgentReply acquire(const proto::platform::AcquireRequest& request,
                                      TimePoint now);
  /// Renewing a lease starts no attempt and never moves the expiry to an earlier time.
  proto::platform::AgentReply renew(const proto::platform::RenewRequest& request, TimePoint now);
  proto::platform::AgentReply report(TimePoint now);
  /// Returns OK if the attempt already runs, ALREADY_ENDED if it has ended or has a tombstone.
  proto::platform::AgentReply start(const proto::platform::StartRequest& request, TimePoint now);
  proto::platform::AgentReply checkpoint(const proto::platform::AttemptRequest& request,
                                         TimePoint now);
  proto::platform::AgentReply throttle(const proto::platform::AttemptRequest& request,
                                       TimePoint now);
  /// For an unknown attempt, records a tombstone and returns UNKNOWN_ATTEMPT.
  proto::platform::AgentReply stop(const proto::platform::AttemptRequest& request, TimePoint now);
  proto::platform::AgentReply acknowledge(const proto::platform::AcknowledgeRequest& request,
                                          TimePoint now);

  /// Advances all attempts to `now`; every command does this first.
  void advance(TimePoint now);
  /// Records the metrics of the service; they appear in reports after `report_lag`.
  void measure_service(const proto::platform::ServiceReport& report, TimePoint now);
  void set_leaving(bool leaving) { m_leaving = leaving; }
  /// Loses all attempts; no command may be delivered until `boot` is called.
  void crash(TimePoint now);
  /// Restarts the VM with a new boot id and without any attempts.
  void boot(TimePoint now);

  [[nodiscard]] bool is_up() const { return m_up; }
  /// False while no command may be delivered to this agent.
  [[nodiscard]] bool is_reachable() const { return m_up && !m_faults.unreachable; }
  [[nodiscard]] const std::string& worker() const { return m_options.worker; }
  [[nodiscard]] std::string boot_id() const;
  [[nodiscard]] AgentFaults& faults() { return m_faults; }
  [[nodiscard]] const AgentFaults& faults() const { return m_faults; }
  [[nodiscard]] std::size_t running() const;
  /// Load of the running attempts per job class, sorted by class.
  [[nodiscard]] std::vector<ClassLoad> loads() const;

 private:
  struct Attempt {
    proto::platform::AttemptReport report;
    TaskCommand command;
    Duration run_time{};  // total at full speed
    Duration resumed{};   // part of `run_time` restored from the checkpoint
    Duration progress{};  // part of `run_time` done so far, including `resumed`
    TimePoint started{};
    bool stopping = false;
    bool stop_with_checkpoint = false;
    TimePoint stop_at{};
  };
  struct Usage {
    TimePoint at{};
    std::map<AttemptKey, Resources> used;
    std::vector<proto::platform::ServiceReport> services;
  };
  using Reply = proto::platform::AgentReply;

  bool accept_token(std::uint64_t token, TimePoint now, Reply& reply);
  void extend_lease(Duration duration, TimePoint now);
  void run_until(TimePoint now);
  void run_attempt(const AttemptKey& key, Attempt& attempt, TimePoint now);
  void end_stopped(const AttemptKey& key, Attempt& attempt, bool lease_expired, TimePoint at);
  void expire_lease();
  void begin_attempt(const proto::platform::StartRequest& request, const AttemptKey& key,
                     TimePoint now);
  void take_checkpoint(const AttemptKey& key, Attempt& attempt);
  void add_tombstone(const AttemptKey& key);
  void sample_usage(TimePoint now);
  [[nodiscard]] const Usage& visible_usage(TimePoint now) const;
  [[nodiscard]] Resources committed() const;
  [[nodiscard]] Resources real_use(const Attempt& attempt) const;
  void fill_report(proto::platform::WorkerReport& report, TimePoint now) const;

  AgentModelOptions m_options;
  Observer* m_observer;
  AgentFaults m_faults;
  bool m_up = true;
  bool m_leaving = false;
  std::uint32_t m_boots = 1;
  std::uint64_t m_token = 0;
  TimePoint m_lease_until{};
  TimePoint m_advanced_to{};
  std::map<AttemptKey, Attempt> m_attempts;
  std::set<AttemptKey> m_tombstones;  // bounded; the oldest is evicted first
  std::deque<AttemptKey> m_tombstone_order;
  std::vector<proto::platform::ServiceReport> m_services;
  std::deque<Usage> m_usage;  // oldest first; reports show the newest older than the lag
};

}  // namespace arbutusdale::standin
