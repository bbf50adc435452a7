// Unit tests of single decisions: interference, throttling, leases, order of waiting tasks,
// stragglers, affinity.
#include "arbutusdale/sched/interference.hpp"
#include "arbutusdale/sched/serving_affinity.hpp"
#include "arbutusdale/sched/straggler.hpp"
#include "arbutusdale/sched/throttle_control.hpp"
#include "arbutusdale/sched/worker_lease.hpp"

#include <chrono>
#include <vector>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t k_record_bytes = 262'144;
constexpr TimePoint k_start{Duration{1'000'000}};
constexpr ImageId k_harmful_batch = 1;
constexpr ImageId k_harmless_batch = 2;
constexpr ImageId k_serving = 3;

}  // namespace

// Guards against a harmful image that is not recognized, and against evidence against a harmless
// image that runs beside it.
Test(interference, distinguishes_harmful_from_harmless_images) {
  InterferenceTable table;
  TimePoint now = k_start;
  for (int i = 0; i < 40; ++i) {
    now += 500ms;
    table.observe({{k_serving, 0.3}}, {{k_harmless_batch, 0.1}}, now);
    if (i % 8 == 0) {
      table.observe({{k_serving, 4.0}}, {{k_harmful_batch, 0.1}, {k_harmless_batch, 0.1}}, now);
    }
  }
  cr_assert_gt(table.harm(k_harmful_batch, k_serving, now), 0.5);
  cr_assert_lt(table.harm(k_harmless_batch, k_serving, now), 0.5);
}

// Guards against a harmful pair that is taken for harmless after many samples at a low load.
Test(interference, low_tails_clear_a_pair_slowly) {
  InterferenceTable table;
  TimePoint now = k_start;
  for (int i = 0; i < 4; ++i) {
    table.observe({{k_serving, 3.0}}, {{k_harmful_batch, 0.1}}, now);
  }
  for (int i = 0; i < 20; ++i) {
    now += 500ms;
    table.observe({{k_serving, 0.4}}, {{k_harmful_batch, 0.1}}, now);
  }
  cr_assert_gt(table.harm(k_harmful_batch, k_serving, now), 0.5);
}

// Guards against evidence against a paused run, which can't be the cause.
Test(interference, a_paused_run_gets_no_harmful_evidence) {
  InterferenceTable table;
  table.observe({{k_serving, 3.0}}, {{k_harmful_batch, 0.0}}, k_start);
  cr_assert_not(table.is_known(k_harmful_batch, k_serving, k_start));
}

// Guards against a tail over its target for four seconds because the wrong run was paused first.
Test(throttle_control, pauses_everything_when_the_cause_is_not_found) {
  InterferenceTable table;
  ThrottleControl control;
  std::vector<BatchRunState> batch_runs{{k_harmful_batch, 0.02, 100, false, 0s},
                                        {k_harmless_batch, 0.3, 100, false, 0s}};
  TimePoint now = k_start;
  for (int i = 0; i < 5; ++i) {
    const auto decisions = control.decide({{k_serving, 2.0}}, batch_runs, table, now);
    for (std::size_t f = 0; f < batch_runs.size(); ++f) {
      batch_runs[f].throttle_percent = decisions[f].throttle_percent;
    }
    now += 700ms;
  }
  cr_assert_eq(batch_runs[0].throttle_percent, 0U);
  cr_assert_eq(batch_runs[1].throttle_percent, 0U);
}

// Guards against harmless runs that stay paused after the cause is gone.
Test(throttle_control, resumes_harmless_runs_after_low_tails) {
  InterferenceTable table;
  ThrottleControl control;
  std::vector<BatchRunState> batch_runs{{k_harmless_batch, 0.3, 100, false, 0s}};
  TimePoint now = k_start;
  for (int i = 0; i < 10; ++i) {
    const double ratio = i < 2 ? 1.5 : 0.3;
    batch_runs[0].throttle_percent =
        control.decide({{k_serving, ratio}}, batch_runs, table, now)[0].throttle_percent;
    now += 500ms;
  }
  cr_assert_eq(batch_runs[0].throttle_percent, 100U);
}

