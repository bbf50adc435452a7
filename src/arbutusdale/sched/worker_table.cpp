// Accounting of committed resources, and unanswered starts of workers.
#include "arbutusdale/sched/worker_table.hpp"

#include <algorithm>

namespace arbutusdale::sched {
namespace {

constexpr Duration k_reachable_timeout = std::chrono::milliseconds{1'300};
// Share of their reserved processors that serving tasks use on average.
constexpr double k_serving_utilization = 0.6;
// A worker that leaves a start unanswered is avoided for this long, unless it answers one.
constexpr Duration k_unanswered_penalty_time = std::chrono::seconds{5};

}  // namespace

Resources reserved_resources(const Step& step) {
  Resources reserved = step.need;
  if (step.spec->opportunistic()) {
    reserved.cpu_millis = 0;
  }
  return reserved;
}

bool Worker::is_reachable(TimePoint now) const {
  return has_answered && in_roster && !needs_poll && now - last_answer <= k_reachable_timeout;
}

bool Worker::has_label(const std::string& label) const {
  return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

Resources Worker::room_kept_from(const Step& step) const {
  return room.step == &step ? Resources{} : room.need;
}

std::uint32_t Worker::runs_of(const Step& step) const {
  const auto count = std::count_if(runs.begin(), runs.end(),
                                   [&step](const RunRef& run) { return run.task->step == &step; });
  return static_cast<std::uint32_t>(count);
}

OpportunisticRoom Worker::opportunistic_room() const {
  const auto others = static_cast<std::int64_t>(committed.cpu_millis - serving_cpu_millis);
  const auto serving =
      static_cast<std::int64_t>(static_cast<double>(serving_cpu_millis) * k_serving_utilization);
  return {static_cast<std::int64_t>(entry.capacity.cpu_millis) - serving - others,
          static_cast<std::int64_t>(opportunistic_cpu_millis - shared_cpu_millis),
          static_cast<std::int64_t>(shared_cpu_millis)};
}

bool Worker::is_quiet(TimePoint now) const {
  return isolated_runs == 0 && now - last_start_at >= k_settling_time;
}

bool Worker::has_open_group(std::uint32_t max_runs) const {
  return isolated_runs > 0 && isolated_runs < max_runs &&
         std::none_of(runs.begin(), runs.end(),
                      [](const RunRef& run) { return run.isolation == Isolation::alone; });
}

CrashedRun Worker::describe_run(const Run& run) const {
  CrashedRun crashed;
  crashed.number = run.number;
  crashed.worker = entry.id;
  crashed.begun = run.begun_at != TimePoint{};
  crashed.isolated = run.isolation == Isolation::alone;
  crashed.grouped = run.isolation == Isolation::grouped;
  crashed.silent_at = silent_since;
  crashed.begun_at = crashed.begun ? std::min(run.begun_at, silent_since) : silent_since;
  if (crashed.begun) {
    crashed.age = std::max(last_alive - run.begun_at, Duration::zero());
    crashed.settled = crashed.age >= k_settling_time;
    crashed.prompt = !crashed.settled && silent_since != TimePoint{} &&
                     silent_since - run.begun_at <= k_prompt_crash_time;
  }
  return crashed;
}

void Worker::add_run(Task& task, std::uint32_t number, Isolation isolation) {
  const Step& step = *task.step;
  const std::uint64_t opportunistic = step.spec->opportunistic() ? step.need.cpu_millis : 0;
  const bool shares =
      step.spec->opportunistic() && !has_idle_processors(opportunistic_room(), opportunistic);
  runs.push_back({&task, number, isolation, shares});
  isolated_runs += isolation != Isolation::none ? 1 : 0;
  committed = plus(committed, reserved_resources(step));
  serving_cpu_millis += step.spec->long_running() ? step.need.cpu_millis : 0;
  opportunistic_cpu_millis += opportunistic;
  shared_cpu_millis += shares ? opportunistic : 0;
}

void Worker::remove_run(const Task& task, std::uint32_t number) {
  const auto found = std::find_if(runs.begin(), runs.end(), [&](const RunRef& run) {
    return run.task == &task && run.number == number;
  });
  if (found == runs.end()) {
    return;
  }
  const Step& step = *task.step;
  const std::uint64_t opportunistic = step.spec->opportunistic() ? step.need.cpu_millis : 0;
  isolated_runs -= found->isolation != Isolation::none ? 1 : 0;
  opportunistic_cpu_millis -= opportunistic;
  shared_cpu_millis -= found->shares_processors ? opportunistic : 0;
  runs.erase(found);
  committed = minus(committed, reserved_resources(step));
  serving_cpu_millis -= step.spec->long_running() ? step.need.cpu_millis : 0;
}

void Worker::end_isolation(const Task& task, std::uint32_t number) {
  for (RunRef& run : runs) {
    if (run.task != &task || run.number != number || run.isolation == Isolation::none) {
      continue;
    }
    run.isolation = Isolation::none;
    --isolated_runs;
  }
}

void Worker::note_unanswered_start(const jobs::TaskId& task, std::uint32_t run, TimePoint sent_at) {
  std::erase_if(unanswered, [sent_at](const UnansweredStart& start) {
    return sent_at - start.sent_at > k_late_order_bound;
  });
  unanswered.push_back({task, run, sent_at});
}

bool Worker::may_still_start(const jobs::TaskId& task, TimePoint now) const {
  return std::any_of(unanswered.begin(), unanswered.end(), [&](const UnansweredStart& start) {
    return start.task == task && now - start.sent_at <= k_late_order_bound;
  });
}

// A worker without a registration has left, or has been silent for so long that it counts as gone.
bool Worker::may_carry_out_start_of(TimePoint sent_at, TimePoint now) const {
  return registered && !has_ended && sent_at > refuses_orders_until &&
         now - sent_at <= k_late_order_bound;
}

void Worker::note_start_sent(TimePoint now) {
  if (starts_in_flight++ == 0) {
    start_awaited_since = now;
  }
}

void Worker::note_start_result(StartResult result, TimePoint now) {
  --starts_in_flight;
  if (result == StartResult::answered) {
    start_awaited_since = now;
    unanswered_starts = 0;
    return;
  }
  ++unanswered_starts;
  start_unanswered_at = now;
}

bool Worker::leaves_starts_unanswered(TimePoint now) const {
  return unanswered_starts > 0 && now - start_unanswered_at < k_unanswered_penalty_time;
}

Worker& WorkerTable::get_or_add(const std::string& id) {
  const auto [found, added] = m_slots.try_emplace(id, static_cast<WorkerSlot>(m_workers.size()));
  if (added) {
    m_workers.push_back(std::make_unique<Worker>());
    m_workers.back()->slot = found->second;
  }
  return *m_workers[found->second];
}

IsolationCount WorkerTable::count_isolating() const {
  IsolationCount count;
  for (const auto& worker : m_workers) {
    if (worker->isolated_runs == 0) {
      continue;
    }
    const bool is_silent = worker->silent_since != TimePoint{};
    ++(is_silent ? count.silent : count.answering);
  }
  return count;
}

std::size_t WorkerTable::count_registered() const {
  const auto count = std::count_if(m_workers.begin(), m_workers.end(),
                                   [](const auto& worker) { return worker->registered; });
  return static_cast<std::size_t>(count);
}

Worker* WorkerTable::find(const std::string& id) {
  const auto found = m_slots.find(id);
  return found == m_slots.end() ? nullptr : m_workers[found->second].get();
}

}  // namespace arbutusdale::sched
