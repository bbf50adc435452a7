// Implementation of the shard runner: one class, defined in runner_*.cpp by subject.
#pragma once

#include "arbutusdale/batch/job_table.hpp"
#include "arbutusdale/batch/placement.hpp"
#include "arbutusdale/batch/pressure.hpp"
#include "arbutusdale/batch/ready_queue.hpp"
#include "arbutusdale/batch/runner_model.hpp"
#include "arbutusdale/batch/shard_runner.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutusdale::batch {

class Runner final : public ShardRunner {
 public:
  Runner(ShardOptions options, const state::GlobalState& global, const state::DomainState& domain,
         state::Stream& stream, backplane::WorkerAgents& agents);

  void set_workers(const std::vector<WorkerInfo>& workers, bool trusted, TimePoint now) override;
  void state_changed(TimePoint now) override;
  void tick(TimePoint now) override;
  void stop() override { m_stopped = true; }
  [[nodiscard]] const ShardStats& stats() const override { return m_stats; }
  [[nodiscard]] bool is_drained(const std::string& worker) const override;
  [[nodiscard]] std::string waiting_reason(const std::string& job) const override;

 private:
  using AgentResult = Result<proto::platform::AgentReply>;

  // Safety rules. Each condition is decided in one function only.
  [[nodiscard]] bool unknown_tasks_may_start() const;
  [[nodiscard]] bool every_worker_answered_or_gone() const;
  [[nodiscard]] bool job_may_start(const Job& job) const;
  [[nodiscard]] bool is_proved_gone(const Worker& worker, TimePoint now) const;
  [[nodiscard]] bool may_acknowledge(const Attempt& attempt) const;
  [[nodiscard]] bool record_took_effect() const;
  [[nodiscard]] bool shows_missing(const Attempt& attempt, std::uint64_t report_number) const;
  [[nodiscard]] bool may_renew(const Worker& worker) const;

  // Workers: list, acquisition, reports, leases (runner_workers.cpp).
  WorkerSlot intern_worker(const WorkerInfo& info);
  void list_worker(const WorkerInfo& info);
  void handle_absent_worker(WorkerSlot slot, bool trusted);
  void mark_gone(WorkerSlot slot);
  void send_due_calls();
  void acquire(WorkerSlot slot);
  void on_acquired(WorkerSlot slot, std::uint64_t number, const AgentResult& result);
  void request_report(WorkerSlot slot);
  void on_report(WorkerSlot slot, std::uint64_t number, const AgentResult& result);
  void pace_reports(std::size_t bytes);
  void renew(WorkerSlot slot);
  void acknowledge(WorkerSlot slot);
  void on_acknowledged(WorkerSlot slot, const proto::platform::AcknowledgeRequest& request,
                       const AgentResult& result);
  void mark_reachable(Worker& worker);
  void update_drains();
  void update_reserve(Worker& worker) const;
  [[nodiscard]] bool takes_starts(const Worker& worker) const;
  void update_node(WorkerSlot slot);

  // Reports (runner_reports.cpp).
  void handle_report(WorkerSlot slot, std::uint64_t number,
                     const proto::platform::WorkerReport& report);
  void handle_reboot(WorkerSlot slot, const proto::platform::WorkerReport& report,
                     const std::set<AttemptKey>& listed);
  void update_attempt(const AttemptRef& ref, Attempt& attempt,
                      const proto::platform::AttemptReport& report, std::uint64_t number);
  void handle_running(const AttemptRef& ref, Attempt& attempt, std::uint64_t number);
  void adopt(const AttemptRef& ref, const proto::platform::AttemptReport& report);
  void adopt_running(const AttemptRef& ref, Attempt attempt);
  void adopt_ended(const AttemptRef& ref, Attempt attempt,
                   const proto::platform::AttemptReport& report);
  void handle_missing(const AttemptRef& ref, Attempt& attempt, std::uint64_t number);
  void learn(Job& job, const Attempt& attempt, const proto::platform::AttemptReport& report);

  // Ends and records (runner_progress.cpp).
  void end_attempt(const AttemptRef& ref, const proto::platform::AttemptReport& report);
  void end_with_outcome(const AttemptRef& ref, Outcome outcome, std::string note);
  void withdraw_start(const AttemptRef& ref);
  void flush_progress();
  void add_entry(proto::state::JobTaskProgress& progress, const AttemptRef& ref,
                 const Attempt& attempt) const;
  void on_recorded(const std::vector<AttemptRef>& refs, bool applied);
  void finish_recorded(const AttemptRef& ref);
  void queue_acknowledgement(const AttemptRef& ref);
  void release_task(const AttemptRef& ref, NextAttempt next);
  [[nodiscard]] Outcome outcome_of_failure(const AttemptRef& ref, Attempt& attempt) const;

  // Starts and other commands (runner_tasks.cpp).
  void start_tasks();
  bool start_one(JobId id);
  [[nodiscard]] Resources size_of(const Job& job) const;
  std::optional<WorkerSlot> choose_worker(JobId id, const Resources& need, const NextAttempt& next);
  void trace(TaskStage stage, const AttemptRef& ref, TimePoint begin) const;
  void send_start(const AttemptRef& ref);
  void on_started(const AttemptRef& ref, const AgentResult& result);
  void on_start_refused(const AttemptRef& ref, Attempt& attempt);
  void queue_command(const AttemptRef& ref, Attempt& attempt);
  void send_queued_commands();
  bool send_next_command(const AttemptRef& ref);
  void send_stop(const AttemptRef& ref, Attempt& attempt);
  void on_stop_answered(const AttemptRef& ref, const AgentResult& result);
  void send_throttle(const AttemptRef& ref, Attempt& attempt);
  void request_stop(const AttemptRef& ref, StopReason reason);
  void stop_drained(WorkerSlot slot);
  void charge(const AttemptRef& ref, Attempt& attempt);
  void recharge(const AttemptRef& ref, Attempt& attempt);
  void release(const AttemptRef& ref, Attempt& attempt);

