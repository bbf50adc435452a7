// Measures the shard runner's CPU time and memory per task and per worker, and the cost of one
// placement decision as a function of the number of workers.
#include "arbutusdale/batch/placement.hpp"
#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/state/domain_state.hpp"
#include "arbutusdale/state/global_state.hpp"
#include "arbutusdale/state/limits.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "measure.hpp"

namespace arbutusdale::capacity {
namespace {

constexpr double k_us_per_second = 1e6;
constexpr Duration k_tick = std::chrono::milliseconds{50};
constexpr Resources k_worker{64'000, 262'144, 0};
constexpr std::uint64_t k_term = 2;

/// Stream that applies each proposed record synchronously.
class DirectStream final : public state::Stream {
 public:
  explicit DirectStream(state::DomainState& state) : m_state(state) { m_stats.caught_up = true; }

  void tick(TimePoint /*now*/) override {}
  void propose(proto::state::Record record, bool /*urgent*/, AppliedCallback done) override {
    record.set_id("entry-1@1/" + std::to_string(++m_offset));
    record.set_format(state::k_record_format);
    m_bytes += record.ByteSizeLong();
    (void)m_state.apply(m_offset, record);
    done(m_offset);
  }
  void poll_now() override {}
  Result<void> install_snapshot(std::uint64_t /*covered*/, const std::string& /*data*/) override {
    return {};
  }
  void set_snapshot_rank(std::uint32_t /*rank*/) override {}
  [[nodiscard]] const state::StreamStats& stats() const override { return m_stats; }
  [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }
  [[nodiscard]] std::uint64_t records() const { return m_offset; }

 private:
  state::DomainState& m_state;
  state::StreamStats m_stats;
  std::uint64_t m_offset = k_term;
  std::uint64_t m_bytes = 0;
};

/// Agents that reply synchronously. The second report after the start of an attempt shows it as
/// succeeded, unless `set_finish(false)` keeps it running.
class DirectAgents final : public backplane::WorkerAgents {
 public:
  void acquire(const backplane::AgentAddress& agent,
               const proto::platform::AcquireRequest& /*request*/, Reply done) override {
    report(agent, std::move(done));
  }
  void renew(const backplane::AgentAddress& /*agent*/,
             const proto::platform::RenewRequest& /*request*/, Reply done) override {
    done(proto::platform::AgentReply{});
  }
  void report(const backplane::AgentAddress& agent, Reply done) override {
    proto::platform::AgentReply reply;
    auto& report = *reply.mutable_report();
    report.set_worker(agent.worker);
    report.set_boot_id("boot");
    report.set_token(k_term);
    report.set_measured_at_ms(++m_measured);
    *report.mutable_capacity() = backplane::to_proto(k_worker);
    for (auto& [key, attempt] : m_attempts[agent.worker]) {
      *report.add_attempts() = attempt;
      if (m_finish) {
        attempt.set_state(proto::platform::ATTEMPT_SUCCEEDED);
      }
    }
    m_reports += 1;
    m_bytes += reply.ByteSizeLong();
    done(reply);
  }
  void start(const backplane::AgentAddress& agent, const proto::platform::StartRequest& request,
             Reply done) override {
    auto& attempt = m_attempts[agent.worker][{request.job(), request.task()}];
    attempt.set_job(request.job());
    attempt.set_task(request.task());
    attempt.set_attempt(request.attempt());
    *attempt.mutable_committed() = request.resources();
    m_bytes += request.ByteSizeLong();
    done(proto::platform::AgentReply{});
  }
  void checkpoint(const backplane::AgentAddress& /*agent*/,
                  const proto::platform::AttemptRequest& /*request*/, Reply done) override {
    done(proto::platform::AgentReply{});
  }
  void throttle(const backplane::AgentAddress& /*agent*/,
                const proto::platform::AttemptRequest& /*request*/, Reply done) override {
    done(proto::platform::AgentReply{});
  }
  void stop(const backplane::AgentAddress& /*agent*/,
            const proto::platform::AttemptRequest& /*request*/, Reply done) override {
    done(proto::platform::AgentReply{});
  }
  void acknowledge(const backplane::AgentAddress& agent,
                   const proto::platform::AcknowledgeRequest& request, Reply done) override {
    for (const auto& attempt : request.attempts()) {
      m_attempts[agent.worker].erase({attempt.job(), attempt.task()});
    }
    done(proto::platform::AgentReply{});
  }

