// Runs a parsed scenario and checks its expectations.
#include "script.hpp"

namespace arbutusdale::scenario {
namespace {

constexpr Duration k_declare_at = std::chrono::seconds{2};

void perform(World& world, const TimedAction& action) {
  state::PlanRequest request;
  request.actor = "operator";
  switch (action.kind) {
    case TimedAction::Kind::inject:
      world.inject(action.injection);
      return;
    case TimedAction::Kind::restart:
      world.restart_gracefully(action.subject, action.away);
      return;
    case TimedAction::Kind::drain:
      request.drain_vms.push_back(action.subject);
      break;
    case TimedAction::Kind::cancel:
      request.cancel_jobs.push_back(action.subject);
      break;
  }
  world.apply(request);
}

void check(const World& world, const Expectation& expectation, ScriptOutcome& outcome) {
  const auto where = "line " + std::to_string(expectation.line) + ": ";
  if (expectation.kind == Expectation::Kind::invariants) {
    for (const auto& breach : world.breaches()) {
      outcome.failures.push_back(where + breach);
    }
    return;
  }
  if (expectation.kind == Expectation::Kind::finished) {
    const auto finished = world.observer().finished_per_job();
    const auto job = finished.find(expectation.job);
    const auto tasks = job == finished.end() ? 0 : job->second;
    if (tasks != expectation.tasks) {
      outcome.failures.push_back(where + expectation.job + " finished " + std::to_string(tasks) +
                                 " tasks, expected " + std::to_string(expectation.tasks));
    }
    return;
  }
  const auto& callers = world.callers();
  const double answered = callers.requests == 0 ? 0
                                                : static_cast<double>(callers.answered) /
                                                      static_cast<double>(callers.requests);
  if (answered < expectation.share) {
    outcome.failures.push_back(where + "answered share " + std::to_string(answered) +
                               ", expected at least " + std::to_string(expectation.share));
  }
}

}  // namespace

ScriptOutcome run_script(const Script& script) {
  World world(script.topology, script.seed);
  auto& queue = world.queue();
  const auto start = queue.now();
  queue.at(start + k_declare_at, [&] { world.apply(script.declaration); });
  for (const auto& load : script.loads) {
    queue.at(start + load.from, [&world, load, start] {
      world.load(load.service, load.rate, load.keyed, start + load.until);
    });
  }
  for (const auto& action : script.actions) {
    queue.at(start + action.at, [&world, action] { perform(world, action); });
  }
  world.start_all();
  world.run_for(script.length);
  ScriptOutcome outcome;
  for (const auto& expectation : script.expectations) {
    check(world, expectation, outcome);
  }
  outcome.trace = world.trace();
  for (auto* process : world.live()) {
    outcome.trace.push_back("status " + process->node().status_json());
  }
  return outcome;
}

}  // namespace arbutusdale::scenario
