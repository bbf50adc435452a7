// Estimates how many crashes of workers are due to chance.
#include "arbutusdale/sched/crash_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace arbutusdale::sched {
namespace {

// The least rate assumed: one crash of a worker in this time.
constexpr Duration k_longest_time_between_crashes = std::chrono::minutes{10};
constexpr Duration k_memory = std::chrono::minutes{5};
// Crashes of the same cause, such as the loss of a rack, are noticed within this time.
constexpr Duration k_common_cause_time = std::chrono::seconds{1};

double ratio(Duration time, Duration unit) {
  return static_cast<double>(time.count()) / static_cast<double>(unit.count());
}

}  // namespace

void CrashRate::note_silence(std::string_view worker, TimePoint since) {
  m_known_since = std::max(m_known_since, since - k_memory);
  std::erase_if(m_silences,
                [this](const Silence& silence) { return silence.since < m_known_since; });
  m_silences.push_back({std::string(worker), since});
}

void CrashRate::forget_silence(std::string_view worker, TimePoint since) {
  std::erase_if(m_silences, [&](const Silence& silence) {
    return silence.since == since && silence.worker == worker;
  });
}

void CrashRate::explain_silence(std::string_view worker, TimePoint since) {
  for (Silence& silence : m_silences) {
    if (silence.since == since && silence.worker == worker) {
      silence.explained = true;
    }
  }
}

bool CrashRate::is_explained(std::string_view worker, TimePoint since) const {
  return std::any_of(m_silences.begin(), m_silences.end(), [&](const Silence& silence) {
    return silence.explained && silence.since == since && silence.worker == worker;
  });
}

std::optional<double> CrashRate::expected_crashes(std::string_view worker, TimePoint begun_at,
                                                  TimePoint silent_at, std::size_t others) const {
  const TimePoint last = silent_at + k_common_cause_time;
  if (begun_at < m_known_since) {
    return std::nullopt;
  }
  const auto crashes =
      std::count_if(m_silences.begin(), m_silences.end(), [&](const Silence& silence) {
        return !silence.explained && silence.since >= begun_at && silence.since <= last &&
               silence.worker != worker;
      });
  const double of_others =
      static_cast<double>(crashes) / static_cast<double>(std::max<std::size_t>(others, 1));
  return of_others + ratio(silent_at - begun_at, k_longest_time_between_crashes);
}

// Sums the Poisson distribution from `crashes` on; the difference from one would lose the digits of
// small probabilities.
double chance_of_crashes(std::size_t crashes, double expected) {
  if (static_cast<double>(crashes) <= expected) {
    return 1;
  }
  constexpr double k_negligible = 1e-12;
  double term = std::exp(-expected);
  for (std::size_t i = 1; i <= crashes; ++i) {
    term *= expected / static_cast<double>(i);
  }
  double sum = 0;
  for (std::size_t i = crashes + 1; term > k_negligible * sum; ++i) {
    sum += term;
    term *= expected / static_cast<double>(i);
  }
  return std::min(sum, 1.0);
}

}  // namespace arbutusdale::sched
