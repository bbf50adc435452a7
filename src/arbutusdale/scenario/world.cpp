// The fleet of a scenario: daemons, workers, callers and operators.
#include "world.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::scenario {
namespace {

constexpr Duration k_stop_poll = std::chrono::milliseconds{5};
constexpr Duration k_stop_delay = std::chrono::seconds{3};  // from a stop command to its effect
constexpr Duration k_stop_timeout = std::chrono::seconds{20};
constexpr Duration k_check_interval = std::chrono::milliseconds{100};
constexpr std::size_t k_trace_lines = 200;
constexpr Duration k_operator_retry = std::chrono::seconds{2};
constexpr Duration k_caller_timeout = std::chrono::seconds{5};
constexpr std::uint32_t k_key_tries = 3;
constexpr std::uint32_t k_workers_per_rack = 2;
constexpr Duration k_caller_retry_delay = std::chrono::milliseconds{200};

constexpr EnumNames<Mutation, 13> k_mutation_names{{
    {Mutation::none, "none"},
    {Mutation::overcommit, "overcommit"},
    {Mutation::double_run, "double_run"},
    {Mutation::early_resume, "early_resume"},
    {Mutation::double_completion, "double_completion"},
    {Mutation::cancelled_start, "cancelled_start"},
    {Mutation::false_not_run, "false_not_run"},
    {Mutation::repeated_key, "repeated_key"},
    {Mutation::wrong_answer, "wrong_answer"},
    {Mutation::leaving_target, "leaving_target"},
    {Mutation::cut_off_request, "cut_off_request"},
    {Mutation::reverted_version, "reverted_version"},
    {Mutation::no_progress, "no_progress"},
}};

batch::SeededFault seeded_fault(Mutation mutation) {
  switch (mutation) {
    case Mutation::overcommit:
      return batch::SeededFault::ignore_capacity;
    case Mutation::double_run:
      return batch::SeededFault::skip_takeover_wait;
    case Mutation::early_resume:
      return batch::SeededFault::resume_without_stop_proof;
    case Mutation::double_completion:
      return batch::SeededFault::acknowledge_before_record;
    case Mutation::cancelled_start:
      return batch::SeededFault::start_cancelled;
    default:
      return batch::SeededFault::none;
  }
}

}  // namespace

std::string_view to_string(Mutation mutation) {
  return enum_name(k_mutation_names, mutation);
}

World::World(Topology topology, std::uint64_t seed, Mutation mutation)
    : m_topology(std::move(topology)),
      m_random(seed),
      m_vms(std::chrono::seconds{1}, &m_observer),
      m_mutation(mutation) {
  for (const auto& domain : m_topology.domains) {
    add_workers(domain);
  }
}

World::~World() = default;

void World::add_workers(const std::string& domain) {
  for (std::uint32_t i = 0; i < m_topology.workers_per_domain; ++i) {
    const auto worker = domain + "-vm-" + std::to_string(i);
    standin::AgentModelOptions options;
    options.worker = worker;
    options.capacity = m_topology.worker;
    options.stop_delay = k_stop_delay;
    if (m_mutation == Mutation::overcommit) {
      options.capacity = plus(plus(options.capacity, options.capacity), options.capacity);
    }
    m_agents[worker] = std::make_unique<standin::AgentModel>(options, &m_observer);
    m_agents[worker]->faults().unreachable = m_mutation == Mutation::no_progress;
    // The agent's constructor reports its own capacity, which Mutation::overcommit raises.
    m_observer.set_capacity(worker, m_topology.worker);
    m_worker_domain[worker] = domain;
    proto::platform::Vm vm;
    vm.set_id(worker);
    vm.set_agent_address(worker);
    vm.set_target_address(worker);
    vm.set_domain(domain);
    vm.set_rack(domain + "-rack-" + std::to_string(i / k_workers_per_rack));
    *vm.mutable_capacity() = backplane::to_proto(m_topology.worker);
    m_vms.set(vm, m_queue.now());
  }
}

void World::start_all() {
  run_periodic_checks();
  for (const auto& domain : m_topology.domains) {
    for (std::uint32_t i = 0; i < m_topology.daemons_per_domain; ++i) {
      start_daemon(domain + "-entry-" + std::to_string(i), domain);
    }
  }
}