// Guards against a lease that counts as expired while it still runs on a worker's slow clock.
Test(worker_lease, allows_for_a_slow_clock) {
  WorkerLease lease;
  cr_assert_not(lease.extend(k_start).has_value());
  lease.observe_clock(5'000, k_start);
  cr_assert_eq(*lease.extend(k_start + 1s), 12'000U);
  cr_assert_geq(lease.expires_at() - k_start, Duration{7'140ms});
}

// Guards against a recorded lease that is shortened by a later order with a shorter lease.
Test(worker_lease, never_shortens) {
  WorkerLease lease;
  lease.observe_clock(0, k_start);
  (void)lease.extend(k_start);
  const TimePoint before = lease.expires_at();
  (void)lease.extend_by(k_start, 1s);
  cr_assert(lease.expires_at() == before);
}

// Guards against an order by arrival alone, in which expired jobs come first in a backlog.
Test(ready_queue, orders_by_kind_priority_and_lateness) {
  store::FakeTimer timer;
  TaskTable table;
  ReadyQueue queue;
  const auto add = [&](std::uint32_t number, std::uint32_t priority, bool lasts, Duration age) {
    JobBuilder builder(number, priority);
    builder.step(1, 100).set_long_running(lasts);
    builder.record.set_accepted_wall_ms(timer.wall_ms() -
                                        static_cast<std::uint64_t>(age.count() / 1'000));
    jobs::JobEntry entry;
    entry.submitted = std::make_shared<jobs::JobSubmitted>(builder.record);
    Job* job = table.add(job_id(number), entry, timer.wall_ms(), timer.now());
    for (Step* step : table.open_occurrences(*job, timer.wall_ms())) {
      queue.push(step->tasks[0], timer.now());
    }
  };
  add(1, 2, false, 60s);
  add(2, 2, false, 4s);
  add(3, 2, false, 0s);
  add(4, 0, false, 0s);
  add(5, 0, true, 0s);
  std::vector<std::uint32_t> order;
  queue.for_each([&](const Task& task) {
    order.push_back(static_cast<std::uint32_t>(std::stoul(task.step->job->id.str(), nullptr, 16)));
    return Visit::next_task;
  });
  cr_assert(order == std::vector<std::uint32_t>({5, 4, 3, 2, 1}));
}

// Guards against rounds whose cost grows with the tasks of a backlog instead of its steps, and
// against a visit that continues in a step whose last task it has removed.
Test(ready_queue, a_visit_can_skip_a_step_and_remove_its_tasks) {
  store::FakeTimer timer;
  TaskTable table;
  ReadyQueue queue;
  for (std::uint32_t number = 1; number <= 3; ++number) {
    JobBuilder builder(number, number);
    builder.step(100, 100);
    jobs::JobEntry entry;
    entry.submitted = std::make_shared<jobs::JobSubmitted>(builder.record);
    Job* job = table.add(job_id(number), entry, timer.wall_ms(), timer.now());
    for (Step* step : table.open_occurrences(*job, timer.wall_ms())) {
      for (Task& task : step->tasks) {
        queue.push(task, timer.now());
      }
    }
  }
  std::size_t visited = 0;
  queue.for_each([&](Task& task) {
    ++visited;
    if (task.step->job->terms().priority() == 1) {
      queue.remove(task);
      return Visit::next_task;
    }
    return Visit::next_step;
  });
  cr_assert_eq(visited, 102U);
  cr_assert_eq(queue.size(), 200U);
}

// Guards against losing the interference evidence in a change of leader.
Test(interference, evidence_survives_a_change_of_leader) {
  InterferenceTable first;
  const ImageId batch = first.intern("batch");
  const ImageId serving = first.intern("serving");
  for (int i = 0; i < 4; ++i) {
    first.observe({{serving, 3.0}}, {{batch, 0.1}}, k_start);
  }
  InterferenceTable second;
  (void)second.intern("other");
  second.restore(first.save(k_start, k_record_bytes), k_start);
  cr_assert_gt(second.harm(second.intern("batch"), second.intern("serving"), k_start), 0.5);
}

// Guards against evidence that the store can't take, and against the loss of what says most.
Test(interference, evidence_is_trimmed_to_the_record_with_the_least_useful_pairs_first) {
  InterferenceTable table;
  const std::string long_name(k_record_bytes, 'n');
  const ImageId harmful = table.intern("harmful");
  const ImageId serving = table.intern("serving");
  for (int i = 0; i < 4; ++i) {
    table.observe({{serving, 3.0}}, {{harmful, 0.1}}, k_start);
    table.observe({{table.intern(long_name), 3.0}}, {{harmful, 0.1}}, k_start);
  }
  for (int batch = 0; batch < 100; ++batch) {
    const ImageId weak = table.intern("weak" + std::to_string(batch));
    for (int other = 0; other < 100; ++other) {
      const ImageId beside = table.intern("serving" + std::to_string(other));
      table.observe({{beside, 0.1}}, {{weak, 0.1}}, k_start);
    }
  }
  const auto record = table.save(k_start, k_record_bytes);
  cr_assert_leq(record.ByteSizeLong(), k_record_bytes);
  cr_assert_geq(record.ByteSizeLong(), k_record_bytes * 9 / 10);
  cr_assert_eq(record.pairs(0).opportunistic_image(), "harmful");
  cr_assert_eq(record.pairs(0).serving_image(), "serving");
}

// Guards against moving runs whose estimate is only rough, and against missing real stragglers.
Test(straggler, tells_slow_runs_from_rough_estimates) {
  cr_assert_not(is_straggler({800ms, 100ms, 60, 800ms}, 1));
  cr_assert_not(is_straggler({1500ms, 100ms, 60, 800ms}, 1));
  cr_assert(is_straggler({900ms, 100ms, 15, 800ms}, 1));
  cr_assert_not(is_straggler({300ms, 100ms, 1, 800ms}, 1));
  cr_assert_not(is_straggler({900ms, 100ms, 15, 800ms}, 0.15));
  cr_assert(is_stuck({3s, 1500ms, 40, 800ms}));
  cr_assert_not(is_stuck({3s, 500ms, 40, 800ms}));
  cr_assert_not(is_stuck({60s, 5s, 10, 600s}));
}

// Guards against a low cost of mixing serving images that different work disturbs, and against a
// high cost of mixing images that the same work disturbs.
Test(affinity, images_that_the_same_work_disturbs_go_together) {
  constexpr ImageId k_like = 4;
  constexpr ImageId k_unlike = 5;
  constexpr ImageId k_unseen = 6;
  InterferenceTable table;
  TimePoint now = k_start;
  for (int i = 0; i < 20; ++i) {
    now += 500ms;
    for (const ImageId harmed : {k_serving, k_like}) {
      table.observe({{harmed, 3.0}}, {{k_harmful_batch, 0.1}}, now);
      table.observe({{harmed, 0.3}}, {{k_harmless_batch, 0.1}}, now);
    }
    table.observe({{k_unlike, 0.3}}, {{k_harmful_batch, 0.1}}, now);
    table.observe({{k_unlike, 3.0}}, {{k_harmless_batch, 0.1}}, now);
  }
  ServingAffinity affinity;
  cr_assert_eq(affinity.mixing_cost(k_serving, k_like), 1.0);
  affinity.update(table, now);
  cr_assert_eq(affinity.mixing_cost(k_serving, k_serving), 0.0);
  cr_assert_lt(affinity.mixing_cost(k_serving, k_like), 0.1);
  cr_assert_gt(affinity.mixing_cost(k_unlike, k_like), 1.5);
  cr_assert_eq(affinity.mixing_cost(k_serving, k_unseen), 1.0);
}
