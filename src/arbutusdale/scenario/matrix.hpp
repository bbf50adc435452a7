// Fault matrix: every fault at every step of the base scenario, and a random sample of pairs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fault.hpp"
#include "world.hpp"

namespace arbutusdale::scenario {

/// One run of the base scenario. Each fault is injected at the first occurrence of its step.
struct Cell {
  struct PlannedFault {
    Fault fault = Fault::kill_daemon;
    std::string step;
    Duration length = std::chrono::seconds{15};
  };
  std::vector<PlannedFault> faults;
  std::uint64_t seed = 1;
  Mutation mutation = Mutation::none;
};

struct CellResult {
  Cell cell;
  bool all_injected = false;          // false when a fault's step did not occur
  std::vector<std::string> breaches;  // empty when the cell passed
  std::vector<std::string> trace;
};

std::string describe(const Cell& cell);

/// Steps that the base scenario takes, in the order of their first occurrence.
std::vector<std::string> discover_steps(std::uint64_t seed);

/// Every fault at every step, then `pairs` random pairs of faults drawn from `seed`.
std::vector<Cell> make_cells(const std::vector<std::string>& steps, std::uint64_t seed,
                             std::uint32_t pairs);

/// Cells that run with `mutation` enabled; at least one of them must report a breach.
std::vector<Cell> mutation_cells(Mutation mutation, std::uint64_t seed);

CellResult run_cell(const Cell& cell);

/// Runs cells on `threads` threads; results are in the order of the cells.
std::vector<CellResult> run_cells(const std::vector<Cell>& cells, std::uint32_t threads);

}  // namespace arbutusdale::scenario