void World::start_daemon(const std::string& daemon, const std::string& domain) {
  control::NodeOptions options;
  options.daemon = daemon;
  options.incarnation = ++m_incarnations[daemon] * 1'000;
  options.domain = domain;
  options.peer_address = daemon;
  options.caller_address = daemon;
  for (const auto& name : m_topology.domains) {
    for (std::uint32_t i = 0; i < m_topology.daemons_per_domain; ++i) {
      options.seeds.push_back(name + "-entry-" + std::to_string(i));
    }
  }
  options.lease = std::chrono::seconds{10};
  options.gone_after = std::chrono::seconds{10};
  options.commit_interval = std::chrono::milliseconds{500};
  options.snapshot_every_records = 40;
  options.seeded_fault = seeded_fault(m_mutation);
  auto& slot = m_processes[daemon];
  if (slot) {
    m_dead.push_back(std::move(slot));
  }
  slot = std::make_unique<Process>(*this, options);
  note("start " + daemon);
  slot->start();
  check_versions();
}

void World::restart_gracefully(const std::string& daemon, Duration away) {
  auto* stopping = process(daemon);
  if (stopping == nullptr || !stopping->alive() || stopping->paused()) {
    return;
  }
  note("graceful stop of " + daemon);
  step("daemon leaving", daemon);
  if (m_mutation != Mutation::cut_off_request) {
    stopping->node().leave();
  }
  await_stop(daemon, away, m_queue.now() + k_stop_timeout);
}

void World::await_stop(const std::string& daemon, Duration away, TimePoint deadline) {
  auto* stopping = process(daemon);
  if (!stopping->alive()) {
    return;
  }
  if (stopping->paused()) {
    m_queue.after(k_check_interval,
                  [this, daemon, away, deadline] { await_stop(daemon, away, deadline); });
    return;
  }
  const bool open = !stopping->frontend().idle();
  // The mutation stops the daemon as soon as a request is open, which cuts the request off.
  const bool abrupt = m_mutation == Mutation::cut_off_request && open;
  const bool done = stopping->node().has_left() && !open;
  if (!done && !abrupt && m_queue.now() < deadline) {
    m_queue.after(k_stop_poll,
                  [this, daemon, away, deadline] { await_stop(daemon, away, deadline); });
    return;
  }
  if (open) {
    breach("planned stop of " + daemon + " cut off a request");
  }
  stopping->kill();
  m_queue.after(away,
                [this, daemon, domain = stopping->domain()] { start_daemon(daemon, domain); });
}

std::vector<Process*> World::live() {
  std::vector<Process*> live;
  for (auto& [daemon, process] : m_processes) {
    if (process->alive() && !process->paused() && serves(*process)) {
      live.push_back(process.get());
    }
  }
  return live;
}

/// Callers reach only ready daemons, as behind a load balancer that checks readiness.
bool World::serves(Process& process) const {
  return m_mutation == Mutation::reverted_version || process.node().readiness().ready;
}

void World::breach(const std::string& text) {
  note("breach: " + text);
  m_extra_breaches.push_back(text);
}

void World::list_leaving(const std::string& worker) {
  note(worker + " is listed as leaving");
  m_vms.set_state(worker, proto::platform::VM_LEAVING, m_queue.now());
  agent(worker)->set_leaving(true);
}

Process* World::process(const std::string& daemon) {
  const auto found = m_processes.find(daemon);
  return found == m_processes.end() ? nullptr : found->second.get();
}

standin::AgentModel* World::agent(const std::string& worker) {
  const auto found = m_agents.find(worker);
  return found == m_agents.end() ? nullptr : found->second.get();
}

void World::advance_agents() {
  for (auto& [worker, model] : m_agents) {
    model->advance(m_queue.now());
  }
}

bool World::target_down(const std::string& worker) const {
  const auto model = m_agents.find(worker);
  return m_targets_down.contains(worker) || model == m_agents.end() || !model->second->is_up();
}

bool World::target_silent(const std::string& worker) const {
  return m_targets_silent.contains(worker);
}

