// Tests of the state machine of a failure domain's stream and of the assignment of tasks.
#include "arbutusdale/state/domain_state.hpp"

#include "arbutusdale/state/limits.hpp"

#include <map>
#include <string>
#include <utility>

#include "assignment.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;
using proto::state::Record;
using proto::state::TaskNote;

namespace {

/// State to which records are applied at increasing offsets.
struct Fixture {
  std::uint64_t apply(Record record) {
    record.set_format(k_record_format);
    record.set_id("w/" + std::to_string(++offset));
    cr_assert(state->apply(offset, record));
    return offset;
  }

  void join(const std::string& daemon, std::uint64_t incarnation = 1) {
    Record record;
    record.mutable_daemon_joined()->set_daemon(daemon);
    record.mutable_daemon_joined()->set_incarnation(incarnation);
    apply(record);
  }

  void end(const std::string& daemon, std::uint64_t incarnation = 1) {
    Record record;
    record.mutable_incarnation_ended()->set_daemon(daemon);
    record.mutable_incarnation_ended()->set_incarnation(incarnation);
    apply(record);
  }

  std::uint64_t claim(const std::string& daemon, std::uint32_t shard, std::uint64_t expected) {
    Record record;
    auto& claimed = *record.mutable_shard_claimed();
    claimed.set_daemon(daemon);
    claimed.set_incarnation(1);
    claimed.set_shard(shard);
    claimed.set_expected_term(expected);
    return apply(record);
  }

  void progress(std::uint64_t term, const proto::state::JobTaskProgress& job) {
    Record record;
    record.mutable_task_progress()->set_term(term);
    *record.mutable_task_progress()->add_jobs() = job;
    apply(record);
  }

  void move(std::uint64_t term, std::uint32_t to, std::uint32_t first, std::uint32_t last) {
    Record record;
    auto& moved = *record.mutable_tasks_moved();
    moved.set_from_term(term);
    moved.set_to_shard(to);
    moved.set_job("cuts");
    moved.add_tasks()->set_first(first);
    moved.mutable_tasks(0)->set_last(last);
    apply(record);
  }

  std::unique_ptr<DomainState> state = make_domain_state("halle-a");
  std::uint64_t offset = 0;
};

proto::state::JobTaskProgress with_note(
    google::protobuf::RepeatedPtrField<TaskNote>* (proto::state::JobTaskProgress::*list)(),
    std::uint32_t task, std::uint32_t attempt, const std::string& worker) {
  proto::state::JobTaskProgress progress;
  progress.set_job("cuts");
  TaskNote& note = *(progress.*list)()->Add();
  note.set_task(task);
  note.set_attempt(attempt);
  note.set_worker(worker);
  note.set_checkpoint("cp-" + std::to_string(attempt));
  return progress;
}

proto::state::Declaration three_domains() {
  proto::state::Declaration declaration;
  for (const char* name : {"halle-a", "halle-b", "lager"}) {
    auto& domain = *declaration.add_domains();
    domain.set_name(name);
    domain.set_shards(2);
    domain.set_weight(domain.name() == "lager" ? 2 : 4);
  }
  return declaration;
}

proto::state::JobDecl make_job(const std::string& name, std::uint32_t tasks) {
  proto::state::JobDecl job;
  job.set_name(name);
  job.set_tasks(tasks);
  return job;
}

}  // namespace

// Guards against two owners of a shard.
Test(domain_state, owned_shard_is_not_claimed) {
  Fixture f;
  f.join("d1");
  f.join("d2");
  const auto term = f.claim("d1", 0, 0);
  f.claim("d2", 0, term);
  cr_assert_eq(f.state->shard(0).term, term);
  f.end("d1");
  cr_assert_not(f.state->shard(0).owned);
  const auto next = f.claim("d2", 0, term);
  cr_assert_eq(f.state->shard(0).term, next);
  cr_assert(f.state->shard(0).daemon == "d2");
}

// Guards against claims by incarnations that have ended or never joined, and against claims that
// name a stale term.
Test(domain_state, claim_needs_a_live_claimant_and_the_current_term) {
  Fixture f;
  f.join("d1");
  f.end("d1");
  f.claim("d1", 0, 0);
  f.claim("d3", 0, 0);
  cr_assert_eq(f.state->shard(0).term, 0U);
  f.join("d2");
  f.claim("d2", 0, 99);
  cr_assert_eq(f.state->shard(0).term, 0U);
}

