// Factory, tick and takeover rules of the shard runner.
#include "arbutusdale/batch/shard_runner.hpp"

#include "arbutusdale/batch/runner.hpp"
#include "arbutusdale/core/enum_names.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

constexpr EnumNames<Weighting, 2> k_weighting_names{{
    {Weighting::throughput, "throughput"},
    {Weighting::latency, "latency"},
}};

constexpr EnumNames<SeededFault, 6> k_seeded_fault_names{{
    {SeededFault::none, "none"},
    {SeededFault::skip_takeover_wait, "skip_takeover_wait"},
    {SeededFault::acknowledge_before_record, "acknowledge_before_record"},
    {SeededFault::ignore_capacity, "ignore_capacity"},
    {SeededFault::resume_without_stop_proof, "resume_without_stop_proof"},
    {SeededFault::start_cancelled, "start_cancelled"},
}};

// At least this much time between two ticks means that the process was paused.
constexpr Duration k_max_tick_gap = std::chrono::seconds{3};

}  // namespace

std::string_view to_string(Weighting weighting) {
  return enum_name(k_weighting_names, weighting);
}

std::string_view to_string(SeededFault fault) {
  return enum_name(k_seeded_fault_names, fault);
}

Runner::Runner(ShardOptions options, const state::GlobalState& global,
               const state::DomainState& domain, state::Stream& stream,
               backplane::WorkerAgents& agents)
    : m_options(std::move(options)),
      m_global(global),
      m_domain(domain),
      m_stream(stream),
      m_agents(agents),
      m_jobs(global, domain, m_options.domain, m_options.shard),
      m_placement(m_options.policies.placement, m_options.seed) {
  for (const WorkerInfo& info : m_options.recently_listed) {
    intern_worker(info);
  }
}

bool Runner::every_worker_answered_or_gone() const {
  return std::none_of(m_workers.begin(), m_workers.end(), [](const Worker& worker) {
    return worker.access == WorkerAccess::unacquired;
  });
}

/// A task that is neither recorded nor reported may start only when no worker can be running an
/// attempt that this runner does not know.
bool Runner::unknown_tasks_may_start() const {
  return m_takeover_complete || m_options.seeded_fault == SeededFault::skip_takeover_wait;
}

void Runner::update_takeover() {
  if (m_takeover_complete || !m_first_list || m_now - *m_first_list < m_options.takeover_wait ||
      !every_worker_answered_or_gone()) {
    return;
  }
  // Without fencing an earlier holder may send commands until everything that it started has ended.
  const auto runs_inherited = [](const Worker& worker) {
    return std::any_of(worker.attempts.begin(), worker.attempts.end(), [](const auto& item) {
      return item.second.inherited && item.second.phase == AttemptPhase::running;
    });
  };
  m_takeover_complete =
      m_options.agent_fencing || std::none_of(m_workers.begin(), m_workers.end(), runs_inherited);
  m_stats.takeover_complete = m_takeover_complete;
}

// A holder that was paused may have been replaced, so it acquires its workers again before it
// starts anything. An agent that knows a higher token refuses, and the runner stops.
void Runner::handle_pause(TimePoint now) {
  const bool paused = m_last_tick && now - *m_last_tick >= k_max_tick_gap;
  m_last_tick = now;
  if (!paused) {
    return;
  }
  for (WorkerSlot slot = 0; slot < m_workers.size(); ++slot) {
    Worker& worker = m_workers[slot];
    if (worker.access == WorkerAccess::acquired) {
      worker.access = WorkerAccess::unacquired;
      worker.next_acquire = now;
      update_node(slot);
    }
  }
}

void Runner::tick(TimePoint now) {
  if (m_stopped) {
    return;
  }
  handle_pause(now);
  m_now = now;
  if (!m_config_seen) {
    state_changed(now);
  }
  send_due_calls();
  update_takeover();
  scan_declaration();
  update_gauges();
  send_queued_commands();
  if (!m_stopped) {
    start_tasks();
  }
  if (!m_stopped) {
    flush_progress();
  }
}

// Another holder has a higher term, so the state of this runner may be out of date.
void Runner::on_stale_term() {
  m_stopped = true;
}

std::string Runner::waiting_reason(const std::string& job) const {
  const std::optional<JobId> id = m_jobs.find(job);
  if (!id || m_jobs.job(*id).pending() == 0) {
    return "";
  }
  const Job& entry = m_jobs.job(*id);
  if (!m_takeover_complete) {
    const auto waits = [](const Worker& worker) {
      return worker.access == WorkerAccess::unacquired;
    };
    const auto count = std::count_if(m_workers.begin(), m_workers.end(), waits);
    const auto first = std::find_if(m_workers.begin(), m_workers.end(), waits);
    return first == m_workers.end() ? "takeover of the shard is not complete"
                                    : "takeover of the shard waits for " + std::to_string(count) +
                                          " workers to answer, among them " + first->info.id;
  }
  if (!m_queue.within_quota(entry.decl.team(), size_of(entry))) {
    return "team " + entry.decl.team() + " has used its quota in this shard";
  }
  switch (entry.reason) {
    case WaitReason::no_worker_fits:
      return "no worker of the shard has enough free capacity";
    case WaitReason::services_under_pressure:
      return "services on the workers with free capacity are near their targets";
    default:
      return "waits for its turn";
  }
}

std::unique_ptr<ShardRunner> make_shard_runner(ShardOptions options,
                                               const state::GlobalState& global,
                                               const state::DomainState& domain,
                                               state::Stream& stream,
                                               backplane::WorkerAgents& agents) {
  return std::make_unique<Runner>(std::move(options), global, domain, stream, agents);
}

}  // namespace arbutusdale::batch
