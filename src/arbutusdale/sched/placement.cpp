// Eligibility and cost of workers.
#include "arbutusdale/sched/placement.hpp"

#include <algorithm>
#include <vector>

namespace arbutusdale::sched {
namespace {

// Costs are shares of a worker's processors; the penalties outweigh them to different degrees.
constexpr double k_failed_task_penalty = 10;
constexpr double k_failure_penalty = 2;
constexpr double k_slow_penalty = 4;
constexpr double k_unanswered_penalty = 4;
constexpr double k_mixing_penalty = 1;
constexpr double k_ambiguous_crash_penalty = 3;
// Share of the workers that serving tasks leave free for opportunistic ones while there is capacity
// elsewhere, even beside serving tasks of other images.
constexpr double k_reserved_workers_share = 0.1;
constexpr double k_reserve_penalty = 2.5;
constexpr double k_scarcity_weight = 2;
constexpr Duration k_exploration_interval = std::chrono::milliseconds{1'500};
// Share of its estimate that a task waits for its rack before it runs elsewhere, more slowly.
constexpr double k_rack_wait_share = 0.5;

// Below the time after which a lasting task counts as lost, and that which a worker takes to leave.
constexpr Duration k_short_late_start_wait = std::chrono::seconds{2};
constexpr Duration k_quarantine_wait = std::chrono::milliseconds{1'500};

bool is_rack_acceptable(const Worker& worker, const Task& task, TimePoint now) {
  const Step& step = *task.step;
  const std::string& rack =
      step.chosen_rack.empty() ? step.spec->preferred_rack() : step.chosen_rack;
  if (rack.empty() || worker.entry.rack == rack) {
    return true;
  }
  const auto max_wait = std::chrono::duration_cast<Duration>(
      std::chrono::milliseconds{step.spec->estimated_ms()} * k_rack_wait_share);
  return now - task.ready_at >= max_wait;
}

/// Cost of placing a serving task beside the worker's serving tasks of other images.
double mixing_cost(const PlacementView& view, const Worker& worker, const Step& step) {
  std::vector<ImageId> images;
  double cost = 0;
  for (const RunRef& run : worker.runs) {
    const Step& other = *run.task->step;
    const bool counts = other.spec->tail_target_ms() > 0 && other.image != step.image;
    if (counts && std::find(images.begin(), images.end(), other.image) == images.end()) {
      images.push_back(other.image);
      cost += view.affinity.mixing_cost(step.image, other.image);
    }
  }
  return cost;
}

bool serves(const Worker& worker) {
  return worker.serving_cpu_millis > 0;
}

/// True when only the reserved share of workers is left without serving tasks.
bool is_reserve_reached(const PlacementView& view) {
  std::size_t workers = 0;
  std::size_t free = 0;
  for (const auto& worker : view.workers.all()) {
    if (!worker->registered || worker->entry.state != WorkerState::ready) {
      continue;
    }
    ++workers;
    free += serves(*worker) ? 0 : 1;
  }
  return static_cast<double>(free) <= static_cast<double>(workers) * k_reserved_workers_share;
}

/// A suspect starts only where nothing was started recently; a worker that is reserved for one
/// takes no other starts.
bool may_start_beside_suspects(const PlacementView& view, const Worker& worker, const Task& task) {
  if (!task.crashes.is_suspect()) {
    return view.now >= worker.reserved_until;
  }
  if (view.joins_group_below > 0) {
    return worker.has_open_group(view.joins_group_below);
  }
  return view.ignores_recent_starts || worker.is_quiet(view.now);
}

/// True when a worker has crashed under runs of both tasks.
bool share_crash(const CrashHistory& first, const CrashHistory& second) {
  const auto& others = second.runs();
  return std::any_of(first.runs().begin(), first.runs().end(), [&others](const CrashedRun& run) {
    return std::any_of(others.begin(), others.end(), [&run](const CrashedRun& other) {
      return run.worker == other.worker && run.silent_at == other.silent_at;
    });
  });
}

/// True when the worker runs a task of another job that shares a crash with this one. If it crashed
/// as well, it would still be unknown which of the two is the cause.
bool would_crash_be_ambiguous(const Worker& worker, const Task& task) {
  if (task.crashes.runs().empty()) {
    return false;
  }
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&task](const RunRef& run) {
    return run.task->step->job != task.step->job && share_crash(task.crashes, run.task->crashes);
  });
}

bool has_opportunistic_room(const PlacementView& view, const Worker& worker, const Step& step) {
  const OpportunisticRoom room = worker.opportunistic_room();
  const std::uint64_t need = step.need.cpu_millis;
  return has_idle_processors(room, need) ||
         (view.shares_processors && may_share_processors(room, need));
}

bool fits_beside_reserved_room(const Worker& worker, const Step& step) {
  Resources need = plus(reserved_resources(step), worker.room_kept_from(step));
  if (step.spec->opportunistic()) {
    need.cpu_millis = 0;
  }
  return fits(need, minus(worker.entry.capacity, worker.committed));
}

Exclusion capacity_exclusion(const PlacementView& view, const Worker& worker, const Task& task) {
  const Step& step = *task.step;
  const Resources need = reserved_resources(step);
  // The difference is zero where the capacity has shrunk below what is committed.
  if (!fits(worker.committed, worker.entry.capacity) ||
      !fits(need, minus(worker.entry.capacity, worker.committed))) {
    return Exclusion::capacity;
  }
  if (!fits_beside_reserved_room(worker, step)) {
    return Exclusion::reserved_room;
  }
  if (!step.spec->opportunistic()) {
    return Exclusion::none;
  }
  if (!has_opportunistic_room(view, worker, step)) {
    return Exclusion::capacity;
  }
  return accepts_image(view, worker, step.image) ? Exclusion::none : Exclusion::interference;
}

/// Why the worker accepts no tasks of the service's queues.
Exclusion worker_exclusion(const Worker& worker, const std::string& service, TimePoint now) {
  if (!worker.registered || worker.entry.state != WorkerState::ready) {
    return Exclusion::not_ready;
  }
  if (!worker.is_registration_current()) {
    return Exclusion::other_incarnation;
  }
  if (worker.has_unwanted_runs) {
    return Exclusion::unwanted_run;
  }
  if (worker.is_list_of_ends_full(now)) {
    return Exclusion::unacknowledged_ends;
  }
  if (now < worker.backoff_until) {
    return Exclusion::refused;
  }
  if (!worker.is_reachable(now)) {
    return Exclusion::unreachable;
  }
  return worker.entry.service == service ? Exclusion::none : Exclusion::service;
}

/// Why the worker can't host the task, tickets aside.
Exclusion host_exclusion(const PlacementView& view, const Worker& worker, const Task& task) {
  const Step& step = *task.step;
  const bool may_supersede = step.spec->long_running() && worker.slot == task.late_start.worker;
  if (!may_supersede && awaits_late_start(view, task)) {
    return Exclusion::late_start;
  }
  const Exclusion by_worker = worker_exclusion(worker, step.job->terms().service(), view.now);
  if (by_worker != Exclusion::none) {
    return by_worker;
  }
  const bool has_failed_here =
      std::find(task.failed_on.begin(), task.failed_on.end(), worker.slot) != task.failed_on.end();
  if (worker.health.is_quarantined(view.now) &&
      (has_failed_here || !may_use_quarantined(view, task))) {
    return Exclusion::quarantined;
  }
  const std::size_t starts = worker.starts_in_flight + worker.starts_to_store;
  if (starts >= worker.max_starts_in_flight(view.max_starts_per_worker)) {
    return Exclusion::unanswered;
  }
  const bool is_isolated = worker.isolated_runs > 0 && view.joins_group_below == 0;
  if (is_isolated || !may_start_beside_suspects(view, worker, task)) {
    return Exclusion::suspect;
  }
  const std::string& label = step.spec->required_label();
  if (!label.empty() && !worker.has_label(label)) {
    return Exclusion::label;
  }
  const std::uint32_t limit = step.spec->max_per_worker();
  if (limit > 0 && worker.runs_of(step) >= limit) {
    return Exclusion::max_per_worker;
  }
  if (!is_rack_acceptable(worker, task, view.now)) {
    return Exclusion::rack;
  }
  return capacity_exclusion(view, worker, task);
}

}  // namespace

bool accepts_tasks(const Worker& worker, const std::string& service, TimePoint now) {
  return worker.isolated_runs == 0 && !worker.health.is_quarantined(now) &&
         worker_exclusion(worker, service, now) == Exclusion::none;
}

bool accepts_image(const PlacementView& view, const Worker& worker, ImageId image) {
  if (!worker.throttle_control.accepts_more(view.now)) {
    return false;
  }
  if (view.allows_harm) {
    return true;
  }
  if (view.now - worker.explored_at < k_exploration_interval &&
      is_exploration(view, worker, image)) {
    return false;
  }
  return view.scarcity.suits(view.interference, worker, image, view.now);
}

bool is_exploration(const PlacementView& view, const Worker& worker, ImageId image) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const RunRef& run) {
    const Step& step = *run.task->step;
    return step.spec->tail_target_ms() > 0 &&
           !view.interference.is_known(image, step.image, view.now);
  });
}

