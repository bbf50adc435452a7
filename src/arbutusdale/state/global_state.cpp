// State machine of the `global` stream.
#include "arbutusdale/state/global_state.hpp"

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "assignment.hpp"
#include "objects.hpp"
#include "record_ids.hpp"

namespace arbutusdale::state {
namespace {

using proto::state::PlanDecided;
using proto::state::PlanEntry;
using proto::state::Record;

/// Serialized reservation of a service and the VMs it applies to, for comparison; empty if the
/// service reserves nothing.
std::string reservation(const proto::state::ServiceDecl* service) {
  if (service == nullptr || is_zero(backplane::from_proto(service->reserve()))) {
    return "";
  }
  proto::state::ServiceDecl part;
  part.set_vm_prefix(service->vm_prefix());
  *part.mutable_domains() = service->domains();
  *part.mutable_reserve() = service->reserve();
  return part.SerializeAsString();
}

bool has_step(const PlanEntry& entry, std::uint32_t step, const std::string& domain) {
  return std::any_of(entry.steps().begin(), entry.steps().end(), [&](const auto& done) {
    return done.step() == step && done.domain() == domain;
  });
}

class GlobalStateMachine final : public GlobalState {
 public:
  Result<void> apply(std::uint64_t offset, const Record& record) override;

  [[nodiscard]] std::uint64_t version() const override { return m_version; }
  [[nodiscard]] const proto::state::Declaration& declaration() const override {
    return m_declaration;
  }
  [[nodiscard]] std::uint64_t object_version(const std::string& kind,
                                             const std::string& name) const override;
  [[nodiscard]] const PlanEntry* plan(const std::string& id) const override;
  [[nodiscard]] std::vector<const PlanEntry*> plans() const override;
  [[nodiscard]] bool is_cancelled(const std::string& job) const override {
    return m_cancelled.contains(job);
  }
  [[nodiscard]] std::vector<proto::state::JobProgress> progress() const override;
  [[nodiscard]] bool has_record(const std::string& record_id) const override {
    return m_ids.contains(record_id);
  }

  [[nodiscard]] proto::state::GlobalSnapshot snapshot() const override;
  void restore(const proto::state::GlobalSnapshot& snapshot) override;

 private:
  using Key = std::pair<std::string, std::string>;  // kind and name, or job and failure domain

  void propose(std::uint64_t offset, const Record& record);
  void decide(std::uint64_t offset, const Record& record);
  void confirm(PlanEntry& entry);
  void step_done(const proto::state::PlanStepDone& step);
  void cancel_job(const std::string& job);
  void add_progress(const proto::state::JobProgress& progress);
  [[nodiscard]] std::string changed_preconditions(const proto::state::Plan& plan) const;
  [[nodiscard]] std::string changed_by(std::uint64_t version) const;
  [[nodiscard]] std::uint64_t ended_tasks(const std::string& job) const;
  void record_change(const std::string& kind, const std::string& name);
  void apply_upserts(const proto::state::Plan& plan);
  void apply_removals(const proto::state::Plan& plan);
  void record_service_change(const proto::state::ServiceDecl* before,
                             const proto::state::ServiceDecl* after);
  void upsert_job(proto::state::JobDecl job);
  void record_job_ended(const std::string& job);
  void drop_plans();
  [[nodiscard]] bool all_steps_done(const PlanEntry& entry) const;

