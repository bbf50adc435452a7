// Clocks and time types. Decision code takes the time as an argument; only the outermost layer of
// the daemon reads a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace arbutusdale {

using Duration = std::chrono::microseconds;

/// Timeline of the monotonic time that decisions use; all clocks, also the fake one, return its
/// time points.
struct SteadyTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<SteadyTimeline>;
  // The name is fixed by the standard's Clock requirements.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// Microseconds since an arbitrary epoch; monotonic.
using TimePoint = SteadyTimeline::time_point;

/// Source of monotonic and wall-clock time.
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// Monotonic time, for decisions.
  [[nodiscard]] virtual TimePoint now() const = 0;

  /// Wall-clock time in milliseconds since the Unix epoch, for records that people read.
  [[nodiscard]] virtual std::uint64_t wall_ms() const = 0;
};

/// Clock of the operating system.
std::unique_ptr<Clock> make_system_clock();

/// Clock that advances only on request; for tests and the scenario runner.
class FakeClock final : public Clock {
 public:
  [[nodiscard]] TimePoint now() const override { return m_now; }
  [[nodiscard]] std::uint64_t wall_ms() const override;

  void advance(Duration duration) { m_now += duration; }
  void set(TimePoint time) { m_now = time; }

 private:
  TimePoint m_now{Duration{1'000'000}};
};

}  // namespace arbutusdale