double image_cost(const PlacementView& view, const Worker& worker, ImageId image) {
  const auto capacity =
      static_cast<double>(std::max<std::uint64_t>(worker.entry.capacity.cpu_millis, 1));
  return k_scarcity_weight * view.scarcity.cost(image, worker.slot) -
         static_cast<double>(worker.idle_cpu_millis()) / capacity;
}

double placement_cost(const PlacementView& view, const Worker& worker, const Task& task) {
  const Step& step = *task.step;
  const auto& failed_on = task.failed_on;
  double cost = worker.health.failures_in_row() * k_failure_penalty;
  if (std::find(failed_on.begin(), failed_on.end(), worker.slot) != failed_on.end()) {
    cost += k_failed_task_penalty;
  }
  if (task.late_start.is_set() && task.late_start.worker == worker.slot) {
    cost += k_failed_task_penalty;
  }
  if (view.now < worker.slow_until) {
    cost += k_slow_penalty;
  }
  if (worker.leaves_starts_unanswered(view.now)) {
    cost += k_unanswered_penalty;
  }
  if (would_crash_be_ambiguous(worker, task)) {
    cost += k_ambiguous_crash_penalty;
  }
  if (step.spec->opportunistic()) {
    return cost + image_cost(view, worker, step.image);
  }
  if (step.spec->tail_target_ms() > 0) {
    cost += k_mixing_penalty * mixing_cost(view, worker, step);
  }
  const auto capacity =
      static_cast<double>(std::max<std::uint64_t>(worker.entry.capacity.cpu_millis, 1));
  const Resources left = minus(minus(worker.entry.capacity, worker.committed), step.need);
  return cost + static_cast<double>(left.cpu_millis) / capacity;
}

