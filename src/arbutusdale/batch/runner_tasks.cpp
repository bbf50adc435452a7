// Commands to agents about attempts: starts, stops, throttles. At most one per attempt is in
// flight. An attempt whose start got no answer stays committed to its worker.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

using proto::platform::AgentReply;

// 160 starts in a tick of 50 ms are 3,200/s, above the fleet's peak.
constexpr std::uint32_t k_max_starts_per_tick = 160;
// Failed searches for a worker in one tick; bounds the cost when nothing fits.
constexpr std::uint32_t k_max_misses_per_tick = 32;
constexpr std::uint32_t k_max_commands_per_tick = 200;
constexpr std::uint32_t k_max_start_sends = 3;
constexpr Duration k_command_retry = std::chrono::seconds{1};
// The VM list shows a leaving VM within seconds of its agent's first refusal.
constexpr Duration k_leaving_pause = std::chrono::seconds{10};
constexpr Duration k_miss_backoff = std::chrono::milliseconds{100};
constexpr std::uint32_t k_max_miss_doublings = 3;
constexpr double k_rack_weight = 1.0;
constexpr double k_packing_weight = 0.2;

double fill_after(const Resources& need, const PlacementNode& node) {
  if (node.capacity.cpu_millis == 0) {
    return 0;
  }
  const std::uint64_t left = minus(node.free, need).cpu_millis;
  return 1.0 - static_cast<double>(left) / static_cast<double>(node.capacity.cpu_millis);
}

double share_of(const Resources& part, const Resources& whole) {
  return whole.cpu_millis == 0
             ? 0
             : static_cast<double>(part.cpu_millis) / static_cast<double>(whole.cpu_millis);
}

}  // namespace

Attempt* Runner::find_attempt(const AttemptRef& ref) {
  auto& attempts = m_workers[ref.worker].attempts;
  const auto found = attempts.find(ref.key);
  return found == attempts.end() ? nullptr : &found->second;
}

proto::platform::AttemptRequest Runner::request_for(const AttemptKey& key) const {
  proto::platform::AttemptRequest request;
  request.set_token(m_options.term);
  request.set_job(m_jobs.job(key.job).name);
  request.set_task(key.task);
  request.set_attempt(key.attempt);
  return request;
}

/// No task of a job starts once its cancellation is applied.
bool Runner::job_may_start(const Job& job) const {
  if (m_options.seeded_fault == SeededFault::start_cancelled) {
    return job.declared;
  }
  return job.declared && !job.cancelled && !m_global.is_cancelled(job.name);
}

void Runner::charge(const AttemptRef& ref, Attempt& attempt) {
  Worker& worker = m_workers[ref.worker];
  Job& job = m_jobs.job(ref.key.job);
  attempt.charged = true;
  attempt.charged_amount = attempt.committed;
  worker.occupied = plus(worker.occupied, attempt.committed);
  attempt.team = job.decl.team();
  attempt.rack = worker.info.rack;
  m_queue.charge(attempt.team, attempt.committed);
  attempt.job_class = job.job_class;
  set_share(worker, attempt, share_of(attempt.committed, worker.capacity));
  ++job.racks[attempt.rack];
  ++m_stats.running;
  update_node(ref.worker);
}

// Measured use above the committed amount is charged as well, so that the excess is not given to
// further tasks.
void Runner::recharge(const AttemptRef& ref, Attempt& attempt) {
  if (!attempt.charged) {
    return;
  }
  Worker& worker = m_workers[ref.worker];
  const Resources amount{std::max(attempt.committed.cpu_millis, attempt.used.cpu_millis),
                         std::max(attempt.committed.memory_mib, attempt.used.memory_mib),
                         attempt.committed.accelerators};
  worker.occupied = plus(minus(worker.occupied, attempt.charged_amount), amount);
  attempt.charged_amount = amount;
  // Interference comes from actual use; the committed amount stands in until the first measurement.
  const double share = is_zero(attempt.used) ? share_of(attempt.committed, worker.capacity) *
                                                   attempt.throttle_percent / 100.0
                                             : share_of(attempt.used, worker.capacity);
  set_share(worker, attempt, share);
}

void Runner::release(const AttemptRef& ref, Attempt& attempt) {
  if (!attempt.charged) {
    return;
  }
  attempt.charged = false;
  Worker& worker = m_workers[ref.worker];
  Job& job = m_jobs.job(ref.key.job);
  worker.occupied = minus(worker.occupied, attempt.charged_amount);
  set_share(worker, attempt, 0);
  m_queue.release(attempt.team, attempt.committed);
  if (--job.racks[attempt.rack] == 0) {
    job.racks.erase(attempt.rack);
  }
  --m_stats.running;
  update_node(ref.worker);
}