  std::uint64_t m_version = 0;
  proto::state::Declaration m_declaration;
  std::map<Key, std::uint64_t> m_object_versions;
  std::deque<std::string> m_plan_order;  // ids in the order in which the plans were proposed
  std::map<std::string, PlanEntry> m_plans;
  std::set<std::string> m_cancelled;
  std::map<Key, proto::state::JobProgress> m_progress;
  std::deque<std::string> m_ended_jobs;  // oldest first; all are in the declaration
  RecordIds m_ids;
};

Result<void> GlobalStateMachine::apply(std::uint64_t offset, const Record& record) {
  if (record.format() != k_record_format) {
    return unknown_format(record, offset);
  }
  switch (record.body_case()) {
    case Record::kPlanProposed:
    case Record::kPlanDecided:
    case Record::kPlanStepDone:
    case Record::kJobCancelled:
    case Record::kJobProgress:
      break;
    default:
      return unknown_type(record, offset);
  }
  if (!m_ids.insert(record.id())) {
    return {};
  }
  if (record.has_plan_proposed()) {
    propose(offset, record);
  } else if (record.has_plan_decided()) {
    decide(offset, record);
  } else if (record.has_plan_step_done()) {
    step_done(record.plan_step_done());
  } else if (record.has_job_cancelled()) {
    cancel_job(record.job_cancelled().job());
  } else {
    add_progress(record.job_progress());
  }
  return {};
}

std::uint64_t GlobalStateMachine::object_version(const std::string& kind,
                                                 const std::string& name) const {
  const auto it = m_object_versions.find({kind, name});
  return it == m_object_versions.end() ? 0 : it->second;
}

const PlanEntry* GlobalStateMachine::plan(const std::string& id) const {
  const auto it = m_plans.find(id);
  return it == m_plans.end() ? nullptr : &it->second;
}

std::vector<const PlanEntry*> GlobalStateMachine::plans() const {
  std::vector<const PlanEntry*> result;
  result.reserve(m_plan_order.size());
  for (const auto& id : m_plan_order) {
    result.push_back(&m_plans.at(id));
  }
  return result;
}

std::vector<proto::state::JobProgress> GlobalStateMachine::progress() const {
  std::vector<proto::state::JobProgress> result;
  result.reserve(m_progress.size());
  for (const auto& [key, progress] : m_progress) {
    result.push_back(progress);
  }
  return result;
}

void GlobalStateMachine::propose(std::uint64_t offset, const Record& record) {
  const auto& plan = record.plan_proposed().plan();
  if (plan.id().empty() || m_plans.contains(plan.id())) {
    return;
  }
  PlanEntry& entry = m_plans[plan.id()];
  *entry.mutable_plan() = plan;
  entry.set_state("proposed");
  entry.set_proposed_at_ms(record.written_at_ms());
  entry.set_proposed_offset(offset);
  m_plan_order.push_back(plan.id());
  drop_plans();
}

void GlobalStateMachine::decide(std::uint64_t offset, const Record& record) {
  const PlanDecided& decided = record.plan_decided();
  const auto it = m_plans.find(decided.plan_id());
  if (it == m_plans.end()) {
    return;
  }
  PlanEntry& entry = it->second;
  const bool proposed = entry.state() == "proposed";
  const bool cancels_confirmed =
      decided.decision() == PlanDecided::CANCEL && entry.state() == "confirmed";
  if (!proposed && !cancels_confirmed) {
    return;
  }
  if (cancels_confirmed) {
    // The fields of the confirming decision are kept.
    entry.set_reason("stopped by " + decided.actor() +
                     (decided.reason().empty() ? "" : ": " + decided.reason()));
    entry.set_state("cancelled");
    return;
  }
  entry.set_decided_by(decided.actor());
  entry.set_decided_at_ms(record.written_at_ms());
  entry.set_decided_offset(offset);
  entry.set_reason(decided.reason());
  if (decided.decision() == PlanDecided::CONFIRM) {
    confirm(entry);
  } else {
    entry.set_state(decided.decision() == PlanDecided::REJECT ? "rejected" : "cancelled");
  }
}

void GlobalStateMachine::confirm(PlanEntry& entry) {
  const auto& plan = entry.plan();
  const std::string changed = changed_preconditions(plan);
  if (!changed.empty()) {
    entry.set_state("refused");
    entry.set_reason("changed since the plan was made: " + changed);
    return;
  }
  ++m_version;
  entry.set_version(m_version);
  entry.set_state(plan.changes().empty() ? "done" : "confirmed");
  apply_removals(plan);
  apply_upserts(plan);
  pin_layouts(m_declaration, m_version);
}

std::string GlobalStateMachine::changed_preconditions(const proto::state::Plan& plan) const {
  std::string changed;
  const auto add = [&changed](const std::string& text) {
    changed += (changed.empty() ? "" : "; ") + text;
  };
  for (const auto& precondition : plan.preconditions()) {
    const std::uint64_t version =
        object_version(precondition.object_kind(), precondition.object_name());
    if (version != precondition.version()) {
      add(object_label(precondition.object_kind(), precondition.object_name()) +
          " changed in version " + std::to_string(version) + changed_by(version));
    }
  }
  for (const auto& job : plan.upserts().jobs()) {
    if (is_cancelled(job.name())) {
      add("job '" + job.name() + "' was cancelled");
    }
  }
  return changed;
}

std::string GlobalStateMachine::changed_by(std::uint64_t version) const {
  for (const auto& id : m_plan_order) {
    const PlanEntry& entry = m_plans.at(id);
    if (entry.version() == version && version != 0) {
      return " by plan " + id + ", confirmed by " + entry.decided_by();
    }
  }
  return "";
}

void GlobalStateMachine::record_change(const std::string& kind, const std::string& name) {
  m_object_versions[{kind, name}] = m_version;
}

void GlobalStateMachine::record_service_change(const proto::state::ServiceDecl* before,
                                               const proto::state::ServiceDecl* after) {
  for (const auto* service : {before, after}) {
    if (service != nullptr) {
      record_change(k_kind_service, service->name());
    }
  }
  if (before == nullptr || after == nullptr || before->path_prefix() != after->path_prefix()) {
    for (const auto* service : {before, after}) {
      if (service != nullptr) {
        record_change(k_kind_path, service->path_prefix());
      }
    }
  }
  if (reservation(before) != reservation(after)) {
    record_change(k_kind_fleet, k_fleet_reservations);
  }
}

void GlobalStateMachine::apply_removals(const proto::state::Plan& plan) {
  for (const auto& removal : plan.removals()) {
    const std::string& name = removal.object_name();
    if (removal.change() == proto::state::CHANGE_CANCEL) {
      cancel_job(name);
    } else if (removal.object_kind() == k_kind_service) {
      record_service_change(find_named(m_declaration.services(), name), nullptr);
      erase_named(*m_declaration.mutable_services(), name);
    } else if (removal.object_kind() == k_kind_vm) {
      auto& drains = *m_declaration.mutable_drains();
      drains.erase(std::remove(drains.begin(), drains.end(), name), drains.end());
      record_change(k_kind_vm, name);
    }
  }
}

void GlobalStateMachine::apply_upserts(const proto::state::Plan& plan) {
  const auto& upserts = plan.upserts();
  for (const auto& domain : upserts.domains()) {
    upsert_named(*m_declaration.mutable_domains(), domain);
    record_change(k_kind_domain, domain.name());
    record_change(k_kind_fleet, k_fleet_layout);
  }
  for (const auto& team : upserts.teams()) {
    upsert_named(*m_declaration.mutable_teams(), team);
    record_change(k_kind_team, team.name());
  }
  for (const auto& service : upserts.services()) {
    record_service_change(find_named(m_declaration.services(), service.name()), &service);
    upsert_named(*m_declaration.mutable_services(), service);
  }
  for (const auto& job : upserts.jobs()) {
    upsert_job(job);
  }
  for (const auto& vm : upserts.drains()) {
    const auto& drains = m_declaration.drains();
    if (std::find(drains.begin(), drains.end(), vm) == drains.end()) {
      m_declaration.add_drains(vm);
    }
    record_change(k_kind_vm, vm);
  }
}

/// A confirmed job keeps its number of tasks, layout and failure domains, which determine where
/// each task runs.
void GlobalStateMachine::upsert_job(proto::state::JobDecl job) {
  const auto* before = find_named(m_declaration.jobs(), job.name());
  job.clear_layout();
  if (before != nullptr) {
    job.set_layout(before->layout());
    job.set_tasks(before->tasks());
    *job.mutable_domains() = before->domains();
  }
  upsert_named(*m_declaration.mutable_jobs(), job);
  record_change(k_kind_job, job.name());
}

void GlobalStateMachine::step_done(const proto::state::PlanStepDone& step) {
  const auto it = m_plans.find(step.plan_id());
  if (it == m_plans.end() || it->second.state() != "confirmed") {
    return;
  }
  PlanEntry& entry = it->second;
  if (step.step() > static_cast<std::uint32_t>(entry.plan().changes_size()) ||
      has_step(entry, step.step(), step.domain())) {
    return;
  }
  *entry.add_steps() = step;
  if (all_steps_done(entry)) {
    entry.set_state("done");
  }
}

/// Step 0 and changes that name no failure domain are done once every declared failure domain has
/// reported them.
bool GlobalStateMachine::all_steps_done(const PlanEntry& entry) const {
  const auto& changes = entry.plan().changes();
  for (int step = 0; step <= changes.size(); ++step) {
    const std::string only = step == 0 ? "" : changes.at(step - 1).domain();
    for (const auto& domain : m_declaration.domains()) {
      const bool needed = only.empty() || only == domain.name();
      if (needed && !has_step(entry, static_cast<std::uint32_t>(step), domain.name())) {
        return false;
      }
    }
  }
  return true;
}

void GlobalStateMachine::cancel_job(const std::string& job) {
  if (find_named(m_declaration.jobs(), job) != nullptr) {
    m_cancelled.insert(job);
  }
}

void GlobalStateMachine::add_progress(const proto::state::JobProgress& progress) {
  const auto* job = find_named(m_declaration.jobs(), progress.job());
  if (job == nullptr) {
    return;
  }
  // Totals never decrease, so a late report of a previous shard owner does not lower them.
  auto& total = m_progress[{progress.job(), progress.domain()}];
  total.set_job(progress.job());
  total.set_domain(progress.domain());
  total.set_succeeded(std::max(total.succeeded(), progress.succeeded()));
  total.set_failed(std::max(total.failed(), progress.failed()));
  total.set_cancelled(std::max(total.cancelled(), progress.cancelled()));
  if (ended_tasks(progress.job()) >= job->tasks()) {
    record_job_ended(progress.job());
  }
}

std::uint64_t GlobalStateMachine::ended_tasks(const std::string& job) const {
  std::uint64_t ended = 0;
  for (auto it = m_progress.lower_bound({job, ""});
       it != m_progress.end() && it->first.first == job; ++it) {
    const auto& total = it->second;
    ended += std::uint64_t{total.succeeded()} + total.failed() + total.cancelled();
  }
  return ended;
}

void GlobalStateMachine::record_job_ended(const std::string& job) {
  if (std::find(m_ended_jobs.begin(), m_ended_jobs.end(), job) != m_ended_jobs.end()) {
    return;
  }
  m_ended_jobs.push_back(job);
  while (m_ended_jobs.size() > k_max_ended_jobs_kept) {
    const std::string retired = m_ended_jobs.front();
    m_ended_jobs.pop_front();
    erase_named(*m_declaration.mutable_jobs(), retired);
    m_cancelled.erase(retired);
    m_object_versions.erase({k_kind_job, retired});
    auto it = m_progress.lower_bound({retired, ""});
    while (it != m_progress.end() && it->first.first == retired) {
      it = m_progress.erase(it);
    }
  }
}

/// Drops the oldest settled plan; without one the oldest proposed plan, else the oldest confirmed.
void GlobalStateMachine::drop_plans() {
  while (m_plan_order.size() > k_max_plans_kept) {
    const auto state_of = [this](const std::string& id) { return m_plans.at(id).state(); };
    auto drop = std::find_if(m_plan_order.begin(), m_plan_order.end(), [&](const auto& id) {
      return state_of(id) != "proposed" && state_of(id) != "confirmed";
    });
    if (drop == m_plan_order.end()) {
      drop = std::find_if(m_plan_order.begin(), m_plan_order.end(),
                          [&](const auto& id) { return state_of(id) == "proposed"; });
    }
    if (drop == m_plan_order.end()) {
      drop = m_plan_order.begin();
    }
    m_plans.erase(*drop);
    m_plan_order.erase(drop);
  }
}

proto::state::GlobalSnapshot GlobalStateMachine::snapshot() const {
  proto::state::GlobalSnapshot snapshot;
  snapshot.set_version(m_version);
  *snapshot.mutable_declaration() = m_declaration;
  for (const auto& [key, version] : m_object_versions) {
    auto& object = *snapshot.add_object_versions();
    object.set_object_kind(key.first);
    object.set_object_name(key.second);
    object.set_version(version);
  }
  for (const auto& id : m_plan_order) {
    *snapshot.add_plans() = m_plans.at(id);
  }
  for (const auto& job : m_cancelled) {
    snapshot.add_cancelled_jobs(job);
  }
  for (const auto& [key, progress] : m_progress) {
    *snapshot.add_progress() = progress;
  }
  for (const auto& job : m_ended_jobs) {
    snapshot.add_ended_jobs(job);
  }
  m_ids.save(*snapshot.mutable_recent_record_ids());
  return snapshot;
}

void GlobalStateMachine::restore(const proto::state::GlobalSnapshot& snapshot) {
  m_version = snapshot.version();
  m_declaration = snapshot.declaration();
  m_object_versions.clear();
  for (const auto& object : snapshot.object_versions()) {
    m_object_versions[{object.object_kind(), object.object_name()}] = object.version();
  }
  m_plan_order.clear();
  m_plans.clear();
  for (const auto& entry : snapshot.plans()) {
    m_plan_order.push_back(entry.plan().id());
    m_plans[entry.plan().id()] = entry;
  }
  m_cancelled = {snapshot.cancelled_jobs().begin(), snapshot.cancelled_jobs().end()};
  m_progress.clear();
  for (const auto& progress : snapshot.progress()) {
    m_progress[{progress.job(), progress.domain()}] = progress;
  }
  m_ended_jobs = {snapshot.ended_jobs().begin(), snapshot.ended_jobs().end()};
  m_ids.restore(snapshot.recent_record_ids());
}

}  // namespace

std::unique_ptr<GlobalState> make_global_state() {
  return std::make_unique<GlobalStateMachine>();
}

}  // namespace arbutusdale::state
