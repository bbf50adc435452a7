// A small fleet on a fake clock: the real control, batch, state and routing code of several daemons
// against models of the log, the VM list, the agents and the targets.
#pragma once

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/standin/agent_model.hpp"
#include "arbutusdale/standin/log_model.hpp"
#include "arbutusdale/standin/observer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "event_queue.hpp"
#include "fault.hpp"
#include "links.hpp"
#include "process.hpp"

namespace arbutusdale::scenario {

struct Topology {
  std::vector<std::string> domains{"halle-a", "halle-b"};
  std::uint32_t daemons_per_domain = 2;
  std::uint32_t workers_per_domain = 4;
  Resources worker{8'000, 32'768, 0};
  std::uint32_t shards = 2;
};

/// Faults planted in the code under test, each of which must make a check fail.
enum class Mutation : std::uint8_t {
  none,
  overcommit,         // placement ignores capacity, and so do the agents' own checks
  double_run,         // tasks of unknown outcome are started again at once
  early_resume,       // evicted work is resumed before the agent reports its stop
  double_completion,  // ended attempts are acknowledged before they are recorded
  cancelled_start,    // tasks of cancelled jobs are still started
  false_not_run,      // a request that was executed is reported as not run
  repeated_key,       // the key table is not consulted
  wrong_answer,       // answers are swapped between requests
  leaving_target,     // the router is not told that a VM is leaving
  cut_off_request,    // a planned stop does not wait for open requests
  reverted_version,   // a restarted daemon serves before it reports ready
  no_progress,        // no agent ever answers
};

std::string_view to_string(Mutation mutation);

/// A step of a procedure, such as an append or an agent call, and the daemon that takes it.
struct Step {
  std::string name;
  std::string daemon;
};

/// Outcomes of the callers' requests.
struct CallerFigures {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t wrong_answers = 0;  // answer of another request, or incomplete
  std::uint64_t false_not_run = 0;  // "not run" although a target executed it
};

class World {
 public:
  World(Topology topology, std::uint64_t seed, Mutation mutation = Mutation::none);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  ~World();

  void start_all();
  void run_until(TimePoint end) { m_queue.run_until(end); }
  void run_for(Duration length) { m_queue.run_until(m_queue.now() + length); }

  /// Applies a declaration through plan and confirm at random live daemons; retries until it is
  /// accepted, except when the plan is refused as invalid.
  void apply(const state::PlanRequest& request);
  /// Sends requests at a fixed rate from now until `until`. A share of them carries a key; these
  /// are retried through a random daemon when they are not answered.
  void load(const std::string& service, double per_second, double keyed_share, TimePoint until);
  void inject(const Injection& injection);
  /// The platform lists the worker as leaving.
  void list_leaving(const std::string& worker);
  /// Planned stop of a daemon, and its return after `away`.
  void restart_gracefully(const std::string& daemon, Duration away);
  /// Jobs that `cancellation_wave` cancels.
  void set_cancellable(std::vector<std::string> jobs) { m_cancellable_jobs = std::move(jobs); }
  /// Calls `hook` for each step.
  void on_step(std::function<void(const Step&)> hook) { m_step_hook = std::move(hook); }

  /// Breaches of the invariants so far, one text each.
  [[nodiscard]] std::vector<std::string> breaches() const;
  [[nodiscard]] const CallerFigures& callers() const { return m_callers; }
  [[nodiscard]] const standin::Observer& observer() const { return m_observer; }
  /// The newest events, printed for a failing run.
  [[nodiscard]] const std::vector<std::string>& trace() const { return m_trace; }
  /// Daemons that run, are not paused and serve callers.
  [[nodiscard]] std::vector<Process*> live();
  [[nodiscard]] Process* process(const std::string& daemon);

  // Used by the fakes.
  [[nodiscard]] EventQueue& queue() { return m_queue; }
  [[nodiscard]] Links& links() { return m_links; }
  [[nodiscard]] Random& random() { return m_random; }
  [[nodiscard]] standin::LogModel& log() { return m_log; }
  [[nodiscard]] standin::VmListModel& vm_list() { return m_vms; }
  [[nodiscard]] standin::AgentModel* agent(const std::string& worker);
  [[nodiscard]] bool target_down(const std::string& worker) const;
  [[nodiscard]] bool target_silent(const std::string& worker) const;
  void executed(const std::string& worker, const CallerRequest& request);
  void step(const std::string& name, const std::string& daemon);
  void note(const std::string& text);
  void breach(const std::string& text);
  [[nodiscard]] Mutation mutation() const { return m_mutation; }
  void send_peer(const Process& from, const std::string& to,
                 const proto::peer::PeerMessage& message);
  /// Passes a keyed request to a daemon of its home domain and its reply back.
  void forward(Process& from, const std::string& to, const CallerRequest& request,
               const Frontend::Reply& reply);
  void advance_agents();

 private:
  void add_workers(const std::string& domain);
  void start_daemon(const std::string& daemon, const std::string& domain);
  void propose(const state::PlanRequest& request);
  void confirm(const std::string& plan_id, const state::PlanRequest& request);
  void send_request(const std::string& service, bool keyed);
  void try_request(CallerRequest request, std::uint32_t tries_left);
  void check_reply(const CallerRequest& request, const CallerReply& reply);
  void run_periodic_checks();
  void check_versions();
  void await_stop(const std::string& daemon, Duration away, TimePoint deadline);
  void inject_daemon_fault(const Injection& injection, const std::string& daemon);
  void inject_worker_fault(const Injection& injection, const std::string& worker);
  void inject_platform_fault(const Injection& injection);
  void inject_network_fault(const Injection& injection, const std::string& daemon);
  void inject_operator_fault(const Injection& injection);
  void crash_worker(const std::string& worker, Duration length);
  [[nodiscard]] bool serves(Process& process) const;
  [[nodiscard]] std::string pick_daemon();
  [[nodiscard]] std::string pick_worker(const Process& holder);

  Topology m_topology;
  EventQueue m_queue;
  Random m_random;
  Links m_links;
  standin::Observer m_observer;
  standin::LogModel m_log;
  standin::VmListModel m_vms;
  std::map<std::string, std::unique_ptr<standin::AgentModel>> m_agents;  // by worker
  std::map<std::string, std::string> m_worker_domain;
  std::map<std::string, std::unique_ptr<Process>> m_processes;  // by daemon
  std::vector<std::unique_ptr<Process>> m_dead;  // kept, since events may still refer to them
  std::map<std::string, std::uint64_t> m_incarnations;
  std::map<std::string, std::uint64_t> m_versions;  // highest version served, by daemon
  std::set<std::string> m_targets_down;
  std::set<std::string> m_targets_silent;
  std::function<void(const Step&)> m_step_hook;
  std::vector<std::string> m_cancellable_jobs;
  std::vector<std::string> m_extra_breaches;
  std::vector<std::string> m_trace;
  CallerFigures m_callers;
  std::uint64_t m_request_sequence = 0;
  Mutation m_mutation;
};

}  // namespace arbutusdale::scenario