  void set_finish(bool finish) { m_finish = finish; }
  [[nodiscard]] std::uint64_t bytes() const { return m_bytes; }

 private:
  using Attempts = std::map<std::pair<std::string, std::uint32_t>, proto::platform::AttemptReport>;

  std::map<std::string, Attempts> m_attempts;
  std::uint64_t m_measured = 0;
  std::uint64_t m_reports = 0;
  std::uint64_t m_bytes = 0;
  bool m_finish = true;
};

proto::state::Record record_with_id(std::uint64_t number) {
  proto::state::Record record;
  record.set_id("operator@1/" + std::to_string(number));
  record.set_format(state::k_record_format);
  return record;
}

/// Shard whose term is already claimed, with one declared job.
class Shard {
 public:
  Shard(std::uint32_t workers, std::uint32_t tasks) : m_stream(*m_domain) {
    auto joined = record_with_id(1);
    joined.mutable_daemon_joined()->set_daemon("entry-1");
    joined.mutable_daemon_joined()->set_incarnation(1);
    (void)m_domain->apply(1, joined);
    auto claimed = record_with_id(2);
    claimed.mutable_shard_claimed()->set_daemon("entry-1");
    claimed.mutable_shard_claimed()->set_incarnation(1);
    (void)m_domain->apply(k_term, claimed);
    declare(tasks);
    batch::ShardOptions options;
    options.domain = "halle-a";
    options.term = k_term;
    m_runner = batch::make_shard_runner(options, *m_global, *m_domain, m_stream, m_agents);
    for (std::uint32_t i = 0; i < workers; ++i) {
      const auto id = "halle-a-vm-" + std::to_string(i);
      m_workers.push_back({id, id, "halle-a", "rack-" + std::to_string(i / 8), k_worker, false});
    }
    m_runner->set_workers(m_workers, true, m_clock.now());
    m_runner->state_changed(m_clock.now());
  }

  void tick() {
    m_clock.advance(k_tick);
    m_runner->tick(m_clock.now());
  }

  [[nodiscard]] const batch::ShardStats& stats() const { return m_runner->stats(); }
  DirectAgents& agents() { return m_agents; }
  [[nodiscard]] const DirectStream& stream() const { return m_stream; }