// A learned size is limited to the largest capacity of any worker, so that it cannot prevent a job
// from running whose declared size fits.
Resources Runner::size_of(const Job& job) const {
  if (m_options.policies.sizes == SizePolicy::declared) {
    return job.declared_size;
  }
  Resources size = job.sizes.size(job.declared_size);
  size.cpu_millis =
      std::min(size.cpu_millis, std::max(m_largest.cpu_millis, job.declared_size.cpu_millis));
  size.memory_mib =
      std::min(size.memory_mib, std::max(m_largest.memory_mib, job.declared_size.memory_mib));
  return size;
}

void Runner::start_tasks() {
  if (!unknown_tasks_may_start()) {
    return;
  }
  std::uint32_t starts = 0;
  std::uint32_t misses = 0;
  while (starts < k_max_starts_per_tick && misses < k_max_misses_per_tick && !m_stopped) {
    const std::optional<std::uint32_t> id = m_queue.next(m_now);
    if (!id) {
      return;
    }
    if (!job_may_start(m_jobs.job(*id))) {
      m_queue.remove(*id);
      continue;
    }
    (start_one(*id) ? starts : misses) += 1;
  }
}

std::optional<WorkerSlot> Runner::choose_worker(JobId id, const Resources& need,
                                                const NextAttempt& next) {
  const Job& job = m_jobs.job(id);
  double running = 1;
  for (const auto& [rack, count] : job.racks) {
    running += count;
  }
  m_ruled_out_by_service = false;
  const bool exclude_failed_workers = next.failed_workers.size() < m_stats.workers_acquired;
  const PlacementCost cost = [&](std::uint32_t slot) -> std::optional<double> {
    const Worker& worker = m_workers[slot];
    const auto& failed = next.failed_workers;
    if (exclude_failed_workers &&
        std::find(failed.begin(), failed.end(), worker.info.id) != failed.end()) {
      return std::nullopt;
    }
    if (is_reserved_for_other(worker, id)) {
      return std::nullopt;
    }
    const std::optional<double> interference = interference_cost(slot, job, need);
    if (!interference) {
      m_ruled_out_by_service = true;
      return std::nullopt;
    }
    const auto rack = job.racks.find(worker.info.rack);
    const double rack_share = rack == job.racks.end() ? 0 : rack->second / running;
    return *interference + k_rack_weight * rack_share -
           k_packing_weight * fill_after(need, m_placement.node(slot));
  };
  return m_placement.choose(need, cost, m_options.seeded_fault != SeededFault::ignore_capacity);
}

bool Runner::start_one(JobId id) {
  Job& job = m_jobs.job(id);
  std::optional<TakenTask> taken = m_jobs.take(job);
  if (!taken) {
    m_queue.remove(id);
    return false;
  }
  const Resources need = size_of(job);
  const std::optional<WorkerSlot> slot = choose_worker(id, need, taken->next);
  if (!slot) {
    JobTable::put_back(job, taken->task, std::move(taken->next));
    job.reason =
        m_ruled_out_by_service ? WaitReason::services_under_pressure : WaitReason::no_worker_fits;
    const std::uint32_t doublings = std::min(job.misses++, k_max_miss_doublings);
    reserve_or_preempt(id, need);
    m_queue.defer(id, m_now + k_miss_backoff * (job.decl.urgent() ? 1 : 1 << doublings));
    return false;
  }
  job.misses = 0;
  m_workers[*slot].reserved_for.reset();
  job.reason = WaitReason::none;
  const AttemptRef ref{*slot, {id, taken->task, taken->next.attempt}};
  Attempt& attempt = m_workers[*slot].attempts[ref.key];
  attempt = Attempt{};
  attempt.committed = need;
  attempt.checkpoint = std::move(taken->next.checkpoint);
  attempt.started = m_now;
  job.live.insert_or_assign(ref.key.task, ref);
  charge(ref, attempt);
  update_exploration(*slot, job.job_class);
  m_queue.started(id, m_now);
  refresh_queue(id);
  ++m_stats.started;
  trace(TaskStage::admit, ref, job.admitted_at);
  trace(TaskStage::place, ref, m_now);
  send_start(ref);
  return true;
}

void Runner::trace(TaskStage stage, const AttemptRef& ref, TimePoint begin) const {
  if (m_options.trace == nullptr) {
    return;
  }
  m_options.trace->on_stage({stage, m_jobs.job(ref.key.job).name, ref.key.task, ref.key.attempt,
                             m_workers[ref.worker].info.id, begin, m_now});
}

