// Injects faults into the world and ends them after their length.
#include <algorithm>

#include "world.hpp"

namespace arbutusdale::scenario {
namespace {

constexpr std::uint64_t k_records_after_trim = 3;
constexpr Duration k_slow_log_delay = std::chrono::milliseconds{1'500};
constexpr std::uint32_t k_lost_answers_percent = 60;
constexpr int k_racing_operators = 3;

/// Switches a flag on, and off again after the fault's length.
void switch_for(EventQueue& queue, bool& flag, Duration length) {
  flag = true;
  queue.after(length, [&flag] { flag = false; });
}

void insert_for(EventQueue& queue, std::set<std::string>& set, const std::string& name,
                Duration length) {
  set.insert(name);
  queue.after(length, [&set, name] { set.erase(name); });
}

}  // namespace

std::string World::pick_daemon() {
  const auto daemons = live();
  return daemons.empty() ? m_processes.begin()->first
                         : daemons[random_index(m_random, daemons.size())]->daemon();
}

/// A worker of the daemon's failure domain; prefers one of a shard that the daemon holds, then one
/// that runs tasks.
std::string World::pick_worker(const Process& holder) {
  std::string best;
  int best_score = -1;
  for (const auto& [worker, domain] : m_worker_domain) {
    const auto shard = state::shard_of_worker(worker, m_topology.shards);
    const bool held = holder.node().domain().shard(shard).daemon == holder.daemon();
    const int score = (domain == holder.domain() ? 4 : 0) + (held ? 2 : 0) +
                      (m_agents.at(worker)->running() > 0 ? 1 : 0);
    if (score > best_score) {
      best_score = score;
      best = worker;
    }
  }
  return best;
}

void World::inject(const Injection& injection) {
  const auto daemon = injection.subject.empty() ? pick_daemon() : injection.subject;
  note("inject " + std::string(to_string(injection.fault)) + " at " + daemon);
  const auto* daemon_process = process(daemon);
  switch (injection.fault) {
    case Fault::kill_daemon:
    case Fault::pause_daemon:
      inject_daemon_fault(injection, daemon);
      return;
    case Fault::agent_unreachable:
    case Fault::agent_answers_lost:
    case Fault::silent_connection:
    case Fault::target_crash:
    case Fault::worker_crash:
    case Fault::worker_fails_tasks:
      inject_worker_fault(injection,
                          daemon_process == nullptr ? daemon : pick_worker(*daemon_process));
      return;
    case Fault::cut_domains:
    case Fault::cut_platform:
    case Fault::cut_agents:
    case Fault::cut_peers:
    case Fault::message_duplicated:
    case Fault::message_reordered:
      inject_network_fault(injection, daemon);
      return;
    case Fault::operators_race:
    case Fault::cancellation_wave:
      inject_operator_fault(injection);
      return;
    default:
      inject_platform_fault(injection);
  }
}

void World::inject_daemon_fault(const Injection& injection, const std::string& daemon) {
  auto* daemon_process = process(daemon);
  if (daemon_process == nullptr || !daemon_process->alive()) {
    return;
  }
  if (injection.fault == Fault::pause_daemon) {
    daemon_process->pause();
    m_queue.after(injection.length, [this, daemon_process] {
      note("resume " + daemon_process->daemon());
      daemon_process->resume();
    });
    return;
  }
  daemon_process->kill();
  m_queue.after(injection.length, [this, daemon, domain = daemon_process->domain()] {
    start_daemon(daemon, domain);
  });
}

void World::inject_worker_fault(const Injection& injection, const std::string& worker) {
  auto* model = agent(worker);
  if (model == nullptr) {
    return;
  }
  switch (injection.fault) {
    case Fault::agent_unreachable:
      switch_for(m_queue, model->faults().unreachable, injection.length);
      return;
    case Fault::agent_answers_lost:
      switch_for(m_queue, model->faults().lose_answers, injection.length);
      return;
    case Fault::silent_connection:
      insert_for(m_queue, m_targets_silent, worker, injection.length);
      return;
    case Fault::target_crash:
      insert_for(m_queue, m_targets_down, worker, injection.length);
      return;
    case Fault::worker_fails_tasks:
      switch_for(m_queue, model->faults().fail_all_tasks, injection.length);
      return;
    default:
      crash_worker(worker, injection.length);
  }
}

void World::crash_worker(const std::string& worker, Duration length) {
  auto* model = agent(worker);
  if (!model->is_up()) {
    return;
  }
  model->advance(m_queue.now());
  model->crash(m_queue.now());
  m_queue.after(length, [this, model] { model->boot(m_queue.now()); });
}

void World::inject_platform_fault(const Injection& injection) {
  auto& faults = m_log.faults();
  switch (injection.fault) {
    case Fault::append_answer_lost:
      faults.lose_answers_percent = k_lost_answers_percent;
      m_queue.after(injection.length, [&faults] { faults.lose_answers_percent = 0; });
      return;
    case Fault::append_refused:
      switch_for(m_queue, faults.refuse_appends, injection.length);
      return;
    case Fault::log_outage:
      switch_for(m_queue, faults.outage, injection.length);
      return;
    case Fault::log_trimmed:
      m_log.trim("", k_records_after_trim);
      return;
    case Fault::log_slow:
      faults.delay = k_slow_log_delay;
      m_queue.after(injection.length, [&faults] { faults.delay = Duration{}; });
      return;
    default: {
      const auto fault = injection.fault == Fault::vm_list_empty    ? standin::VmListFault::empty
                         : injection.fault == Fault::vm_list_halved ? standin::VmListFault::halved
                                                                    : standin::VmListFault::frozen;
      m_vms.set_fault(fault, m_queue.now());
      m_queue.after(injection.length,
                    [this] { m_vms.set_fault(standin::VmListFault::none, m_queue.now()); });
    }
  }
}

void World::inject_network_fault(const Injection& injection, const std::string& daemon) {
  const auto length = injection.length;
  switch (injection.fault) {
    case Fault::cut_domains:
      switch_for(m_queue, m_links.domains_cut, length);
      return;
    case Fault::cut_platform:
      insert_for(m_queue, m_links.domains_cut_from_platform,
                 process(daemon) == nullptr ? daemon : process(daemon)->domain(), length);
      return;
    case Fault::cut_agents:
      insert_for(m_queue, m_links.daemons_cut_from_agents, daemon, length);
      return;
    case Fault::cut_peers:
      insert_for(m_queue, m_links.daemons_cut_from_peers, daemon, length);
      return;
    case Fault::message_duplicated:
      switch_for(m_queue, m_links.duplicate_messages, length);
      return;
    default:
      switch_for(m_queue, m_links.reorder_messages, length);
  }
}

void World::inject_operator_fault(const Injection& injection) {
  const auto& jobs = m_cancellable_jobs;
  for (int i = 0; i < k_racing_operators; ++i) {
    state::PlanRequest request;
    request.actor = "operator-" + std::to_string(i);
    if (injection.fault == Fault::cancellation_wave) {
      request.cancel_jobs = jobs;
    } else {
      auto* team = request.declaration.add_teams();
      team->set_name("contested");
      team->set_request_weight(static_cast<std::uint32_t>(i) + 1);
    }
    apply(request);
  }
}

}  // namespace arbutusdale::scenario
