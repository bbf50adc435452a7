// Finds the lasting tasks that wait in calm times of the day, at any moment.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched_fixture_test.hpp"
#include "waiting_watch_test.hpp"

namespace arbutusdale::sched {

/// Checks each lasting task: over 3 s without a run, from 6 s after its last run, breaks the rule
/// if no fault was active or began in these 3 s or the 4 s before them, and if there was room for
/// the task twice over during the 3 s. Crashes by tasks are no faults.
class CalmWaits {
 public:
  CalmWaits(FleetFixture& fixture, const WaitingWatch& watch)
      : m_fixture(fixture), m_watch(watch) {}

  /// Looks at the present runs; to be called after the watch has observed them. `disturbed_until`
  /// is the end of the last fault so far.
  void observe(TimePoint disturbed_until) {
    constexpr std::chrono::seconds k_calm_before{4};
    const bool is_calm = now() > disturbed_until + k_calm_before + k_longest_wait;
    m_calm_moments += is_calm ? 1 : 0;
    for (const std::uint32_t number : m_watch.open_lasting_jobs()) {
      const bool has_room = has_room_twice(number);
      for (std::uint32_t i = 0; i < k_waiting_lasting_tasks; ++i) {
        observe_task(number, i, has_room, is_calm);
      }
    }
  }

  /// Descriptions of the waits found, one for each.
  [[nodiscard]] const std::vector<std::string>& found() const { return m_found; }
  /// Number of observations at which a wait could have been found.
  [[nodiscard]] std::uint64_t calm_moments() const { return m_calm_moments; }

 private:
  using TaskNumber = std::pair<std::uint32_t, std::uint32_t>;  // of its job, in its step

  [[nodiscard]] TimePoint now() const { return m_fixture.timer.now(); }

  void observe_task(std::uint32_t number, std::uint32_t index, bool has_room, bool is_calm) {
    const TimePoint last_run =
        std::max(m_watch.last_run_of(number, index),
                 m_fixture.fleet.last_start_of({job_id(number), 0, 0, index}));
    if (last_run == now()) {
      return;
    }
    const TaskNumber task{number, index};
    if (!has_room) {
      m_no_room_at[task] = now();
    }
    const bool has_waited = now() - last_run > k_lasting_grace + k_longest_wait &&
                            now() - m_no_room_at[task] > k_longest_wait;
    if (!is_calm || !has_waited) {
      return;
    }
    const auto [found, added] = m_reported.try_emplace(task, last_run);
    if (added || found->second != last_run) {
      found->second = last_run;
      m_found.push_back(fmt::format("task {} of job {} waits in calm times, at {} ms", index,
                                    number, m_fixture.timer.wall_ms()));
    }
  }

  /// Ready workers have free room for two more tasks of the job.
  [[nodiscard]] bool has_room_twice(std::uint32_t number) const {
    constexpr std::uint64_t k_times = 2;
    const jobs::JobEntry* entry = m_fixture.log.jobs.find(job_id(number));
    const proto::jobs::StepSpec& step = entry->submitted->spec().steps(0);
    std::uint64_t places = 0;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      if (!worker->crashed && worker->entry.state == WorkerState::ready) {
        places += places_on(*worker, number, step);
      }
    }
    return places >= k_times;
  }
  [[nodiscard]] std::uint64_t places_on(const FakeWorker& worker, std::uint32_t number,
                                        const proto::jobs::StepSpec& step) const {
    std::uint64_t of_job = 0;
    for (const FakeRun& run : worker.runs) {
      of_job += number_of(run.task.job) == number ? 1 : 0;
    }
    const std::uint64_t reserved = m_fixture.fleet.reserved_on(worker).cpu_millis;
    const std::uint64_t capacity = worker.entry.capacity.cpu_millis;
    const std::uint64_t places =
        reserved >= capacity ? 0 : (capacity - reserved) / step.cpu_millis();
    if (step.max_per_worker() == 0) {
      return places;
    }
    const std::uint64_t most = step.max_per_worker();
    return of_job >= most ? 0 : std::min(places, most - of_job);
  }

  FleetFixture& m_fixture;
  const WaitingWatch& m_watch;
  std::map<TaskNumber, TimePoint> m_no_room_at;  // last moment without room
  std::map<TaskNumber, TimePoint> m_reported;    // last run before the wait that was reported
  std::vector<std::string> m_found;
  std::uint64_t m_calm_moments = 0;
};

}  // namespace arbutusdale::sched
