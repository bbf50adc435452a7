// Model of a worker's agent: fencing token, capacity check, attempts, tombstones, lease,
// checkpoints, throttling, lagging reports, leaving, crash with a new boot id.
// No I/O and no clock of its own; every call takes the time, so fault tests run on a fake clock.
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
  Duration report_lag = std::chrono::seconds{1};      // age of usage and service figures
  Duration default_lease = std::chrono::seconds{30};  // given by acquire and start
  Duration stop_delay{};                              // from a stop command to the end
  // The platform keeps the highest token over a restart of the VM. Without that a paused holder
  // could start tasks on a restarted VM before the current holder has acquired it again.
  bool token_survives_boot = true;
};

struct AgentFaults {
  bool fail_all_tasks = false;  // every attempt fails shortly after its start
  bool unreachable = false;     // no command arrives; attempts go on
  bool lose_answers = false;    // commands take effect, but the answer is lost
};

/// What the stand-in reads from a task's command, written as `name=value` separated by spaces.
/// Names: run_ms, cpu_millis, memory_mib (real use), fail=1 (the task always fails), class.
struct TaskCommand {
  std::uint64_t run_ms = 0;      // real run time; 0 means as declared by `expected_ms`
  std::uint64_t cpu_millis = 0;  // real use; 0 means as declared
  std::uint64_t memory_mib = 0;
  bool fail = false;
  std::string job_class;
};

TaskCommand parse_command(const std::string& command);

/// Load that the batch attempts of one job class put on a worker, as a share of its processors.
struct ClassLoad {
  std::string job_class;
  double load = 0;  // 0 to 1, throttling taken into account
};

class AgentModel {
 public:
  /// `observer` may be null.
  AgentModel(AgentModelOptions options, Observer* observer);

  proto::platform::AgentReply acquire(const proto::platform::AcquireRequest& request,
                                      TimePoint now);
  /// A lease never starts anything and never ends earlier than one granted before.
  proto::platform::AgentReply renew(const proto::platform::RenewRequest& request, TimePoint now);
  proto::platform::AgentReply report(TimePoint now);
  /// OK for an attempt that runs already; ALREADY_ENDED for one that ended or has a tombstone.
  proto::platform::AgentReply start(const proto::platform::StartRequest& request, TimePoint now);
  proto::platform::AgentReply checkpoint(const proto::platform::AttemptRequest& request,
                                         TimePoint now);
  proto::platform::AgentReply throttle(const proto::platform::AttemptRequest& request,
                                       TimePoint now);
  /// For an unknown attempt: leaves a tombstone and answers UNKNOWN_ATTEMPT.
  proto::platform::AgentReply stop(const proto::platform::AttemptRequest& request, TimePoint now);
  proto::platform::AgentReply acknowledge(const proto::platform::AcknowledgeRequest& request,
                                          TimePoint now);

  /// Moves all attempts on to `now`; every command does this first.
  void advance(TimePoint now);
  /// Records the service's figures; they appear in reports after the lag.
  void measure_service(const proto::platform::ServiceReport& report, TimePoint now);
  void set_leaving(bool leaving) { m_leaving = leaving; }
  /// All attempts are gone; commands must not be passed on until `boot` is called.
  void crash(TimePoint now);
  /// Brings the VM back with a new boot id and no memory of attempts.
  void boot(TimePoint now);

  [[nodiscard]] bool is_up() const { return m_up; }
  /// False while commands must not be passed on to this agent.
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
    Duration run_time{};  // needed in total at full speed
    Duration resumed{};   // part of it that the checkpoint carried
    Duration progress{};  // part of it done so far, including `resumed`
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
  std::set<AttemptKey> m_tombstones;  // bounded; the oldest is dropped first
  std::deque<AttemptKey> m_tombstone_order;
  std::vector<proto::platform::ServiceReport> m_services;
  std::deque<Usage> m_usage;  // samples, oldest first; the newest older than the lag is visible
};

}  // namespace arbutusdale::standin
