// Workers of the shard: VM list, acquisition, reports, leases and acknowledgements.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

// Weight of a new report in the moving average: a change in size takes effect after about ten.
constexpr double k_report_bytes_gain = 0.1;
constexpr double k_us_per_second = 1e6;
// Well below the lease, so that ends of tasks are seen and leases renewed in time.
constexpr Duration k_max_report_interval = std::chrono::seconds{10};

using proto::platform::AgentReply;

constexpr Duration k_acquire_retry = std::chrono::seconds{1};
// Calls of one kind sent in one tick; spreads the calls of a large shard over several ticks.
constexpr std::uint32_t k_max_calls_per_tick = 64;
constexpr std::size_t k_max_acknowledged_per_call = 256;
constexpr std::uint32_t k_renewals_per_lease = 3;
// Part of a VM that batch work leaves free beside the reservations, by weighting.
constexpr std::uint64_t k_headroom_percent_throughput = 2;
constexpr std::uint64_t k_headroom_percent_latency = 8;

Resources percent_of(const Resources& amount, std::uint64_t percent) {
  return Resources{amount.cpu_millis * percent / 100, amount.memory_mib * percent / 100, 0};
}

}  // namespace

WorkerSlot Runner::intern_worker(const WorkerInfo& info) {
  const auto [found, added] =
      m_slots.try_emplace(info.id, static_cast<WorkerSlot>(m_workers.size()));
  if (added) {
    m_workers.emplace_back();
    m_workers.back().info = info;
    m_workers.back().capacity = info.capacity;
    update_reserve(m_workers.back());
    restore_quarantine(m_workers.back());
  }
  return found->second;
}

void Runner::list_worker(const WorkerInfo& info) {
  const WorkerSlot slot = intern_worker(info);
  Worker& worker = m_workers[slot];
  worker.info = info;
  if (worker.capacity == Resources{}) {
    worker.capacity = info.capacity;
  }
  worker.listed = true;
  worker.absent_since.reset();
  if (worker.access == WorkerAccess::gone) {
    worker.access = WorkerAccess::unacquired;
    worker.next_acquire = m_now;
  }
  worker.draining = info.leaving || m_drains.contains(info.id);
  stop_drained(slot);
  update_node(slot);
}

bool Runner::is_proved_gone(const Worker& worker, TimePoint now) const {
  return !worker.listed && worker.absent_since &&
         now - *worker.absent_since >= m_options.gone_after;
}

void Runner::handle_absent_worker(WorkerSlot slot, bool trusted) {
  Worker& worker = m_workers[slot];
  if (!trusted) {
    worker.absent_since.reset();
    return;
  }
  if (worker.listed || !worker.absent_since) {
    worker.listed = false;
    worker.absent_since = m_now;
    update_node(slot);
    return;
  }
  if (worker.access != WorkerAccess::gone && is_proved_gone(worker, m_now)) {
    mark_gone(slot);
  }
}

void Runner::set_workers(const std::vector<WorkerInfo>& workers, bool trusted, TimePoint now) {
  m_now = now;
  if (m_stopped) {
    return;
  }
  if (trusted && !m_first_list) {
    m_first_list = now;
  }
  // Two lists that are far apart, as after a pause or an outage, prove nothing about the time
  // between.
  const bool gap = now - m_last_list > m_options.gone_after / 2;
  m_last_list = now;
  std::set<WorkerSlot> present;
  for (const WorkerInfo& info : workers) {
    list_worker(info);
    present.insert(m_slots.at(info.id));
  }
  for (WorkerSlot slot = 0; slot < m_workers.size(); ++slot) {
    if (present.contains(slot)) {
      continue;
    }
    if (gap) {
      m_workers[slot].absent_since.reset();
    }
    handle_absent_worker(slot, trusted);
  }
}

void Runner::mark_gone(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  worker.access = WorkerAccess::gone;
  worker.to_acknowledge.clear();
  std::vector<AttemptKey> keys;
  for (const auto& [key, attempt] : worker.attempts) {
    keys.push_back(key);
  }
  for (const AttemptKey& key : keys) {
    const Attempt& attempt = worker.attempts.at(key);
    if (attempt.phase == AttemptPhase::recorded) {
      worker.attempts.erase(key);
    } else if (attempt.phase != AttemptPhase::ended) {
      end_with_outcome({slot, key}, Outcome::lost, "restarted after its VM was lost");
    }
  }
  worker.boot_id.clear();
  update_node(slot);
}

// Any answer of an agent shows that its VM is not gone, even if the VM list omits it.
void Runner::mark_reachable(Worker& worker) {
  worker.reachable = true;
  if (worker.absent_since) {
    worker.absent_since = m_now;
  }
}

