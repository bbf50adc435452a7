// Pauses between polls, and when the runs of a worker are expected to end.
#include "arbutusdale/sched/poll_pause.hpp"

#include <algorithm>
#include <chrono>

namespace arbutusdale::sched {
namespace {

constexpr Duration k_poll_interval = std::chrono::milliseconds{40};
// While the effects of ended runs are being stored.
constexpr Duration k_unstored_poll_interval = std::chrono::milliseconds{250};
// Well within the time for which a worker counts as reachable after an answer.
constexpr Duration k_longest_pause = std::chrono::milliseconds{700};
constexpr Duration k_longest_frequent_pause = std::chrono::milliseconds{350};
constexpr std::uint32_t k_all_percent = 100;

/// Time until the run is expected to end, by its progress or else by the caller's estimate. Zero
/// when that time is over.
Duration expected_remaining(const Run& run, const Step& step, TimePoint now) {
  const TimePoint begun_at = run.begun_at == TimePoint{} ? now : run.begun_at;
  const Duration elapsed = now - begun_at;
  if (run.progress_percent > 0) {
    return elapsed * (k_all_percent - std::min(run.progress_percent, k_all_percent)) /
           run.progress_percent;
  }
  const Duration estimate = std::chrono::milliseconds{step.spec->estimated_ms()};
  return std::max(estimate - elapsed, Duration::zero());
}

Duration pause_until_next_end(const Worker& worker, TimePoint now) {
  Duration pause = worker.is_watched_closely() ? k_longest_frequent_pause : k_longest_pause;
  for (const RunRef& ref : worker.runs) {
    const Run* run = ref.task->find_run(ref.number);
    if (run == nullptr) {
      continue;
    }
    if (run->phase == RunPhase::stopping) {
      return k_unstored_poll_interval;
    }
    if (!ref.task->step->spec->long_running()) {
      pause = std::min(pause, expected_remaining(*run, *ref.task->step, now));
    }
  }
  return std::max(pause, k_unstored_poll_interval);
}

}  // namespace

Duration poll_pause(const Worker& worker, TimePoint now) {
  if (worker.holds_ends(now)) {
    return pause_until_next_end(worker, now);
  }
  const bool is_unstored = worker.processed_through > worker.stored_through;
  return is_unstored ? k_unstored_poll_interval : k_poll_interval;
}

}  // namespace arbutusdale::sched
