// Execution of plan steps.
#include "plan_executor.hpp"

#include <algorithm>

namespace arbutusdale::control {
namespace {

constexpr Duration k_progress_interval = std::chrono::seconds{2};
// Its holder records the steps of the failure domain, but for drains.
constexpr std::uint32_t k_executor_shard = 0;

bool has_step(const proto::state::PlanEntry& entry, std::uint32_t step, const std::string& domain) {
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
  for (const auto* entry : m_context.global.plans()) {
    if (entry->state() == "confirmed") {
      advance(*entry, now);
    }
  }
  if (m_shards.holds(k_executor_shard) && now >= m_next_progress) {
    m_next_progress = now + k_progress_interval;
    report_progress(now);
  }
}

void PlanExecutor::advance(const proto::state::PlanEntry& entry, TimePoint now) {
  const auto steps = static_cast<std::uint32_t>(entry.plan().changes_size()) + 1;
  for (std::uint32_t step = 0; step < steps; ++step) {
    if (has_step(entry, step, m_context.options.domain)) {
      m_proposed.erase({entry.plan().id(), step});
      continue;
    }
    if (step > 0 && concerns_another_domain(entry.plan().changes(static_cast<int>(step) - 1))) {
      continue;
    }
    std::string outcome;
    if (!m_shards.holds(executor_shard(entry, step)) ||
        m_proposed.contains({entry.plan().id(), step}) ||
        !step_reached(entry, step, now, outcome)) {
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

bool PlanExecutor::step_reached(const proto::state::PlanEntry& entry, std::uint32_t step,
                                TimePoint now, std::string& outcome) const {
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

bool PlanExecutor::change_done(const proto::state::Change& change, std::string& outcome) const {
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

bool PlanExecutor::job_ended(const std::string& job, std::string& outcome) const {
  const auto* declared = find_job(m_context.global.declaration(), job);
  if (declared == nullptr || m_context.global.is_cancelled(job)) {
    outcome = job + " was cancelled";
    return true;
  }
  const auto totals = job_totals(*declared);
  std::uint64_t assigned = 0;
  for (std::uint32_t shard = 0; shard < m_shards.shards(); ++shard) {
    assigned += state::assigned_tasks(m_context.global.declaration(), *declared, m_context.domain,
                                      m_context.options.domain, shard)
                    .size();
  }
  outcome = std::to_string(totals.succeeded()) + " tasks succeeded, " +
            std::to_string(totals.failed()) + " failed";
  return totals.succeeded() + totals.failed() >= assigned;
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

void PlanExecutor::report_progress(TimePoint /*now*/) {
  for (const auto& job : m_context.global.declaration().jobs()) {
    report_job(job);
  }
}

void PlanExecutor::report_job(const proto::state::JobDecl& job) {
  const auto progress = job_totals(job);
  const auto text = progress.SerializeAsString();
  const bool nothing_yet = progress.succeeded() == 0 && progress.failed() == 0;
  auto& reported = m_reported[job.name()];
  if (nothing_yet || reported == text) {
    return;
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
}

}  // namespace arbutusdale::control