  // Reservation and preemption for jobs that find no worker (runner_preemption.cpp).
  struct PreemptionPlan {
    struct Victim {
      AttemptKey key;
      Resources amount;
      double cost = 0;
    };
    std::vector<Victim> victims;
    double cost = 0;
  };
  void reserve_or_preempt(JobId id, const Resources& need);
  void reserve_emptiest(JobId id, const Resources& need);
  void preempt_for(JobId id, const Resources& need);
  [[nodiscard]] std::optional<PreemptionPlan> plan_preemption(WorkerSlot slot,
                                                              const Resources& need) const;
  [[nodiscard]] bool is_reserved_for_other(const Worker& worker, JobId id) const;
  [[nodiscard]] std::size_t reservations_of(std::optional<JobId> id) const;

  // Services and health of workers (runner_services.cpp).
  void set_share(Worker& worker, Attempt& attempt, double share);
  void update_services(WorkerSlot slot, const proto::platform::WorkerReport& report);
  void handle_pressure(WorkerSlot slot);
  void apply_pressure_decision(WorkerSlot slot, const PressureDecision& decision);
  void await_newer_measurement(Worker& worker) const;
  [[nodiscard]] std::optional<double> interference_cost(WorkerSlot slot, const Job& job,
                                                        const Resources& need) const;
  [[nodiscard]] bool may_explore(const std::string& service, WorkerSlot slot, ClassId job_class,
                                 double share_after) const;
  void update_exploration(WorkerSlot slot, ClassId job_class);
  [[nodiscard]] WorkerHealth::CauseOf failure_cause_on(const Worker& worker) const;
  void update_health(WorkerSlot slot, const Attempt& attempt, const AttemptKey& key);
  void restore_quarantine(Worker& worker) const;

  // Configuration (runner_config.cpp).
  void scan_declaration();
  void drop_ended_jobs();
  void cancel_jobs();
  void cancel_job(JobId id);
  void update_shares();
  void refresh_queue(JobId id);
  void update_gauges();

  [[nodiscard]] Attempt* find_attempt(const AttemptRef& ref);
  [[nodiscard]] proto::platform::AttemptRequest request_for(const AttemptKey& key) const;
  [[nodiscard]] backplane::AgentAddress address_of(const Worker& worker) const;
  void update_takeover();
  void handle_pause(TimePoint now);
  void on_stale_term();

  /// Completion handler that does nothing once the runner is destroyed.
  template <typename F>
  auto guarded(F function) {
    return [alive = std::weak_ptr<bool>(m_alive), function = std::move(function)](auto result) {
      if (!alive.expired()) {
        function(std::move(result));
      }
    };
  }

  ShardOptions m_options;
  Duration m_report_interval = m_options.report_interval;
  double m_report_bytes = 0;  // moving average of the size of a report
  const state::GlobalState& m_global;
  const state::DomainState& m_domain;
  state::Stream& m_stream;
  backplane::WorkerAgents& m_agents;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

  TimePoint m_now{};
  bool m_stopped = false;
  bool m_takeover_complete = false;  // never reset
  std::optional<TimePoint> m_last_tick;
  std::optional<TimePoint> m_first_list;  // first trusted VM list
  TimePoint m_last_list{};
  std::uint64_t m_report_counter = 0;

  JobTable m_jobs;
  ReadyQueue m_queue;
  PlacementIndex m_placement;
  std::deque<Worker> m_workers;  // by slot; references stay valid
  std::unordered_map<std::string, WorkerSlot> m_slots;
  std::set<JobId> m_active;  // jobs with pending tasks or live attempts
  std::set<std::string> m_drains;
  Resources m_largest;  // largest capacity of any worker, by resource

  WorkerSlot m_preemption_cursor = 0;  // last worker examined for a preemption
  InterferenceModel m_interference;
  std::map<std::string, double> m_targets_ms;  // p99 target by service
  /// Workers on which a class of unknown effect runs beside a service so that its effect is
  /// measured, by service and class.
  std::map<std::pair<std::string, ClassId>, std::set<WorkerSlot>> m_exploring;
  bool m_ruled_out_by_service = false;  // in the placement in progress

  std::vector<AttemptRef> m_command_queue;  // attempts that need a command
  std::vector<AttemptRef> m_unrecorded;     // ended attempts that are to be recorded
  std::uint32_t m_records_in_flight = 0;
  TimePoint m_next_flush{};
  bool m_flush_urgent = false;

  std::uint64_t m_seen_version = 0;
  bool m_config_seen = false;
  std::size_t m_seen_moves = 0;
  int m_scan_next = -1;       // index into the declaration's jobs, -1 when no scan is in progress
  bool m_scan_again = false;  // after the scan in progress
  bool m_scan_all = true;     // includes jobs whose declaration is unchanged
  std::unordered_map<std::string, std::uint64_t> m_scanned;  // job -> version last applied
  std::size_t m_ids_at_last_drop = 0;
  TimePoint m_next_gauge_update{};
  ShardStats m_stats;
};

}  // namespace arbutusdale::batch
