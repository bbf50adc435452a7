// Moves of jobs to other shards. Only a job without runs is moved: until the move is stored, it
// belongs to this shard, where nothing of it starts any more. A job of which a task may have been
// started is moved only if no worker here can go on with it.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/progress_size.hpp"
#include "arbutusdale/sched/scheduler.hpp"
#include "arbutusdale/sched/takeover_fence.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Serving tasks that last leave this share of a shard's processors to urgent tasks, and to tasks
// whose workers fail.
constexpr std::int64_t k_reserve_divisor = 10;
// Shards that are full at the same time would otherwise pass a job on and on.
constexpr std::uint32_t k_max_moves_for_room = 3;
// A move takes some tenths of a second; until then room may become free here. A job that no worker
// here can run waits longer with each move, while workers come and go.
constexpr Duration k_min_wait = std::chrono::milliseconds{300};
constexpr std::uint32_t k_max_wait_doublings = 5;
// A worker that has been silent for this long may be gone, though its registration has not expired.
constexpr Duration k_max_silence = std::chrono::seconds{2};

constexpr EnumNames<Shortage, 3> k_shortage_names{{
    {Shortage::none, "none"},
    {Shortage::of_room, "of_room"},
    {Shortage::of_workers, "of_workers"},
}};

Duration min_wait(std::uint32_t moves) {
  return k_min_wait * (1U << std::min(moves, k_max_wait_doublings));
}

bool may_run_tasks(const Worker& worker, TimePoint now) {
  const bool is_silent =
      worker.silent_since != TimePoint{} && now - worker.silent_since > k_max_silence;
  return worker.registered && worker.entry.state == WorkerState::ready && !worker.has_ended &&
         !is_silent;
}

JobNeed remaining_need(const Job& job) {
  std::vector<bool> is_done;
  const bool runs_once = job.spec().repeat_count() == 0 && !job.occurrences.empty();
  if (runs_once) {
    for (const Step& step : job.occurrences.front()->steps) {
      is_done.push_back(step.is_done());
    }
  }
  return need_of(*job.submitted, is_done);
}

/// Highest number that a run of the job may have, up to and including `term`.
std::uint32_t highest_run(const Job& job, std::uint32_t term) {
  std::uint32_t highest = job.runs_through + term * k_runs_per_term;
  for (const auto& occurrence : job.occurrences) {
    for (const Step& step : occurrence->steps) {
      for (const Task& task : step.tasks) {
        highest = std::max(highest, task.last_run);
      }
    }
  }
  return highest;
}

/// The leader of another shard can't learn from the workers of this one whether they have crashed.
void forget_unsettled_runs(jobs::JobProgress& progress) {
  for (auto& step : *progress.mutable_steps()) {
    step.clear_unsettled();
  }
}

}  // namespace

ShardRoom Scheduler::room() const {
  ShardRoom room;
  const TimePoint now = m_timer.now();
  for (const auto& worker : m_workers.all()) {
    if (may_run_tasks(*worker, now)) {
      room.add_worker(worker->entry, minus(worker->entry.capacity, worker->committed).cpu_millis);
    }
  }
  m_ready.for_each_step([&room](const Step& step, std::size_t waiting) {
    if (!step.spec->opportunistic()) {
      room.take(step.job->terms().service(), step.spec->required_label(),
                step.need.cpu_millis * waiting);
    }
  });
  return room;
}

LastingRoom Scheduler::lasting_room() const {
  LastingRoom room;
  const TimePoint now = m_timer.now();
  for (const auto& worker : m_workers.all()) {
    if (may_run_tasks(*worker, now)) {
      const std::uint64_t capacity = worker->entry.capacity.cpu_millis;
      room.places.add_worker(worker->entry,
                             capacity - std::min(capacity, worker->serving_cpu_millis));
    }
  }
  m_ready.for_each_step([&room](const Step& step, std::size_t waiting) {
    if (!step.spec->long_running() || step.spec->opportunistic()) {
      return;
    }
    const auto tasks = static_cast<std::uint32_t>(waiting);
    const StepNeed need{step.spec->required_label(), step.need, tasks, step.spec->max_per_worker()};
    if (room.places.take(step.job->terms().service(), need, tasks) > 0) {
      room.jobs_without_places.insert(step.job->id);
    }
  });
  return room;
}

// Before the first worker is known, nothing can be said of the room.
Shortage Scheduler::shortage_for(const JobNeed& need, const ShardRoom& room,
                                 bool has_places) const {
  if (room.is_empty()) {
    return Shortage::none;
  }
  if (!room.can_host(need)) {
    return m_workers_loaded ? Shortage::of_workers : Shortage::none;
  }
  if (need.cpu_millis() == 0) {
    return Shortage::none;
  }
  for (const LabelNeed& kind : need.by_kind()) {
    const auto capacity = static_cast<std::int64_t>(room.capacity_millis(need.service, kind.label));
    const std::int64_t reserve = need.lasts ? capacity / k_reserve_divisor : 0;
    const std::int64_t left =
        room.free_millis(need.service, kind.label) - static_cast<std::int64_t>(kind.cpu_millis);
    if (left < reserve) {
      return Shortage::of_room;
    }
  }
  return has_places ? Shortage::none : Shortage::of_room;
}

