// Test fixture with one shard: fake agents, a stream that applies records on demand, and the global
// and the domain state.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/state/limits.hpp"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_agents.hpp"

namespace arbutusdale::batch::testing {

/// Applies the proposed records in `commit`, except during a log outage.
class FakeStream final : public state::Stream {
 public:
  explicit FakeStream(state::DomainState& domain) : m_domain(domain) {}

  void tick(TimePoint /*now*/) override {}
  void propose(proto::state::Record record, bool /*urgent*/, AppliedCallback done) override {
    record.set_id("test-" + std::to_string(++m_sequence));
    record.set_format(state::k_record_format);
    m_queue.emplace_back(std::move(record), std::move(done));
  }
  void poll_now() override {}
  Result<void> install_snapshot(std::uint64_t /*covered*/, const std::string& /*data*/) override {
    return {};
  }
  void set_snapshot_rank(std::uint32_t /*rank*/) override {}
  [[nodiscard]] const state::StreamStats& stats() const override { return m_stats; }

  void commit() {
    if (outage) {
      return;
    }
    for (auto& [record, done] : std::exchange(m_queue, {})) {
      records.push_back(record);
      (void)m_domain.apply(++offset, record);
      if (!lose_completions) {
        done(offset);
      }
    }
  }
  void append(proto::state::Record record) {
    record.set_id("other-" + std::to_string(++m_sequence));
    record.set_format(state::k_record_format);
    (void)m_domain.apply(++offset, record);
  }

  bool outage = false;
  bool lose_completions = false;  // as when the proposer fails after its append
  std::uint64_t offset = 100;
  std::vector<proto::state::Record> records;

 private:
  state::DomainState& m_domain;
  std::uint64_t m_sequence = 0;
  std::vector<std::pair<proto::state::Record, AppliedCallback>> m_queue;
  state::StreamStats m_stats;
};

/// One failure domain "here" with one shard, and the runner under test.
struct ShardFixture {
  static constexpr Duration k_tick = std::chrono::milliseconds{50};

  ShardFixture()
      : domain(state::make_domain_state("here")),
        global(state::make_global_state()),
        stream(*domain) {
    proto::state::Declaration declaration;
    auto& decl = *declaration.add_domains();
    decl.set_name("here");
    decl.set_shards(1);
    decl.set_weight(1);
    confirm(declaration);
  }

  /// Adds the objects by a confirmed plan.
  void confirm(const proto::state::Declaration& declaration) {
    const std::string id = "plan-" + std::to_string(++m_plans);
    proto::state::Record proposed;
    proposed.mutable_plan_proposed()->mutable_plan()->set_id(id);
    *proposed.mutable_plan_proposed()->mutable_plan()->mutable_upserts() = declaration;
    for (const std::string& vm : declaration.drains()) {
      auto& change = *proposed.mutable_plan_proposed()->mutable_plan()->add_changes();
      change.set_change(proto::state::CHANGE_DRAIN);
      change.set_object_kind("vm");
      change.set_object_name(vm);
    }
    apply_global(proposed);
    proto::state::Record decided;
    decided.mutable_plan_decided()->set_plan_id(id);
    apply_global(decided);
  }

  void cancel(const std::string& job, bool tell_runner = true) {
    proto::state::Record record;
    record.mutable_job_cancelled()->set_job(job);
    apply_global(record, tell_runner);
  }

  void add_vm(const std::string& id, Resources capacity = {4'000, 4'096, 0},
              const std::string& rack = "rack-1") {
    FakeVm& vm = agents.vm(id);
    vm.info = WorkerInfo{id, "127.0.0.1:1", "here", rack, capacity, false};
    listed.insert(id);
  }

  static proto::state::JobDecl job(const std::string& name, std::uint32_t tasks,
                                   Resources need = {1'000, 1'024, 0}) {
    proto::state::JobDecl decl;
    decl.set_name(name);
    decl.set_team("team");
    decl.set_job_class(name);
    decl.set_tasks(tasks);
    *decl.mutable_resources() = backplane::to_proto(need);
    decl.set_expected_ms(5'000);
    decl.set_checkpoint(true);
    return decl;
  }

  void add_job(const proto::state::JobDecl& decl) {
    proto::state::Declaration declaration;
    *declaration.add_jobs() = decl;
    confirm(declaration);
  }

  /// Destroys the runner, if any, and creates a new holder with a higher term.
  void take_over() {
    runner.reset();
    proto::state::Record joined;
    joined.mutable_daemon_joined()->set_daemon("daemon");
    joined.mutable_daemon_joined()->set_incarnation(++m_incarnation);
    stream.append(joined);
    const std::uint64_t before = domain->shard(0).term;
    if (before != 0) {
      proto::state::Record ended;
      ended.mutable_incarnation_ended()->set_daemon("daemon");
      ended.mutable_incarnation_ended()->set_incarnation(m_incarnation - 1);
      stream.append(ended);
    }
    proto::state::Record claim;
    claim.mutable_shard_claimed()->set_daemon("daemon");
    claim.mutable_shard_claimed()->set_incarnation(m_incarnation);
    claim.mutable_shard_claimed()->set_expected_term(before);
    stream.append(claim);
    options.domain = "here";
    options.term = domain->shard(0).term;
    runner = make_shard_runner(options, *global, *domain, stream, agents);
    list();
  }

  void list(bool trusted = true) {
    std::vector<WorkerInfo> workers;
    for (const std::string& id : listed) {
      workers.push_back(agents.vm(id).info);
    }
    runner->set_workers(workers, trusted, now);
  }

  /// One tick: runs the runner, then delivers answers and applies records.
  void step() {
    now += k_tick;
    ++m_steps;
    for (const std::string& id : listed) {
      agents.vm(id).measured_ms += freeze_measurements ? 0 : 50;
    }
    if (m_steps % 20 == 0) {
      list();
    }
    runner->tick(now);
    agents.deliver();
    stream.commit();
  }
  void run(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += k_tick) {
      step();
    }
  }

  [[nodiscard]] std::uint64_t succeeded(const std::string& job) const {
    const state::JobRecord* record = domain->job(job);
    return record == nullptr ? 0 : record->succeeded.size();
  }

  std::unique_ptr<state::DomainState> domain;
  std::unique_ptr<state::GlobalState> global;
  FakeStream stream;
  FakeAgents agents;
  ShardOptions options;
  std::set<std::string> listed;
  bool freeze_measurements = false;
  TimePoint now{std::chrono::seconds{1'000}};
  std::unique_ptr<ShardRunner> runner;

 private:
  void apply_global(proto::state::Record record, bool tell_runner = true) {
    record.set_id("global-" + std::to_string(++m_global_offset));
    record.set_format(state::k_record_format);
    (void)global->apply(m_global_offset, record);
    if (runner && tell_runner) {
      runner->state_changed(now);
    }
  }

  std::uint64_t m_plans = 0;
  std::uint64_t m_global_offset = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_steps = 0;
};

}  // namespace arbutusdale::batch::testing
