// arbutus-scenario: runs scenario files, the fault matrix, and the mutations that show that the
// checks can fail.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "matrix.hpp"
#include "script.hpp"
#include <getopt.h>
#include <spdlog/spdlog.h>

using namespace arbutusdale;
using namespace arbutusdale::scenario;

namespace {

constexpr int k_usage_error = 2;
constexpr std::size_t k_shown_trace_lines = 25;

struct Options {
  bool matrix = false;
  bool mutations = false;
  bool verbose = false;
  std::uint64_t seed = 1;
  std::uint32_t pairs = 60;
  std::uint32_t threads = std::max(1U, std::thread::hardware_concurrency());
  std::string fault;  // only cells with this fault
  std::string step;   // only cells with this step
};

void print_usage() {
  std::puts(
      "Usage: arbutus-scenario [OPTION]... [FILE...]\n"
      "Runs scenario files against the real control code on a fake clock.\n\n"
      "  --matrix        every fault at every step, and seeded pairs of faults\n"
      "  --mutations     seeds one deliberate fault per invariant; each must be caught\n"
      "  --seed=N        seed of the order of events (1)\n"
      "  --pairs=N       pairs of faults in the matrix (60)\n"
      "  --fault=NAME    only cells with this fault\n"
      "  --step=NAME     only cells with this step\n"
      "  --verbose       log lines of the daemons\n"
      "  --help          this text\n"
      "Exit status: 0 all passed, 1 a check failed, 2 wrong usage or scenario file.");
}

void print_failure(const CellResult& result) {
  std::printf("FAILED %s\n", describe(result.cell).c_str());
  for (const auto& breach : result.breaches) {
    std::printf("  breach: %s\n", breach.c_str());
  }
  const auto& trace = result.trace;
  const auto first = trace.size() > k_shown_trace_lines ? trace.size() - k_shown_trace_lines : 0;
  for (std::size_t i = first; i < trace.size(); ++i) {
    std::printf("  trace: %s\n", trace[i].c_str());
  }
}

bool selected(const Cell& cell, const Options& options) {
  for (const auto& planned : cell.faults) {
    if ((options.fault.empty() || to_string(planned.fault) == options.fault) &&
        (options.step.empty() || planned.step == options.step)) {
      return true;
    }
  }
  return false;
}

int run_matrix(const Options& options) {
  const auto steps = discover_steps(options.seed);
  std::vector<Cell> cells;
  for (auto& cell : make_cells(steps, options.seed, options.pairs)) {
    if (selected(cell, options)) {
      cells.push_back(cell);
    }
  }
  std::size_t failed = 0;
  std::size_t not_injected = 0;
  for (const auto& result : run_cells(cells, options.threads)) {
    not_injected += result.all_injected ? 0 : 1;
    if (!result.breaches.empty()) {
      ++failed;
      print_failure(result);
    }
  }
  std::printf(
      "fault matrix: seed %lu, %zu faults, %zu steps, %zu cells (%zu whose step was not "
      "met)\n",
      options.seed, k_fault_count, steps.size(), cells.size(), not_injected);
  std::printf("%zu passed, %zu failed\n", cells.size() - failed, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run_mutations(const Options& options) {
  constexpr std::array k_mutations{
      Mutation::overcommit,        Mutation::double_run,       Mutation::early_resume,
      Mutation::double_completion, Mutation::cancelled_start,  Mutation::false_not_run,
      Mutation::repeated_key,      Mutation::wrong_answer,     Mutation::leaving_target,
      Mutation::cut_off_request,   Mutation::reverted_version, Mutation::no_progress};
  std::size_t missed = 0;
  for (const auto mutation : k_mutations) {
    const auto cells = mutation_cells(mutation, options.seed);
    const auto results = run_cells(cells, options.threads);
    const auto caught = std::any_of(results.begin(), results.end(),
                                    [](const auto& result) { return !result.breaches.empty(); });
    std::string first;
    for (const auto& result : results) {
      if (!result.breaches.empty()) {
        first = result.breaches.front();
        break;
      }
    }
    std::printf("mutation %-18s %s%s%s\n", std::string(to_string(mutation)).c_str(),
                caught ? "caught" : "MISSED", caught ? ": " : "", first.c_str());
    missed += caught ? 0 : 1;
  }
  std::printf("%zu passed, %zu failed\n", k_mutations.size() - missed, missed);
  return missed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int run_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
    return k_usage_error;
  }
  const auto script = parse_script(path, text.str());
  if (!script) {
    std::fprintf(stderr, "%s\n", script.error().message.c_str());
    return k_usage_error;
  }
  const auto outcome = run_script(*script);
  std::printf("%s: seed %lu, %s\n", path.c_str(), script->seed,
              outcome.failures.empty() ? "passed" : "FAILED");
  for (const auto& failure : outcome.failures) {
    std::printf("  %s\n", failure.c_str());
  }
  for (std::size_t i = 0; !outcome.failures.empty() && i < outcome.trace.size(); ++i) {
    std::printf("  trace: %s\n", outcome.trace[i].c_str());
  }
  return outcome.failures.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Returns false on wrong usage.
bool parse_options(int argc, char** argv, Options& options) {
  const std::array<option, 9> flags{{{"matrix", no_argument, nullptr, 'm'},
                                     {"mutations", no_argument, nullptr, 'u'},
                                     {"seed", required_argument, nullptr, 's'},
                                     {"pairs", required_argument, nullptr, 'p'},
                                     {"fault", required_argument, nullptr, 'f'},
                                     {"step", required_argument, nullptr, 't'},
                                     {"verbose", no_argument, nullptr, 'v'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}}};
  for (int flag = 0; (flag = getopt_long(argc, argv, "", flags.data(), nullptr)) != -1;) {
    switch (flag) {
      case 'm':
        options.matrix = true;
        break;
      case 'u':
        options.mutations = true;
        break;
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'p':
        options.pairs = static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'f':
        options.fault = optarg;
        break;
      case 't':
        options.step = optarg;
        break;
      case 'v':
        options.verbose = true;
        break;
      case 'h':
        print_usage();
        std::exit(EXIT_SUCCESS);
      default:
        return false;
    }
  }
  return options.matrix || options.mutations || optind < argc;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (!parse_options(argc, argv, options)) {
    print_usage();
    return k_usage_error;
  }
  spdlog::set_level(options.verbose ? spdlog::level::info : spdlog::level::off);
  int status = EXIT_SUCCESS;
  if (options.matrix) {
    status = std::max(status, run_matrix(options));
  }
  if (options.mutations) {
    status = std::max(status, run_mutations(options));
  }
  for (int i = optind; i < argc; ++i) {
    status = std::max(status, run_file(argv[i]));
  }
  return status;
}
