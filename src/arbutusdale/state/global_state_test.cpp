// Tests of the state machine of the `global` stream.
#include "arbutusdale/state/global_state.hpp"

#include "arbutusdale/state/limits.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;
using proto::state::PlanDecided;
using proto::state::Record;

namespace {

/// State to which records are applied at increasing offsets.
struct Fixture {
  Result<void> apply(Record record) {
    record.set_format(k_record_format);
    if (record.id().empty()) {
      record.set_id("op/" + std::to_string(offset + 1));
    }
    return state->apply(offset++, record);
  }

  void propose(const proto::state::Plan& plan) {
    Record record;
    *record.mutable_plan_proposed()->mutable_plan() = plan;
    cr_assert(apply(record));
  }

  void decide(const std::string& plan, PlanDecided::Decision decision) {
    Record record;
    record.mutable_plan_decided()->set_plan_id(plan);
    record.mutable_plan_decided()->set_decision(decision);
    record.mutable_plan_decided()->set_actor("ops");
    cr_assert(apply(record));
  }

  void step_done(const std::string& plan, std::uint32_t step) {
    Record record;
    record.mutable_plan_step_done()->set_plan_id(plan);
    record.mutable_plan_step_done()->set_step(step);
    cr_assert(apply(record));
  }

  void progress(const std::string& job, std::uint32_t succeeded) {
    Record record;
    record.mutable_job_progress()->set_job(job);
    record.mutable_job_progress()->set_domain("a");
    record.mutable_job_progress()->set_succeeded(succeeded);
    cr_assert(apply(record));
  }

  /// Plan that adds or updates a service, with the service's current version as precondition.
  [[nodiscard]] proto::state::Plan service_plan(const std::string& id,
                                                const std::string& name) const {
    proto::state::Plan plan;
    plan.set_id(id);
    plan.add_changes()->set_object_name(name);
    plan.mutable_upserts()->add_services()->set_name(name);
    auto& precondition = *plan.add_preconditions();
    precondition.set_object_kind("service");
    precondition.set_object_name(name);
    precondition.set_version(state->object_version("service", name));
    return plan;
  }

  void add_job(const std::string& name, std::uint32_t tasks) {
    proto::state::Plan plan;
    plan.set_id("plan-of-" + name);
    plan.mutable_upserts()->add_jobs()->set_name(name);
    plan.mutable_upserts()->mutable_jobs(0)->set_tasks(tasks);
    propose(plan);
    decide(plan.id(), PlanDecided::CONFIRM);
  }

  std::unique_ptr<GlobalState> state = make_global_state();
  std::uint64_t offset = 0;
};

}  // namespace

// Guards against a plan that is applied before its confirmation, or more than once.
Test(global_state, confirm_applies_once) {
  Fixture f;
  f.propose(f.service_plan("p", "checks"));
  cr_assert_eq(f.state->version(), 0U);
  f.decide("p", PlanDecided::CONFIRM);
  f.decide("p", PlanDecided::CONFIRM);
  cr_assert_eq(f.state->version(), 1U);
  cr_assert_eq(f.state->declaration().services_size(), 1);
  cr_assert_eq(f.state->object_version("service", "checks"), 1U);
  f.step_done("p", 0);
  cr_assert_str_eq(f.state->plan("p")->state().c_str(), "done");
}

// Guards against both of two conflicting plans being applied, and against a refusal that does not
// say what changed.
Test(global_state, conflicting_plan_is_refused_with_the_reason) {
  Fixture f;
  f.propose(f.service_plan("p1", "checks"));
  f.propose(f.service_plan("p2", "checks"));
  f.propose(f.service_plan("p3", "other"));
  f.decide("p1", PlanDecided::CONFIRM);
  f.decide("p2", PlanDecided::CONFIRM);
  f.decide("p3", PlanDecided::CONFIRM);
  cr_assert_str_eq(f.state->plan("p2")->state().c_str(), "refused");
  const std::string& reason = f.state->plan("p2")->reason();
  cr_assert(reason.find("service 'checks' changed in version 1 by plan p1") != std::string::npos,
            "%s", reason.c_str());
  cr_assert_str_eq(f.state->plan("p3")->state().c_str(), "confirmed");
  cr_assert_eq(f.state->version(), 2U);
}

// Guards against a plan that is confirmed after it was rejected.
Test(global_state, rejected_plan_stays_rejected) {
  Fixture f;
  f.propose(f.service_plan("p", "checks"));
  f.decide("p", PlanDecided::REJECT);
  f.decide("p", PlanDecided::CONFIRM);
  cr_assert_str_eq(f.state->plan("p")->state().c_str(), "rejected");
  cr_assert_eq(f.state->version(), 0U);
}

