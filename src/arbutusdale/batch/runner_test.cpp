// Tests of the shard runner in its normal course.
#include "test_world.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

// Guards against a break anywhere on the way from acquisition to acknowledgement.
Test(runner, runs_a_job_to_its_end) {
  World world;
  world.add_vm("vm-1");
  world.add_vm("vm-2");
  world.take_over();
  world.add_job(World::job("plan", 8));
  world.run(2s);
  cr_assert_eq(world.agents.running(), 8U);
  world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  world.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  world.run(4s);
  cr_assert_eq(world.succeeded("plan"), 8U);
  cr_assert(world.agents.vm("vm-1").attempts.empty(), "ended attempts are acknowledged");
  cr_assert_eq(world.agents.most_at_once, 1U);
  cr_assert_eq(world.runner->stats().succeeded, 8U);
}

// Guards against work that stays on a drained VM or is started there, and against evicted work
// that resumes more than once, without its checkpoint, or under an old attempt number.
Test(runner, drain_moves_work_with_its_checkpoint) {
  World world;
  world.add_vm("vm-1", {4'000, 4'096, 0}, "rack-1");
  world.add_vm("vm-2", {4'000, 4'096, 0}, "rack-2");
  world.take_over();
  world.add_job(World::job("plan", 4));
  world.run(2s);
  cr_assert_eq(world.agents.running_on("vm-1"), 2U);
  cr_assert_not(world.runner->is_drained("vm-1"));
  world.agents.vm("vm-1").slow_stop = true;
  proto::state::Declaration drains;
  drains.add_drains("vm-1");
  world.confirm(drains);
  world.run(5s);
  cr_assert_eq(world.agents.starts_run, 4U, "nothing resumes before the stop is proved");
  cr_assert_not(world.runner->is_drained("vm-1"));
  world.agents.finish_stops("vm-1");
  world.run(5s);
  cr_assert(world.runner->is_drained("vm-1"));
  cr_assert_eq(world.agents.running_on("vm-2"), 4U);
  cr_assert_eq(world.agents.starts_run, 6U);
  cr_assert_eq(world.agents.started.back().attempt(), 2U);
  cr_assert(world.agents.started.back().checkpoint() == "checkpoint-1");
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against a VM that is listed as leaving and still gets work.
Test(runner, leaving_vm_gets_nothing) {
  World world;
  world.add_vm("vm-1");
  world.add_vm("vm-2");
  world.agents.vm("vm-1").info.leaving = true;
  world.take_over();
  world.add_job(World::job("plan", 6));
  world.run(3s);
  cr_assert_eq(world.agents.running_on("vm-1"), 0U);
  cr_assert_eq(world.agents.running_on("vm-2"), 4U);
}

// Guards against a wave of cancellations after which something still runs or starts.
Test(runner, cancellation_wave) {
  World world;
  for (int i = 0; i < 10; ++i) {
    world.add_vm("vm-" + std::to_string(i), {40'000, 40'960, 0});
  }
  world.take_over();
  for (int i = 0; i < 50; ++i) {
    world.add_job(World::job("job-" + std::to_string(i), 20));
  }
  world.run(1s);
  cr_assert_eq(world.agents.running(), 400U);
  for (int i = 0; i < 50; ++i) {
    world.cancel("job-" + std::to_string(i));
  }
  const std::uint64_t started = world.agents.starts_run;
  world.run(3s);
  cr_assert_eq(world.agents.starts_run, started, "nothing starts after the cancellation");
  cr_assert_eq(world.agents.running(), 0U);
  for (const std::string& id : world.listed) {
    cr_assert(world.agents.vm(id).attempts.empty(), "stopped attempts are acknowledged");
  }
  cr_assert_eq(world.runner->stats().running, 0U);
}

// Guards against a start between the cancellation and the call that tells the runner of it.
Test(runner, cancellation_holds_at_once) {
  World world;
  world.add_vm("vm-1");
  world.take_over();
  world.add_job(World::job("plan", 8));
  world.run(1s);
  world.cancel("plan", false);
  world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  world.run(3s);
  cr_assert_eq(world.agents.starts_run, 4U);
}

// Guards against a job that is cancelled after its start was sent and whose answer was lost.
Test(runner, cancelled_while_its_start_is_unanswered) {
  World world;
  world.add_vm("vm-1");
  world.take_over();
  world.run(1s);
  world.agents.vm("vm-1").delay_starts = true;
  world.add_job(World::job("plan", 2));
  world.run(200ms);
  world.cancel("plan");
  world.agents.vm("vm-1").delay_starts = false;
  world.run(3s);
  world.agents.deliver_delayed_starts("vm-1");
  world.run(3s);
  cr_assert_eq(world.agents.running(), 0U);
  cr_assert_eq(world.runner->stats().running, 0U, "nothing stays committed");
}

// Guards against a worker that fails every task and uses up the tries of good tasks.
Test(runner, failing_worker_is_quarantined) {
  World world;
  world.add_vm("vm-1", {4'000, 4'096, 0}, "rack-1");
  world.add_vm("vm-2", {4'000, 4'096, 0}, "rack-2");
  world.add_vm("vm-3", {4'000, 4'096, 0}, "rack-3");
  world.agents.vm("vm-3").fail_all = true;
  world.take_over();
  world.add_job(World::job("plan", 60));
  for (int i = 0; i < 60; ++i) {
    world.run(2s);
    world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
    world.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  }
  world.run(5s);
  cr_assert_eq(world.succeeded("plan"), 60U);
  cr_assert(world.domain->job("plan")->failed.empty());
  cr_assert_eq(world.domain->quarantines().size(), 1U);
  cr_assert(world.domain->quarantines().front().worker() == "vm-3");
  cr_assert_leq(world.runner->stats().failed, 12U);
}

// Guards against a bad job that is retried forever, or that condemns the workers it fails on.
Test(runner, failing_job_is_given_up_with_evidence) {
  World world;
  for (int i = 0; i < 6; ++i) {
    world.add_vm("vm-" + std::to_string(i));
    world.agents.vm("vm-" + std::to_string(i)).fail_all = true;
  }
  world.take_over();
  world.add_job(World::job("bad", 3));
  world.run(40s);
  const state::JobRecord& record = *world.domain->job("bad");
  cr_assert_eq(record.failed.size(), 3U);
  cr_assert_eq(world.agents.starts_run, 12U, "four tries of each task");
  cr_assert(record.task_entries.at(0).note().find("given up after 4 failed tries on vm-") == 0);
  cr_assert(world.domain->quarantines().empty());
}

// Guards against a VM that is committed beyond its capacity, by tasks or by reservations.
Test(runner, capacity_and_reservations) {
  World world;
  world.add_vm("web-1");
  world.add_vm("vm-1");
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  *service.mutable_reserve() = backplane::to_proto(Resources{2'000, 1'024, 0});
  world.confirm(declaration);
  world.take_over();
  world.add_job(World::job("plan", 20));
  world.run(5s);
  cr_assert_eq(world.agents.running_on("web-1"), 1U);
  cr_assert_eq(world.agents.running_on("vm-1"), 4U);
  cr_assert_not(world.agents.overcommitted);
  cr_assert(world.runner->waiting_reason("plan") ==
            "no worker of the shard has enough free capacity");
}

// Guards against a seeded fault that breaks nothing: the agent must have had to refuse.
Test(runner, seeded_fault_ignores_capacity) {
  World world;
  world.add_vm("vm-1");
  world.options.seeded_fault = SeededFault::ignore_capacity;
  world.take_over();
  world.add_job(World::job("plan", 20));
  world.run(2s);
  cr_assert(world.agents.overcommitted);
}

// Guards against a noisy task that goes on beside a service over its target, against an eviction
// before throttling, and against a second action before a measurement shows the first.
Test(runner, noisy_pair_is_throttled_then_evicted) {
  World world;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  world.confirm(declaration);
  world.add_vm("web-1", {8'000, 8'192, 0});
  world.take_over();
  world.add_job(World::job("noisy", 2, {2'000, 1'024, 0}));
  world.run(2s);
  cr_assert_eq(world.agents.running(), 2U);
  FakeVm& vm = world.agents.vm("web-1");
  vm.task_use = {2'000, 1'024, 0};
  auto& report = vm.services.emplace_back();
  report.set_service("web");
  report.set_load(0.5);
  report.set_p99_ms(150);
  world.run(1500ms);
  cr_assert_eq(world.runner->stats().throttles, 2U);
  cr_assert_eq(world.runner->stats().evictions, 0U);
  world.run(15s);
  cr_assert_eq(world.runner->stats().evictions, 2U);
  cr_assert_eq(world.agents.running(), 0U, "nothing starts beside a service over its target");
  cr_assert(world.runner->waiting_reason("noisy").find("near their targets") != std::string::npos);
  vm.services.front().set_p99_ms(20);
  world.run(10s);
  cr_assert_gt(world.agents.running(), 0U);
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against an action on every report of a measurement that stands still.
Test(runner, acts_only_on_newer_measurements) {
  World world;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_p99_target_ms(100);
  world.confirm(declaration);
  world.add_vm("web-1", {8'000, 8'192, 0});
  world.take_over();
  world.add_job(World::job("noisy", 4));
  world.run(2s);
  auto& report = world.agents.vm("web-1").services.emplace_back();
  report.set_service("web");
  report.set_load(0.5);
  report.set_p99_ms(300);
  world.run(1s);
  world.freeze_measurements = true;
  world.run(30s);
  cr_assert_leq(world.runner->stats().throttles, 4U);
  cr_assert_eq(world.runner->stats().evictions, 0U);
}

// Guards against urgent work that waits for the end of other work on a full shard.
Test(runner, urgent_work_makes_room) {
  World world;
  world.add_vm("vm-1");
  world.add_vm("vm-2");
  world.take_over();
  world.add_job(World::job("bulk", 20));
  world.run(3s);
  cr_assert_eq(world.agents.running(), 8U);
  auto urgent = World::job("urgent", 1, {2'000, 2'048, 0});
  urgent.set_urgent(true);
  world.add_job(urgent);
  world.run(1500ms);
  cr_assert_eq(world.agents.running("urgent", 0), 1U);
  cr_assert_eq(world.runner->stats().evictions, 2U);
  world.run(5s);
  cr_assert_eq(world.runner->stats().evictions, 2U, "nothing more is evicted");
  cr_assert_eq(world.agents.running(), 7U);
}

// Guards against a large task that small ones keep out for good.
Test(runner, large_task_is_not_starved) {
  World world;
  world.add_vm("vm-1");
  world.add_vm("vm-2");
  world.take_over();
  world.add_job(World::job("small", 2'000));
  world.run(2s);
  world.add_job(World::job("large", 1, {4'000, 4'096, 0}));
  for (int i = 0; i < 60 && world.agents.running("large", 0) == 0; ++i) {
    // One task of each VM ends at a time, so that no VM is ever empty by chance.
    for (const std::string& id : world.listed) {
      for (auto& [key, attempt] : world.agents.vm(id).attempts) {
        if (attempt.state() == AttemptState::ATTEMPT_RUNNING) {
          attempt.set_state(AttemptState::ATTEMPT_SUCCEEDED);
          break;
        }
      }
    }
    world.run(1s);
  }
  cr_assert_eq(world.agents.running("large", 0), 1U);
}

// Guards against a job of unknown effect that is spread over all services before it was observed,
// and against one that stays confined once it is known to be harmless.
Test(runner, unknown_class_is_explored_on_few_workers) {
  World world;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  world.confirm(declaration);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "web-" + std::to_string(i);
    world.add_vm(id, {8'000, 8'192, 0}, "rack-" + std::to_string(i));
    auto& report = world.agents.vm(id).services.emplace_back();
    report.set_service("web");
    report.set_load(0.5);
    report.set_p99_ms(30);
  }
  world.take_over();
  world.run(2s);
  world.add_job(World::job("plan", 40, {1'000, 512, 0}));
  world.run(1s);
  const auto used = [&world] {
    return std::count_if(world.listed.begin(), world.listed.end(),
                         [&world](const auto& id) { return world.agents.running_on(id) > 0; });
  };
  cr_assert_eq(used(), 2);
  world.run(30s);
  cr_assert_eq(used(), 8);
  cr_assert_eq(world.agents.running(), 40U);
}
