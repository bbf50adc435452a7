// Time as the decision code sees it. Decisions take the time as an argument; only the
// daemon's edges read a clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace arbutusdale {

using Duration = std::chrono::microseconds;

/// Tag of the steady time line that all decisions use; the fake clock has the same type.
struct SteadyTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<SteadyTimeline>;
  // The name is fixed by the standard's Clock requirements.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

/// Microseconds since an arbitrary start, never going back.
using TimePoint = SteadyTimeline::time_point;

/// Source of time.
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// Steady time for decisions.
  [[nodiscard]] virtual TimePoint now() const = 0;

  /// Wall time in milliseconds since the Unix epoch, for records that people read.
  [[nodiscard]] virtual std::uint64_t wall_ms() const = 0;
};

/// Clock of the operating system.
std::unique_ptr<Clock> make_system_clock();

/// Clock that moves only when told; for tests and the scenario runner.
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
