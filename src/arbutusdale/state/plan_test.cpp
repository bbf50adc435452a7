// Tests of the planner.
#include "arbutusdale/state/plan.hpp"

#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;

namespace {

constexpr std::uint64_t k_gib = 1'024;

/// A small fleet with a confirmed declaration.
struct Fixture {
  Fixture() {
    for (const char* name : {"halle-a", "halle-b"}) {
      auto& domain = *base.declaration.add_domains();
      domain.set_name(name);
      domain.set_weight(1);
    }
    base.declaration.add_teams()->set_name("saw");
    add_service(base, "checks", "/checks");
    vms = {{"svc-1", "halle-a", {64'000, 250 * k_gib, 0}, false},
           {"svc-2", "halle-b", {64'000, 250 * k_gib, 0}, false},
           {"acc-1", "halle-b", {32'000, 100 * k_gib, 4}, false}};
    confirm(base);
  }

  static proto::state::ServiceDecl& add_service(PlanRequest& request, const std::string& name,
                                                const std::string& path) {
    auto& service = *request.declaration.add_services();
    service.set_name(name);
    service.set_team("saw");
    service.set_path_prefix(path);
    service.set_vm_prefix("svc-");
    service.mutable_reserve()->set_cpu_millis(16'000);
    return service;
  }

  static proto::state::JobDecl& add_job(PlanRequest& request, const std::string& name,
                                        std::uint64_t cpu, std::uint32_t accelerators = 0) {
    auto& job = *request.declaration.add_jobs();
    job.set_name(name);
    job.set_team("saw");
    job.set_tasks(100);
    job.mutable_resources()->set_cpu_millis(cpu);
    job.mutable_resources()->set_accelerators(accelerators);
    return job;
  }

  Result<proto::state::Plan> plan(PlanRequest& request) {
    request.id = "p" + std::to_string(++number);
    request.actor = "ops";
    return make_plan(request, *state, vms);
  }

  void apply(proto::state::Record record) {
    record.set_format(k_record_format);
    cr_assert(state->apply(++offset, record));
  }

  std::string decide(const proto::state::Plan& made) {
    proto::state::Record proposed;
    *proposed.mutable_plan_proposed()->mutable_plan() = made;
    apply(proposed);
    proto::state::Record decided;
    decided.mutable_plan_decided()->set_plan_id(made.id());
    apply(decided);
    return state->plan(made.id())->state();
  }

  void confirm(PlanRequest& request) {
    const auto made = plan(request);
    cr_assert(made, "%s", made ? "" : made.error().message.c_str());
    cr_assert(decide(*made) == "confirmed");
  }

  void expect_refusal(PlanRequest& request, const std::string& reason) {
    const auto made = plan(request);
    cr_assert_not(made);
    cr_assert(made.error().code == ErrorCode::invalid_argument);
    cr_assert(made.error().message.find(reason) != std::string::npos, "%s",
              made.error().message.c_str());
  }

  PlanRequest base;
  std::vector<VmInfo> vms;
  std::unique_ptr<GlobalState> state = make_global_state();
  int number = 0;
  std::uint64_t offset = 0;
};

}  // namespace

// Guards against jobs that wait forever: the planner rejects them and says why they can never run.
Test(plan, job_that_fits_no_vm_is_refused) {
  Fixture f;
  PlanRequest request;
  Fixture::add_job(request, "huge", 49'000);
  f.expect_refusal(request, "fits no VM; the largest, 'acc-1', offers 32 cpu");
  PlanRequest accelerators;
  Fixture::add_job(accelerators, "acc", 1'000, 5);
  f.expect_refusal(accelerators, "4 accelerators");
}

// Guards against assigning tasks to failure domains where no VM can run them.
Test(plan, job_goes_only_where_it_fits) {
  Fixture f;
  PlanRequest request;
  Fixture::add_job(request, "acc", 1'000, 2);
  const auto made = f.plan(request);
  cr_assert(made);
  cr_assert_eq(made->upserts().jobs(0).domains_size(), 1);
  cr_assert(made->changes(0).detail().find("halle-b 100") != std::string::npos);
  cr_assert(f.decide(*made) == "confirmed");
  f.expect_refusal(request, "changes nothing");
}

// Guards against plans that name undeclared teams, failure domains or VMs, and against jobs that
// exceed their team's quota.
Test(plan, unknown_names_and_impossible_quotas_are_refused) {
  Fixture f;
  PlanRequest team;
  Fixture::add_job(team, "cuts", 1'000).set_team("nobody");
  f.expect_refusal(team, "job 'cuts' names the team 'nobody'");
  PlanRequest domain;
  Fixture::add_service(domain, "quotes", "/quotes").add_domains("mars");
  f.expect_refusal(domain, "failure domain 'mars'");
  PlanRequest quota;
  auto& poor = *quota.declaration.add_teams();
  poor.set_name("poor");
  poor.mutable_quota()->set_cpu_millis(500);
  Fixture::add_job(quota, "cuts", 1'000).set_team("poor");
  f.expect_refusal(quota, "more than the quota of team 'poor'");
  PlanRequest drain;
  drain.drain_vms = {"gone"};
  f.expect_refusal(drain, "VM 'gone' cannot be drained");
}

// Guards against services that together reserve more than a VM has.
Test(plan, reservations_beyond_a_vm_are_refused) {
  Fixture f;
  PlanRequest request;
  Fixture::add_service(request, "quotes", "/quotes").mutable_reserve()->set_cpu_millis(49'000);
  f.expect_refusal(request, "on VM 'svc-1' that makes 65 cpu");
}

// Guards against changes that would give a running task or a worker a second owner.
Test(plan, tasks_and_shards_cannot_change) {
  Fixture f;
  PlanRequest request;
  Fixture::add_job(request, "cuts", 1'000);
  f.confirm(request);
  request.declaration.mutable_jobs(0)->set_tasks(200);
  f.expect_refusal(request, "the number cannot change");
  PlanRequest shards;
  shards.declaration.add_domains()->set_name("halle-a");
  shards.declaration.mutable_domains(0)->set_shards(8);
  f.expect_refusal(shards, "has 4 shards");
}

// Guards against two services that take the same path in concurrent plans.
Test(plan, conflicting_plans_for_one_path) {
  Fixture f;
  PlanRequest one;
  PlanRequest two;
  Fixture::add_service(one, "quotes", "/quotes");
  Fixture::add_service(two, "offers", "/quotes");
  const auto first = f.plan(one);
  const auto second = f.plan(two);
  cr_assert(f.decide(*first) == "confirmed");
  cr_assert(f.decide(*second) == "refused");
  cr_assert(f.state->plan(second->id())->reason().find("path '/quotes' changed in version 2") !=
            std::string::npos);
}

// Guards against confirming a job that fitted when it was planned and no longer fits.
Test(plan, reservation_made_meanwhile_refuses_the_job) {
  Fixture f;
  PlanRequest job;
  Fixture::add_job(job, "cuts", 40'000);
  PlanRequest service;
  Fixture::add_service(service, "quotes", "/quotes");
  const auto planned = f.plan(job);
  cr_assert(planned);
  f.confirm(service);
  cr_assert(f.decide(*planned) == "refused");
}

// Guards against a plan that is refused because of an unrelated change.
Test(plan, unrelated_plans_do_not_conflict) {
  Fixture f;
  PlanRequest drain;
  drain.drain_vms = {"svc-1"};
  PlanRequest job;
  Fixture::add_job(job, "cuts", 1'000);
  const auto first = f.plan(drain);
  const auto second = f.plan(job);
  cr_assert(f.decide(*first) == "confirmed");
  cr_assert(f.decide(*second) == "confirmed");
  cr_assert_eq(f.state->declaration().drains_size(), 1);
}

// Guards against drains, removals and cancellations that do not take effect at confirmation.
Test(plan, drain_remove_and_cancel) {
  Fixture f;
  PlanRequest job;
  Fixture::add_job(job, "cuts", 1'000);
  f.confirm(job);
  PlanRequest request;
  request.drain_vms = {"svc-1"};
  request.cancel_jobs = {"cuts"};
  request.remove_services = {"checks"};
  f.confirm(request);
  cr_assert(f.state->is_cancelled("cuts"));
  cr_assert_eq(f.state->declaration().services_size(), 0);
  PlanRequest undrain;
  undrain.undrain_vms = {"svc-1"};
  f.confirm(undrain);
  cr_assert_eq(f.state->declaration().drains_size(), 0);
}

// Guards against a plan text that does not show which failure domain a change concerns.
Test(plan, text_groups_changes_by_domain) {
  Fixture f;
  PlanRequest request;
  Fixture::add_service(request, "quotes", "/quotes").add_domains("halle-b");
  request.drain_vms = {"svc-1"};
  const auto text = describe(*f.plan(request));
  const auto a = text.find("halle-a:\n  drain vm 'svc-1'");
  const auto b = text.find("halle-b:\n  add service 'quotes'");
  cr_assert(a != std::string::npos && b != std::string::npos, "%s", text.c_str());
}
