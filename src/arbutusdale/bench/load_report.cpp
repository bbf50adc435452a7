// Formats the results of a load run as a table or as JSON.
#include "load_run.hpp"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace arbutusdale::bench {
namespace {

constexpr double k_ms_per_second = 1e3;

double quantile_ms(const StreamResult& result, double q) {
  return result.latency->quantile(q) * k_ms_per_second;
}

nlohmann::json to_json(const StreamResult& result) {
  return {{"team", result.stream.team},
          {"path", result.stream.path},
          {"method", result.stream.method},
          {"rate", result.stream.rate},
          {"sent", result.sent},
          {"answered", result.answered},
          {"server_errors", result.server_errors},
          {"not_run", result.not_run},
          {"may_have_run", result.may_have_run},
          {"failed", result.failed},
          {"skipped", result.skipped},
          {"p50_ms", quantile_ms(result, 0.5)},
          {"p99_ms", quantile_ms(result, 0.99)},
          {"p999_ms", quantile_ms(result, 0.999)}};
}

}  // namespace

std::string format_table(const LoadOptions& options, const std::vector<StreamResult>& results) {
  std::string out = fmt::format("load on {}, seed {}\n", options.address, options.seed);
  out += fmt::format(
      "{:<12} {:<6} {:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9} {:>9} {:>9}\n", "team",
      "method", "path", "sent", "answered", "5xx", "not_run", "may_have", "failed", "skipped",
      "p50 ms", "p99 ms", "p99.9 ms");
  for (const auto& result : results) {
    out += fmt::format(
        "{:<12} {:<6} {:<20} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9.3f} {:>9.3f} "
        "{:>9.3f}\n",
        result.stream.team, result.stream.method, result.stream.path, result.sent, result.answered,
        result.server_errors, result.not_run, result.may_have_run, result.failed, result.skipped,
        quantile_ms(result, 0.5), quantile_ms(result, 0.99), quantile_ms(result, 0.999));
  }
  return out;
}

std::string format_json(const LoadOptions& options, const std::vector<StreamResult>& results) {
  auto streams = nlohmann::json::array();
  for (const auto& result : results) {
    streams.push_back(to_json(result));
  }
  const nlohmann::json document = {
      {"address", options.address},
      {"seed", options.seed},
      {"seconds", std::chrono::duration<double>(options.duration).count()},
      {"streams", std::move(streams)}};
  return document.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace arbutusdale::bench