void Runner::send_start(const AttemptRef& ref) {
  Attempt& attempt = *find_attempt(ref);
  const Job& job = m_jobs.job(ref.key.job);
  attempt.command_in_flight = true;
  attempt.resend_start = false;
  ++attempt.starts_sent;
  proto::platform::StartRequest request;
  request.set_token(m_options.term);
  request.set_job(job.name);
  request.set_task(ref.key.task);
  request.set_attempt(ref.key.attempt);
  *request.mutable_resources() = backplane::to_proto(attempt.committed);
  request.set_checkpoint(attempt.checkpoint);
  request.set_command(job.decl.command());
  request.set_expected_ms(job.sizes.expected_ms(job.decl.expected_ms()));
  m_agents.start(address_of(m_workers[ref.worker]), request,
                 guarded([this, ref](const AgentResult& result) { on_started(ref, result); }));
}

void Runner::on_started(const AttemptRef& ref, const AgentResult& result) {
  Attempt* attempt = find_attempt(ref);
  if (attempt == nullptr) {
    return;
  }
  attempt->command_in_flight = false;
  attempt->report_number_at_answer = m_report_counter;
  attempt->next_command = m_now + k_command_retry;
  if (attempt->phase == AttemptPhase::ended || attempt->phase == AttemptPhase::recorded) {
    return;
  }
  Worker& worker = m_workers[ref.worker];
  if (!result) {
    worker.reachable = false;
    if (result.error().verdict != Verdict::not_run) {
      attempt->start_may_arrive = true;
    }
    on_start_refused(ref, *attempt);
    return;
  }
  switch (result->code()) {
    case AgentReply::OK:
      attempt->phase = AttemptPhase::running;
      attempt->reported = true;
      trace(TaskStage::start, ref, attempt->started);
      return;
    case AgentReply::STALE_TOKEN:
      on_stale_term();
      return;
    case AgentReply::ALREADY_ENDED:
      // The agent lists the attempt as ended, or holds a tombstone; the next reports show which.
      attempt->fenced = true;
      return;
    case AgentReply::NO_CAPACITY:
      worker.at_capacity = true;
      break;
    case AgentReply::LEAVING:
      worker.refused_until = m_now + k_leaving_pause;
      break;
    default:
      attempt->start_may_arrive = true;
      return;
  }
  on_start_refused(ref, *attempt);
}

// This command started nothing. The task may start elsewhere unless an earlier start may still
// arrive.
void Runner::on_start_refused(const AttemptRef& ref, Attempt& attempt) {
  update_node(ref.worker);
  if (attempt.start_may_arrive || attempt.reported) {
    return;
  }
  NextAttempt next = m_jobs.next_attempt(m_jobs.job(ref.key.job).name, ref.key.task);
  next.attempt = std::max(next.attempt, ref.key.attempt);
  next.checkpoint = attempt.checkpoint;
  --m_stats.started;
  release(ref, attempt);
  m_workers[ref.worker].attempts.erase(ref.key);
  release_task(ref, std::move(next));
}

void Runner::queue_command(const AttemptRef& ref, Attempt& attempt) {
  if (!attempt.command_queued) {
    attempt.command_queued = true;
    m_command_queue.push_back(ref);
  }
}

void Runner::send_queued_commands() {
  std::vector<AttemptRef> refs;
  refs.swap(m_command_queue);
  std::uint32_t sent = 0;
  for (const AttemptRef& ref : refs) {
    if (sent >= k_max_commands_per_tick || m_stopped) {
      m_command_queue.push_back(ref);
      continue;
    }
    sent += send_next_command(ref) ? 1 : 0;
  }
}

// Sends the command that the attempt needs next. Returns whether one was sent.
bool Runner::send_next_command(const AttemptRef& ref) {
  Attempt* attempt = find_attempt(ref);
  if (attempt == nullptr) {
    return false;
  }
  attempt->command_queued = false;
  const bool recorded = attempt->phase == AttemptPhase::recorded;
  if (attempt->phase == AttemptPhase::ended || (recorded && !attempt->start_may_arrive)) {
    return false;
  }
  if (attempt->command_in_flight || m_now < attempt->next_command) {
    queue_command(ref, *attempt);
    return false;
  }
  if (recorded) {
    send_stop(ref, *attempt);
    return true;
  }
  if (attempt->resend_start && attempt->stop == StopReason::none) {
    const bool wanted = attempt->starts_sent < k_max_start_sends &&
                        takes_starts(m_workers[ref.worker]) &&
                        job_may_start(m_jobs.job(ref.key.job));
    if (wanted) {
      send_start(ref);
      return true;
    }
    attempt->stop = StopReason::unconfirmed;
  }
  if (attempt->stop != StopReason::none) {
    if (attempt->fenced) {
      return false;
    }
    send_stop(ref, *attempt);
    return true;
  }
  if (attempt->wanted_percent != attempt->throttle_percent) {
    send_throttle(ref, *attempt);
    return true;
  }
  return false;
}

