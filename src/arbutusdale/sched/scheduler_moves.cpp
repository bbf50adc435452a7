// Moves of jobs to other shards. Only a job of which no task was ever started is moved: until the
// move is stored, it belongs to this shard, where nothing of it starts any more.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Serving tasks that last leave this share of a shard's processors to urgent tasks, and to tasks
// whose workers fail.
constexpr std::int64_t k_reserve_divisor = 10;
// Shards that are full at the same time would otherwise pass a job on and on.
constexpr std::uint32_t k_max_moves = 3;
// A move takes some tenths of a second; until then room may become free here.
constexpr Duration k_min_wait = std::chrono::milliseconds{300};

struct JobNeed {
  std::uint64_t cpu_millis = 0;  // reserved by the steps that can start at once
  bool lasts = false;
};

JobNeed need_of(const proto::jobs::JobSpec& spec) {
  JobNeed need;
  if (spec.repeat_count() > 0) {
    return need;  // its occurrences are due at different times
  }
  for (const auto& step : spec.steps()) {
    if (step.after_size() > 0 || step.opportunistic()) {
      continue;
    }
    need.cpu_millis += std::uint64_t{step.tasks()} * step.cpu_millis();
    need.lasts = need.lasts || step.long_running();
  }
  return need;
}

}  // namespace

ShardRoom Scheduler::room() const {
  ShardRoom room;
  for (const auto& worker : m_workers.all()) {
    if (!worker->registered || worker->entry.state != WorkerState::ready) {
      continue;
    }
    room.capacity_millis += worker->entry.capacity.cpu_millis;
    room.free_millis +=
        static_cast<std::int64_t>(minus(worker->entry.capacity, worker->committed).cpu_millis);
  }
  m_ready.for_each_step([&room](const Step& step, std::size_t waiting) {
    if (!step.spec->opportunistic()) {
      room.free_millis -= static_cast<std::int64_t>(step.need.cpu_millis * waiting);
    }
  });
  return room;
}

// Before the first worker is known, nothing can be said of the room.
bool Scheduler::lacks_room_for(const Job& job, const ShardRoom& room) {
  const JobNeed need = need_of(job.spec());
  if (need.cpu_millis == 0 || room.capacity_millis == 0) {
    return false;
  }
  const auto capacity = static_cast<std::int64_t>(room.capacity_millis);
  const std::int64_t reserve = need.lasts ? capacity / k_reserve_divisor : 0;
  return room.free_millis - static_cast<std::int64_t>(need.cpu_millis) < reserve;
}

// The tasks of the job must not be in the queue, so that room() leaves its need out.
bool Scheduler::move_to_roomier_shard(Job& job) {
  const bool may_move = m_mover != nullptr && may_start() && !job.taken_over && !job.ordered &&
                        !job.ending && job.moves < k_max_moves;
  if (!may_move) {
    return false;
  }
  const ShardRoom own = room();
  if (!lacks_room_for(job, own)) {
    return false;
  }
  const std::uint64_t need = need_of(job.spec()).cpu_millis;
  const auto target = m_mover->find_target(need, own, m_timer.now());
  if (!target) {
    return false;
  }
  EventLine(Event::job_moved)
      .add("job", job.id.view())
      .add("to_shard", *target)
      .add("moves", job.moves + 1)
      .add("need_cpu_millis", need)
      .add("free_cpu_millis", own.free_millis)
      .write();
  jobs::JobMoved record;
  record.set_job(job.id.str());
  record.set_to_shard(*target);
  record.set_moves(job.moves + 1);
  m_dirty.erase(job.id);
  m_tasks.remove(job.id);
  store_move(record);
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
  if (m_mover == nullptr) {
    return;
  }
  std::vector<jobs::JobId> waiting;
  m_ready.for_each_step([&](const Step& step, std::size_t) {
    const Job& job = *step.job;
    const bool is_late = m_timer.now() - step.tasks.front().ready_at >= k_min_wait;
    if (!step.spec->opportunistic() && !job.ordered && !job.taken_over && is_late) {
      waiting.push_back(job.id);
    }
  });
  for (const jobs::JobId& id : waiting) {
    Job* job = m_tasks.find(id);
    if (job == nullptr) {
      continue;
    }
    const std::vector<Task*> removed = remove_from_queue(*job);
    if (move_to_roomier_shard(*job)) {
      continue;
    }
    for (Task* task : removed) {
      m_ready.push(*task, m_timer.now());
    }
  }
}

std::vector<Task*> Scheduler::remove_from_queue(Job& job) {
  std::vector<Task*> removed;
  for (const auto& occurrence : job.occurrences) {
    for (Step& step : occurrence->steps) {
      for (Task& task : step.tasks) {
        if (m_ready.contains(task)) {
          m_ready.remove(task);
          removed.push_back(&task);
        }
      }
    }
  }
  return removed;
}

}  // namespace arbutusdale::sched
