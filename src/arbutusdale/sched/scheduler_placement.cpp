// Placement rounds: which waiting task is started on which worker.
#include "arbutusdale/sched/placement.hpp"
#include "arbutusdale/sched/placement_round.hpp"
#include "arbutusdale/sched/room_move.hpp"
#include "arbutusdale/sched/room_reservation.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace arbutusdale::sched {
namespace {

constexpr Duration k_starvation_timeout = std::chrono::milliseconds{1'500};
// The fleet counts as idle while less than this share of its processors is committed.
constexpr double k_idle_fleet_share = 0.6;
// Placement waits at most this long, which is short against the objectives of urgent jobs.
constexpr Duration k_round_interval = std::chrono::milliseconds{15};
constexpr Duration k_batch_round_interval = std::chrono::milliseconds{50};
// A pass over the queue ends after this many steps without a worker, and leaves out suspects, each
// of which is compared with all workers, after this many.
constexpr std::size_t k_max_unplaced_steps = 64;
constexpr std::size_t k_max_unplaced_suspects = 8;
// A lasting task that has waited this long gets room reserved, so that it starts before its job
// counts as stuck.
constexpr Duration k_room_reservation_delay = std::chrono::seconds{1};
// Searches for a run that makes room by moving compare all lasting runs, so a tick has few of them.
constexpr std::size_t k_max_room_move_searches = 2;
// Room for a run that moves is kept until its stop is confirmed and shorter tasks have ended there.
constexpr Duration k_room_move_time = std::chrono::seconds{3};

std::size_t count_overdue_starts(const WorkerTable& workers, TimePoint now) {
  std::size_t overdue = 0;
  for (const auto& worker : workers.all()) {
    overdue += worker->overdue_starts(now);
  }
  return overdue;
}

}  // namespace

struct Scheduler::RoundState {
  explicit RoundState(const PlacementView& view) : choices(view), now(view.now) {}

  void note_unadvised(Step& step) {
    if (step.job->terms().advised()) {
      unadvised.push_back(&step);
    }
  }

