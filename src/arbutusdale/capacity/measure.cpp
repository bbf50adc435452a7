// CPU clock, heap statistics, least-squares fit and report table.
#include "measure.hpp"

#include <cstdio>
#include <ctime>
#include <utility>

#include <malloc.h>

namespace arbutusdale::capacity {

double cpu_seconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double k_ns_per_second = 1e9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / k_ns_per_second;
}

std::uint64_t heap_bytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Slope fit(const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& point : points) {
    sum_x += point.size;
    sum_y += point.cost;
    sum_xx += point.size * point.size;
    sum_xy += point.size * point.cost;
  }
  const auto count = static_cast<double>(points.size());
  const double denominator = count * sum_xx - sum_x * sum_x;
  Slope slope;
  slope.per_unit = denominator == 0 ? 0 : (count * sum_xy - sum_x * sum_y) / denominator;
  slope.base = (sum_y - slope.per_unit * sum_x) / count;
  return slope;
}

Row make_row(std::string name, std::string unit, std::vector<Point> points) {
  const auto slope = fit(points);
  return Row{std::move(name), std::move(unit), std::move(points), slope};
}

void print(const std::vector<Row>& rows) {
  std::printf("%-52s %12s %-14s %12s   %s\n", "quantity", "per unit", "unit", "base",
              "size:cost measured");
  for (const auto& row : rows) {
    std::printf("%-52s %12.4g %-14s %12.4g  ", row.name.c_str(), row.slope.per_unit,
                row.unit.c_str(), row.slope.base);
    for (const auto& point : row.points) {
      std::printf(" %g:%.4g", point.size, point.cost);
    }
    std::printf("\n");
  }
}

}  // namespace arbutusdale::capacity
