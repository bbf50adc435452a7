// Planner: compares the requested configuration with the current one.
#include "arbutusdale/state/plan.hpp"

#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "assignment.hpp"
#include "objects.hpp"
#include "plan_checks.hpp"
#include <fmt/format.h>

namespace arbutusdale::state {
namespace {

using proto::state::Change;
using proto::state::ChangeKind;
using proto::state::Declaration;
using proto::state::DomainDecl;
using proto::state::JobDecl;
using proto::state::Plan;
using proto::state::ServiceDecl;
using proto::state::TeamDecl;

// Leaves 1 KiB for the fields of the record that contains the plan.
constexpr std::size_t k_max_plan_bytes = k_max_record_bytes - 1'024;

tl::unexpected<Error> refuse(std::string reason) {
  return not_run(ErrorCode::invalid_argument, std::move(reason));
}

template <typename Message>
bool is_unchanged(const Message* before, const Message& after) {
  return before != nullptr && before->SerializeAsString() == after.SerializeAsString();
}

/// Builds a plan in steps, which run in the order of `make` until one of them fails.
class Planner {
 public:
  Planner(const PlanRequest& request, const GlobalState& state, const std::vector<VmInfo>& vms)
      : m_request(request), m_state(state), m_vms(vms), m_planned(state.declaration()) {}

  Result<Plan> make();

 private:
  using Step = Result<void> (Planner::*)();

  Result<void> plan_domains();
  Result<void> plan_teams();
  Result<void> plan_removals();
  Result<void> plan_services();
  Result<void> plan_drains();
  Result<void> plan_undrains();
  Result<void> plan_jobs();
  Result<void> plan_cancellations();

  Result<void> plan_service(const ServiceDecl& service);
  Result<void> check_service(const ServiceDecl& service) const;
  void add_service_changes(const ServiceDecl* before, const ServiceDecl& after);
  Result<void> plan_job(JobDecl job);
  Result<void> check_job(const JobDecl& job, const JobDecl* before) const;
  [[nodiscard]] Result<void> check_team(const std::string& owner, const std::string& team) const;

  Change& add_change(ChangeKind change, const std::string& kind, const std::string& name,
                     const std::string& domain, std::string detail);
  void add_precondition(const std::string& kind, const std::string& name);

