// Simulates one shard with services, batch jobs and urgent tasks for each policy and weighting.
#include "batch_experiment.hpp"

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/standin/agent_model.hpp"
#include "arbutusdale/state/limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace arbutusdale::bench {
namespace {

using proto::platform::AgentReply;

constexpr Duration k_tick = std::chrono::milliseconds{50};
constexpr std::uint64_t k_ticks_per_second = 20;
constexpr std::uint64_t k_ticks_per_minute = 1'200;
constexpr std::uint64_t k_ticks_per_urgent_job = 400;
constexpr std::uint32_t k_workers = 50;
constexpr std::uint32_t k_failing_worker = 17;  // fails all its tasks; one of 50 workers: 2%
constexpr Resources k_capacity{32'000, 131'072, 0};
constexpr Resources k_service_reserve{8'000, 16'384, 0};
constexpr double k_service_share = 0.25;  // of the VM's CPUs, used by the service at full load
constexpr double k_target_ms = 100;
constexpr std::uint64_t k_term = 2;
constexpr std::uint32_t k_jobs_per_class = 12;
constexpr std::uint32_t k_tasks_per_job = 6'000;  // no class runs out of tasks within two hours
constexpr double k_size_error = 3;
constexpr double k_urgent_target_s = 2.1;

/// Job class with its interference: `pair_factor` is the rise of the service's p99 ratio per unit
/// of batch load.
struct ClassModel {
  const char* name;
  double pair_factor;
};

constexpr std::array<ClassModel, 4> k_classes{
    {{"encode", 0.1}, {"index", 0.4}, {"train", 1.0}, {"scan", 2.5}}};

/// Stream that applies each proposed record synchronously, with one append per record.
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
  [[nodiscard]] std::uint64_t appends() const { return m_offset - k_term; }

 private:
  state::DomainState& m_state;
  state::StreamStats m_stats;
  std::uint64_t m_offset = k_term;
  std::uint64_t m_bytes = 0;
};

/// Agent models that execute commands immediately; their replies are delivered one tick later.
class ModelAgents final : public backplane::WorkerAgents {
 public:
  using Address = backplane::AgentAddress;
  using AttemptRequest = proto::platform::AttemptRequest;

  standin::AgentModel& add(const std::string& worker) {
    standin::AgentModelOptions options;
    options.worker = worker;
    options.capacity = k_capacity;
    auto& model = m_models[worker];
    model = std::make_unique<standin::AgentModel>(options, &m_observer);
    return *model;
  }

  void acquire(const Address& agent, const proto::platform::AcquireRequest& request,
               Reply done) override {
    answer(model(agent).acquire(request, m_now), std::move(done));
  }
  void renew(const Address& agent, const proto::platform::RenewRequest& request,
             Reply done) override {
    answer(model(agent).renew(request, m_now), std::move(done));
  }
  void report(const Address& agent, Reply done) override {
    answer(model(agent).report(m_now), std::move(done));
  }
  void start(const Address& agent, const proto::platform::StartRequest& request,
             Reply done) override {
    auto reply = model(agent).start(request, m_now);
    if (reply.code() == AgentReply::OK) {
      m_first_starts.try_emplace(request.job(), m_now);
    }
    answer(std::move(reply), std::move(done));
  }
  void checkpoint(const Address& agent, const AttemptRequest& request, Reply done) override {
    answer(model(agent).checkpoint(request, m_now), std::move(done));
  }
  void throttle(const Address& agent, const AttemptRequest& request, Reply done) override {
    answer(model(agent).throttle(request, m_now), std::move(done));
  }
  void stop(const Address& agent, const AttemptRequest& request, Reply done) override {
    answer(model(agent).stop(request, m_now), std::move(done));
  }
  void acknowledge(const Address& agent, const proto::platform::AcknowledgeRequest& request,
                   Reply done) override {
    answer(model(agent).acknowledge(request, m_now), std::move(done));
  }

  /// Sets the time to `now` and delivers the replies to the commands of the previous tick.
  void deliver(TimePoint now) {
    m_now = now;
    for (const auto& item : std::exchange(m_answers, {})) {
      item();
    }
  }
  /// Time of the first start of each job.
  [[nodiscard]] const std::map<std::string, TimePoint>& first_starts() const {
    return m_first_starts;
  }
  [[nodiscard]] const standin::Observer& observer() const { return m_observer; }