void World::executed(const std::string& worker, const CallerRequest& request) {
  m_observer.request_executed(worker, request.key, request.request_id, m_queue.now());
}

void World::step(const std::string& name, const std::string& daemon) {
  if (m_step_hook) {
    m_step_hook({name, daemon});
  }
}

void World::note(const std::string& text) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now().time_since_epoch());
  m_trace.push_back(std::to_string(ms.count()) + " ms  " + text);
  if (m_trace.size() > k_trace_lines) {
    m_trace.erase(m_trace.begin());
  }
}

void World::send_peer(const Process& from, const std::string& to,
                      const proto::peer::PeerMessage& message) {
  const auto* field = message.GetDescriptor()->FindFieldByNumber(message.body_case());
  if (field != nullptr && field->name() != "heartbeat") {
    step("peer " + field->name(), from.daemon());
  }
  auto* receiver = process(to);
  if (receiver == nullptr) {
    return;
  }
  const bool crossing = receiver->domain() != from.domain();
  if ((crossing && m_links.domains_cut) || m_links.daemons_cut_from_peers.contains(to) ||
      m_links.daemons_cut_from_peers.contains(from.daemon())) {
    return;
  }
  const auto copies = m_links.duplicate_messages ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    Duration delay = crossing ? m_links.between_domains : m_links.in_domain;
    if (m_links.reorder_messages) {
      delay += std::chrono::milliseconds{random_index(m_random, 200)};
    }
    receiver->deliver(delay, [receiver, message] { receiver->receive(message); });
  }
}

void World::forward(Process& from, const std::string& to, const CallerRequest& request,
                    const Frontend::Reply& reply) {
  auto* receiver = process(to);
  const bool cut = receiver == nullptr || m_links.domains_cut;
  // An earlier try with the same key may have run there.
  if (cut) {
    from.deliver(m_links.between_domains, [reply] { reply({Verdict::may_have_run, {}}); });
    return;
  }
  receiver->deliver(m_links.between_domains, [this, &from, receiver, request, reply] {
    receiver->frontend().serve(request, true, [this, &from, reply](const CallerReply& answer) {
      if (!m_links.domains_cut) {
        from.deliver(m_links.between_domains, [reply, answer] { reply(answer); });
      }
    });
  });
}

// ---- Operators ----

void World::apply(const state::PlanRequest& request) {
  propose(request);
}

void World::propose(const state::PlanRequest& request) {
  const auto daemons = live();
  if (daemons.empty()) {
    m_queue.after(k_operator_retry, [this, request] { propose(request); });
    return;
  }
  auto* chosen = daemons[random_index(m_random, daemons.size())];
  const auto settled = std::make_shared<bool>(false);
  m_queue.after(k_caller_timeout, [this, request, settled] {
    if (!std::exchange(*settled, true)) {
      propose(request);
    }
  });
  chosen->node().propose_plan(request, [this, request, settled](const auto& plan) {
    if (std::exchange(*settled, true)) {
      return;
    }
    if (!plan) {
      note("plan refused: " + plan.error().message);
      if (plan.error().code != ErrorCode::invalid_argument) {
        m_queue.after(k_operator_retry, [this, request] { propose(request); });
      }
      return;
    }
    confirm(plan->id(), request);
  });
}

void World::confirm(const std::string& plan_id, const state::PlanRequest& request) {
  const auto daemons = live();
  if (daemons.empty()) {
    m_queue.after(k_operator_retry, [this, plan_id, request] { confirm(plan_id, request); });
    return;
  }
  auto* chosen = daemons[random_index(m_random, daemons.size())];
  const auto settled = std::make_shared<bool>(false);
  const auto again = [this, plan_id, request, settled] {
    if (std::exchange(*settled, true)) {
      return;
    }
    m_queue.after(k_operator_retry, [this, plan_id, request] { confirm(plan_id, request); });
  };
  m_queue.after(k_caller_timeout, again);
  chosen->node().decide_plan(
      plan_id, proto::state::PlanDecided::CONFIRM, request.actor, "",
      [this, request, again, settled](const auto& entry) {
        if (*settled) {
          return;
        }
        if (!entry) {
          again();
          return;
        }
        *settled = true;
        note("plan " + entry->plan().id() + " is " + entry->state() + " " + entry->reason());
        if (entry->state() == "refused") {
          propose(request);
        }
      });
}

