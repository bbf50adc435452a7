// Services on the workers: measurements, placement cost and protection; health of workers.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

// Report intervals from an action until a measurement shows its effect.
constexpr int k_settle_intervals = 2;
constexpr double k_interference_weight = 2.0;
// The cost of interference is divided by the distance to the limit, but by no less than this.
constexpr double k_min_slack = 0.05;
// Added for urgent work on a worker over the limit, so that any other worker is preferred.
constexpr double k_urgent_pressure_cost = 1'000.0;
constexpr std::size_t k_min_exploring_workers = 2;
// One worker in this many may run a class of unknown effect beside a service.
constexpr std::size_t k_workers_per_exploration = 10;
// A job that has failed on this many workers and succeeded on none is the cause of its failures.
constexpr std::size_t k_failing_workers_for_job_fault = 3;
constexpr std::size_t k_success_workers_kept = 4;
// At most one worker in this many is quarantined; if more fail, the cause is unlikely to be the
// workers.
constexpr std::size_t k_workers_per_quarantine = 3;

double amount_of(const std::map<ClassId, double>& shares, ClassId job_class) {
  const auto found = shares.find(job_class);
  return found == shares.end() ? 0 : found->second;
}

std::uint64_t milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

void Runner::set_share(Worker& worker, Attempt& attempt, double share) {
  double& total = worker.class_shares[attempt.job_class];
  total = std::max(0.0, total + share - attempt.share);
  attempt.share = share;
  if (total < 1e-9) {
    worker.class_shares.erase(attempt.job_class);
  }
}

void Runner::update_services(WorkerSlot slot, const proto::platform::WorkerReport& report) {
  Worker& worker = m_workers[slot];
  worker.services.clear();
  worker.measured_shares = worker.class_shares;
  ServiceSample sample;
  for (const auto& [job_class, share] : worker.class_shares) {
    sample.shares.push_back({job_class, share});
  }
  for (const proto::platform::ServiceReport& item : report.services()) {
    const auto target = m_targets_ms.find(item.service());
    if (target == m_targets_ms.end() || target->second <= 0) {
      continue;
    }
    const double ratio = item.p99_ms() / target->second;
    worker.services.push_back({item.service(), ratio, item.load()});
    if (item.load() > 0 && m_options.policies.interference == InterferencePolicy::estimated) {
      sample.load = item.load();
      sample.p99_ratio = ratio;
      m_interference.observe(item.service(), sample, m_now);
    }
  }
  for (auto& [pair, workers] : m_exploring) {
    if (amount_of(worker.class_shares, pair.second) <= InterferenceModel::k_negligible_share) {
      workers.erase(slot);
    }
  }
}

// Only a measurement made after an action shows its effect. The current time on the agent's clock
// is estimated from its last measurement; the settling time covers the lag of the reports.
void Runner::await_newer_measurement(Worker& worker) const {
  const std::uint64_t now_at_agent =
      worker.measured_at_ms + milliseconds(m_now - worker.measured_received);
  worker.act_after_measured_ms =
      std::max(worker.act_after_measured_ms,
               now_at_agent + milliseconds(k_settle_intervals * m_report_interval));
}

void Runner::handle_pressure(WorkerSlot slot) {
  Worker& worker = m_workers[slot];
  if (worker.services.empty() || worker.measured_at_ms <= worker.act_after_measured_ms) {
    return;
  }
  const PressureLimits limits = pressure_limits(m_options.weighting);
  const bool below_relax = worst_ratio(worker.services) <= limits.relax;
  worker.reports_below_relax = below_relax ? worker.reports_below_relax + 1 : 0;
  PressureInput input;
  input.services = worker.services;
  input.reports_below_relax = worker.reports_below_relax;
  for (const auto& [key, attempt] : worker.attempts) {
    if (attempt.phase != AttemptPhase::running || attempt.stop != StopReason::none) {
      continue;
    }
    input.attempts.push_back(
        RunningAttempt{key, attempt.job_class, attempt.share, attempt.throttle_percent,
                       m_jobs.job(key.job).decl.checkpoint(), attempt.run_ms, attempt.started});
  }
  const PressureDecision decision =
      decide_pressure(input, m_interference, limits, m_options.policies);
  if (decision.action != PressureAction::none) {
    apply_pressure_decision(slot, decision);
  }
}

void Runner::apply_pressure_decision(WorkerSlot slot, const PressureDecision& decision) {
  Worker& worker = m_workers[slot];
  worker.reports_below_relax = 0;
  await_newer_measurement(worker);
  for (const AttemptKey& key : decision.attempts) {
    const AttemptRef ref{slot, key};
    if (decision.action == PressureAction::evict) {
      request_stop(ref, StopReason::evicted);
      continue;
    }
    Attempt& attempt = *find_attempt(ref);
    attempt.wanted_percent = decision.throttle_percent;
    m_stats.throttles += decision.action == PressureAction::throttle ? 1 : 0;
    queue_command(ref, attempt);
  }
}

bool Runner::may_explore(const std::string& service, WorkerSlot slot, ClassId job_class,
                         double share_after) const {
  if (share_after <= InterferenceModel::k_negligible_share ||
      m_interference.is_known(service, job_class)) {
    return true;
  }
  const auto found = m_exploring.find({service, job_class});
  if (found == m_exploring.end() || found->second.contains(slot)) {
    return true;
  }
  const std::size_t limit =
      std::max(k_min_exploring_workers, m_workers.size() / k_workers_per_exploration);
  return found->second.size() < limit;
}