void Runner::request_stop(const AttemptRef& ref, StopReason reason) {
  Attempt* attempt = find_attempt(ref);
  if (attempt == nullptr || attempt->phase == AttemptPhase::ended ||
      attempt->phase == AttemptPhase::recorded) {
    return;
  }
  // A cancellation takes precedence: its attempt has no result that would be resumed.
  if (attempt->stop != StopReason::none && reason != StopReason::cancelled) {
    return;
  }
  attempt->stop = reason;
  if (!attempt->fenced) {
    queue_command(ref, *attempt);
  }
  const bool resumes = reason == StopReason::evicted || reason == StopReason::drained ||
                       reason == StopReason::preempted;
  if (resumes && m_options.seeded_fault == SeededFault::resume_without_stop_proof) {
    NextAttempt next = m_jobs.next_attempt(m_jobs.job(ref.key.job).name, ref.key.task);
    next.attempt = ref.key.attempt + 1;
    next.checkpoint = attempt->checkpoint;
    release_task(ref, std::move(next));
  }
}

void Runner::send_stop(const AttemptRef& ref, Attempt& attempt) {
  attempt.command_in_flight = true;
  proto::platform::AttemptRequest request = request_for(ref.key);
  request.set_take_checkpoint(m_jobs.job(ref.key.job).decl.checkpoint() &&
                              attempt.stop != StopReason::cancelled &&
                              attempt.stop != StopReason::duplicate);
  m_agents.stop(address_of(m_workers[ref.worker]), request,
                guarded([this, ref](const AgentResult& result) { on_stop_answered(ref, result); }));
}

void Runner::on_stop_answered(const AttemptRef& ref, const AgentResult& result) {
  Attempt* attempt = find_attempt(ref);
  if (attempt == nullptr) {
    return;
  }
  attempt->command_in_flight = false;
  attempt->report_number_at_answer = m_report_counter;
  attempt->next_command = m_now + k_command_retry;
  if (result && result->code() == AgentReply::STALE_TOKEN) {
    on_stale_term();
    return;
  }
  if (!result) {
    queue_command(ref, *attempt);
    return;
  }
  // The agent now holds a tombstone. The next report shows the end, or omits the attempt.
  attempt->fenced = true;
  attempt->start_may_arrive = false;
  attempt->missing_since.reset();
  m_workers[ref.worker].next_report = m_now;
  if (attempt->phase == AttemptPhase::recorded) {
    queue_acknowledgement(ref);
    return;
  }
  if (attempt->stop == StopReason::evicted) {
    await_newer_measurement(m_workers[ref.worker]);
  }
}

void Runner::send_throttle(const AttemptRef& ref, Attempt& attempt) {
  attempt.command_in_flight = true;
  proto::platform::AttemptRequest request = request_for(ref.key);
  const std::uint32_t percent = attempt.wanted_percent;
  request.set_throttle_percent(percent);
  m_agents.throttle(address_of(m_workers[ref.worker]), request,
                    guarded([this, ref, percent](const AgentResult& result) {
                      Attempt* throttled = find_attempt(ref);
                      if (throttled == nullptr) {
                        return;
                      }
                      throttled->command_in_flight = false;
                      await_newer_measurement(m_workers[ref.worker]);
                      throttled->next_command = m_now + k_command_retry;
                      if (!result) {
                        queue_command(ref, *throttled);
                      } else if (result->code() == AgentReply::STALE_TOKEN) {
                        on_stale_term();
                      } else if (result->code() == AgentReply::OK) {
                        throttled->throttle_percent = percent;
                      }
                    }));
}

void Runner::stop_drained(WorkerSlot slot) {
  if (!m_workers[slot].draining) {
    return;
  }
  std::vector<AttemptKey> keys;
  for (const auto& [key, attempt] : m_workers[slot].attempts) {
    if (attempt.stop == StopReason::none) {
      keys.push_back(key);
    }
  }
  for (const AttemptKey& key : keys) {
    request_stop({slot, key}, StopReason::drained);
  }
}

}  // namespace arbutusdale::batch