// ---- Callers ----

void World::load(const std::string& service, double per_second, double keyed_share,
                 TimePoint until) {
  if (m_queue.now() >= until) {
    return;
  }
  send_request(service, random_unit(m_random) < keyed_share);
  const auto gap = static_cast<std::int64_t>(1e6 / per_second);
  m_queue.after(Duration{gap}, [this, service, per_second, keyed_share, until] {
    load(service, per_second, keyed_share, until);
  });
}

void World::send_request(const std::string& service, bool keyed) {
  CallerRequest request;
  request.service = service;
  if (keyed) {
    request.key = "key-" + std::to_string(m_request_sequence);
  }
  ++m_callers.requests;
  try_request(request, k_key_tries);
}

void World::try_request(CallerRequest request, std::uint32_t tries_left) {
  const auto daemons = live();
  if (daemons.empty() || tries_left == 0) {
    ++m_callers.may_have_run;
    return;
  }
  request.request_id = "request-" + std::to_string(++m_request_sequence);
  auto* chosen = daemons[random_index(m_random, daemons.size())];
  const auto settled = std::make_shared<bool>(false);
  const auto finish = [this, request, tries_left, settled](const CallerReply& reply) {
    if (std::exchange(*settled, true)) {
      return;
    }
    check_reply(request, reply);
    const bool again = !request.key.empty() && reply.verdict != Verdict::answered;
    if (!again || tries_left <= 1) {
      auto& count = reply.verdict == Verdict::answered  ? m_callers.answered
                    : reply.verdict == Verdict::not_run ? m_callers.not_run
                                                        : m_callers.may_have_run;
      ++count;
      return;
    }
    m_queue.after(k_caller_retry_delay,
                  [this, request, tries_left] { try_request(request, tries_left - 1); });
  };
  m_queue.after(k_caller_timeout, [finish] { finish({Verdict::may_have_run, {}}); });
  chosen->deliver(m_links.to_caller, [this, chosen, request, finish] {
    chosen->frontend().serve(request, false, [this, finish](const CallerReply& reply) {
      m_queue.after(m_links.to_caller, [finish, reply] { finish(reply); });
    });
  });
}

void World::check_reply(const CallerRequest& request, const CallerReply& reply) {
  if (reply.verdict == Verdict::not_run &&
      m_observer.executions_of_request(request.request_id) > 0) {
    ++m_callers.false_not_run;
    note("false 'not run' for " + request.request_id);
  }
  if (reply.verdict == Verdict::answered && reply.body != expected_answer(request)) {
    ++m_callers.wrong_answers;
    note("wrong answer '" + reply.body + "' for " + request.request_id);
  }
}

// ---- Checks ----

std::vector<std::string> World::breaches() const {
  std::vector<std::string> breaches = m_observer.breach_log();
  breaches.insert(breaches.end(), m_extra_breaches.begin(), m_extra_breaches.end());
  if (m_callers.wrong_answers > 0) {
    breaches.push_back(std::to_string(m_callers.wrong_answers) + " wrong answers");
  }
  if (m_callers.false_not_run > 0) {
    breaches.push_back(std::to_string(m_callers.false_not_run) + " false 'not run' verdicts");
  }
  return breaches;
}

void World::run_periodic_checks() {
  advance_agents();
  m_vms.advance(m_queue.now());
  check_versions();
  m_queue.after(k_check_interval, [this] { run_periodic_checks(); });
}

void World::check_versions() {
  for (auto& [daemon, process] : m_processes) {
    if (!process->alive() || process->paused() || !serves(*process)) {
      continue;
    }
    const auto version = process->node().global().version();
    auto& highest = m_versions[daemon];
    if (version < highest) {
      breach(daemon + " went back from version " + std::to_string(highest) + " to " +
             std::to_string(version));
    }
    highest = std::max(highest, version);
  }
}

}  // namespace arbutusdale::scenario
