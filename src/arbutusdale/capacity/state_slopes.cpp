// Measures the replicated state: CPU time to apply records, record sizes, memory and snapshots.
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/limits.hpp"

#include <string>

#include "measure.hpp"

namespace arbutusdale::capacity {
namespace {

constexpr double k_us_per_second = 1e6;

proto::state::Record record_with_id(std::uint64_t number) {
  proto::state::Record record;
  record.set_id("entry-1@1/" + std::to_string(number));
  record.set_format(state::k_record_format);
  return record;
}

/// Claims shard 0 and returns its term.
std::uint64_t claim_shard(state::DomainState& domain) {
  auto joined = record_with_id(1);
  joined.mutable_daemon_joined()->set_daemon("entry-1");
  joined.mutable_daemon_joined()->set_incarnation(1);
  (void)domain.apply(1, joined);
  auto claimed = record_with_id(2);
  claimed.mutable_shard_claimed()->set_daemon("entry-1");
  claimed.mutable_shard_claimed()->set_incarnation(1);
  (void)domain.apply(2, claimed);
  return domain.shard(0).term;
}

/// Progress record of one commit tick: of each ten tasks of the job nine have succeeded and one is
/// evicted.
proto::state::Record progress(std::uint64_t number, std::uint64_t term, const std::string& job,
                              std::uint32_t first, std::uint32_t tasks) {
  auto record = record_with_id(number);
  auto* progress = record.mutable_task_progress();
  progress->set_term(term);
  auto* ended = progress->add_jobs();
  ended->set_job(job);
  for (std::uint32_t i = 0; i < tasks; i += 10) {
    auto* range = ended->add_succeeded();
    range->set_first(first + i);
    range->set_last(first + i + 8);
    auto* evicted = ended->add_evicted();
    evicted->set_task(first + i + 9);
    evicted->set_attempt(1);
    evicted->set_worker("halle-a-vm-0123");
    evicted->set_checkpoint("checkpoint-0123456789");
  }
  return record;
}

/// Totals over all tasks of a domain.
struct DomainCost {
  double seconds = 0;
  double heap = 0;
  double bytes = 0;
  double snapshot_bytes = 0;
  double restore_seconds = 0;
};

DomainCost run_domain(std::uint32_t jobs, std::uint32_t tasks_per_job) {
  DomainCost cost;
  const auto heap = heap_bytes();
  const auto domain = state::make_domain_state("halle-a");
  const auto term = claim_shard(*domain);
  std::uint64_t offset = 3;
  for (std::uint32_t job = 0; job < jobs; ++job) {
    const auto record = progress(offset, term, "job-" + std::to_string(job), 0, tasks_per_job);
    cost.bytes += static_cast<double>(record.ByteSizeLong());
    const auto begin = cpu_seconds();
    (void)domain->apply(offset, record);
    cost.seconds += cpu_seconds() - begin;
    ++offset;
  }
  cost.heap = static_cast<double>(heap_bytes()) - static_cast<double>(heap);
  const auto data = domain->snapshot().SerializeAsString();
  cost.snapshot_bytes = static_cast<double>(data.size());
  const auto begin = cpu_seconds();
  proto::state::DomainSnapshot snapshot;
  snapshot.ParseFromString(data);
  state::make_domain_state("halle-a")->restore(snapshot);
  cost.restore_seconds = cpu_seconds() - begin;
  return cost;
}

proto::state::Declaration job_declaration(std::uint64_t number) {
  proto::state::Declaration declaration;
  auto* job = declaration.add_jobs();
  job->set_name("job-" + std::to_string(number));
  job->set_team("team-" + std::to_string(number % 150));
  job->set_job_class("class");
  job->set_tasks(500);
  job->mutable_resources()->set_cpu_millis(2'000);
  job->mutable_resources()->set_memory_mib(2'048);
  job->set_expected_ms(60'000);
  job->set_command("run_ms=60000");
  return declaration;
}

/// Totals over all plans.
struct GlobalCost {
  double seconds = 0;
  double heap = 0;
  double bytes = 0;
  double snapshot_bytes = 0;
};

/// Proposes and confirms one plan for each job.
GlobalCost run_global(std::uint64_t jobs) {
  GlobalCost cost;
  const auto heap = heap_bytes();
  const auto global = state::make_global_state();
  std::uint64_t offset = 1;
  for (std::uint64_t number = 0; number < jobs; ++number) {
    auto proposed = record_with_id(offset);
    auto* plan = proposed.mutable_plan_proposed()->mutable_plan();
    plan->set_id("plan-" + std::to_string(number));
    plan->set_actor("operator");
    *plan->mutable_upserts() = job_declaration(number);
    auto* change = plan->add_changes();
    change->set_object_kind("job");
    change->set_object_name("job-" + std::to_string(number));
    auto decided = record_with_id(offset + 1);
    decided.mutable_plan_decided()->set_plan_id(plan->id());
    decided.mutable_plan_decided()->set_actor("operator");
    cost.bytes += static_cast<double>(proposed.ByteSizeLong() + decided.ByteSizeLong());
    const auto begin = cpu_seconds();
    (void)global->apply(offset, proposed);
    (void)global->apply(offset + 1, decided);
    cost.seconds += cpu_seconds() - begin;
    offset += 2;
  }
  cost.heap = static_cast<double>(heap_bytes()) - static_cast<double>(heap);
  cost.snapshot_bytes = static_cast<double>(global->snapshot().ByteSizeLong());
  return cost;
}

}  // namespace

std::vector<Row> measure_state() {
  std::vector<Point> apply;
  std::vector<Point> bytes;
  std::vector<Point> heap;
  std::vector<Point> snapshot;
  std::vector<Point> restore;
  constexpr std::uint32_t k_tasks = 100;
  for (const std::uint32_t jobs : {100U, 300U, 1'000U}) {
    const auto cost = run_domain(jobs, k_tasks);
    const double tasks = static_cast<double>(jobs) * k_tasks;
    apply.push_back({tasks, cost.seconds * k_us_per_second});
    bytes.push_back({tasks, cost.bytes});
    heap.push_back({tasks, cost.heap});
    snapshot.push_back({tasks, cost.snapshot_bytes});
    restore.push_back({tasks, cost.restore_seconds * k_us_per_second});
  }
  std::vector<Point> plan_apply;
  std::vector<Point> plan_bytes;
  std::vector<Point> plan_heap;
  std::vector<Point> plan_snapshot;
  for (const std::uint64_t jobs : {100U, 300U, 900U}) {
    const auto cost = run_global(jobs);
    const auto size = static_cast<double>(jobs);
    plan_apply.push_back({size, cost.seconds * k_us_per_second});
    plan_bytes.push_back({size, cost.bytes});
    plan_heap.push_back({size, cost.heap});
    plan_snapshot.push_back({size, cost.snapshot_bytes});
  }
  return {make_row("domain: apply progress", "us/task", apply),
          make_row("domain: progress record", "B/task", bytes),
          make_row("domain: state in memory", "B/task", heap),
          make_row("domain: snapshot", "B/task", snapshot),
          make_row("domain: restore snapshot", "us/task", restore),
          make_row("global: apply proposal and confirmation", "us/plan", plan_apply),
          make_row("global: records of a plan with one job", "B/plan", plan_bytes),
          make_row("global: state in memory", "B/job", plan_heap),
          make_row("global: snapshot", "B/job", plan_snapshot)};
}

}  // namespace arbutusdale::capacity
