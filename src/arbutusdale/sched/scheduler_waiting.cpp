// Log lines on tasks that wait: which conditions exclude the workers.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/room_reservation.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

#include <fmt/format.h>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Shorter than the time after which a job counts as stuck.
constexpr Duration k_reported_wait = std::chrono::seconds{2};
constexpr Duration k_report_interval = std::chrono::seconds{1};
// After a takeover, tasks that run count as waiting until their workers have answered.
constexpr Duration k_adoption_time = std::chrono::milliseconds{500};

constexpr EnumNames<Exclusion, 19> k_exclusion_names{{
    {Exclusion::none, "none"},
    {Exclusion::late_start, "late_start"},
    {Exclusion::service, "service"},
    {Exclusion::not_ready, "not_ready"},
    {Exclusion::other_incarnation, "other_incarnation"},
    {Exclusion::unreachable, "unreachable"},
    {Exclusion::quarantined, "quarantined"},
    {Exclusion::refused, "refused"},
    {Exclusion::unanswered, "unanswered"},
    {Exclusion::unacknowledged_ends, "unacknowledged_ends"},
    {Exclusion::unwanted_run, "unwanted_run"},
    {Exclusion::suspect, "suspect"},
    {Exclusion::label, "label"},
    {Exclusion::max_per_worker, "max_per_worker"},
    {Exclusion::rack, "rack"},
    {Exclusion::capacity, "capacity"},
    {Exclusion::reserved_room, "reserved_room"},
    {Exclusion::interference, "interference"},
    {Exclusion::ticket, "ticket"},
}};

constexpr EnumNames<StartDelay, 12> k_delay_names{{
    {StartDelay::none, "not_examined"},
    {StartDelay::start_window, "start_window"},
    {StartDelay::earlier_leader, "earlier_leader"},
    {StartDelay::batch_interval, "batch_interval"},
    {StartDelay::step_unplaced, "step_unplaced"},
    {StartDelay::not_before, "not_before"},
    {StartDelay::round_limit, "round_limit"},
    {StartDelay::isolation_limit, "isolation_limit"},
    {StartDelay::late_start, "late_start"},
    {StartDelay::no_worker, "no_worker"},
    {StartDelay::leadership_unconfirmed, "leadership_unconfirmed"},
    {StartDelay::jobs_outdated, "jobs_outdated"},
}};

/// Number of workers by the reason that excludes them, such as "capacity:40,silent:2".
std::string count_exclusions(const PlacementView& view, const Task& task) {
  std::map<Exclusion, std::size_t> counts;
  for (const auto& worker : view.workers.all()) {
    ++counts[exclusion_of(view, *worker, task)];
  }
  std::string text;
  for (const auto& [exclusion, count] : counts) {
    const char* separator = text.empty() ? "" : ",";
    text += fmt::format("{}{}:{}", separator, enum_name(k_exclusion_names, exclusion), count);
  }
  return text;
}

}  // namespace

Duration Scheduler::time_without_run(const Task& task) const {
  const Duration waited = m_timer.now() - task.ready_at;
  const Job& job = *task.step->job;
  if (!task.step->spec->long_running() || !job.taken_over) {
    return waited;
  }
  // A job that an earlier leader has not seen run has waited since it was accepted.
  const bool never_ran =
      job.state == proto::jobs::JobState::QUEUED && job.spec().repeat_count() == 0;
  const std::uint64_t since_ms =
      never_ran ? job.submitted->accepted_wall_ms() : job.incomplete_since_ms;
  const std::uint64_t now_ms = m_timer.wall_ms();
  if (since_ms == 0 || since_ms > now_ms) {
    return waited;
  }
  return std::max<Duration>(waited, std::chrono::milliseconds{now_ms - since_ms});
}

const Task* Scheduler::find_longest_waiting_task(WaitingKind kind) const {
  const Task* longest = nullptr;
  Duration longest_wait{};
  m_ready.for_each_step([&](const Step& step, std::size_t) {
    const bool is_lasting = step.spec->long_running();
    const bool is_wanted =
        kind == WaitingKind::lasting ? is_lasting : !is_lasting && !step.job->has_runs();
    if (!is_wanted) {
      return;
    }
    for (const Task& task : step.tasks) {
      if (task.phase != TaskPhase::waiting) {
        continue;
      }
      const Duration wait = time_without_run(task);
      if (longest == nullptr || wait > longest_wait) {
        longest = &task;
        longest_wait = wait;
      }
    }
  });
  return longest;
}

std::size_t Scheduler::count_waiting_suspects() const {
  std::size_t count = 0;
  m_ready.for_each_step([&count](const Step& step, std::size_t) {
    for (const Task& task : step.tasks) {
      const bool waits = task.phase == TaskPhase::waiting && task.crashes.is_suspect();
      count += waits ? 1 : 0;
    }
  });
  return count;
}

// Tasks that wait for processors which others leave idle mostly wait longer than lasting ones, so
// each kind has a line of its own.
void Scheduler::log_waiting_tasks() {
  const TimePoint now = m_timer.now();
  if (now - m_waiting_logged_at < k_report_interval) {
    return;
  }
  for (const WaitingKind kind : {WaitingKind::lasting, WaitingKind::without_run}) {
    const Task* task = find_longest_waiting_task(kind);
    if (task == nullptr || time_without_run(*task) < k_reported_wait ||
        now - task->ready_at < k_adoption_time) {
      continue;
    }
    m_waiting_logged_at = now;
    log_waiting_task(*task);
  }
}

void Scheduler::log_waiting_task(const Task& task) const {
  const TimePoint now = m_timer.now();
  const Step& step = *task.step;
  const IsolationCount isolation = m_workers.count_isolating();
  const IsolationLimit limit = isolation_limit_for(task);
  PlacementView view = placement_view();  // as when it is placed
  view.allows_harm = is_starved(task);
  view.shares_processors = view.allows_harm && !task.crashes.is_suspect();
  EventLine(Event::task_waiting)
      .add("job", step.job->id.view())
      .add("step", step.index)
      .add("task", task.index)
      .add_ms("waited_ms", now - task.ready_at)
      .add_ms("without_run_ms", time_without_run(task))
      .add("cpu_millis", step.need.cpu_millis)
      .add("lasting", step.spec->long_running() ? 1 : 0)
      .add("last_run", task.last_run)
      .add("opportunistic", step.spec->opportunistic() ? 1 : 0)
      .add("delay", enum_name(k_delay_names, may_start() ? task.delay : m_order_limits.reason))
      .add_ms("examined_ms_ago", now - std::max(task.examined_at, task.ready_at))
      .add("suspect", task.crashes.is_suspect() ? 1 : 0)
      .add("unsettled_crashes", task.crashes.recent_unsettled_crashes())
      .add("waiting_suspects", count_waiting_suspects())
      .add("suspect_group_size", m_suspect_group_size)
      .add("isolating_workers", isolation.answering)
      .add("silent_isolating_workers", isolation.silent)
      .add("max_isolating_workers", limit.answering)
      .add("max_isolating_or_silent_workers", limit.total)
      .add("fleet_is_idle", m_fleet_is_idle ? 1 : 0)
      .add("may_start", may_start() ? 1 : 0)
      .add("starts_in_flight", m_starts_in_flight)
      .add("expected_rooms", count_expected_rooms(placement_view(), task))
      .add("excluded", count_exclusions(view, task))
      .write();
}

}  // namespace arbutusdale::sched
