// Decides which task crashes the workers that start it, for fleets on which many tasks share a
// worker. A crash ends every run of the worker, and most of them did not cause it. A run that had
// been started a moment before is the likely cause; its task is then started alone on a worker, so
// that further crashes right after its starts prove the cause and take fewer other runs with them.
// After the crash of many workers at once, such as a lost rack, there are too many suspects to
// start each of them alone soon. Those with a single crash are then started in groups: if the
// worker of a group lives, all of them are cleared, and if not, each is started alone.
// A task that crashes its workers only after some seconds never proves it like that. It is
// convicted if so many crashes while its runs lived are very unlikely to be chance, see
// crash_rate.hpp. Their number alone proves nothing: in a series of crashes sound tasks lose as
// many runs in a row.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutusdale::sched {

/// A run has settled once its worker has answered this long after the run had begun. A task that
/// crashes the workers that start it does so earlier.
inline constexpr Duration k_settling_time = std::chrono::milliseconds{500};
/// A crash that is noticed this soon after a run had begun is unlikely to be a coincidence.
inline constexpr Duration k_prompt_crash_time = std::chrono::milliseconds{200};
/// A run that has lived this long shows that the earlier crashes were not caused by its task.
inline constexpr Duration k_clearing_time = std::chrono::seconds{10};

class CrashRate;

/// A run that ended with the crash of its worker.
struct CrashedRun {
  std::uint32_t number = 0;
  std::string worker;     // id
  bool begun = false;     // the worker had confirmed the run
  bool settled = false;   // another run is more likely the cause of the crash
  bool isolated = false;  // no other run was started on the worker shortly before or after
  bool prompt = false;    // the worker was silent within k_prompt_crash_time after the start
  Duration age{};         // time for which the run is known to have run
  bool grouped = false;   // no other run but those of suspects was; not stored
  // Time from its begin to the first sign of the crash, if this leader knows it; not stored.
  TimePoint begun_at{};
  TimePoint silent_at{};  // zero: not known
  /// Crashes of its worker to be expected in that time if no task causes any. Not known of runs
  /// under an earlier leader, which say nothing about chance; not stored.
  std::optional<double> expected_crashes = std::nullopt;
};

/// The crashes under the runs of one task.
class CrashHistory {
 public:
  /// Returns false when the run is known already.
  bool add(CrashedRun run);
  /// Estimates anew how many crashes were to be expected: crashes of other workers at the same time
  /// become known later. `others` is the number of other workers.
  void estimate_chance(const CrashRate& rate, std::size_t others);
  /// A run of the task has settled on another worker, so the earlier crashes no longer make it a
  /// suspect. They still count as crashes in a row.
  void clear_suspicion() { m_cleared = m_runs.size(); }
  /// A run of the task has lived for k_clearing_time.
  void clear();

  /// True when the task may have caused a crash. Its next run has to be isolated.
  [[nodiscard]] bool is_suspect() const;
  /// True when a single crash makes the task a suspect, so that it may be started in a group.
  [[nodiscard]] bool is_weak_suspect() const;
  /// True when the task is the cause of crashes, so that it must not be started again.
  [[nodiscard]] bool is_cause() const;
  /// The chance of such crashes if the task causes none: 0 with a proof, 1 if too few are known.
  [[nodiscard]] double chance() const;
  /// Number of the crashes that make the task a suspect.
  [[nodiscard]] std::size_t recent_unsettled_crashes() const;
  /// The crashes in a row, the first ones first.
  [[nodiscard]] const std::vector<CrashedRun>& runs() const { return m_runs; }
  /// Number of the first runs that make the task no suspect any more.
  [[nodiscard]] std::size_t cleared() const { return m_cleared; }
  /// Ids of the workers that crashed under the task, separated by commas.
  [[nodiscard]] std::string workers() const;

 private:
  /// Begin of the crashes since the suspicion was last cleared.
  [[nodiscard]] std::vector<CrashedRun>::const_iterator suspicious_begin() const;
  [[nodiscard]] std::size_t recent_prompt_crashes() const;
  [[nodiscard]] bool is_proved() const;

  std::vector<CrashedRun> m_runs;  // in the order in which the crashes became known
  std::size_t m_cleared = 0;       // the first runs, which make the task no suspect any more
};

}  // namespace arbutusdale::sched