 private:
  void declare(std::uint32_t tasks) {
    auto proposed = record_with_id(1);
    auto* plan = proposed.mutable_plan_proposed()->mutable_plan();
    plan->set_id("plan-1");
    auto* domain = plan->mutable_upserts()->add_domains();
    domain->set_name("halle-a");
    domain->set_shards(1);
    domain->set_weight(1);
    plan->mutable_upserts()->add_teams()->set_name("cutting");
    auto* job = plan->mutable_upserts()->add_jobs();
    job->set_name("cutting-plan");
    job->set_team("cutting");
    job->set_job_class("cutting");
    job->set_tasks(tasks);
    job->mutable_resources()->set_cpu_millis(2'000);
    job->mutable_resources()->set_memory_mib(2'048);
    job->set_expected_ms(1'000);
    plan->add_changes()->set_object_kind("job");
    (void)m_global->apply(1, proposed);
    auto decided = record_with_id(2);
    decided.mutable_plan_decided()->set_plan_id("plan-1");
    (void)m_global->apply(2, decided);
  }

  FakeClock m_clock;
  std::unique_ptr<state::GlobalState> m_global = state::make_global_state();
  std::unique_ptr<state::DomainState> m_domain = state::make_domain_state("halle-a");
  DirectStream m_stream;
  DirectAgents m_agents;
  std::unique_ptr<batch::ShardRunner> m_runner;
  std::vector<batch::WorkerInfo> m_workers;
};

/// Totals over all tasks of a run.
struct TaskCost {
  double seconds = 0;
  double record_bytes = 0;
  double records = 0;
  double agent_bytes = 0;
  double started = 0;
};

TaskCost run_tasks(std::uint32_t workers, std::uint32_t tasks) {
  Shard shard(workers, tasks);
  const auto begin = cpu_seconds();
  constexpr int k_max_ticks = 20'000;
  for (int i = 0; i < k_max_ticks && shard.stats().succeeded < tasks; ++i) {
    shard.tick();
  }
  TaskCost cost;
  cost.seconds = cpu_seconds() - begin;
  cost.started = static_cast<double>(shard.stats().started);
  cost.record_bytes = static_cast<double>(shard.stream().bytes());
  cost.records = static_cast<double>(shard.stream().records() - k_term);
  cost.agent_bytes = static_cast<double>(shard.agents().bytes());
  return cost;
}

/// CPU time in microseconds per simulated second while all workers are acquired and no task is
/// waiting to start.
double idle_us(std::uint32_t workers) {
  Shard shard(workers, 1);
  constexpr int k_warm_up_ticks = 100;
  constexpr int k_ticks = 400;
  constexpr int k_ticks_per_second = 20;
  for (int i = 0; i < k_warm_up_ticks; ++i) {
    shard.tick();
  }
  const auto begin = cpu_seconds();
  for (int i = 0; i < k_ticks; ++i) {
    shard.tick();
  }
  return (cpu_seconds() - begin) * k_us_per_second * k_ticks_per_second / k_ticks;
}

/// Heap bytes of a shard: with all its tasks pending, or with `running` after they were started and
/// kept running. The latter includes the memory of the test agents.
double heap_of(std::uint32_t workers, std::uint32_t tasks, bool running) {
  const auto before = heap_bytes();
  Shard shard(workers, tasks);
  shard.agents().set_finish(!running);
  constexpr int k_ticks = 400;
  for (int i = 0; running && i < k_ticks; ++i) {
    shard.tick();
  }
  return static_cast<double>(heap_bytes()) - static_cast<double>(before);
}

/// CPU time of one placement decision, in microseconds.
double decision_us(std::uint32_t workers) {
  batch::PlacementIndex index(batch::PlacementPolicy::scored, 1);
  Random random{1};
  for (std::uint32_t slot = 0; slot < workers; ++slot) {
    const Resources free{1'000 + random_index(random, 60'000),
                         1'024 + random_index(random, 200'000), 0};
    index.set(slot, {k_worker, free, true});
  }
  constexpr int k_decisions = 20'000;
  const auto cost = [](std::uint32_t slot) { return std::optional<double>(slot % 7); };
  const auto begin = cpu_seconds();
  std::uint64_t chosen = 0;
  for (int i = 0; i < k_decisions; ++i) {
    chosen += index.choose({2'000, 2'048, 0}, cost).value_or(0);
  }
  // Using the sum prevents the compiler from removing the calls.
  return chosen == 1 ? 0 : (cpu_seconds() - begin) * k_us_per_second / k_decisions;
}

}  // namespace

std::vector<Row> measure_batch() {
  std::vector<Point> cpu;
  std::vector<Point> record_bytes;
  std::vector<Point> agent_bytes;
  for (const std::uint32_t tasks : {1'000U, 4'000U, 16'000U}) {
    const auto cost = run_tasks(110, tasks);
    cpu.push_back({cost.started, cost.seconds * k_us_per_second});
    record_bytes.push_back({cost.started, cost.record_bytes});
    agent_bytes.push_back({cost.started, cost.agent_bytes});
  }
  std::vector<Point> idle;
  std::vector<Point> worker_heap;
  for (const std::uint32_t workers : {50U, 110U, 450U}) {
    idle.push_back({static_cast<double>(workers), idle_us(workers)});
    worker_heap.push_back({static_cast<double>(workers), heap_of(workers, 1, true)});
  }
  std::vector<Point> pending_heap;
  std::vector<Point> running_heap;
  for (const std::uint32_t tasks : {500U, 1'500U, 3'000U}) {
    pending_heap.push_back({static_cast<double>(tasks), heap_of(1, tasks, false)});
    running_heap.push_back({static_cast<double>(tasks), heap_of(110, tasks, true)});
  }
  std::vector<Point> decision;
  for (const std::uint32_t workers : {50U, 450U, 1'800U, 14'000U}) {
    decision.push_back({static_cast<double>(workers), decision_us(workers)});
  }
  return {make_row("shard: start, report, record and acknowledge", "us/task", cpu),
          make_row("shard: progress records", "B/task", record_bytes),
          make_row("shard: agent messages with reports", "B/task", agent_bytes),
          make_row("shard: processor time per second, idle", "us/worker", idle),
          make_row("shard: memory", "B/worker", worker_heap),
          make_row("shard: memory of waiting tasks", "B/task", pending_heap),
          make_row("shard: memory of running tasks with the test agents", "B/task", running_heap),
          make_row("placement: one decision", "us/worker", decision)};
}

}  // namespace arbutusdale::capacity
