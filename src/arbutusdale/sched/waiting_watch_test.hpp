// Observes the runs of the waiting soak and finds the tasks that wait although workers are free.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sched_fixture_test.hpp"
#include "waiting_figures_test.hpp"
#include "waiting_shapes_test.hpp"

namespace arbutusdale::sched {

inline constexpr std::uint32_t k_waiting_lasting_tasks = 6;  // of a lasting job
inline constexpr std::chrono::seconds k_longest_wait{3};     // without a run
inline constexpr std::chrono::seconds k_lasting_grace{6};    // of a lasting task, since its run

inline std::uint32_t number_of(const jobs::JobId& job) {
  return static_cast<std::uint32_t>(std::stoul(job.str(), nullptr, 16));
}

/// Knows when each job and each lasting task had a run, from the observations made of the fleet.
class WaitingWatch {
 public:
  WaitingWatch(const WaitingSoakShape& shape, FleetFixture& fixture)
      : m_shape(shape), m_fixture(fixture) {
    m_fixture.fleet.on_crash_by_task = [this](const FakeWorker& worker) { note_crash(worker); };
  }

  /// A job is submitted now.
  void add(std::uint32_t number) { m_submitted_at[number] = now(); }

  /// Notes the present runs.
  void observe() {
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      for (const FakeRun& run : worker->runs) {
        m_run_at[number_of(run.task.job)] = now();
        m_task_run_at[FakeFleet::name_of(run.task)] = now();
      }
    }
    m_busy_at = is_mostly_free() ? m_busy_at : now();
  }

  /// Descriptions of the jobs and lasting tasks that wait now on a fleet that is mostly free.
  [[nodiscard]] std::vector<std::string> waiting() {
    std::vector<std::string> found;
    if (!is_mostly_free()) {
      return found;
    }
    for (const auto& [number, submitted_at] : m_submitted_at) {
      if (!is_open_and_sound(number)) {
        continue;
      }
      if (now() - m_run_at[number] > k_longest_wait) {
        found.push_back(describe_wait(number));
      }
      for (std::uint32_t i = 0; i < lasting_tasks(number); ++i) {
        if (now() - m_task_run_at[task_name(number, i)] > k_lasting_grace + k_longest_wait) {
          found.push_back(fmt::format("task {} of job {} has no run", i, number));
        }
      }
    }
    return found;
  }

  /// The same of jobs alone, for any moment after the faults: the fleet has been mostly free as
  /// long as the jobs have waited, and runs too short to be observed count.
  [[nodiscard]] std::vector<std::string> waiting_jobs() {
    std::vector<std::string> found;
    if (now() - m_busy_at <= k_longest_wait) {
      return found;
    }
    for (const auto& [number, submitted_at] : m_submitted_at) {
      const bool has_run = now() - m_run_at[number] <= k_longest_wait || has_started_lately(number);
      if (is_open_and_sound(number) && !has_run) {
        found.push_back(describe_wait(number));
      }
    }
    return found;
  }