 private:
  standin::AgentModel& model(const Address& agent) { return *m_models.at(agent.worker); }
  void answer(AgentReply reply, Reply done) {
    m_answers.emplace_back([reply = std::move(reply), done = std::move(done)] { done(reply); });
  }

  standin::Observer m_observer;
  std::map<std::string, std::unique_ptr<standin::AgentModel>> m_models;
  std::vector<std::function<void()>> m_answers;
  std::map<std::string, TimePoint> m_first_starts;
  TimePoint m_now{};
};

/// Simulation of one shard of 50 workers with a backlog that lasts longer than the run.
class Simulation {
 public:
  Simulation(const BatchExperimentOptions& options, batch::Weighting weighting,
             const batch::BatchPolicies& policies)
      : m_minutes(options.minutes), m_random(options.seed), m_stream(*m_domain) {
    claim_shard();
    declare_backlog();
    batch::ShardOptions shard;
    shard.domain = "halle-a";
    shard.term = k_term;
    shard.weighting = weighting;
    shard.seed = options.seed;
    shard.policies = policies;
    shard.clock = &m_clock;
    m_runner = batch::make_shard_runner(shard, *m_global, *m_domain, m_stream, m_agents);
    for (std::uint32_t i = 0; i < k_workers; ++i) {
      const auto id = "halle-a-vm-" + std::to_string(i);
      m_worker_infos.push_back(
          {id, id, "halle-a", "rack-" + std::to_string(i / 8), k_capacity, false});
      m_models.push_back(&m_agents.add(id));
    }
    m_models[k_failing_worker]->faults().fail_all_tasks = true;
    m_runner->state_changed(m_clock.now());
  }

  BatchFigures run() {
    const std::uint64_t ticks = m_minutes * k_ticks_per_minute;
    for (std::uint64_t tick = 0; tick < ticks; ++tick) {
      m_clock.advance(k_tick);
      m_agents.deliver(m_clock.now());
      if (tick % k_ticks_per_second == 0) {
        m_runner->set_workers(m_worker_infos, true, m_clock.now());
        measure_services(static_cast<double>(tick) / k_ticks_per_second);
      }
      // No urgent task is declared at the end of the run, where it has no time to start.
      if (tick % k_ticks_per_urgent_job == k_ticks_per_urgent_job - 1 &&
          tick + k_ticks_per_urgent_job < ticks) {
        declare_urgent();
      }
      m_runner->tick(m_clock.now());
    }
    return figures();
  }

 private:
  void claim_shard() {
    proto::state::Record joined;
    joined.mutable_daemon_joined()->set_daemon("entry-1");
    joined.mutable_daemon_joined()->set_incarnation(1);
    set_id_and_format(joined, 1);
    (void)m_domain->apply(1, joined);
    proto::state::Record claimed;
    claimed.mutable_shard_claimed()->set_daemon("entry-1");
    claimed.mutable_shard_claimed()->set_incarnation(1);
    set_id_and_format(claimed, k_term);
    (void)m_domain->apply(k_term, claimed);
  }

  static void set_id_and_format(proto::state::Record& record, std::uint64_t number) {
    record.set_id("operator@1/" + std::to_string(number));
    record.set_format(state::k_record_format);
  }

  void confirm(const proto::state::Declaration& declaration) {
    proto::state::Record proposed;
    const auto id = "plan-" + std::to_string(m_global_offset);
    auto* plan = proposed.mutable_plan_proposed()->mutable_plan();
    plan->set_id(id);
    *plan->mutable_upserts() = declaration;
    plan->add_changes()->set_object_kind("job");
    set_id_and_format(proposed, ++m_global_offset);
    (void)m_global->apply(m_global_offset, proposed);
    proto::state::Record decided;
    decided.mutable_plan_decided()->set_plan_id(id);
    set_id_and_format(decided, ++m_global_offset);
    (void)m_global->apply(m_global_offset, decided);
  }

  std::uint64_t random_between(std::uint64_t low, std::uint64_t high) {
    return low + random_index(m_random, high - low + 1);
  }

  /// Multiplies the amount by a random factor from 1 / `k_size_error` to `k_size_error` that is
  /// log-uniform.
  std::uint64_t with_declaration_error(std::uint64_t amount) {
    const double exponent = 2 * random_unit(m_random) - 1;
    return static_cast<std::uint64_t>(static_cast<double>(amount) *
                                      std::pow(k_size_error, exponent));
  }