  PlacementRound choices;
  TimePoint now;
  bool may_start_taken_over = false;
  bool batch_due = false;                    // opportunistic tasks are placed
  bool in_turn = false;                      // the pass goes on where an earlier one ended
  bool left_out = false;                     // the pass has not examined all tasks
  std::size_t unplaced_steps = 0;            // found without a worker in this pass
  std::size_t unplaced_suspects = 0;         // the same
  std::unordered_set<const Step*> unplaced;  // steps found without a worker
  std::unordered_set<const Task*> examined_suspects;
  std::vector<Step*> unadvised;  // unplaced steps of advised queues, in queue order
  std::vector<Task*> starved;    // found without a worker, at most one of a step
  /// By opportunistic image: smallest need for which this round has found no worker.
  std::unordered_map<ImageId, std::uint64_t> unplaced_cpu;
};

std::uint32_t Scheduler::next_run_number(const Task& task) const {
  const std::uint32_t earlier =
      task.step->job->runs_through + (m_options.term - 1) * k_runs_per_term;
  return std::max(task.last_run, earlier) + 1;
}

// Events arrive faster than tasks need to be placed, so several share a round.
void Scheduler::place_when_due() {
  if (!m_place_due) {
    return;
  }
  const Duration passed = m_timer.now() - m_placed_at;
  if (passed >= k_round_interval) {
    m_place_due = false;
    m_placed_at = m_timer.now();
    place();
    return;
  }
  if (std::exchange(m_round_scheduled, true)) {
    return;
  }
  m_timer.call_after(k_round_interval - passed, [this, alive = m_alive] {
    if (*alive) {
      m_round_scheduled = false;
      process_pending();
    }
  });
}

void Scheduler::place() {
  if (!may_start()) {
    return;
  }
  const PlacementView view = placement_view();
  RoundState round(view);
  round.may_start_taken_over = may_start_taken_over_jobs();
  round.batch_due = round.now - m_batch_placed_at >= k_batch_round_interval;
  if (round.batch_due) {
    m_batch_placed_at = round.now;
  }
  const auto visit = [&](Task& task) { return visit_task(task, round); };
  m_ready.for_each(visit);
  // Every round begins with the most urgent steps. Those that can't be placed may stay for good, so
  // what is behind them has its turn, too. Opportunistic tasks do so only when they are due.
  if (round.batch_due && std::exchange(round.left_out, false)) {
    round.in_turn = true;
    round.unplaced_steps = 0;
    round.unplaced_suspects = 0;
    m_ready.for_each_in_turn(visit);
  }
  place_sharing(std::move(round.starved));
  m_workers_examined += round.choices.workers_examined();
  request_advice(round.unadvised);
}

StartDelay Scheduler::delay_of_step(const Step& step, const RoundState& round) const {
  const bool is_held_back = step.job->taken_over && !round.may_start_taken_over;
  const bool any_may_start = step.has_located_tasks ||
                             (step.has_held_tasks && !awaits_silent_workers(*step.job, m_workers));
  if (is_held_back && !any_may_start) {
    return StartDelay::earlier_leader;
  }
  if (step.spec->opportunistic() && !round.batch_due) {
    return StartDelay::batch_interval;
  }
  return round.unplaced.contains(&step) ? StartDelay::step_unplaced : StartDelay::none;
}

bool Scheduler::awaits_earlier_leader(const Task& task) const {
  const Step& step = *task.step;
  if (!step.job->taken_over) {
    return false;
  }
  if (!step.spec->gang()) {
    return may_have_unknown_run(task, m_workers);
  }
  return std::any_of(step.tasks.begin(), step.tasks.end(), [this](const Task& member) {
    return may_have_unknown_run(member, m_workers);
  });
}

Visit Scheduler::visit_task(Task& task, RoundState& round) {
  if (is_start_window_full()) {
    round.left_out = false;  // an answer starts the next round
    task.delay = StartDelay::start_window;
    return Visit::stop;
  }
  const Step& step = *task.step;
  const bool opportunistic = step.spec->opportunistic();
  m_place_due = m_place_due || (opportunistic && !round.batch_due);
  const StartDelay step_delay = delay_of_step(step, round);
  if (step_delay == StartDelay::batch_interval) {
    return Visit::next_step;  // the delay that the last round of opportunistic tasks found stays
  }
  if (step_delay != StartDelay::none) {
    task.delay = step_delay;
    return Visit::next_step;
  }
  if (!round.may_start_taken_over && awaits_earlier_leader(task)) {
    task.delay = StartDelay::earlier_leader;
    return step.spec->gang() ? Visit::next_step : Visit::next_task;
  }
  if (task.is_stored_first && is_start_window_reserved()) {
    task.delay = StartDelay::start_window;
    return Visit::next_task;
  }
  if (task.not_before > round.now) {
    task.delay = StartDelay::not_before;
    return Visit::next_task;
  }
  if (!step.spec->long_running() && awaits_late_start(placement_view(), task)) {
    task.delay = StartDelay::late_start;
    return step.spec->gang() ? Visit::next_step : Visit::next_task;
  }
  if (task.crashes.is_suspect() && !step.spec->gang()) {
    return visit_suspect(task, round);
  }
  return visit_ordinary_task(task, round);
}

// A pass that begins with the most urgent steps goes on to tasks that are no suspects. The one in
// turn ends, so that the next one begins with the suspects that this one has not examined.
Visit Scheduler::visit_suspect(Task& task, RoundState& round) {
  if (round.examined_suspects.contains(&task)) {
    return Visit::next_task;
  }
  if (round.unplaced_suspects >= k_max_unplaced_suspects) {
    task.delay = StartDelay::round_limit;
    return Visit::next_task;
  }
  task.examined_at = round.now;
  round.examined_suspects.insert(&task);
  m_suspects_wait = true;
  if (place_suspect(task)) {
    return Visit::next_task;
  }
  round.note_unadvised(*task.step);
  if (++round.unplaced_suspects < k_max_unplaced_suspects) {
    return Visit::next_task;
  }
  round.left_out = true;
  return round.in_turn ? Visit::stop : Visit::next_task;
}

Visit Scheduler::visit_ordinary_task(Task& task, RoundState& round) {
  Step& step = *task.step;
  const bool is_gang = step.spec->gang();
  const bool plain_batch = step.spec->opportunistic() && step.spec->required_label().empty() &&
                           !step.job->terms().advised();
  task.examined_at = round.now;
  task.delay = StartDelay::no_worker;
  const auto refused = round.unplaced_cpu.find(step.image);
  if (plain_batch && refused != round.unplaced_cpu.end() &&
      step.need.cpu_millis >= refused->second && !is_starved(task)) {
    return m_fleet_is_idle ? Visit::next_task : Visit::next_step;  // another one may be starved
  }
  const bool placed =
      is_gang ? place_gang(step) : place_task(task, round.choices) || place_starved(task);
  if (placed) {
    // Placing a gang removes several tasks from the queue, so the iteration must end.
    return is_gang ? Visit::stop : Visit::next_task;
  }
  round.note_unadvised(step);
  if (!is_gang && awaits_late_start(placement_view(), task)) {
    return Visit::next_task;  // the others don't
  }
  round.unplaced.insert(&step);
  if (!is_gang && is_starved(task)) {
    round.starved.push_back(&task);
  }
  if (plain_batch) {
    round.unplaced_cpu[step.image] = step.need.cpu_millis;
  }
  round.left_out = ++round.unplaced_steps >= k_max_unplaced_steps;
  return round.left_out ? Visit::stop : Visit::next_task;
}

PlacementView Scheduler::placement_view() const {
  PlacementView view{m_workers, m_interference, m_scarcity, m_affinity, m_tickets, m_timer.now()};
  view.max_starts_per_worker = m_start_window.max_per_worker();
  return view;
}

void Scheduler::update_scarcity() {
  std::uint64_t capacity = 0;
  std::uint64_t committed = 0;
  for (const auto& worker : m_workers.all()) {
    capacity += worker->registered ? worker->entry.capacity.cpu_millis : 0;
    committed += worker->registered ? worker->committed.cpu_millis : 0;
  }
  m_fleet_is_idle =
      static_cast<double>(committed) < static_cast<double>(capacity) * k_idle_fleet_share;
  std::set<ImageId> waiting;
  m_ready.for_each_step([&waiting](const Step& step, std::size_t) {
    if (step.spec->opportunistic()) {
      waiting.insert(step.image);
    }
  });
  m_scarcity.update(m_workers, m_interference, waiting, m_timer.now());
}

void Scheduler::reserve_room() {
  const TimePoint now = m_timer.now();
  const bool may_start_taken_over = may_start_taken_over_jobs();
  std::vector<Task*> waiting;
  m_ready.for_each([&](Task& task) {
    const Step& step = *task.step;
    if (!step.spec->long_running()) {
      return Visit::stop;  // the lasting ones come first
    }
    if (step.spec->opportunistic() || step.spec->gang()) {
      return Visit::next_step;
    }
    if (!may_start_taken_over && awaits_earlier_leader(task)) {
      return Visit::next_task;
    }
    if (now - task.ready_at >= k_room_reservation_delay && now >= task.not_before) {
      waiting.push_back(&task);
    }
    return Visit::next_task;
  });
  std::stable_sort(waiting.begin(), waiting.end(), [](const Task* left, const Task* right) {
    return left->ready_at < right->ready_at;
  });
  make_room(update_room_reservations(placement_view(), m_workers, waiting));
}

// One run moves at a time, so that each search sees where the one before has gone.
void Scheduler::make_room(const std::vector<Task*>& waiting) {
  if (!may_start() || !may_start_taken_over_jobs() || is_start_window_full()) {
    return;
  }
  const TimePoint now = m_timer.now();
  for (std::size_t i = 0; i < std::min(waiting.size(), k_max_room_move_searches); ++i) {
    Step& step = *waiting[i]->step;
    const std::optional<RoomMove> move = find_room_move(placement_view(), *waiting[i]);
    if (!move) {
      continue;
    }
    const Step& moved = *move->task->step;
    m_workers.at(move->from).room = {&step, step.need, now, TimePoint{}};
    m_workers.at(move->to).room = {&moved, moved.need, now, now + k_room_move_time};
    stop_run(*move->task, *move->task->find_run(move->run), "it makes room for a lasting task");
    step.next_room_search_at = now;  // for its other tasks
    return;
  }
}

bool Scheduler::place_task(Task& task, PlacementRound& round) {
  const auto slot = round.choose(task);
  if (!slot) {
    return false;
  }
  Worker& worker = m_workers.at(*slot);
  if (task.step->spec->opportunistic() &&
      is_exploration(placement_view(), worker, task.step->image)) {
    worker.explored_at = m_timer.now();
  }
  start_run(task, worker, next_run_number(task));
  return true;
}

bool Scheduler::is_starved(const Task& task) const {
  return task.step->spec->opportunistic() && m_fleet_is_idle &&
         m_timer.now() - task.ready_at >= k_starvation_timeout && !task.step->job->has_runs();
}

// Starts a task although its image is believed to harm all serving tasks: a job without runs must
// not wait forever for that reason while most of the fleet is idle.
bool Scheduler::place_starved(Task& task) {
  if (!is_starved(task)) {
    return false;
  }
  PlacementView view = placement_view();
  view.allows_harm = true;
  const auto slot = choose_worker(view, task);
  if (!slot) {
    return false;
  }
  start_run(task, m_workers.at(*slot), next_run_number(task));
  return true;
}

// Starts tasks of jobs without runs where they share processors. The one that has waited longest
// goes first, which in a backlog is late anyway; the others can still be in time if all tasks of
// the job start together on idle processors.
void Scheduler::place_sharing(std::vector<Task*> starved) {
  std::stable_sort(starved.begin(), starved.end(), [](const Task* left, const Task* right) {
    return left->ready_at < right->ready_at;
  });
  PlacementView view = placement_view();
  view.allows_harm = true;
  view.shares_processors = true;
  for (Task* task : starved) {
    if (is_start_window_full()) {
      return;
    }
    if (!is_starved(*task)) {
      continue;  // another task of the job has been started
    }
    m_workers_examined += m_workers.all().size();
    if (const auto slot = choose_worker(view, *task)) {
      start_run(*task, m_workers.at(*slot), next_run_number(*task));
    }
  }
}

// Starts all members of the gang with one run number, or none.
bool Scheduler::place_gang(Step& step) {
  std::uint32_t number = 0;
  for (const Task& task : step.tasks) {
    if (task.phase != TaskPhase::waiting) {
      return false;  // not all members of an earlier run have ended
    }
    number = std::max(number, next_run_number(task));
  }
  std::vector<std::pair<Task*, WorkerSlot>> chosen;
  for (Task& task : step.tasks) {
    const auto slot = choose_worker(placement_view(), task);
    if (!slot) {
      break;
    }
    m_workers.at(*slot).add_run(task, number);
    chosen.emplace_back(&task, *slot);
  }
  for (const auto& [task, slot] : chosen) {
    m_workers.at(slot).remove_run(*task, number);
  }
  if (chosen.size() < step.tasks.size()) {
    return false;
  }
  for (const auto& [task, slot] : chosen) {
    start_run(*task, m_workers.at(slot), number);
  }
  m_place_due = true;
  return true;
}

bool Scheduler::is_start_window_full() const {
  return m_starts_in_flight >= m_start_window.size() &&
         m_start_window.is_full(m_starts_in_flight, count_overdue_starts(m_workers, m_timer.now()));
}

bool Scheduler::is_start_window_reserved() const {
  const std::size_t starts = m_starts_in_flight + m_starts_to_store;
  return starts >= m_start_window.size() &&
         m_start_window.is_full(starts, count_overdue_starts(m_workers, m_timer.now()));
}

void Scheduler::release_start_slot(Worker& worker) {
  const std::size_t limit = worker.max_starts_in_flight(m_start_window.max_per_worker());
  m_place_due = m_place_due || m_starts_in_flight >= m_start_window.size() ||
                worker.starts_in_flight >= limit;
  --m_starts_in_flight;
}

}  // namespace arbutusdale::sched
