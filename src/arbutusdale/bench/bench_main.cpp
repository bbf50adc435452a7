// arbutus-bench: measures the cost of decisions, and runs experiments with the queue model.
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "decision_cost.hpp"
#include "experiment.hpp"
#include <fmt/format.h>
#include <getopt.h>

namespace {

constexpr const char* k_usage =
    "usage: arbutus-bench [--seed N] decisions\n"
    "       arbutus-bench experiment FILE\n";

int run_file(const char* path) {
  std::ifstream file{path};
  if (!file) {
    fmt::print(stderr, "cannot open {}\n", path);
    return EXIT_FAILURE;
  }
  const std::string text{std::istreambuf_iterator<char>{file}, {}};
  const auto experiment = arbutusdale::bench::parse_experiment(text);
  if (!experiment) {
    fmt::print(stderr, "{}: {}\n", path, experiment.error().message);
    return EXIT_FAILURE;
  }
  fmt::print("{}\n{}", experiment->name, arbutusdale::bench::run_experiment(*experiment));
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  const option options[] = {{"seed", required_argument, nullptr, 's'}, {}};
  for (int found = 0; (found = getopt_long(argc, argv, "s:", options, nullptr)) != -1;) {
    if (found != 's') {
      fmt::print(stderr, "{}", k_usage);
      return EXIT_FAILURE;
    }
    seed = std::strtoull(optarg, nullptr, 10);
  }
  const std::string command = optind < argc ? argv[optind] : "";
  if (command == "decisions") {
    fmt::print("{}", arbutusdale::bench::measure_decision_cost(seed));
    return EXIT_SUCCESS;
  }
  if (command == "experiment" && optind + 1 < argc) {
    return run_file(argv[optind + 1]);
  }
  fmt::print(stderr, "{}", k_usage);
  return EXIT_FAILURE;
}