// Guards against a late join that revives an incarnation that has already ended.
Test(domain_state, ended_incarnation_stays_ended) {
  Fixture f;
  f.end("d1", 7);
  f.join("d1", 7);
  cr_assert_not(f.state->is_alive("d1", 7));
  f.join("d1", 8);
  cr_assert(f.state->is_alive("d1", 8));
}

// Guards against progress reported by a previous owner, which may contradict the new owner's.
Test(domain_state, progress_of_an_old_term_is_ignored) {
  Fixture f;
  f.join("d1");
  f.join("d2");
  const auto old = f.claim("d1", 0, 0);
  f.end("d1");
  const auto term = f.claim("d2", 0, old);
  proto::state::JobTaskProgress done;
  done.set_job("cuts");
  done.add_succeeded()->set_last(4);
  f.progress(old, done);
  cr_assert_null(f.state->job("cuts"));
  f.progress(term, done);
  cr_assert_eq(f.state->job("cuts")->succeeded.size(), 5U);
}

// Guards against an attempt that counts twice because two owners recorded it.
Test(domain_state, attempt_counts_once) {
  Fixture f;
  f.join("d1");
  const auto term = f.claim("d1", 0, 0);
  using Progress = proto::state::JobTaskProgress;
  f.progress(term, with_note(&Progress::mutable_failed_tries, 3, 1, "vm-1"));
  f.progress(term, with_note(&Progress::mutable_failed_tries, 3, 1, "vm-1"));
  f.progress(term, with_note(&Progress::mutable_evicted, 3, 2, "vm-2"));
  f.progress(term, with_note(&Progress::mutable_evicted, 3, 2, "vm-2"));
  const JobRecord& job = *f.state->job("cuts");
  cr_assert_eq(job.task_entries.at(3).failed_tries(), 1U);
  cr_assert_eq(job.task_entries.at(3).next_attempt(), 3U);
  cr_assert_str_eq(job.task_entries.at(3).checkpoint().c_str(), "cp-2");
  cr_assert_eq(job.evictions, 1U);
  f.progress(term, with_note(&Progress::mutable_failed, 3, 3, "vm-2"));
  f.progress(term, with_note(&Progress::mutable_failed_tries, 3, 4, "vm-1"));
  cr_assert(job.failed.contains(3));
  cr_assert_eq(job.task_entries.at(3).failed_tries(), 1U);
}

// Guards against a state that differs after a restore from a snapshot.
Test(domain_state, snapshot_round_trip) {
  Fixture f;
  f.join("d1");
  const auto term = f.claim("d1", 0, 0);
  f.progress(term, with_note(&proto::state::JobTaskProgress::mutable_lost, 3, 1, "vm-1"));
  f.move(term, 1, 0, 3);
  Record record;
  record.mutable_worker_quarantined()->set_worker("vm-9");
  record.mutable_worker_quarantined()->set_term(term);
  f.apply(record);
  const auto copy = make_domain_state("halle-a");
  copy->restore(f.state->snapshot());
  cr_assert(copy->snapshot().SerializeAsString() == f.state->snapshot().SerializeAsString());
  cr_assert_eq(copy->quarantines().size(), 1U);
  cr_assert_eq(copy->shard(0).term, term);
}

