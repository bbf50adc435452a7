// Speed of opportunistic runs beside serving tasks.
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Percent of its work up to which a run without checkpoints may be moved.
constexpr std::uint32_t k_movable_percent = 25;

}  // namespace

void Scheduler::control_pace(Worker& worker) {
  const TimePoint now = m_timer.now();
  const auto capacity =
      static_cast<double>(std::max<std::uint64_t>(worker.entry.capacity.cpu_millis, 1));
  std::vector<ServingSample> serving;
  std::vector<BatchSample> samples;
  std::vector<BatchRunState> batch_runs;
  std::vector<std::pair<Task*, Run*>> runs;  // of batch_runs
  for (const RunRef& ref : worker.runs) {
    const Step& step = *ref.task->step;
    Run* run = ref.task->find_run(ref.number);
    if (run == nullptr || run->phase != RunPhase::running) {
      continue;
    }
    const auto gauge = static_cast<double>(run->gauge);
    if (step.spec->tail_target_ms() > 0) {
      serving.push_back({step.image, gauge / step.spec->tail_target_ms()});
    }
    if (step.spec->opportunistic()) {
      const double share = gauge / capacity;
      const bool can_move = step.spec->checkpointing() || run->percent <= k_movable_percent;
      samples.push_back({step.image, share});
      batch_runs.push_back({step.image, share, run->wanted_pace, can_move, now - run->slowed_at});
      runs.emplace_back(ref.task, run);
    }
  }
  m_interference.observe(serving, samples, now);
  const auto decisions = worker.pace_control.decide(serving, batch_runs, m_interference, now);
  for (std::size_t i = 0; i < decisions.size(); ++i) {
    const auto& [task, run] = runs[i];
    if (decisions[i].action == PaceAction::evict) {
      stop_run(*task, *run, "it disturbs serving tasks");
    } else if (decisions[i].action == PaceAction::set_pace) {
      if (decisions[i].pace < run->wanted_pace) {
        run->slowed_at = now;
      }
      run->wanted_pace = decisions[i].pace;
    }
  }
  // Harmful runs need closer looks.
  worker.watched =
      std::any_of(batch_runs.begin(), batch_runs.end(), [&](const BatchRunState& batch) {
        return harm_on(m_interference, worker, batch.image, now) >= k_harmful;
      });
  order_paces(worker);
}

void Scheduler::order_paces(Worker& worker) {
  for (const RunRef& ref : worker.runs) {
    Run* run = ref.task->find_run(ref.number);
    const bool due = ref.task->step->spec->opportunistic() && run != nullptr &&
                     run->phase == RunPhase::running && run->pace != run->wanted_pace;
    if (due) {
      order_pace(worker, *ref.task, *run);
    }
  }
}

void Scheduler::order_pace(Worker& worker, Task& task, Run& run) {
  const std::uint32_t before = std::exchange(run.pace, run.wanted_pace);
  const jobs::TaskId id = task.step->job->task_id(task);
  EventLine(Event::pace_changed)
      .add("job", id.job.view())
      .add("step", id.step)
      .add("task", id.index)
      .add("run", run.number)
      .add("worker", worker.entry.id)
      .add("percent", run.pace)
      .write();
  const ThrottleOrder order{{id, run.number, m_options.fencing_token}, run.pace};
  m_orders.throttle(worker.endpoint(), order,
                    [this, alive = m_alive, id, number = run.number,
                     before](const tl::expected<OrderReply, OrderError>& reply) {
                      if (!*alive || reply) {
                        return;
                      }
                      if (reply.error().reason == OrderFailure::fenced) {
                        m_on_fenced();
                        return;
                      }
                      Job* job = m_tasks.find(id.job);
                      Task* paced_task = job == nullptr ? nullptr : job->find_task(id);
                      Run* paced = paced_task == nullptr ? nullptr : paced_task->find_run(number);
                      if (paced != nullptr) {
                        paced->pace = before;  // the next look at the worker repeats the order
                      }
                    });
}

}  // namespace arbutusdale::sched
