// System and fake clock.
#include "arbutusdale/core/clock.hpp"

namespace arbutusdale {
namespace {

// Wall-clock time at time point zero of the fake clock: 2026-01-01T00:00:00Z.
constexpr std::uint64_t k_fake_epoch_ms = 1'767'225'600'000;

class SystemClock final : public Clock {
 public:
  [[nodiscard]] TimePoint now() const override {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint{std::chrono::duration_cast<Duration>(since_boot)};
  }

  [[nodiscard]] std::uint64_t wall_ms() const override {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
  }
};

}  // namespace

std::unique_ptr<Clock> make_system_clock() {
  return std::make_unique<SystemClock>();
}

std::uint64_t FakeClock::wall_ms() const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
  return k_fake_epoch_ms + static_cast<std::uint64_t>(ms.count());
}

}  // namespace arbutusdale