  proto::state::JobDecl make_job(const std::string& name, const ClassModel& model,
                                 std::uint32_t tasks) {
    const std::uint64_t cpu = random_between(1'000, 3'000);
    const std::uint64_t memory = random_between(1'024, 6'144);
    const std::uint64_t run_ms = random_between(20'000, 90'000);
    m_core_seconds[name] = static_cast<double>(cpu) * static_cast<double>(run_ms) / 1e6;
    proto::state::JobDecl job;
    job.set_name(name);
    job.set_team(model.name);
    job.set_job_class(model.name);
    job.set_tasks(tasks);
    job.mutable_resources()->set_cpu_millis(with_declaration_error(cpu));
    job.mutable_resources()->set_memory_mib(with_declaration_error(memory));
    job.set_expected_ms(with_declaration_error(run_ms));
    job.set_checkpoint(true);
    job.set_command(fmt::format("run_ms={} cpu_millis={} memory_mib={} class={}", run_ms, cpu,
                                memory, model.name));
    return job;
  }

  void declare_backlog() {
    proto::state::Declaration declaration;
    auto* domain = declaration.add_domains();
    domain->set_name("halle-a");
    domain->set_shards(1);
    domain->set_weight(1);
    auto* service = declaration.add_services();
    service->set_name("search");
    service->set_team(k_classes.front().name);
    service->set_vm_prefix("halle-a-vm-");
    service->set_p99_target_ms(static_cast<std::uint32_t>(k_target_ms));
    service->mutable_reserve()->set_cpu_millis(k_service_reserve.cpu_millis);
    service->mutable_reserve()->set_memory_mib(k_service_reserve.memory_mib);
    for (const ClassModel& model : k_classes) {
      declaration.add_teams()->set_name(model.name);
    }
    for (std::uint32_t i = 0; i < k_jobs_per_class; ++i) {
      for (const ClassModel& model : k_classes) {
        *declaration.add_jobs() =
            make_job(fmt::format("{}-{}", model.name, i), model, k_tasks_per_job);
      }
    }
    confirm(declaration);
  }

  void declare_urgent() {
    const auto name = "urgent-" + std::to_string(m_urgent.size());
    proto::state::Declaration declaration;
    auto* job = declaration.add_jobs();
    *job = make_job(name, k_classes.at(m_urgent.size() % k_classes.size()), 1);
    job->set_urgent(true);
    m_urgent.emplace_back(name, m_clock.now());
    confirm(declaration);
    m_runner->state_changed(m_clock.now());
  }

  void measure_services(double seconds) {
    constexpr double k_wave_seconds = 600;
    for (std::size_t i = 0; i < m_models.size(); ++i) {
      // The load curves of the workers are shifted by up to a quarter of the period.
      const double phase = seconds / k_wave_seconds + 0.25 * static_cast<double>(i) / k_workers;
      const double load = 0.5 + 0.4 * std::sin(2 * std::numbers::pi * phase);
      m_models[i]->advance(m_clock.now());
      const double ratio = p99_ratio(*m_models[i], load) * (0.95 + 0.1 * random_unit(m_random));
      m_samples += 1;
      m_over_target += ratio > 1 ? 1 : 0;
      proto::platform::ServiceReport report;
      report.set_service("search");
      report.set_p99_ms(ratio * k_target_ms);
      report.set_load(load);
      m_models[i]->measure_service(report, m_clock.now());
    }
  }

  /// Ratio of the service's p99 to its target, computed from the load of the service and the batch
  /// load of each class on the VM.
  static double p99_ratio(const standin::AgentModel& model, double load) {
    double ratio = 0.25 + 0.35 * load * load;
    double busy = k_service_share * load;
    for (const standin::ClassLoad& item : model.loads()) {
      const auto* found = std::find_if(
          k_classes.begin(), k_classes.end(),
          [&item](const ClassModel& candidate) { return candidate.name == item.job_class; });
      ratio += found == k_classes.end() ? 0 : found->pair_factor * item.load * (0.5 + load);
      busy += item.load;
    }
    // When the total load exceeds the VM's CPUs, the service waits for CPU time.
    constexpr double k_overload_factor = 4;
    return ratio + k_overload_factor * std::max(0.0, busy - 1);
  }

