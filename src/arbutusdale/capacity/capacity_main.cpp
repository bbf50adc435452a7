// arbutus-capacity: prints the cost slopes on which the computations in docs/CAPACITY.md are based.
#include <cstdlib>

#include "measure.hpp"
#include <spdlog/spdlog.h>

int main() {
  using namespace arbutusdale::capacity;
  spdlog::set_level(spdlog::level::off);
  std::vector<Row> rows;
  for (const auto& measure :
       {measure_state, measure_recovery, measure_membership, measure_batch, measure_routing}) {
    for (auto& row : measure()) {
      rows.push_back(std::move(row));
    }
  }
  print(rows);
  return EXIT_SUCCESS;
}