// Guards against losing who confirmed a plan when the plan is cancelled later.
Test(global_state, stopped_plan_keeps_its_confirmation) {
  Fixture f;
  f.propose(f.service_plan("p", "checks"));
  f.decide("p", PlanDecided::CONFIRM);
  Record stop;
  stop.mutable_plan_decided()->set_plan_id("p");
  stop.mutable_plan_decided()->set_decision(PlanDecided::CANCEL);
  stop.mutable_plan_decided()->set_actor("night");
  cr_assert(f.apply(stop));
  cr_assert_str_eq(f.state->plan("p")->state().c_str(), "cancelled");
  cr_assert_str_eq(f.state->plan("p")->decided_by().c_str(), "ops");
  cr_assert_str_eq(f.state->plan("p")->reason().c_str(), "stopped by night");
}

// Guards against a plan that changes a job which was cancelled after the plan was proposed.
Test(global_state, cancelled_job_is_not_changed) {
  Fixture f;
  f.add_job("cuts", 10);
  proto::state::Plan update;
  update.set_id("update");
  update.add_changes();
  update.mutable_upserts()->add_jobs()->set_name("cuts");
  f.propose(update);
  Record cancel;
  cancel.mutable_job_cancelled()->set_job("cuts");
  cr_assert(f.apply(cancel));
  cr_assert(f.state->is_cancelled("cuts"));
  f.decide("update", PlanDecided::CONFIRM);
  cr_assert_str_eq(f.state->plan("update")->state().c_str(), "refused");
}

// Guards against duplicates of a record taking effect, however late they are, and against
// duplicates of records that precede the latest one of their writer.
Test(global_state, record_ids_are_applied_once) {
  Fixture f;
  f.add_job("cuts", 10);
  Record record;
  record.set_id("d1-1/5");
  record.mutable_job_cancelled()->set_job("cuts");
  cr_assert(f.apply(record));
  for (std::size_t i = 0; i < 5'000; ++i) {
    Record other;
    other.set_id("d2-1/" + std::to_string(i + 1));
    other.mutable_job_cancelled()->set_job("none");
    cr_assert(f.apply(other));
  }
  cr_assert(f.state->has_record("d1-1/5"));
  cr_assert(f.state->has_record("d1-1/4"));
  cr_assert_not(f.state->has_record("d1-1/6"));
}

// Guards against memory that grows without bound with plans, writers and ended jobs.
Test(global_state, kept_state_is_bounded) {
  Fixture f;
  for (std::size_t i = 0; i < k_max_ended_jobs_kept + 500; ++i) {
    const std::string name = "job-" + std::to_string(i);
    f.add_job(name, 3);
    f.progress(name, 3);
    Record other;
    other.set_id("writer-" + std::to_string(i) + "/1");
    other.mutable_job_cancelled()->set_job("none");
    cr_assert(f.apply(other));
  }
  cr_assert_eq(f.state->plans().size(), k_max_plans_kept);
  const auto snapshot = f.state->snapshot();
  cr_assert_eq(static_cast<std::size_t>(snapshot.declaration().jobs_size()), k_max_ended_jobs_kept);
  cr_assert_eq(static_cast<std::size_t>(snapshot.progress_size()), k_max_ended_jobs_kept);
  cr_assert_leq(static_cast<std::size_t>(snapshot.recent_record_ids_size()), k_max_writers_kept);
  cr_assert_eq(snapshot.declaration().layouts_size(), 1);
}

// Guards against a late report that lowers the totals of a job.
Test(global_state, progress_only_grows) {
  Fixture f;
  f.add_job("cuts", 10);
  f.progress("cuts", 7);
  f.progress("cuts", 4);
  cr_assert_eq(f.state->progress()[0].succeeded(), 7U);
}

// Guards against a state that differs after a restore from a snapshot, at once or after further
// records.
Test(global_state, snapshot_round_trip) {
  Fixture f;
  f.propose(f.service_plan("p1", "checks"));
  f.decide("p1", PlanDecided::CONFIRM);
  f.add_job("cuts", 10);
  f.progress("cuts", 10);
  Fixture g;
  g.state->restore(f.state->snapshot());
  g.offset = f.offset;
  for (Fixture* fixture : {&f, &g}) {
    fixture->propose(fixture->service_plan("p2", "checks"));
    fixture->decide("p2", PlanDecided::CONFIRM);
  }
  cr_assert(f.state->snapshot().SerializeAsString() == g.state->snapshot().SerializeAsString());
  cr_assert_eq(g.state->version(), 3U);
}