bool awaits_late_start(const PlacementView& view, const Task& task) {
  const LateStart& late = task.late_start;
  // Copies of a speculative task may run side by side.
  if (!late.is_set() || task.step->spec->speculative()) {
    return false;
  }
  const Worker& worker = view.workers.at(late.worker);
  if (!worker.may_carry_out_start_of(late.sent_at, view.now)) {
    return false;
  }
  const bool waits_briefly =
      task.step->spec->long_running() || worker.entry.state == WorkerState::draining;
  return !waits_briefly || view.now - late.awaited_since <= k_short_late_start_wait;
}

bool may_use_quarantined(const PlacementView& view, const Task& task) {
  return task.step->spec->long_running() && view.now - task.ready_at >= k_quarantine_wait;
}

bool can_host(const PlacementView& view, const Worker& worker, const Task& task) {
  return host_exclusion(view, worker, task) == Exclusion::none;
}

Exclusion exclusion_of(const PlacementView& view, const Worker& worker, const Task& task) {
  const Exclusion by_host = host_exclusion(view, worker, task);
  if (by_host != Exclusion::none) {
    return by_host;
  }
  const Step& step = *task.step;
  const bool has_ticket =
      !step.job->terms().advised() || view.tickets.find(step, worker, view.now) != nullptr;
  return has_ticket ? Exclusion::none : Exclusion::ticket;
}

bool is_eligible(const PlacementView& view, const Worker& worker, const Task& task) {
  return exclusion_of(view, worker, task) == Exclusion::none;
}

std::optional<WorkerSlot> choose_worker(const PlacementView& view, const Task& task) {
  std::optional<WorkerSlot> best;
  double best_cost = 0;
  const bool keeps_reserve = task.step->spec->tail_target_ms() > 0 && is_reserve_reached(view);
  for (const auto& worker : view.workers.all()) {
    if (!is_eligible(view, *worker, task)) {
      continue;
    }
    double cost = placement_cost(view, *worker, task);
    if (keeps_reserve && !serves(*worker)) {
      cost += k_reserve_penalty;
    }
    if (!best || cost < best_cost) {
      best = worker->slot;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace arbutusdale::sched