  const PlanRequest& m_request;
  const GlobalState& m_state;
  const std::vector<VmInfo>& m_vms;
  Declaration m_planned;  // the declaration after the plan is applied
  Plan m_plan;
  std::set<std::pair<std::string, std::string>> m_preconditions;
};

Result<Plan> Planner::make() {
  m_plan.set_id(m_request.id);
  m_plan.set_actor(m_request.actor);
  m_plan.set_made_at_version(m_state.version());
  for (const Step step : {&Planner::plan_domains, &Planner::plan_teams, &Planner::plan_removals,
                          &Planner::plan_services, &Planner::plan_drains, &Planner::plan_undrains,
                          &Planner::plan_jobs, &Planner::plan_cancellations}) {
    if (auto done = (this->*step)(); !done) {
      return tl::unexpected<Error>(done.error());
    }
  }
  if (m_plan.changes().empty()) {
    return refuse("the intent changes nothing");
  }
  if (m_plan.ByteSizeLong() > k_max_plan_bytes) {
    return not_run(ErrorCode::too_large,
                   fmt::format("the plan has {} bytes, the limit is {}; split the declaration",
                               m_plan.ByteSizeLong(), k_max_plan_bytes));
  }
  return std::move(m_plan);
}

Change& Planner::add_change(ChangeKind change, const std::string& kind, const std::string& name,
                            const std::string& domain, std::string detail) {
  add_precondition(kind, name);
  Change& added = *m_plan.add_changes();
  added.set_change(change);
  added.set_object_kind(kind);
  added.set_object_name(name);
  added.set_domain(domain);
  added.set_detail(std::move(detail));
  return added;
}

void Planner::add_precondition(const std::string& kind, const std::string& name) {
  if (!m_preconditions.emplace(kind, name).second) {
    return;
  }
  auto& precondition = *m_plan.add_preconditions();
  precondition.set_object_kind(kind);
  precondition.set_object_name(name);
  precondition.set_version(m_state.object_version(kind, name));
}

Result<void> Planner::plan_domains() {
  for (DomainDecl domain : m_request.declaration.domains()) {
    if (domain.shards() == 0) {
      domain.set_shards(k_default_shards);
    }
    const DomainDecl* before = find_named(m_planned.domains(), domain.name());
    if (is_unchanged(before, domain)) {
      continue;
    }
    if (domain.shards() > k_max_shards) {
      return refuse(fmt::format("failure domain '{}' has {} shards, at most {} are allowed",
                                domain.name(), domain.shards(), k_max_shards));
    }
    // Workers and tasks are mapped to shards by the number of shards; a change would give a worker
    // two owners.
    if (before != nullptr && before->shards() != domain.shards()) {
      return refuse(fmt::format("failure domain '{}' has {} shards; the number cannot change",
                                domain.name(), before->shards()));
    }
    add_change(before == nullptr ? proto::state::CHANGE_ADD : proto::state::CHANGE_UPDATE,
               k_kind_domain, domain.name(), domain.name(),
               fmt::format("region {}, {} shards, weight {}", domain.region(), domain.shards(),
                           domain.weight()));
    *m_plan.mutable_upserts()->add_domains() = domain;
    upsert_named(*m_planned.mutable_domains(), domain);
  }
  return {};
}

Result<void> Planner::plan_teams() {
  for (const TeamDecl& team : m_request.declaration.teams()) {
    const TeamDecl* before = find_named(m_planned.teams(), team.name());
    if (is_unchanged(before, team)) {
      continue;
    }
    const Resources quota = backplane::from_proto(team.quota());
    add_change(
        before == nullptr ? proto::state::CHANGE_ADD : proto::state::CHANGE_UPDATE, k_kind_team,
        team.name(), "",
        fmt::format("request weight {}, batch weight {}, quota {}", team.request_weight(),
                    team.batch_weight(), is_zero(quota) ? "unlimited" : describe_amount(quota)));
    *m_plan.mutable_upserts()->add_teams() = team;
    upsert_named(*m_planned.mutable_teams(), team);
  }
  return {};
}

Result<void> Planner::plan_removals() {
  for (const std::string& name : m_request.remove_services) {
    const ServiceDecl* service = find_named(m_planned.services(), name);
    if (service == nullptr) {
      return refuse(fmt::format("service '{}' cannot be removed: it is not declared", name));
    }
    if (find_named(m_request.declaration.services(), name) != nullptr) {
      return refuse(fmt::format("service '{}' is both declared and removed", name));
    }
    for (const std::string& domain : domains_of(*service, m_planned)) {
      add_change(proto::state::CHANGE_REMOVE, k_kind_service, name, domain,
                 "no new requests; open ones end by their deadlines");
    }
    Change& removal = *m_plan.add_removals();
    removal.set_change(proto::state::CHANGE_REMOVE);
    removal.set_object_kind(k_kind_service);
    removal.set_object_name(name);
    erase_named(*m_planned.mutable_services(), name);
  }
  return {};
}

Result<void> Planner::check_team(const std::string& owner, const std::string& team) const {
  if (find_named(m_planned.teams(), team) == nullptr) {
    return refuse(fmt::format("{} names the team '{}', which is not declared", owner, team));
  }
  return {};
}

Result<void> Planner::plan_services() {
  // All services are merged first, so that reservations are checked against the whole request.
  std::vector<ServiceDecl> changed;
  for (const ServiceDecl& service : m_request.declaration.services()) {
    if (!is_unchanged(find_named(m_planned.services(), service.name()), service)) {
      changed.push_back(service);
      upsert_named(*m_planned.mutable_services(), service);
    }
  }
  for (const ServiceDecl& service : changed) {
    if (auto done = plan_service(service); !done) {
      return done;
    }
  }
  return {};
}

Result<void> Planner::plan_service(const ServiceDecl& service) {
  if (auto valid = check_service(service); !valid) {
    return valid;
  }
  add_service_changes(find_named(m_state.declaration().services(), service.name()), service);
  add_precondition(k_kind_team, service.team());
  add_precondition(k_kind_path, service.path_prefix());
  if (!is_zero(backplane::from_proto(service.reserve()))) {
    add_precondition(k_kind_fleet, k_fleet_reservations);
  }
  *m_plan.mutable_upserts()->add_services() = service;
  return {};
}

Result<void> Planner::check_service(const ServiceDecl& service) const {
  if (auto known = check_team(object_label(k_kind_service, service.name()), service.team());
      !known) {
    return known;
  }
  for (const std::string& domain : service.domains()) {
    if (find_named(m_planned.domains(), domain) == nullptr) {
      return refuse(fmt::format("service '{}' names the failure domain '{}', which is not declared",
                                service.name(), domain));
    }
  }
  if (domains_of(service, m_planned).empty()) {
    return refuse(fmt::format("service '{}' has no failure domain", service.name()));
  }
  for (const ServiceDecl& other : m_planned.services()) {
    if (other.name() != service.name() && other.path_prefix() == service.path_prefix()) {
      return refuse(fmt::format("service '{}' takes the path '{}', which service '{}' has",
                                service.name(), service.path_prefix(), other.name()));
    }
  }
  return check_reservation(service, m_planned, m_vms);
}

void Planner::add_service_changes(const ServiceDecl* before, const ServiceDecl& after) {
  std::vector<std::string> previous_domains;
  if (before != nullptr) {
    previous_domains = domains_of(*before, m_state.declaration());
  }
  const auto domains = domains_of(after, m_planned);
  const auto contains = [](const auto& list, const std::string& name) {
    return std::find(list.begin(), list.end(), name) != list.end();
  };
  for (const std::string& domain : domains) {
    const auto vms = std::count_if(m_vms.begin(), m_vms.end(), [&](const VmInfo& vm) {
      return vm.domain == domain && vm.id.starts_with(after.vm_prefix());
    });
    add_change(
        contains(previous_domains, domain) ? proto::state::CHANGE_UPDATE : proto::state::CHANGE_ADD,
        k_kind_service, after.name(), domain,
        fmt::format("path {}, {} VMs listed, {} slots and {} connections each, p99 target "
                    "{} ms, timeout {} ms, reserve {}",
                    after.path_prefix(), vms, after.slots(), after.connections(),
                    after.p99_target_ms(), after.timeout_ms(),
                    describe_amount(backplane::from_proto(after.reserve()))));
  }
  for (const std::string& domain : previous_domains) {
    if (!contains(domains, domain)) {
      add_change(proto::state::CHANGE_REMOVE, k_kind_service, after.name(), domain,
                 "no longer served here");
    }
  }
}

Result<void> Planner::plan_drains() {
  std::vector<std::string> drains = m_request.drain_vms;
  drains.insert(drains.end(), m_request.declaration.drains().begin(),
                m_request.declaration.drains().end());
  for (const std::string& id : drains) {
    const auto& now = m_planned.drains();
    if (std::find(now.begin(), now.end(), id) != now.end()) {
      continue;
    }
    const auto vm = std::find_if(m_vms.begin(), m_vms.end(),
                                 [&id](const VmInfo& info) { return info.id == id; });
    if (vm == m_vms.end()) {
      return refuse(fmt::format("VM '{}' cannot be drained: it is not in the VM list", id));
    }
    if (static_cast<std::size_t>(now.size()) >= k_max_drains) {
      return refuse(fmt::format("{} VMs are drained, the limit; end drains first", now.size()));
    }
    add_change(proto::state::CHANGE_DRAIN, k_kind_vm, id, vm->domain,
               "no new requests or tasks; batch work is checkpointed and moved");
    m_plan.mutable_upserts()->add_drains(id);
    m_planned.add_drains(id);
  }
  return {};
}

Result<void> Planner::plan_undrains() {
  for (const std::string& id : m_request.undrain_vms) {
    auto& drains = *m_planned.mutable_drains();
    const auto it = std::find(drains.begin(), drains.end(), id);
    if (it == drains.end()) {
      return refuse(fmt::format("the drain of VM '{}' cannot be ended: it is not drained", id));
    }
    const auto vm = std::find_if(m_vms.begin(), m_vms.end(),
                                 [&id](const VmInfo& info) { return info.id == id; });
    Change& change = add_change(proto::state::CHANGE_REMOVE, k_kind_vm, id,
                                vm == m_vms.end() ? "" : vm->domain, "the drain ends");
    *m_plan.add_removals() = change;
    drains.erase(it);
  }
  return {};
}

Result<void> Planner::plan_jobs() {
  for (const JobDecl& job : m_request.declaration.jobs()) {
    if (auto done = plan_job(job); !done) {
      return done;
    }
  }
  return {};
}

Result<void> Planner::plan_job(JobDecl job) {
  const JobDecl* before = find_named(m_state.declaration().jobs(), job.name());
  if (auto valid = check_job(job, before); !valid) {
    return valid;
  }
  job.clear_layout();
  auto fitting = fitting_domains(job, m_planned, m_vms);
  if (before != nullptr) {
    job.set_layout(before->layout());
    *job.mutable_domains() = before->domains();
    if (is_unchanged(before, job)) {
      return {};
    }
  }
  if (!fitting) {
    return tl::unexpected<Error>(fitting.error());
  }
  if (before == nullptr) {
    const bool all = fitting->size() == static_cast<std::size_t>(m_planned.domains_size());
    job.mutable_domains()->Clear();
    for (const std::string& domain : *fitting) {
      if (!all) {
        job.add_domains(domain);
      }
    }
  }
  std::string task_counts;
  for (const DomainSlice& slice : split_by_domain(m_planned, job)) {
    task_counts +=
        fmt::format("{}{} {}", task_counts.empty() ? "" : ", ", slice.domain, slice.count);
  }
  add_change(before == nullptr ? proto::state::CHANGE_ADD : proto::state::CHANGE_UPDATE, k_kind_job,
             job.name(), "",
             fmt::format("{} tasks of {}, priority {}{}: {}", job.tasks(),
                         describe_amount(backplane::from_proto(job.resources())), job.priority(),
                         job.urgent() ? ", urgent" : "", task_counts));
  add_precondition(k_kind_team, job.team());
  add_precondition(k_kind_fleet, k_fleet_reservations);
  add_precondition(k_kind_fleet, k_fleet_layout);
  *m_plan.mutable_upserts()->add_jobs() = job;
  return {};
}

Result<void> Planner::check_job(const JobDecl& job, const JobDecl* before) const {
  if (auto known = check_team(object_label(k_kind_job, job.name()), job.team()); !known) {
    return known;
  }
  if (job.tasks() == 0) {
    return refuse(fmt::format("job '{}' has no tasks", job.name()));
  }
  for (const std::string& domain : job.domains()) {
    if (find_named(m_planned.domains(), domain) == nullptr) {
      return refuse(fmt::format("job '{}' names the failure domain '{}', which is not declared",
                                job.name(), domain));
    }
  }
  if (before != nullptr && m_state.is_cancelled(job.name())) {
    return refuse(fmt::format("job '{}' was cancelled; declare it under a new name", job.name()));
  }
  if (before != nullptr && before->tasks() != job.tasks()) {
    return refuse(fmt::format("job '{}' has {} tasks; the number cannot change, declare a new job",
                              job.name(), before->tasks()));
  }
  const Resources need = backplane::from_proto(job.resources());
  const Resources quota = backplane::from_proto(find_named(m_planned.teams(), job.team())->quota());
  if (!is_zero(quota) && !fits(need, quota)) {
    return refuse(fmt::format("job '{}' needs {} per task, more than the quota of team '{}', {}",
                              job.name(), describe_amount(need), job.team(),
                              describe_amount(quota)));
  }
  return {};
}

Result<void> Planner::plan_cancellations() {
  for (const std::string& name : m_request.cancel_jobs) {
    if (find_named(m_state.declaration().jobs(), name) == nullptr) {
      return refuse(fmt::format("job '{}' cannot be cancelled: it is not declared", name));
    }
    if (m_state.is_cancelled(name)) {
      return refuse(fmt::format("job '{}' is already cancelled", name));
    }
    if (find_named(m_plan.upserts().jobs(), name) != nullptr) {
      return refuse(fmt::format("job '{}' is both changed and cancelled", name));
    }
    *m_plan.add_removals() = add_change(proto::state::CHANGE_CANCEL, k_kind_job, name, "",
                                        "no task starts any more; running ones are stopped");
  }
  return {};
}

std::string describe_change(const Change& change) {
  static const std::map<int, std::string> k_words{
      {proto::state::CHANGE_ADD, "add"},       {proto::state::CHANGE_UPDATE, "update"},
      {proto::state::CHANGE_REMOVE, "remove"}, {proto::state::CHANGE_DRAIN, "drain"},
      {proto::state::CHANGE_CANCEL, "cancel"},
  };
  const bool ends_drain =
      change.change() == proto::state::CHANGE_REMOVE && change.object_kind() == k_kind_vm;
  const auto word = k_words.find(change.change());
  return fmt::format("  {} {}: {}\n",
                     ends_drain              ? "undrain"
                     : word == k_words.end() ? "change"
                                             : word->second,
                     object_label(change.object_kind(), change.object_name()), change.detail());
}

}  // namespace

Result<Plan> make_plan(const PlanRequest& request, const GlobalState& state,
                       const std::vector<VmInfo>& vms) {
  return Planner(request, state, vms).make();
}

std::string describe(const Plan& plan) {
  std::string text = fmt::format("plan {} by {}, made at configuration version {}\n", plan.id(),
                                 plan.actor(), plan.made_at_version());
  std::map<std::string, std::string> domains;  // "" (all failure domains) sorts first
  for (const Change& change : plan.changes()) {
    domains[change.domain()] += describe_change(change);
  }
  for (const auto& [domain, lines] : domains) {
    text += (domain.empty() ? "all failure domains" : domain) + ":\n" + lines;
  }
  return text;
}

}  // namespace arbutusdale::state