void Runner::update_exploration(WorkerSlot slot, ClassId job_class) {
  const Worker& worker = m_workers[slot];
  if (m_options.policies.interference == InterferencePolicy::none ||
      amount_of(worker.class_shares, job_class) <= InterferenceModel::k_negligible_share) {
    return;
  }
  for (const ServiceState& service : worker.services) {
    if (m_interference.is_known(service.service, job_class)) {
      m_exploring.erase({service.service, job_class});
    } else if (service.load > 0) {
      m_exploring[{service.service, job_class}].insert(slot);
    }
  }
}

// Cost of a placement for the services of the worker; nothing when a service would come too close
// to its target. Work placed since the last measurement counts with the upper bound of its effect.
std::optional<double> Runner::interference_cost(WorkerSlot slot, const Job& job,
                                                const Resources& need) const {
  const Worker& worker = m_workers[slot];
  if (m_options.policies.interference == InterferencePolicy::none ||
      worker.capacity.cpu_millis == 0) {
    return 0;
  }
  const double limit = pressure_limits(m_options.weighting).place;
  const double added =
      static_cast<double>(need.cpu_millis) / static_cast<double>(worker.capacity.cpu_millis);
  const double share_after = amount_of(worker.class_shares, job.job_class) + added;
  double cost = 0;
  for (const ServiceState& service : worker.services) {
    if (service.load <= 0) {
      continue;
    }
    if (!job.decl.urgent() && !may_explore(service.service, slot, job.job_class, share_after)) {
      return std::nullopt;
    }
    double rise = m_interference.effect_upper_bound(service.service, job.job_class) * added;
    for (const auto& [job_class, share] : worker.class_shares) {
      const double unmeasured = share - amount_of(worker.measured_shares, job_class);
      rise +=
          m_interference.effect_upper_bound(service.service, job_class) * std::max(0.0, unmeasured);
    }
    if (service.p99_ratio + rise > limit) {
      // Urgent work must start within 2.1 s and cannot wait until a peak of load has passed. Other
      // work is then throttled or evicted to protect the service.
      if (!job.decl.urgent()) {
        return std::nullopt;
      }
      cost += k_urgent_pressure_cost;
    }
    cost += k_interference_weight * rise / std::max(k_min_slack, limit - service.p99_ratio);
  }
  return cost;
}

WorkerHealth::CauseOf Runner::failure_cause_on(const Worker& worker) const {
  return [this, &worker](std::uint32_t id) {
    if (!m_jobs.exists(id)) {
      return FailureCause::unknown;
    }
    const JobOutcomes& outcomes = m_jobs.job(id).outcomes;
    const std::size_t here = outcomes.succeeded_workers.contains(worker.info.id) ? 1 : 0;
    if (outcomes.succeeded_workers.size() > here) {
      return FailureCause::worker;
    }
    const bool fails_everywhere = outcomes.succeeded_workers.empty() &&
                                  outcomes.failed_workers.size() >= k_failing_workers_for_job_fault;
    return fails_everywhere ? FailureCause::job : FailureCause::unknown;
  };
}

void Runner::update_health(WorkerSlot slot, const Attempt& attempt, const AttemptKey& key) {
  Worker& worker = m_workers[slot];
  JobOutcomes& outcomes = m_jobs.job(key.job).outcomes;
  if (attempt.outcome == Outcome::succeeded) {
    worker.health.observe_success();
    if (outcomes.succeeded_workers.size() < k_success_workers_kept) {
      outcomes.succeeded_workers.insert(worker.info.id);
    }
    return;
  }
  if (attempt.outcome != Outcome::failed_try && attempt.outcome != Outcome::failed) {
    return;
  }
  outcomes.failed_workers.insert(worker.info.id);
  worker.health.observe_failure(key.job, key.task);
  const auto cause_of = failure_cause_on(worker);
  const std::size_t limit = std::max<std::size_t>(1, m_workers.size() / k_workers_per_quarantine);
  if (worker.health.state(m_now, cause_of) == HealthState::quarantined ||
      m_stats.quarantined >= limit || !worker.health.must_quarantine(cause_of)) {
    return;
  }
  proto::state::Record record;
  proto::state::WorkerQuarantined* body = record.mutable_worker_quarantined();
  body->set_worker(worker.info.id);
  body->set_evidence(worker.health.evidence() + ", last of job " + m_jobs.job(key.job).name + ": " +
                     attempt.note);
  const Duration length = worker.health.quarantine(m_now);
  const std::uint64_t wall_ms = m_options.clock != nullptr ? m_options.clock->wall_ms()
                                                           : milliseconds(m_now.time_since_epoch());
  body->set_until_ms(wall_ms + milliseconds(length));
  body->set_shard(m_options.shard);
  body->set_term(m_options.term);
  ++m_stats.quarantined;
  // The quarantine is already in force here; the record is for the next holder and for operators.
  m_stream.propose(std::move(record), false, [](const Result<std::uint64_t>&) {});
}

void Runner::restore_quarantine(Worker& worker) const {
  for (const proto::state::WorkerQuarantined& item : m_domain.quarantines()) {
    if (item.worker() != worker.info.id) {
      continue;
    }
    const std::uint64_t wall_ms = m_options.clock != nullptr ? m_options.clock->wall_ms() : 0;
    const bool in_force = wall_ms > 0 && item.until_ms() > wall_ms;
    const Duration left =
        in_force ? Duration{std::chrono::milliseconds{item.until_ms() - wall_ms}} : Duration{0};
    worker.health.restore(m_now, left);
  }
}

}  // namespace arbutusdale::batch
