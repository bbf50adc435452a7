// The base scenario, and the cells of the fault matrix and how they run.
#include "matrix.hpp"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace arbutusdale::scenario {
namespace {

constexpr Duration k_declare_at = std::chrono::seconds{4};
constexpr Duration k_drain_at = std::chrono::seconds{20};
constexpr Duration k_leaving_at = std::chrono::seconds{24};
constexpr Duration k_change_at = std::chrono::seconds{28};
constexpr Duration k_stop_at = std::chrono::seconds{34};
constexpr Duration k_stop_length = std::chrono::seconds{5};
constexpr Duration k_load_until = std::chrono::seconds{60};
// Faults of the matrix last at most 15 s; by this time all work must be done.
constexpr Duration k_end = std::chrono::seconds{150};
constexpr std::uint64_t k_mutation_seeds = 3;
constexpr std::uint32_t k_job_tasks = 40;
constexpr std::uint32_t k_cancelled_tasks = 30;
constexpr double k_requests_per_second = 12;
constexpr double k_keyed_share = 0.4;

const std::string k_job = "cutting-plan";
const std::string k_cancelled_job = "stock-watch";
const std::string k_service = "orders";

state::PlanRequest declaration(const Topology& topology) {
  state::PlanRequest request;
  request.actor = "operator";
  auto& declared = request.declaration;
  for (const auto& name : topology.domains) {
    auto* domain = declared.add_domains();
    domain->set_name(name);
    domain->set_shards(topology.shards);
    domain->set_weight(1);
  }
  auto* team = declared.add_teams();
  team->set_name("default");
  team->set_request_weight(1);
  team->mutable_quota()->set_cpu_millis(1'000'000);
  team->mutable_quota()->set_memory_mib(1'000'000);
  auto* service = declared.add_services();
  service->set_name(k_service);
  service->set_team("default");
  service->set_path_prefix("/orders");
  service->set_slots(8);
  service->set_connections(64);
  service->set_p99_target_ms(100);
  service->set_timeout_ms(2'000);
  service->mutable_reserve()->set_cpu_millis(1'000);
  service->mutable_reserve()->set_memory_mib(1'024);
  const auto add_job = [&declared](const std::string& name, std::uint32_t tasks, bool checkpoint) {
    auto* job = declared.add_jobs();
    job->set_name(name);
    job->set_team("default");
    job->set_job_class(name);
    job->set_tasks(tasks);
    job->mutable_resources()->set_cpu_millis(2'000);
    job->mutable_resources()->set_memory_mib(2'048);
    job->set_expected_ms(6'000);
    job->set_checkpoint(checkpoint);
    job->set_max_tries(20);
  };
  add_job(k_job, k_job_tasks, true);
  add_job(k_cancelled_job, k_cancelled_tasks, false);
  return request;
}

void schedule_base(World& world, const Topology& topology) {
  auto& queue = world.queue();
  const auto start = queue.now();
  world.set_cancellable({k_cancelled_job});
  queue.at(start + k_declare_at, [&world, topology] { world.apply(declaration(topology)); });
  queue.at(start + k_declare_at, [&world, start] {
    world.load(k_service, k_requests_per_second, k_keyed_share, start + k_load_until);
  });
  queue.at(start + k_drain_at, [&world, topology] {
    state::PlanRequest request;
    request.actor = "operator";
    request.drain_vms.push_back(topology.domains.front() + "-vm-0");
    world.apply(request);
  });
  queue.at(start + k_leaving_at,
           [&world, topology] { world.list_leaving(topology.domains.back() + "-vm-0"); });
  queue.at(start + k_change_at, [&world] {
    state::PlanRequest request;
    request.actor = "operator";
    auto* team = request.declaration.add_teams();
    team->set_name("crews");
    team->set_request_weight(2);
    world.apply(request);
  });
  queue.at(start + k_stop_at, [&world, topology] {
    world.restart_gracefully(topology.domains.back() + "-entry-1", k_stop_length);
  });
}

bool has_fault(const Cell& cell, Fault fault) {
  return std::any_of(cell.faults.begin(), cell.faults.end(),
                     [fault](const auto& planned) { return planned.fault == fault; });
}

/// Adds a breach for work, plans or daemons that have not recovered after the faults ended.
void check_progress(World& world, const Cell& cell, std::vector<std::string>& breaches) {
  const auto finished = world.observer().finished_per_job();
  const auto job = finished.find(k_job);
  const auto done = job == finished.end() ? 0 : job->second;
  // A worker that fails every task may use up the tries of a task, which ends it as failed.
  const bool may_fail = has_fault(cell, Fault::worker_fails_tasks);
  if (done < k_job_tasks && !may_fail) {
    breaches.push_back("no progress: " + std::to_string(done) + " of " +
                       std::to_string(k_job_tasks) + " tasks finished");
  }
  std::uint64_t highest = 0;
  for (auto* process : world.live()) {
    highest = std::max(highest, process->node().global().version());
  }
  const auto daemons = world.live();
  for (auto* process : daemons) {
    if (process->node().global().version() != highest) {
      breaches.push_back(process->daemon() + " is behind the newest configuration version");
    }
    for (const auto* entry : process->node().global().plans()) {
      if (entry->state() == "confirmed") {
        std::string steps;
        for (const auto& step : entry->steps()) {
          steps += " " + std::to_string(step.step()) + "@" + step.domain();
        }
        breaches.push_back("no progress: plan " + entry->plan().id() + " is still confirmed at " +
                           process->daemon() + ", steps done:" + steps);
        world.note(process->node().status_json());
      }
    }
  }
  if (daemons.size() != 4) {
    breaches.push_back("no progress: " + std::to_string(daemons.size()) + " of 4 daemons ready");
  }
}

}  // namespace

std::string describe(const Cell& cell) {
  std::string text;
  for (const auto& planned : cell.faults) {
    text += (text.empty() ? "" : " + ") + std::string(to_string(planned.fault)) + " at '" +
            planned.step + "'";
  }
  return text + " seed " + std::to_string(cell.seed);
}

std::vector<std::string> discover_steps(std::uint64_t seed) {
  const Topology topology;
  World world(topology, seed);
  std::vector<std::string> steps;
  std::set<std::string> seen;
  world.on_step([&](const Step& step) {
    if (seen.insert(step.name).second) {
      steps.push_back(step.name);
    }
  });
  world.start_all();
  schedule_base(world, topology);
  world.run_for(k_load_until);
  return steps;
}

std::vector<Cell> make_cells(const std::vector<std::string>& steps, std::uint64_t seed,
                             std::uint32_t pairs) {
  std::vector<Cell> cells;
  for (const auto fault : all_faults()) {
    for (const auto& step : steps) {
      cells.push_back(Cell{{{fault, step}}, seed, Mutation::none});
    }
  }
  Random random{seed};
  for (std::uint32_t i = 0; i < pairs; ++i) {
    Cell cell;
    cell.seed = seed + i;
    for (int k = 0; k < 2; ++k) {
      cell.faults.push_back({all_faults()[random_index(random, k_fault_count)],
                             steps[random_index(random, steps.size())]});
    }
    cells.push_back(cell);
  }
  return cells;
}

std::vector<Cell> mutation_cells(Mutation mutation, std::uint64_t seed) {
  // Killing the holder of a shard while one of its workers is unreachable exercises every safety
  // rule.
  const std::vector<std::vector<Cell::PlannedFault>> fault_lists{
      {{Fault::kill_daemon, "agent start"}},
      {{Fault::kill_daemon, "append task_progress"}},
      {{Fault::agent_unreachable, "agent acknowledge", std::chrono::seconds{40}},
       {Fault::kill_daemon, "agent acknowledge"}},
      {{Fault::kill_daemon, "request executed"}},
      {{Fault::target_crash, "request executed"}},
      {{Fault::pause_daemon, "agent start"}},
      {{Fault::log_outage, "append task_progress"}, {Fault::kill_daemon, "agent acknowledge"}},
      {{Fault::agent_answers_lost, "agent stop"}},
      {{Fault::cancellation_wave, "agent start"}},
  };
  std::vector<Cell> cells;
  for (const auto& faults : fault_lists) {
    for (std::uint64_t i = 0; i < k_mutation_seeds; ++i) {
      cells.push_back(Cell{faults, seed + i, mutation});
    }
  }
  return cells;
}

CellResult run_cell(const Cell& cell) {
  const Topology topology;
  World world(topology, cell.seed, cell.mutation);
  std::vector<bool> injected(cell.faults.size(), false);
  world.on_step([&](const Step& step) {
    for (std::size_t i = 0; i < cell.faults.size(); ++i) {
      if (injected[i] || cell.faults[i].step != step.name) {
        continue;
      }
      injected[i] = true;
      Injection injection;
      injection.fault = cell.faults[i].fault;
      injection.subject = step.daemon;
      injection.length = cell.faults[i].length;
      // The step itself completes; the fault is injected right after it.
      world.queue().after(Duration{1}, [&world, injection] { world.inject(injection); });
    }
  });
  world.start_all();
  schedule_base(world, topology);
  world.run_for(k_end);
  CellResult result;
  result.cell = cell;
  result.all_injected =
      std::all_of(injected.begin(), injected.end(), [](bool done) { return done; });
  result.breaches = world.breaches();
  check_progress(world, cell, result.breaches);
  result.trace = world.trace();
  return result;
}

std::vector<CellResult> run_cells(const std::vector<Cell>& cells, std::uint32_t threads) {
  std::vector<CellResult> results(cells.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> pool;
  for (std::uint32_t i = 0; i < std::max(threads, 1U); ++i) {
    pool.emplace_back([&] {
      for (std::size_t index = next++; index < cells.size(); index = next++) {
        results[index] = run_cell(cells[index]);
      }
    });
  }
  for (auto& thread : pool) {
    thread.join();
  }
  return results;
}

}  // namespace arbutusdale::scenario
