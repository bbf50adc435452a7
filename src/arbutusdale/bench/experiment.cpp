// Parses experiment files, runs them and formats the results.
#include "experiment.hpp"

#include <algorithm>
#include <future>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace arbutusdale::bench {
namespace {

using nlohmann::json;

constexpr std::size_t k_runs_at_once = 4;

std::optional<routing::Policy> policy_of(const std::string& name) {
  for (const auto policy : {routing::Policy::slot_share, routing::Policy::round_robin,
                            routing::Policy::random, routing::Policy::least_in_flight}) {
    if (routing::to_string(policy) == name) {
      return policy;
    }
  }
  return std::nullopt;
}

/// Expands lists of values into one run for each combination.
std::vector<json> expand(const json& run) {
  std::vector<json> expanded{json::object()};
  for (const auto& [name, value] : run.items()) {
    std::vector<json> next;
    for (const auto& one : value.is_array() ? value : json::array({value})) {
      for (auto partial : expanded) {
        partial[name] = one;
        next.push_back(std::move(partial));
      }
    }
    expanded = std::move(next);
  }
  return expanded;
}

Duration milliseconds(const json& value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>{value.get<double>()});
}

/// Sets one member. Returns false if the name of the member, scenario or policy is unknown; throws
/// json::exception if the value has the wrong type.
bool set_member(ModelOptions& options, const std::string& name, const json& value) {
  if (name == "scenario") {
    const auto scenario = scenario_of(value.get<std::string>());
    options.scenario = scenario.value_or(Scenario::steady);
    return scenario.has_value();
  }
  if (name == "policy") {
    const auto policy = policy_of(value.get<std::string>());
    options.policy = policy.value_or(routing::Policy::slot_share);
    return policy.has_value();
  }
  const std::pair<const char*, double*> numbers[] = {{"load", &options.load},
                                                     {"surge", &options.surge},
                                                     {"skew", &options.skew},
                                                     {"spread", &options.spread},
                                                     {"affected_share", &options.affected_share},
                                                     {"slow_factor", &options.slow_factor},
                                                     {"wave_share", &options.wave_share},
                                                     {"wave_factor", &options.wave_factor}};
  for (const auto& [member, place] : numbers) {
    if (name == member) {
      *place = value.get<double>();
      return true;
    }
  }
  const std::pair<const char*, std::uint32_t*> counts[] = {
      {"daemons", &options.daemons}, {"workers", &options.workers}, {"slots", &options.slots}};
  for (const auto& [member, place] : counts) {
    if (name == member) {
      *place = value.get<std::uint32_t>();
      return true;
    }
  }
  const std::pair<const char*, Duration*> times[] = {{"mean_service_ms", &options.mean_service},
                                                     {"deadline_ms", &options.deadline},
                                                     {"link_delay_ms", &options.link_delay},
                                                     {"warm_up_ms", &options.warm_up},
                                                     {"measured_ms", &options.measured}};
  for (const auto& [member, place] : times) {
    if (name == member) {
      *place = milliseconds(value);
      return true;
    }
  }
  if (name == "seed") {
    options.seed = value.get<std::uint64_t>();
    return true;
  }
  if (name == "retry_budget") {
    options.retry_budget = value.get<bool>();
    return true;
  }
  return false;
}

Result<ModelOptions> parse_run(const json& run) {
  ModelOptions options;
  for (const auto& [name, value] : run.items()) {
    try {
      if (set_member(options, name, value)) {
        continue;
      }
    } catch (const json::exception&) {
      // The error below names the member.
    }
    return not_run(ErrorCode::invalid_argument,
                   fmt::format("member \"{}\" has a wrong name or value: {}", name, value.dump()));
  }
  return options;
}

std::string format_line(const ModelOptions& options, const ModelResult& real,
                        const ModelResult& ideal) {
  const double ratio = ideal.p99_ms > 0.0 ? real.p99_ms / ideal.p99_ms : 0.0;
  return fmt::format(
      "{:<14} {:<16} {:>4.2f} {:>5.2f} {:>8.1f} {:>8.1f} {:>8.1f} {:>9.1f} {:>6.2f} {:>8.3f} "
      "{:>8.3f} "
      "{:>8.4f} {:>8.4f} {:>7.3f} {:>8.4f} {:>8.4f}\n",
      to_string(options.scenario), routing::to_string(options.policy), options.spread, options.load,
      real.p50_ms, real.p99_ms, real.p999_ms, ideal.p99_ms, ratio, real.goodput, ideal.goodput,
      real.refused, real.failed, real.amplification, real.queued_at_worker, real.affected);
}

std::string run_line(const ModelOptions& options) {
  return format_line(options, run_model(options), run_ideal(options));
}

}  // namespace

Result<Experiment> parse_experiment(const std::string& text) {
  const auto document = json::parse(text, nullptr, false, true);
  if (!document.is_object() || !document.contains("runs") || !document["runs"].is_array()) {
    return not_run(ErrorCode::invalid_argument, "not a JSON object with a list \"runs\"");
  }
  Experiment experiment;
  experiment.name = document.value("name", "unnamed");
  for (const auto& run : document["runs"]) {
    auto merged = document.value("defaults", json::object());
    merged.update(run);
    for (const auto& one : expand(merged)) {
      auto options = parse_run(one);
      if (!options) {
        return tl::unexpected<Error>(options.error());
      }
      experiment.runs.push_back(*options);
    }
  }
  return experiment;
}

std::string run_experiment(const Experiment& experiment) {
  std::string table = fmt::format(
      "{:<14} {:<16} {:>4} {:>5} {:>8} {:>8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>8} "
      "{:>8}\n",
      "scenario", "policy", "sprd", "load", "p50_ms", "p99_ms", "p99.9_ms", "ideal_p99", "ratio",
      "goodput", "ideal_gp", "refused", "failed", "amplif", "crowded", "affected");
  for (std::size_t first = 0; first < experiment.runs.size(); first += k_runs_at_once) {
    std::vector<std::future<std::string>> lines;
    const auto last = std::min(first + k_runs_at_once, experiment.runs.size());
    for (std::size_t i = first; i < last; ++i) {
      lines.push_back(std::async(std::launch::async, run_line, std::cref(experiment.runs[i])));
    }
    for (auto& line : lines) {
      table += line.get();
    }
  }
  return table;
}

}  // namespace arbutusdale::bench
