// arbutus-batch-bench: compares the batch policies with their baselines on simulated workers.
#include <cstdlib>
#include <string>

#include "batch_experiment.hpp"
#include <fmt/format.h>
#include <getopt.h>

int main(int argc, char** argv) {
  arbutusdale::bench::BatchExperimentOptions settings;
  const option options[] = {
      {"seed", required_argument, nullptr, 's'}, {"minutes", required_argument, nullptr, 'm'}, {}};
  for (int found = 0; (found = getopt_long(argc, argv, "s:m:", options, nullptr)) != -1;) {
    if (found == 's') {
      settings.seed = std::strtoull(optarg, nullptr, 10);
    } else if (found == 'm') {
      settings.minutes = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
    } else {
      settings.minutes = 0;
      break;
    }
  }
  if (settings.minutes == 0 || optind < argc) {
    fmt::print(stderr, "usage: arbutus-batch-bench [--seed N] [--minutes N]\n");
    return EXIT_FAILURE;
  }
  fmt::print("{}", arbutusdale::bench::run_batch_experiment(settings));
  return EXIT_SUCCESS;
}
