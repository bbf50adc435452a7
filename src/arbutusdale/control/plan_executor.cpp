// Execution of plan steps.
#include "plan_executor.hpp"

#include <algorithm>

namespace arbutusdale::control {
namespace {

// At the target size 1,000 plans may be open; checking each of them on every tick would exceed the
// daemon's CPU budget.
constexpr Duration k_advance_interval = std::chrono::milliseconds{250};
// Jobs whose totals one failure domain reports per interval: 32 failure domains append at most
// 64 records per second, about 3 KB/s for every reader of the global stream.
constexpr std::size_t k_reports_per_interval = 4;
constexpr std::size_t k_max_cached_jobs = 10'000;
constexpr Duration k_progress_interval = std::chrono::seconds{2};
// The holder of this shard records the steps of the failure domain, except drains.
constexpr std::uint32_t k_executor_shard = 0;

bool is_step_recorded(const proto::state::PlanEntry& entry, std::uint32_t step,
                      const std::string& domain) {
  return std::any_of(entry.steps().begin(), entry.steps().end(), [&](const auto& done) {
    return done.step() == step && done.domain() == domain;
  });
}

const proto::state::JobDecl* find_job(const proto::state::Declaration& declaration,
                                      const std::string& name) {
  for (const auto& job : declaration.jobs()) {
    if (job.name() == name) {
      return &job;
    }
  }
  return nullptr;
}

}  // namespace

void PlanExecutor::tick(TimePoint now) {
  if (!m_shards.holds_any() || !can_propose(m_context.global_stream.stats())) {
    return;
  }
  if (now >= m_next_advance) {
    m_next_advance = now + k_advance_interval;
    for (const auto* entry : m_context.global.plans()) {
      if (entry->state() == "confirmed") {
        advance(*entry, now);
      }
    }
  }
  if (m_shards.holds(k_executor_shard) && now >= m_next_progress) {
    m_next_progress = now + k_progress_interval;
    report_progress();
  }
}

void PlanExecutor::advance(const proto::state::PlanEntry& entry, TimePoint now) {
  const auto steps = static_cast<std::uint32_t>(entry.plan().changes_size()) + 1;
  for (std::uint32_t step = 0; step < steps; ++step) {
    if (is_step_recorded(entry, step, m_context.options.domain)) {
      m_proposed.erase({entry.plan().id(), step});
      continue;
    }
    if (step > 0 && concerns_another_domain(entry.plan().changes(static_cast<int>(step) - 1))) {
      continue;
    }
    std::string outcome;
    if (!m_shards.holds(executor_shard(entry, step)) ||
        m_proposed.contains({entry.plan().id(), step}) ||
        !is_step_done(entry, step, now, outcome)) {
      return;
    }
    const StepId id{entry.plan().id(), step};
    m_proposed.insert(id);
    proto::state::Record record;
    auto* done = record.mutable_plan_step_done();
    done->set_plan_id(entry.plan().id());
    done->set_step(step);
    done->set_domain(m_context.options.domain);
    done->set_outcome(outcome);
    m_context.global_stream.propose(std::move(record), false,
                                    [this, id](const Result<std::uint64_t>& result) {
                                      if (!result) {
                                        m_proposed.erase(id);
                                      }
                                    });
    return;
  }
}

std::uint32_t PlanExecutor::executor_shard(const proto::state::PlanEntry& entry,
                                           std::uint32_t step) const {
  if (step == 0) {
    return k_executor_shard;
  }
  const auto& change = entry.plan().changes(static_cast<int>(step) - 1);
  return change.change() == proto::state::CHANGE_DRAIN
             ? state::shard_of_worker(change.object_name(), m_shards.shards())
             : k_executor_shard;
}

bool PlanExecutor::concerns_another_domain(const proto::state::Change& change) const {
  return !change.domain().empty() && change.domain() != m_context.options.domain;
}

bool PlanExecutor::is_step_done(const proto::state::PlanEntry& entry, std::uint32_t step,
                                TimePoint now, std::string& outcome) {
  if (step == 0) {
    outcome = "configuration version " + std::to_string(entry.version()) + " in force";
    return config_in_force(entry.version(), now);
  }
  const auto& change = entry.plan().changes(static_cast<int>(step) - 1);
  return change_done(change, outcome);
}

bool PlanExecutor::config_in_force(std::uint64_t version, TimePoint now) const {
  for (const auto& member : m_context.membership.live(now)) {
    if (member.domain == m_context.options.domain && member.config_version < version) {
      return false;
    }
  }
  return m_context.global.version() >= version;
}

bool PlanExecutor::change_done(const proto::state::Change& change, std::string& outcome) {
  switch (change.change()) {
    case proto::state::CHANGE_DRAIN: {
      const auto& worker = change.object_name();
      const auto& drains = m_context.global.declaration().drains();
      if (std::find(drains.begin(), drains.end(), worker) == drains.end()) {
        outcome = "drain of " + worker + " was withdrawn";
        return true;
      }
      outcome = worker + " is drained";
      return m_shards.is_drained(worker);
    }
    case proto::state::CHANGE_CANCEL:
      return job_stopped(change.object_name(), outcome);
    case proto::state::CHANGE_ADD:
      if (change.object_kind() == "job") {
        return job_ended(change.object_name(), outcome);
      }
      outcome = "in force";
      return true;
    default:
      outcome = "in force";
      return true;
  }
}

bool PlanExecutor::job_stopped(const std::string& job, std::string& outcome) const {
  outcome = "no task of " + job + " starts any more";
  return m_context.global.is_cancelled(job);
}

/// The count is fixed when the job is confirmed, so it is cached: tasks move only between shards of
/// the same failure domain.
std::uint64_t PlanExecutor::assigned_here(const proto::state::JobDecl& job) {
  if (m_assigned.size() >= k_max_cached_jobs) {
    m_assigned.clear();
    m_reported.clear();
  }
  // The name of a retired job may be declared again; its layout then has a different version.
  const auto [entry, is_new] =
      m_assigned.try_emplace(job.name() + "@" + std::to_string(job.layout()), 0);
  for (std::uint32_t shard = 0; is_new && shard < m_shards.shards(); ++shard) {
    entry->second += state::assigned_tasks(m_context.global.declaration(), job, m_context.domain,
                                           m_context.options.domain, shard)
                         .size();
  }
  return entry->second;
}

bool PlanExecutor::job_ended(const std::string& job, std::string& outcome) {
  const auto* declared = find_job(m_context.global.declaration(), job);
  if (declared == nullptr || m_context.global.is_cancelled(job)) {
    outcome = job + " was cancelled";
    return true;
  }
  const auto totals = job_totals(*declared);
  outcome = std::to_string(totals.succeeded()) + " tasks succeeded, " +
            std::to_string(totals.failed()) + " failed";
  return totals.succeeded() + totals.failed() >= assigned_here(*declared);
}

proto::state::JobProgress PlanExecutor::job_totals(const proto::state::JobDecl& job) const {
  proto::state::JobProgress progress;
  progress.set_job(job.name());
  progress.set_domain(m_context.options.domain);
  if (const auto* record = m_context.domain.job(job.name())) {
    progress.set_succeeded(static_cast<std::uint32_t>(record->succeeded.size()));
    progress.set_failed(static_cast<std::uint32_t>(record->failed.size()));
  }
  return progress;
}

void PlanExecutor::report_progress() {
  const auto& jobs = m_context.global.declaration().jobs();
  std::size_t reports = 0;
  for (int checked = 0; checked < jobs.size() && reports < k_reports_per_interval; ++checked) {
    m_report_cursor = (m_report_cursor + 1) % jobs.size();
    reports += report_job(jobs.Get(m_report_cursor)) ? 1 : 0;
  }
}

bool PlanExecutor::report_job(const proto::state::JobDecl& job) {
  const auto progress = job_totals(job);
  const auto text = progress.SerializeAsString();
  const bool nothing_yet = progress.succeeded() == 0 && progress.failed() == 0;
  auto& reported = m_reported[job.name()];
  if (nothing_yet || reported == text) {
    return false;
  }
  reported = text;
  proto::state::Record record;
  *record.mutable_job_progress() = progress;
  m_context.global_stream.propose(std::move(record), false,
                                  [this, name = job.name()](const Result<std::uint64_t>& result) {
                                    if (!result) {
                                      m_reported.erase(name);
                                    }
                                  });
  return true;
}

}  // namespace arbutusdale::control
