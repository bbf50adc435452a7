// Throttling of opportunistic runs beside serving tasks.
#include "arbutusdale/core/enum_names.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace arbutusdale::sched {
namespace {

using observe::Event;
using observe::EventLine;

// Progress up to which a run without checkpoints may be moved.
constexpr std::uint32_t k_movable_percent = 25;
constexpr double k_percent = 100;
constexpr Duration k_work_report_interval = std::chrono::seconds{5};

constexpr EnumNames<ThrottleReason, 5> k_reason_names{{
    {ThrottleReason::none, "none"},
    {ThrottleReason::tail_raised, "tail_raised"},
    {ThrottleReason::cause, "cause"},
    {ThrottleReason::all, "all"},
    {ThrottleReason::tail_low, "tail_low"},
}};

// Keeps the time that the run is paused, at a change of its speed.
void note_pause(Run& run, TimePoint now) {
  run.paused = run.paused_for(now);
  run.paused_since = run.throttle_percent == 0 ? now : TimePoint{};
}

}  // namespace

void Scheduler::control_throttling(Worker& worker) {
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
    const auto measured = static_cast<double>(run->tail_ms_or_cpu_millis);
    if (step.spec->tail_target_ms() > 0) {
      serving.push_back({step.image, measured / step.spec->tail_target_ms()});
    }
    if (step.spec->opportunistic()) {
      const double share = measured / capacity;
      const bool can_move =
          step.spec->checkpointing() || run->progress_percent <= k_movable_percent;
      samples.push_back({step.image, share});
      batch_runs.push_back(
          {step.image, share, run->wanted_throttle_percent, can_move, now - run->throttled_at});
      runs.emplace_back(ref.task, run);
    }
  }
  m_interference.observe(serving, samples, now);
  const auto decisions = worker.throttle_control.decide(serving, batch_runs, m_interference, now);
  for (std::size_t i = 0; i < decisions.size(); ++i) {
    const auto& [task, run] = runs[i];
    if (decisions[i].action == ThrottleAction::evict) {
      stop_run(*task, *run, "it disturbs serving tasks");
    } else if (decisions[i].action == ThrottleAction::set_throttle) {
      if (decisions[i].throttle_percent < run->wanted_throttle_percent) {
        run->throttled_at = now;
      }
      run->wanted_throttle_percent = decisions[i].throttle_percent;
      run->throttle_reason = decisions[i].reason;
    }
  }
  // Harmful runs need more frequent polls.
  worker.polled_frequently =
      std::any_of(batch_runs.begin(), batch_runs.end(), [&](const BatchRunState& batch) {
        return harm_on(m_interference, worker, batch.image, now) >= k_harmful;
      });
  send_throttles(worker);
}

void Scheduler::send_throttles(Worker& worker) {
  for (const RunRef& ref : worker.runs) {
    Run* run = ref.task->find_run(ref.number);
    const bool due = ref.task->step->spec->opportunistic() && run != nullptr &&
                     run->phase == RunPhase::running &&
                     run->throttle_percent != run->wanted_throttle_percent;
    if (due) {
      send_throttle(worker, *ref.task, *run);
    }
  }
}

void Scheduler::send_throttle(Worker& worker, Task& task, Run& run) {
  const std::uint32_t before = std::exchange(run.throttle_percent, run.wanted_throttle_percent);
  note_pause(run, m_timer.now());
  const jobs::TaskId id = task.step->job->task_id(task);
  EventLine(Event::pace_changed)
      .add("job", id.job.view())
      .add("step", id.step)
      .add("task", id.index)
      .add("run", run.number)
      .add("worker", worker.entry.id)
      .add("percent", run.throttle_percent)
      .add("reason", enum_name(k_reason_names, run.throttle_reason))
      .add("tail_percent",
           static_cast<std::uint64_t>(worker.throttle_control.tail_ratio() * k_percent))
      .add("progress_percent", run.progress_percent)
      .write();
  const ThrottleOrder order{{id, run.number, fencing_token(worker)}, run.throttle_percent};
  m_orders.throttle(
      worker.endpoint(), order,
      [this, alive = m_alive, id, number = run.number, before, endpoint = worker.endpoint(),
       token = order.run.fencing_token](const tl::expected<OrderReply, OrderError>& reply) {
        if (!*alive || reply) {
          return;
        }
        if (reply.error().reason == OrderFailure::fenced) {
          on_order_fenced(endpoint, token);
        }
        Job* job = m_tasks.find(id.job);
        Task* throttled_task = job == nullptr ? nullptr : job->find_task(id);
        Run* throttled = throttled_task == nullptr ? nullptr : throttled_task->find_run(number);
        if (throttled != nullptr) {
          throttled->throttle_percent = before;  // the next poll repeats the order
        }
      });
}

void Scheduler::log_opportunistic_work() {
  const TimePoint now = m_timer.now();
  if (now - m_work_logged_at < k_work_report_interval || m_opportunistic_work.is_empty()) {
    return;
  }
  m_work_logged_at = now;
  EventLine line(Event::opportunistic_work);
  line.add("token", m_options.fencing_token).add("done", m_opportunistic_work.done_core_ms());
  for (std::size_t i = 0; i < k_work_outcomes; ++i) {
    const auto outcome = static_cast<WorkOutcome>(i);
    line.add(to_string(outcome), m_opportunistic_work.core_ms(outcome));
  }
  line.write();
}

}  // namespace arbutusdale::sched