void Runner::send_due_calls() {
  std::uint32_t acquires = 0;
  std::uint32_t reports = 0;
  for (WorkerSlot i = 0; i < m_workers.size() && !m_stopped; ++i) {
    Worker& worker = m_workers[i];
    if (worker.access == WorkerAccess::gone) {
      continue;
    }
    if (worker.access == WorkerAccess::unacquired) {
      if (!worker.acquire_in_flight && worker.next_acquire <= m_now &&
          acquires++ < k_max_calls_per_tick) {
        acquire(i);
      }
      continue;
    }
    if (!worker.report_in_flight && worker.next_report <= m_now &&
        reports++ < k_max_calls_per_tick) {
      request_report(i);
    }
    if (!worker.renew_in_flight && worker.next_renew <= m_now && may_renew(worker)) {
      renew(i);
    }
    if (!worker.acknowledge_in_flight && !worker.to_acknowledge.empty()) {
      acknowledge(i);
    }
  }
}

void Runner::acquire(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  worker.acquire_in_flight = true;
  worker.next_acquire = m_now + k_acquire_retry;
  proto::platform::AcquireRequest request;
  request.set_token(m_options.term);
  const std::uint64_t number = ++m_report_counter;
  m_agents.acquire(address_of(worker), request,
                   guarded([this, slot, number](const AgentResult& result) {
                     on_acquired(slot, number, result);
                   }));
}

void Runner::on_acquired(WorkerSlot slot, std::uint64_t number, const AgentResult& result) {
  Worker& worker = m_workers[slot];
  worker.acquire_in_flight = false;
  if (m_stopped || worker.access == WorkerAccess::gone) {
    return;
  }
  if (!result) {
    worker.reachable = false;
    return;
  }
  mark_reachable(worker);
  if (result->code() == AgentReply::STALE_TOKEN) {
    on_stale_term();
    return;
  }
  if (result->code() != AgentReply::OK || !result->has_report()) {
    return;
  }
  worker.access = WorkerAccess::acquired;
  worker.next_report = m_now + m_report_interval;
  worker.next_renew = m_now;
  handle_report(slot, number, result->report());
}

void Runner::request_report(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  worker.report_in_flight = true;
  worker.next_report = m_now + m_report_interval;
  const std::uint64_t number = ++m_report_counter;
  m_agents.report(address_of(worker), guarded([this, slot, number](const AgentResult& result) {
                    on_report(slot, number, result);
                  }));
}

void Runner::on_report(WorkerSlot slot, std::uint64_t number, const AgentResult& result) {
  Worker& worker = m_workers[slot];
  worker.report_in_flight = false;
  if (m_stopped || worker.access != WorkerAccess::acquired) {
    return;
  }
  if (!result) {
    worker.reachable = false;
    update_node(slot);
    return;
  }
  mark_reachable(worker);
  if (result->code() == AgentReply::STALE_TOKEN) {
    on_stale_term();
    return;
  }
  if (result->code() == AgentReply::OK && result->has_report()) {
    pace_reports(result->ByteSizeLong());
    handle_report(slot, number, result->report());
  }
}

// Adapts the report interval to the size of the reports. At the shortest interval the reports of
// many attempts would exceed the daemon's traffic budget: 54 workers with 12 attempts each send
// about 55 KB per second.
void Runner::pace_reports(std::size_t bytes) {
  m_report_bytes += (static_cast<double>(bytes) - m_report_bytes) * k_report_bytes_gain;
  const double seconds = m_report_bytes * static_cast<double>(m_stats.workers_acquired) /
                         static_cast<double>(m_options.report_bytes_per_second);
  const Duration needed{static_cast<std::int64_t>(seconds * k_us_per_second)};
  m_report_interval = std::clamp(needed, m_options.report_interval,
                                 std::max(k_max_report_interval, m_options.report_interval));
}

// A lease must have expired before its VM may count as gone, so renewals stop early enough.
bool Runner::may_renew(const Worker& worker) const {
  return !worker.absent_since ||
         m_now - *worker.absent_since + m_options.lease <= m_options.gone_after;
}

void Runner::renew(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  worker.renew_in_flight = true;
  worker.next_renew = m_now + m_options.lease / k_renewals_per_lease;
  proto::platform::RenewRequest request;
  request.set_token(m_options.term);
  request.set_lease_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(m_options.lease).count()));
  m_agents.renew(address_of(worker), request, guarded([this, slot](const AgentResult& result) {
                   Worker& renewed = m_workers[slot];
                   renewed.renew_in_flight = false;
                   if (!result) {
                     renewed.next_renew = m_now + m_report_interval;
                     return;
                   }
                   mark_reachable(renewed);
                   if (result->code() == AgentReply::STALE_TOKEN) {
                     on_stale_term();
                   }
                 }));
}