  [[nodiscard]] std::vector<std::uint32_t> open_lasting_jobs() const {
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, submitted_at] : m_submitted_at) {
      if (kind_of(number) == WaitingJob::lasting && is_open(number)) {
        numbers.push_back(number);
      }
    }
    return numbers;
  }
  /// True when a run of the job began within the time that jobs may wait, also one so short that no
  /// observation saw it.
  [[nodiscard]] bool has_started_lately(std::uint32_t number) const {
    TimePoint last{};
    for (std::uint32_t i = 0; i < k_waiting_lasting_tasks; ++i) {
      last = std::max(last, m_fixture.fleet.last_start_of({job_id(number), 0, 0, i}));
    }
    return now() - last <= k_longest_wait;
  }
  /// The last observation at which the task had a run, or else the submission of its job.
  [[nodiscard]] TimePoint last_run_of(std::uint32_t number, std::uint32_t index) const {
    const auto found = m_task_run_at.find(task_name(number, index));
    return found == m_task_run_at.end() ? m_submitted_at.at(number) : found->second;
  }

  /// Takes the present waits on a fleet that is mostly free into the figures.
  void measure_waits() {
    if (!is_mostly_free()) {
      return;
    }
    for (const auto& [number, submitted_at] : m_submitted_at) {
      if (!is_open_and_sound(number)) {
        continue;
      }
      measure_wait(std::max(m_run_at[number], submitted_at));
      for (std::uint32_t i = 0; i < lasting_tasks(number); ++i) {
        measure_wait(last_run_of(number, i));
      }
    }
  }

  [[nodiscard]] WaitingFigures figures() const {
    WaitingFigures figures = m_figures;
    for (const auto& [number, submitted_at] : m_submitted_at) {
      const bool is_deadly = kind_of(number) == WaitingJob::deadly;
      figures.deadly_jobs_open += is_deadly && is_open(number) ? 1 : 0;
      if (is_deadly) {
        const TaskCounts counts = m_fixture.fleet.counts_of({job_id(number), 0, 0, 0});
        figures.most_crashes = std::max(figures.most_crashes, counts.crashes);
      }
      const bool given_up = !is_deadly && state_of(number) == proto::jobs::JobState::FAILED &&
                            !has_exhausted_attempts(number);
      figures.sound_jobs_given_up += given_up ? 1 : 0;
    }
    return figures;
  }

 private:
  static std::string describe_wait(std::uint32_t number) {
    return fmt::format("job {} has no run", number);
  }
  [[nodiscard]] TimePoint now() const { return m_fixture.timer.now(); }
  static std::string task_name(std::uint32_t number, std::uint32_t index) {
    return FakeFleet::name_of({job_id(number), 0, 0, index});
  }
  static std::uint32_t lasting_tasks(std::uint32_t number) {
    return kind_of(number) == WaitingJob::lasting ? k_waiting_lasting_tasks : 0;
  }
  [[nodiscard]] proto::jobs::JobState state_of(std::uint32_t number) const {
    return m_fixture.log.jobs.find(job_id(number))->state();
  }
  [[nodiscard]] bool is_open(std::uint32_t number) const {
    const proto::jobs::JobState state = state_of(number);
    return state == proto::jobs::JobState::QUEUED || state == proto::jobs::JobState::RUNNING;
  }
  [[nodiscard]] bool is_open_and_sound(std::uint32_t number) const {
    return kind_of(number) != WaitingJob::deadly && is_open(number);
  }

  /// Less than half of the ready workers' processors is in use, by runs of any kind.
  [[nodiscard]] bool is_mostly_free() {
    std::uint64_t capacity = 0;
    std::uint64_t used = 0;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      const bool ready = !worker->crashed && worker->entry.state == WorkerState::ready;
      capacity += ready ? worker->entry.capacity.cpu_millis : 0;
      for (const FakeRun& run : worker->runs) {
        used += m_shape.sizes.of(number_of(run.task.job));
      }
    }
    return 2 * used < capacity;
  }

  void measure_wait(TimePoint since) {
    m_figures.longest_wait = std::max(m_figures.longest_wait, now() - since);
  }

  /// True when any task of the job has failed in all its attempts.
  [[nodiscard]] bool has_exhausted_attempts(std::uint32_t number) const {
    constexpr std::uint32_t k_attempts = 3;  // as JobBuilder sets them; lasting tasks have no limit
    if (kind_of(number) == WaitingJob::lasting) {
      return false;
    }
    const std::string prefix = job_id(number).str() + ".";
    const auto& counts = m_fixture.fleet.counts;  // by task
    for (auto task = counts.lower_bound(prefix); task != counts.end(); ++task) {
      if (!task->first.starts_with(prefix)) {
        break;
      }
      if (task->second.failures >= k_attempts) {
        return true;
      }
    }
    return false;
  }

  void note_crash(const FakeWorker& worker) {
    ++m_figures.crashes;
    m_figures.runs_lost += static_cast<std::uint64_t>(std::count_if(
        worker.runs.begin(), worker.runs.end(),
        [](const FakeRun& run) { return kind_of(number_of(run.task.job)) != WaitingJob::deadly; }));
    std::erase_if(m_crashed_at,
                  [this](TimePoint time) { return time + m_fixture.fleet.return_delay <= now(); });
    m_crashed_at.push_back(now());
    m_figures.most_down = std::max(m_figures.most_down, m_crashed_at.size());
  }

  const WaitingSoakShape& m_shape;
  FleetFixture& m_fixture;
  std::map<std::uint32_t, TimePoint> m_submitted_at;  // by job
  std::map<std::uint32_t, TimePoint> m_run_at;        // last run seen, by job
  std::map<std::string, TimePoint> m_task_run_at;     // the same, by task
  TimePoint m_busy_at{};                              // last observation of a fleet in use
  std::vector<TimePoint> m_crashed_at;                // of workers down by a task
  WaitingFigures m_figures;
};

}  // namespace arbutusdale::sched
