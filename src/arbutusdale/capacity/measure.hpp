// Measurement of processor time and heap use, and least-squares slopes over several sizes.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace arbutusdale::capacity {

/// Processor seconds that this process has used.
double cpu_seconds();

/// Bytes in use on the heap.
std::uint64_t heap_bytes();

/// One measured size and its cost.
struct Point {
  double size = 0;
  double cost = 0;
};

/// Straight line through the points by least squares.
struct Slope {
  double per_unit = 0;
  double base = 0;
};

Slope fit(const std::vector<Point>& points);

/// One row of the report: a cost per unit, with the sizes that it was measured at.
struct Row {
  std::string name;
  std::string unit;
  std::vector<Point> points;
  Slope slope;
};

/// Prints all rows as a table.
void print(const std::vector<Row>& rows);

Row make_row(std::string name, std::string unit, std::vector<Point> points);

// Each function measures the slopes of one role.
std::vector<Row> measure_state();
std::vector<Row> measure_recovery();
std::vector<Row> measure_membership();
std::vector<Row> measure_batch();
std::vector<Row> measure_routing();

}  // namespace arbutusdale::capacity
