// Measures processor time and heap use, and fits least-squares slopes over several sizes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace arbutusdale::capacity {

/// CPU time consumed by this process, in seconds.
double cpu_seconds();

/// Bytes allocated on the heap, including blocks that the allocator maps directly.
std::uint64_t heap_bytes();

/// Cost measured at one size, in the unit of its row.
struct Point {
  double size = 0;
  double cost = 0;
};

/// Least-squares line: cost = base + per_unit * size.
struct Slope {
  double per_unit = 0;
  double base = 0;
};

/// Fits the line; `per_unit` is 0 when all points have the same size.
Slope fit(const std::vector<Point>& points);

/// One row of the report: the fitted cost per unit and the points that it is fitted to.
struct Row {
  std::string name;
  std::string unit;
  std::vector<Point> points;
  Slope slope;
};

/// Prints all rows as a table to standard output.
void print(const std::vector<Row>& rows);

/// Row with the slope fitted to its points.
Row make_row(std::string name, std::string unit, std::vector<Point> points);

// Each function measures the slopes of one subsystem.
std::vector<Row> measure_state();
std::vector<Row> measure_recovery();
std::vector<Row> measure_membership();
std::vector<Row> measure_batch();
std::vector<Row> measure_routing();

}  // namespace arbutusdale::capacity