  [[nodiscard]] BatchFigures figures() const {
    BatchFigures figures;
    const double hours = m_minutes / 60.0;
    for (const auto& [job, tasks] : m_agents.observer().finished_per_job()) {
      figures.tasks_per_hour += static_cast<double>(tasks) / hours;
      figures.core_seconds_per_hour += static_cast<double>(tasks) * m_core_seconds.at(job) / hours;
    }
    std::vector<double> waits;
    figures.urgent = m_urgent.size();
    for (const auto& [job, declared_at] : m_urgent) {
      const auto found = m_agents.first_starts().find(job);
      const bool started = found != m_agents.first_starts().end();
      const TimePoint until = started ? found->second : m_clock.now();
      figures.urgent_unstarted += started ? 0 : 1;
      waits.push_back(std::chrono::duration<double>(until - declared_at).count());
    }
    std::sort(waits.begin(), waits.end());
    if (!waits.empty()) {
      figures.urgent_p50_s = waits[waits.size() / 2];
      const auto late = std::upper_bound(waits.begin(), waits.end(), k_urgent_target_s);
      figures.urgent_late = static_cast<std::uint64_t>(waits.end() - late);
      figures.urgent_p99_s = waits[(waits.size() * 99 + 99) / 100 - 1];
    }
    const auto started = std::max(1.0, static_cast<double>(m_runner->stats().started));
    figures.evictions = m_runner->stats().evictions;
    figures.over_target = static_cast<double>(m_over_target) / static_cast<double>(m_samples);
    figures.appends_per_task = static_cast<double>(m_stream.appends()) / started;
    figures.bytes_per_task = static_cast<double>(m_stream.bytes()) / started;
    return figures;
  }

  std::uint32_t m_minutes;
  Random m_random;
  FakeClock m_clock;
  std::unique_ptr<state::GlobalState> m_global = state::make_global_state();
  std::unique_ptr<state::DomainState> m_domain = state::make_domain_state("halle-a");
  DirectStream m_stream;
  ModelAgents m_agents;
  std::unique_ptr<batch::ShardRunner> m_runner;
  std::vector<batch::WorkerInfo> m_worker_infos;
  std::vector<standin::AgentModel*> m_models;
  std::map<std::string, double> m_core_seconds;  // by job name, for one task
  std::vector<std::pair<std::string, TimePoint>> m_urgent;
  std::uint64_t m_global_offset = 0;
  std::uint64_t m_samples = 0;
  std::uint64_t m_over_target = 0;
};

struct Variant {
  const char* name = "";
  batch::BatchPolicies policies;
};

std::vector<Variant> variants() {
  std::vector<Variant> all(6);
  all[0].name = "full policy";
  all[1].name = "first fit";
  all[1].policies.placement = batch::PlacementPolicy::first_fit;
  all[2].name = "no interference estimate";
  all[2].policies.interference = batch::InterferencePolicy::none;
  all[3].name = "evict newest";
  all[3].policies.eviction = batch::EvictionPolicy::newest;
  all[4].name = "declared sizes";
  all[4].policies.sizes = batch::SizePolicy::declared;
  all[5].name = "all four baselines";
  all[5].policies = {batch::PlacementPolicy::first_fit, batch::SizePolicy::declared,
                     batch::InterferencePolicy::none, batch::EvictionPolicy::newest};
  return all;
}

}  // namespace

BatchFigures run_batch(const BatchExperimentOptions& options, batch::Weighting weighting,
                       const batch::BatchPolicies& policies) {
  return Simulation(options, weighting, policies).run();
}

std::string run_batch_experiment(const BatchExperimentOptions& options) {
  std::string table = fmt::format("seed {}, {} workers, {} simulated minutes\n", options.seed,
                                  k_workers, options.minutes);
  table +=
      "| weighting | policy | tasks/h | core-s/h | evictions | over target | urgent p50 s | "
      "urgent p99 s | urgent late | urgent unstarted | appends/task | bytes/task |\n";
  table += "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto weighting : {batch::Weighting::throughput, batch::Weighting::latency}) {
    for (const Variant& variant : variants()) {
      const BatchFigures figures = run_batch(options, weighting, variant.policies);
      table += fmt::format(
          "| {} | {} | {:.0f} | {:.0f} | {} | {:.2f}% | {:.2f} | {:.2f} | {}/{} | {} | {:.3f} | "
          "{:.0f} |\n",
          batch::to_string(weighting), variant.name, figures.tasks_per_hour,
          figures.core_seconds_per_hour, figures.evictions, 100 * figures.over_target,
          figures.urgent_p50_s, figures.urgent_p99_s, figures.urgent_late, figures.urgent,
          figures.urgent_unstarted, figures.appends_per_task, figures.bytes_per_task);
    }
  }
  return table;
}

}  // namespace arbutusdale::bench
