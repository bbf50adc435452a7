// Reconciliation with the agents' reports, the only source for what runs on a worker.
#include "arbutusdale/batch/runner.hpp"

#include <algorithm>

namespace arbutusdale::batch {
namespace {

using proto::platform::AttemptReport;
using proto::platform::AttemptState;

// An attempt that the reports omit for this many intervals is considered unknown to the agent; a
// report may lag behind the last command by an interval or two.
constexpr int k_missing_intervals_fenced = 2;
constexpr int k_missing_intervals_started = 5;
// After this time a stop is sent again for an attempt that is still reported as running.
constexpr Duration k_stop_repeat = std::chrono::seconds{10};
// Usage of a task that has just started understates its need.
constexpr std::uint64_t k_min_learn_run_ms = 1'000;

}  // namespace

/// True when the report was requested after the answer to the attempt's last command. Only then
/// does an attempt that it omits count as missing; an earlier report may not show the start yet.
bool Runner::shows_missing(const Attempt& attempt, std::uint64_t report_number) const {
  return !attempt.command_in_flight && report_number > attempt.report_number_at_answer;
}

void Runner::handle_report(WorkerSlot slot, std::uint64_t number,
                           const proto::platform::WorkerReport& report) {
  Worker& worker = m_workers[slot];
  // Without fencing the reported token has no meaning.
  if (m_options.agent_fencing && report.token() > m_options.term) {
    on_stale_term();
    return;
  }
  const bool same_boot = worker.boot_id == report.boot_id();
  if (number <= worker.report_number ||
      (same_boot && report.measured_at_ms() < worker.measured_at_ms)) {
    return;
  }
  if (m_options.agent_fencing && report.token() < m_options.term) {
    // The agent has lost its token, as after a restart. It needs the token to refuse earlier
    // holders.
    worker.access = WorkerAccess::unacquired;
    worker.next_acquire = m_now;
    update_node(slot);
    return;
  }
  worker.report_number = number;
  worker.at_capacity = false;
  std::set<AttemptKey> listed;
  Resources listed_committed;
  for (const AttemptReport& item : report.attempts()) {
    const AttemptKey key{m_jobs.intern(item.job()), item.task(), item.attempt()};
    listed.insert(key);
    if (item.state() == AttemptState::ATTEMPT_RUNNING) {
      listed_committed = plus(listed_committed, backplane::from_proto(item.committed()));
    }
  }
  handle_reboot(slot, report, listed);
  worker.boot_id = report.boot_id();
  if (report.has_capacity()) {
    worker.capacity = backplane::from_proto(report.capacity());
  }
  worker.unlisted_committed = minus(backplane::from_proto(report.committed()), listed_committed);
  for (const AttemptReport& item : report.attempts()) {
    const AttemptRef ref{slot, {*m_jobs.find(item.job()), item.task(), item.attempt()}};
    if (Attempt* attempt = find_attempt(ref)) {
      update_attempt(ref, *attempt, item, number);
    } else {
      adopt(ref, item);
    }
  }
  std::vector<AttemptKey> missing;
  for (const auto& [key, attempt] : worker.attempts) {
    if (!listed.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const AttemptKey& key : missing) {
    if (Attempt* attempt = find_attempt({slot, key})) {
      handle_missing({slot, key}, *attempt, number);
    }
  }
  const bool newer = !same_boot || report.measured_at_ms() > worker.measured_at_ms;
  worker.measured_at_ms = report.measured_at_ms();
  worker.act_after_measured_ms = same_boot ? worker.act_after_measured_ms : 0;
  if (newer) {
    worker.measured_received = m_now;
    update_services(slot, report);
    handle_pressure(slot);
  }
  stop_drained(slot);
  update_node(slot);
}

// A new boot id proves that the attempts of the earlier boot have ended. An attempt whose start may
// still arrive could run in the new boot, so it is handled like a missing one.
void Runner::handle_reboot(WorkerSlot slot, const proto::platform::WorkerReport& report,
                           const std::set<AttemptKey>& listed) {
  Worker& worker = m_workers[slot];
  if (worker.boot_id.empty() || worker.boot_id == report.boot_id()) {
    return;
  }
  std::vector<AttemptKey> lost;
  for (const auto& [key, attempt] : worker.attempts) {
    const bool live =
        attempt.phase == AttemptPhase::starting || attempt.phase == AttemptPhase::running;
    if (live && !listed.contains(key) && !attempt.start_may_arrive && !attempt.command_in_flight &&
        attempt.boot_id == worker.boot_id) {
      lost.push_back(key);
    }
  }
  for (const AttemptKey& key : lost) {
    end_with_outcome({slot, key}, Outcome::lost, "restarted after its VM was lost");
  }
  worker.to_acknowledge.clear();
}

void Runner::handle_running(const AttemptRef& ref, Attempt& attempt, std::uint64_t number) {
  attempt.phase = AttemptPhase::running;
  attempt.reported = true;
  attempt.resend_start = false;
  attempt.missing_since.reset();
  const bool stop_had_no_effect = attempt.fenced && shows_missing(attempt, number) &&
                                  m_now >= attempt.next_command + k_stop_repeat;
  if (stop_had_no_effect) {
    attempt.fenced = false;
  }
  const Job& job = m_jobs.job(ref.key.job);
  if (job.cancelled && attempt.stop == StopReason::none) {
    attempt.stop = StopReason::cancelled;
  }
  if (attempt.stop != StopReason::none && !attempt.fenced) {
    queue_command(ref, attempt);
  }
}

void Runner::update_attempt(const AttemptRef& ref, Attempt& attempt, const AttemptReport& report,
                            std::uint64_t number) {
  if (attempt.phase == AttemptPhase::recorded) {
    queue_acknowledgement(ref);
    return;
  }
  if (attempt.phase == AttemptPhase::ended) {
    // The VM was proved gone and has returned before the loss was recorded.
    attempt.running_after_loss =
        attempt.outcome == Outcome::lost && report.state() == AttemptState::ATTEMPT_RUNNING;
    return;
  }
  attempt.used = backplane::from_proto(report.used());
  attempt.run_ms = report.run_ms();
  attempt.boot_id = m_workers[ref.worker].boot_id;
  if (report.throttle_percent() > 0) {
    attempt.throttle_percent = report.throttle_percent();
  }
  if (!report.checkpoint().empty()) {
    attempt.checkpoint = report.checkpoint();
  }
  learn(m_jobs.job(ref.key.job), attempt, report);
  if (report.state() == AttemptState::ATTEMPT_RUNNING) {
    handle_running(ref, attempt, number);
    recharge(ref, attempt);
    return;
  }
  end_attempt(ref, report);
}

void Runner::learn(Job& job, const Attempt& attempt, const AttemptReport& report) {
  if (report.state() == AttemptState::ATTEMPT_SUCCEEDED) {
    job.sizes.observe_run(report.run_ms());
  } else if (report.state() == AttemptState::ATTEMPT_RUNNING && attempt.throttle_percent == 100 &&
             report.run_ms() >= k_min_learn_run_ms && !is_zero(attempt.used)) {
    job.sizes.observe_use(attempt.used);
  }
}

// Adopts an attempt that this runner did not start, that is, one of an earlier term.
void Runner::adopt(const AttemptRef& ref, const AttemptReport& report) {
  Attempt attempt;
  attempt.inherited = true;
  attempt.reported = true;
  attempt.boot_id = m_workers[ref.worker].boot_id;
  attempt.committed = backplane::from_proto(report.committed());
  attempt.used = backplane::from_proto(report.used());
  attempt.run_ms = report.run_ms();
  attempt.checkpoint = report.checkpoint();
  attempt.started = m_now - std::chrono::milliseconds{report.run_ms()};
  if (report.throttle_percent() > 0) {
    attempt.throttle_percent = report.throttle_percent();
  }
  attempt.wanted_percent = attempt.throttle_percent;
  if (report.state() == AttemptState::ATTEMPT_RUNNING) {
    adopt_running(ref, std::move(attempt));
  } else {
    adopt_ended(ref, std::move(attempt), report);
  }
}

void Runner::adopt_running(const AttemptRef& ref, Attempt attempt) {
  Job& job = m_jobs.job(ref.key.job);
  attempt.phase = AttemptPhase::running;
  Attempt& stored =
      m_workers[ref.worker].attempts.insert_or_assign(ref.key, std::move(attempt)).first->second;
  charge(ref, stored);
  const bool finished = m_jobs.is_finished(job.name, ref.key.task);
  const auto live = job.live.find(ref.key.task);
  if (finished || live != job.live.end()) {
    // A second attempt can run only on a VM that was proved gone and has returned; the attempt that
    // the runner already knows continues.
    request_stop(ref, StopReason::duplicate);
    return;
  }
  JobTable::remove_pending(job, ref.key.task);
  job.live.insert_or_assign(ref.key.task, ref);
  m_active.insert(ref.key.job);
  refresh_queue(ref.key.job);
  if (job.cancelled || m_global.is_cancelled(job.name)) {
    request_stop(ref, StopReason::cancelled);
  }
}

void Runner::adopt_ended(const AttemptRef& ref, Attempt attempt, const AttemptReport& report) {
  Job& job = m_jobs.job(ref.key.job);
  const bool succeeded = report.state() == AttemptState::ATTEMPT_SUCCEEDED;
  // A success counts even if its attempt was recorded as lost, as long as no other has succeeded.
  const bool known = succeeded ? m_jobs.is_finished(job.name, ref.key.task)
                               : m_jobs.is_recorded(job.name, ref.key.task, ref.key.attempt);
  const bool superseded = job.live.contains(ref.key.task) && !succeeded;
  attempt.phase = AttemptPhase::running;
  Worker& worker = m_workers[ref.worker];
  worker.attempts.insert_or_assign(ref.key, std::move(attempt));
  if (known || superseded) {
    worker.attempts.at(ref.key).phase = AttemptPhase::recorded;
    queue_acknowledgement(ref);
    return;
  }
  const auto live = job.live.find(ref.key.task);
  if (live != job.live.end()) {
    request_stop(live->second, StopReason::duplicate);
  }
  JobTable::remove_pending(job, ref.key.task);
  job.live.insert_or_assign(ref.key.task, ref);
  m_active.insert(ref.key.job);
  refresh_queue(ref.key.job);
  end_attempt(ref, report);
}

// Handles an attempt that the report omits. Only an answered stop proves that its start can no
// longer arrive; until then the start is sent again to the same worker, or a stop is sent.
void Runner::handle_missing(const AttemptRef& ref, Attempt& attempt, std::uint64_t number) {
  if (attempt.phase == AttemptPhase::ended || attempt.phase == AttemptPhase::recorded ||
      !shows_missing(attempt, number)) {
    return;
  }
  if (!attempt.missing_since) {
    attempt.missing_since = m_now;
  }
  const Duration missing = m_now - *attempt.missing_since;
  if (attempt.fenced) {
    if (missing < k_missing_intervals_fenced * m_report_interval) {
      return;
    }
    if (attempt.reported) {
      end_with_outcome(ref, Outcome::lost,
                       "restarted because the agent no longer knows the attempt");
    } else {
      withdraw_start(ref);
    }
    return;
  }
  if (attempt.reported && missing < k_missing_intervals_started * m_report_interval) {
    return;
  }
  if (attempt.reported && attempt.stop == StopReason::none) {
    attempt.stop = StopReason::unconfirmed;
  }
  attempt.resend_start = attempt.stop == StopReason::none;
  queue_command(ref, attempt);
}

}  // namespace arbutusdale::batch