void Runner::acknowledge(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  worker.acknowledge_in_flight = true;
  proto::platform::AcknowledgeRequest request;
  request.set_token(m_options.term);
  const std::size_t count = std::min(worker.to_acknowledge.size(), k_max_acknowledged_per_call);
  const auto end = worker.to_acknowledge.begin() + static_cast<std::ptrdiff_t>(count);
  std::for_each(worker.to_acknowledge.begin(), end,
                [&request](const auto& attempt) { *request.add_attempts() = attempt; });
  worker.to_acknowledge.erase(worker.to_acknowledge.begin(), end);
  m_agents.acknowledge(address_of(worker), request,
                       guarded([this, slot, request](const AgentResult& result) {
                         on_acknowledged(slot, request, result);
                       }));
}

void Runner::on_acknowledged(WorkerSlot slot, const proto::platform::AcknowledgeRequest& request,
                             const AgentResult& result) {
  Worker& worker = m_workers[slot];
  worker.acknowledge_in_flight = false;
  if (result && result->code() == AgentReply::STALE_TOKEN) {
    on_stale_term();
    return;
  }
  for (const proto::platform::AttemptRequest& attempt : request.attempts()) {
    if (!result) {
      if (worker.access != WorkerAccess::gone) {
        worker.to_acknowledge.push_back(attempt);
      }
      continue;
    }
    const std::optional<JobId> job = m_jobs.find(attempt.job());
    const AttemptKey key{job.value_or(0), attempt.task(), attempt.attempt()};
    const auto found = worker.attempts.find(key);
    if (job && found != worker.attempts.end() && found->second.phase == AttemptPhase::recorded) {
      worker.attempts.erase(found);
    }
  }
}

void Runner::update_drains() {
  m_drains = {m_global.declaration().drains().begin(), m_global.declaration().drains().end()};
  for (WorkerSlot slot = 0; slot < m_workers.size(); ++slot) {
    Worker& worker = m_workers[slot];
    worker.draining = worker.info.leaving || m_drains.contains(worker.info.id);
    update_reserve(worker);
    stop_drained(slot);
    update_node(slot);
  }
}

void Runner::update_reserve(Worker& worker) const {
  worker.reserve = {};
  for (const proto::state::ServiceDecl& service : m_global.declaration().services()) {
    const bool here =
        service.domains().empty() || std::find(service.domains().begin(), service.domains().end(),
                                               m_options.domain) != service.domains().end();
    if (here && worker.info.id.starts_with(service.vm_prefix())) {
      worker.reserve = plus(worker.reserve, backplane::from_proto(service.reserve()));
    }
  }
}

bool Runner::takes_starts(const Worker& worker) const {
  if (worker.access != WorkerAccess::acquired || !worker.listed || !worker.reachable ||
      worker.draining || m_now < worker.refused_until || worker.at_capacity) {
    return false;
  }
  switch (worker.health.state(m_now, failure_cause_on(worker))) {
    case HealthState::healthy:
      return true;
    case HealthState::quarantined:
      return false;
    default:
      return is_zero(worker.occupied);
  }
}

void Runner::update_node(WorkerSlot slot) {
  const Worker& worker = m_workers[slot];
  PlacementNode node;
  const std::uint64_t headroom = m_options.weighting == Weighting::latency
                                     ? k_headroom_percent_latency
                                     : k_headroom_percent_throughput;
  // Headroom is for services; without a reservation the whole capacity is for batch work.
  const Resources kept =
      is_zero(worker.reserve) ? Resources{} : percent_of(worker.capacity, headroom);
  node.capacity = minus(worker.capacity, plus(worker.reserve, kept));
  node.free = minus(node.capacity, plus(worker.occupied, worker.unlisted_committed));
  node.accepts_tasks = takes_starts(worker);
  m_largest.cpu_millis = std::max(m_largest.cpu_millis, node.capacity.cpu_millis);
  m_largest.memory_mib = std::max(m_largest.memory_mib, node.capacity.memory_mib);
  m_placement.set(slot, node);
}

bool Runner::is_drained(const std::string& worker) const {
  const auto found = m_slots.find(worker);
  if (found == m_slots.end()) {
    return m_takeover_complete;
  }
  const Worker& entry = m_workers[found->second];
  const auto unfinished = [](const auto& item) {
    return item.second.phase != AttemptPhase::recorded;
  };
  return entry.access != WorkerAccess::unacquired && entry.unlisted_committed == Resources{} &&
         std::none_of(entry.attempts.begin(), entry.attempts.end(), unfinished);
}

backplane::AgentAddress Runner::address_of(const Worker& worker) const {
  return {worker.info.id, worker.info.agent_address};
}

}  // namespace arbutusdale::batch