bool Scheduler::may_move_jobs() const {
  return m_mover != nullptr && m_mover->has_other_shards() && may_start();
}

bool Scheduler::may_move(const Job& job) const {
  return !job.ending && (!job.has_started() || is_at_rest(job));
}

// A job that was taken over waits for all workers of the earlier roster: none of its tasks may have
// a run, and those that have not started are not located.
bool Scheduler::is_at_rest(const Job& job) const {
  const bool is_stored = !m_flushing && !m_dirty.contains(job.id) && !m_started.contains(job.id);
  if (!is_stored || (job.taken_over && !may_start_taken_over_jobs())) {
    return false;
  }
  const PlacementView view = placement_view();
  for (const auto& occurrence : job.occurrences) {
    for (const Step& step : occurrence->steps) {
      const bool has_run =
          std::any_of(step.tasks.begin(), step.tasks.end(), [&view](const Task& task) {
            return !task.runs.empty() || awaits_late_start(view, task);
          });
      if (has_run) {
        return false;
      }
    }
  }
  return true;
}

std::optional<jobs::ShardIndex> Scheduler::find_suitable_shard(Job& job, Duration waited,
                                                               const ShardRoom& own,
                                                               bool has_places) {
  const TimePoint now = m_timer.now();
  job.next_move_search_at = now + k_min_wait;
  const JobNeed need = remaining_need(job);
  const Shortage shortage = shortage_for(need, own, has_places);
  const bool is_due = shortage == Shortage::of_workers
                          ? job.moves == 0 || waited >= min_wait(job.moves)
                          : job.moves < k_max_moves_for_room && !job.has_started();
  if (shortage == Shortage::none || !is_due) {
    return std::nullopt;
  }
  const auto target = m_mover->find_target(need, own, has_places, now);
  if (!target) {
    return std::nullopt;
  }
  EventLine(Event::job_moved)
      .add("job", job.id.view())
      .add("to_shard", *target)
      .add("moves", job.moves + 1)
      .add("shortage", enum_name(k_shortage_names, shortage))
      .add("need_cpu_millis", need.cpu_millis())
      .add("free_cpu_millis", own.total_free_millis())
      .add("has_places", has_places ? 1 : 0)
      .write();
  return target;
}

void Scheduler::move_to(Job& job, jobs::ShardIndex shard) {
  ++job.moves;
  jobs::JobMoved record;
  record.set_job(job.id.str());
  record.set_to_shard(shard);
  record.set_moves(job.moves);
  record.set_runs_through(job.runs_through);
  if (job.has_started()) {
    record.set_runs_through(highest_run(job, m_options.term));
    *record.mutable_progress() = job.progress(m_workers, m_timer.wall_ms());
    forget_unsettled_runs(*record.mutable_progress());
    remove_locations(*record.mutable_progress());
    trim_progress(*record.mutable_progress(), job.terms().max_attempts(), max_value_bytes());
  }
  remove_from_queue(job);
  m_dirty.erase(job.id);
  m_tasks.remove(job.id);
  store_move(record);
}

bool Scheduler::move_on_arrival(Job& job) {
  if (!may_move_jobs() || !may_move(job)) {
    return false;
  }
  const JobNeed need = remaining_need(job);
  const bool has_places = !need.lasts || lasting_room().places.has_places_for(need);
  const auto target = find_suitable_shard(job, Duration::zero(), room(), has_places);
  if (!target) {
    return false;
  }
  move_to(job, *target);
  return true;
}

// Repeated until it is stored or the leadership is lost; the next leader then keeps the job.
void Scheduler::store_move(const jobs::JobMoved& record) {
  m_log.write({jobs::encode(record)}, [this, alive = m_alive, record](bool stored) {
    if (*alive && !stored) {
      store_move(record);
    }
  });
}

// Jobs that fitted when they arrived may wait because workers have failed since.
void Scheduler::move_waiting_jobs() {
  if (!may_move_jobs()) {
    return;
  }
  const TimePoint now = m_timer.now();
  std::map<jobs::JobId, TimePoint> waiting;  // since when, by job
  m_ready.for_each_step([&](const Step& step, std::size_t) {
    const TimePoint since = step.tasks.front().ready_at;
    const Job& job = *step.job;
    const bool is_due = now - since >= k_min_wait && now >= job.next_move_search_at;
    if (is_due && may_move(job)) {
      waiting.try_emplace(job.id, since);
    }
  });
  if (waiting.empty()) {
    return;
  }
  ShardRoom own = room();
  const LastingRoom lasting = lasting_room();
  for (const auto& [id, since] : waiting) {
    Job& job = *m_tasks.find(id);
    const JobNeed need = remaining_need(job);
    own.give_back(need);
    const bool has_places = !lasting.jobs_without_places.contains(id);
    if (const auto target = find_suitable_shard(job, now - since, own, has_places)) {
      move_to(job, *target);
      continue;
    }
    own.take(need);
  }
}

void Scheduler::remove_from_queue(Job& job) {
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        m_ready.remove(task);
      }
    }
  }
}

}  // namespace arbutusdale::sched