// Guards against memory that grows with every job ever run, and against an owner with an old
// declaration that restarts a retired job.
Test(domain_state, retired_job_counts_as_succeeded) {
  Fixture f;
  f.join("d1");
  const auto term = f.claim("d1", 0, 0);
  using Progress = proto::state::JobTaskProgress;
  f.progress(term, with_note(&Progress::mutable_failed, 3, 1, "vm-1"));
  f.move(term, 1, 0, 3);
  Record record;
  record.mutable_job_retired()->set_job("cuts");
  record.mutable_job_retired()->set_term(term - 1);
  f.apply(record);
  cr_assert(f.state->job("cuts")->failed.contains(3));
  record.mutable_job_retired()->set_term(term);
  f.apply(record);
  const auto copy = make_domain_state("halle-a");
  copy->restore(f.state->snapshot());
  for (const DomainState* state : {f.state.get(), std::as_const(copy).get()}) {
    cr_assert(state->job("cuts")->failed.empty());
    cr_assert(state->job("cuts")->succeeded.contains(99'999));
    cr_assert(state->moves().empty());
  }
  cr_assert(copy->snapshot().SerializeAsString() == f.state->snapshot().SerializeAsString());
}

// Guards against a record of the `global` stream that is skipped silently.
Test(domain_state, unknown_records_are_errors) {
  Record record;
  record.set_format(k_record_format);
  record.mutable_plan_proposed();
  cr_assert_not(make_domain_state("halle-a")->apply(1, record));
}

// Guards against tasks that belong to no shard or to two, and against shares that do not follow the
// weights.
Test(assignment, assigns_every_task_once_by_weight) {
  const auto declaration = three_domains();
  const auto state = make_domain_state("x");
  for (const std::uint32_t tasks : {1U, 7U, 1'000U}) {
    const auto job = make_job("cuts", tasks);
    TaskSet all;
    std::map<std::string, std::uint64_t> shares;
    for (const auto& domain : declaration.domains()) {
      for (std::uint32_t shard = 0; shard < 2; ++shard) {
        const TaskSet part = assigned_tasks(declaration, job, *state, domain.name(), shard);
        shares[domain.name()] += part.size();
        for (const TaskSpan& span : part.spans()) {
          all.insert(span);
        }
      }
    }
    cr_assert_eq(all.size(), tasks);
    cr_assert_eq(shares["halle-a"] + shares["halle-b"] + shares["lager"], tasks);
    cr_assert(tasks != 1'000 || shares["lager"] == 200);
  }
}

// Guards against small jobs that are all assigned to one failure domain.
Test(assignment, spreads_small_jobs) {
  const auto declaration = three_domains();
  std::map<std::string, int> shares;
  for (int i = 0; i < 1'000; ++i) {
    ++shares[split_by_domain(declaration, make_job("job-" + std::to_string(i), 1))[0].domain];
  }
  cr_assert_gt(shares["halle-a"], 300);
  cr_assert_gt(shares["halle-b"], 300);
  cr_assert_gt(shares["lager"], 120);
}

// Guards against a range that belongs to two shards because two moves name it.
Test(assignment, moved_range_has_one_owner) {
  Fixture f;
  f.join("d1");
  const auto term = f.claim("d1", 0, 0);
  auto declaration = three_domains();
  declaration.mutable_domains(0)->set_shards(3);
  const auto job = make_job("cuts", 900);
  const auto before = assigned_tasks(declaration, job, *f.state, "halle-a", 0).spans()[0];
  f.move(term, 1, before.first, before.first + 9);
  f.move(term, 2, before.first + 5, before.first + 14);
  const auto held = [&](std::uint32_t shard) {
    return assigned_tasks(declaration, job, *f.state, "halle-a", shard);
  };
  cr_assert(held(1).contains(before.first + 5));
  cr_assert_not(held(2).contains(before.first + 5));
  cr_assert(held(2).contains(before.first + 10));
  cr_assert_eq(held(0).size() + held(1).size() + held(2).size(), 360U);
}

// Guards against running tasks that change failure domain when a weight changes.
Test(assignment, layout_is_fixed_at_confirmation) {
  auto declaration = three_domains();
  *declaration.add_jobs() = make_job("cuts", 1'000);
  pin_layouts(declaration, 4);
  const auto state = make_domain_state("x");
  const auto before = assigned_tasks(declaration, declaration.jobs(0), *state, "lager", 0).spans();
  declaration.mutable_domains(2)->set_weight(100);
  *declaration.add_jobs() = make_job("later", 1'000);
  pin_layouts(declaration, 5);
  cr_assert(assigned_tasks(declaration, declaration.jobs(0), *state, "lager", 0).spans() == before);
  cr_assert_eq(declaration.layouts_size(), 2);
  declaration.mutable_jobs()->DeleteSubrange(0, 1);
  pin_layouts(declaration, 6);
  cr_assert_eq(declaration.layouts_size(), 1);
}
