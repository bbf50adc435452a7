// Tests of the shard runner under a single holder.
#include "shard_fixture.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

// Guards against a failure in any step from the acquisition of workers to the acknowledgement of
// ended attempts.
Test(runner, runs_a_job_to_its_end) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.add_vm("vm-2");
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 8));
  fixture.run(2s);
  cr_assert_eq(fixture.agents.running(), 8U);
  fixture.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(4s);
  cr_assert_eq(fixture.succeeded("plan"), 8U);
  cr_assert(fixture.agents.vm("vm-1").attempts.empty(), "ended attempts are acknowledged");
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
  cr_assert_eq(fixture.runner->stats().succeeded, 8U);
}

// Guards against work that keeps running or starts on a drained VM, and against evicted work
// that resumes more than once, without its checkpoint, or under an old attempt number.
Test(runner, drain_moves_work_with_its_checkpoint) {
  ShardFixture fixture;
  fixture.add_vm("vm-1", {4'000, 4'096, 0}, "rack-1");
  fixture.add_vm("vm-2", {4'000, 4'096, 0}, "rack-2");
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(2s);
  cr_assert_eq(fixture.agents.running_on("vm-1"), 2U);
  cr_assert_not(fixture.runner->is_drained("vm-1"));
  fixture.agents.vm("vm-1").slow_stop = true;
  proto::state::Declaration drains;
  drains.add_drains("vm-1");
  fixture.confirm(drains);
  fixture.run(5s);
  cr_assert_eq(fixture.agents.starts_executed, 4U, "nothing resumes before the stop is proved");
  cr_assert_not(fixture.runner->is_drained("vm-1"));
  fixture.agents.finish_stops("vm-1");
  fixture.run(5s);
  cr_assert(fixture.runner->is_drained("vm-1"));
  cr_assert_eq(fixture.agents.running_on("vm-2"), 4U);
  cr_assert_eq(fixture.agents.starts_executed, 6U);
  cr_assert_eq(fixture.agents.started.back().attempt(), 2U);
  cr_assert(fixture.agents.started.back().checkpoint() == "checkpoint-1");
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against a VM that is listed as leaving and still gets work.
Test(runner, leaving_vm_gets_nothing) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.add_vm("vm-2");
  fixture.agents.vm("vm-1").info.leaving = true;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 6));
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running_on("vm-1"), 0U);
  cr_assert_eq(fixture.agents.running_on("vm-2"), 4U);
}

// Guards against tasks that still run or start after many jobs are cancelled at once.
Test(runner, cancellation_wave) {
  ShardFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.add_vm("vm-" + std::to_string(i), {40'000, 40'960, 0});
  }
  fixture.take_over();
  for (int i = 0; i < 50; ++i) {
    fixture.add_job(ShardFixture::job("job-" + std::to_string(i), 20));
  }
  fixture.run(1s);
  cr_assert_eq(fixture.agents.running(), 400U);
  for (int i = 0; i < 50; ++i) {
    fixture.cancel("job-" + std::to_string(i));
  }
  const std::uint64_t started = fixture.agents.starts_executed;
  fixture.run(3s);
  cr_assert_eq(fixture.agents.starts_executed, started, "nothing starts after the cancellation");
  cr_assert_eq(fixture.agents.running(), 0U);
  for (const std::string& id : fixture.listed) {
    cr_assert(fixture.agents.vm(id).attempts.empty(), "stopped attempts are acknowledged");
  }
  cr_assert_eq(fixture.runner->stats().running, 0U);
}

// Guards against a start after the cancellation is applied to the state and before the runner is
// notified of it.
Test(runner, cancellation_holds_at_once) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 8));
  fixture.run(1s);
  fixture.cancel("plan", false);
  fixture.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(3s);
  cr_assert_eq(fixture.agents.starts_executed, 4U);
}

// Guards against tasks that run although their job was cancelled while the answers to their starts
// were lost.
Test(runner, cancelled_while_its_start_is_unanswered) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.take_over();
  fixture.run(1s);
  fixture.agents.vm("vm-1").delay_starts = true;
  fixture.add_job(ShardFixture::job("plan", 2));
  fixture.run(200ms);
  fixture.cancel("plan");
  fixture.agents.vm("vm-1").delay_starts = false;
  fixture.run(3s);
  fixture.agents.deliver_delayed_starts("vm-1");
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running(), 0U);
  cr_assert_eq(fixture.runner->stats().running, 0U, "nothing stays committed");
}

// Guards against a worker on which every task fails and which uses up the tries of the tasks.
Test(runner, failing_worker_is_quarantined) {
  ShardFixture fixture;
  fixture.add_vm("vm-1", {4'000, 4'096, 0}, "rack-1");
  fixture.add_vm("vm-2", {4'000, 4'096, 0}, "rack-2");
  fixture.add_vm("vm-3", {4'000, 4'096, 0}, "rack-3");
  fixture.agents.vm("vm-3").fail_all = true;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 60));
  for (int i = 0; i < 60; ++i) {
    fixture.run(2s);
    fixture.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
    fixture.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  }
  fixture.run(5s);
  cr_assert_eq(fixture.succeeded("plan"), 60U);
  cr_assert(fixture.domain->job("plan")->failed.empty());
  cr_assert_eq(fixture.domain->quarantines().size(), 1U);
  cr_assert(fixture.domain->quarantines().front().worker() == "vm-3");
  cr_assert_leq(fixture.runner->stats().failed, 12U);
}

// Guards against a job that fails everywhere and is retried forever, or whose failures quarantine
// the workers.
Test(runner, failing_job_is_given_up_with_evidence) {
  ShardFixture fixture;
  for (int i = 0; i < 6; ++i) {
    fixture.add_vm("vm-" + std::to_string(i));
    fixture.agents.vm("vm-" + std::to_string(i)).fail_all = true;
  }
  fixture.take_over();
  fixture.add_job(ShardFixture::job("bad", 3));
  fixture.run(40s);
  const state::JobRecord& record = *fixture.domain->job("bad");
  cr_assert_eq(record.failed.size(), 3U);
  cr_assert_eq(fixture.agents.starts_executed, 12U, "four tries of each task");
  cr_assert(record.task_entries.at(0).note().find("given up after 4 failed tries on vm-") == 0);
  cr_assert(fixture.domain->quarantines().empty());
}

// Guards against tasks that are committed beyond the capacity of a VM or into its reservations.
Test(runner, capacity_and_reservations) {
  ShardFixture fixture;
  fixture.add_vm("web-1");
  fixture.add_vm("vm-1");
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  *service.mutable_reserve() = backplane::to_proto(Resources{2'000, 1'024, 0});
  fixture.confirm(declaration);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 20));
  fixture.run(5s);
  cr_assert_eq(fixture.agents.running_on("web-1"), 1U);
  cr_assert_eq(fixture.agents.running_on("vm-1"), 4U);
  cr_assert_not(fixture.agents.overcommitted);
  cr_assert(fixture.runner->waiting_reason("plan") ==
            "no worker of the shard has enough free capacity");
}

// Guards against a seeded fault without effect: the agent must see a start beyond its capacity.
Test(runner, seeded_fault_ignores_capacity) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.options.seeded_fault = SeededFault::ignore_capacity;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 20));
  fixture.run(2s);
  cr_assert(fixture.agents.overcommitted);
}

// Guards against an interfering task that keeps running beside a service over its target, against
// an eviction before throttling, and against a second action before a measurement shows the effect
// of the first.
Test(runner, noisy_pair_is_throttled_then_evicted) {
  ShardFixture fixture;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  fixture.confirm(declaration);
  fixture.add_vm("web-1", {8'000, 8'192, 0});
  fixture.take_over();
  fixture.add_job(ShardFixture::job("noisy", 2, {2'000, 1'024, 0}));
  fixture.run(2s);
  cr_assert_eq(fixture.agents.running(), 2U);
  FakeVm& vm = fixture.agents.vm("web-1");
  vm.task_use = {2'000, 1'024, 0};
  auto& report = vm.services.emplace_back();
  report.set_service("web");
  report.set_load(0.5);
  report.set_p99_ms(150);
  fixture.run(1500ms);
  cr_assert_eq(fixture.runner->stats().throttles, 2U);
  cr_assert_eq(fixture.runner->stats().evictions, 0U);
  fixture.run(15s);
  cr_assert_eq(fixture.runner->stats().evictions, 2U);
  cr_assert_eq(fixture.agents.running(), 0U, "nothing starts beside a service over its target");
  cr_assert(fixture.runner->waiting_reason("noisy").find("near their targets") !=
            std::string::npos);
  vm.services.front().set_p99_ms(20);
  fixture.run(10s);
  cr_assert_gt(fixture.agents.running(), 0U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against repeated actions on reports that all carry the same measurement.
Test(runner, acts_only_on_newer_measurements) {
  ShardFixture fixture;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_p99_target_ms(100);
  fixture.confirm(declaration);
  fixture.add_vm("web-1", {8'000, 8'192, 0});
  fixture.take_over();
  fixture.add_job(ShardFixture::job("noisy", 4));
  fixture.run(2s);
  auto& report = fixture.agents.vm("web-1").services.emplace_back();
  report.set_service("web");
  report.set_load(0.5);
  report.set_p99_ms(300);
  fixture.run(1s);
  fixture.freeze_measurements = true;
  fixture.run(30s);
  cr_assert_leq(fixture.runner->stats().throttles, 4U);
  cr_assert_eq(fixture.runner->stats().evictions, 0U);
}

// Guards against urgent work that waits for other work to end on a full shard.
Test(runner, urgent_work_makes_room) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.add_vm("vm-2");
  fixture.take_over();
  fixture.add_job(ShardFixture::job("bulk", 20));
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running(), 8U);
  auto urgent = ShardFixture::job("urgent", 1, {2'000, 2'048, 0});
  urgent.set_urgent(true);
  fixture.add_job(urgent);
  fixture.run(1500ms);
  cr_assert_eq(fixture.agents.running("urgent", 0), 1U);
  cr_assert_eq(fixture.runner->stats().evictions, 2U);
  fixture.run(5s);
  cr_assert_eq(fixture.runner->stats().evictions, 2U, "nothing more is evicted");
  cr_assert_eq(fixture.agents.running(), 7U);
}

// Guards against a large task that is starved by small ones.
Test(runner, large_task_is_not_starved) {
  ShardFixture fixture;
  fixture.add_vm("vm-1");
  fixture.add_vm("vm-2");
  fixture.take_over();
  fixture.add_job(ShardFixture::job("small", 2'000));
  fixture.run(2s);
  fixture.add_job(ShardFixture::job("large", 1, {4'000, 4'096, 0}));
  for (int i = 0; i < 60 && fixture.agents.running("large", 0) == 0; ++i) {
    // One task of each VM ends at a time, so that no VM becomes empty by chance.
    for (const std::string& id : fixture.listed) {
      for (auto& [key, attempt] : fixture.agents.vm(id).attempts) {
        if (attempt.state() == AttemptState::ATTEMPT_RUNNING) {
          attempt.set_state(AttemptState::ATTEMPT_SUCCEEDED);
          break;
        }
      }
    }
    fixture.run(1s);
  }
  cr_assert_eq(fixture.agents.running("large", 0), 1U);
}

// Guards against a job of unknown effect that is placed beside all instances of a service before
// its effect is measured, and against one that stays limited to few workers once it is known to be
// harmless.
Test(runner, unknown_class_is_explored_on_few_workers) {
  ShardFixture fixture;
  proto::state::Declaration declaration;
  auto& service = *declaration.add_services();
  service.set_name("web");
  service.set_vm_prefix("web-");
  service.set_p99_target_ms(100);
  fixture.confirm(declaration);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "web-" + std::to_string(i);
    fixture.add_vm(id, {8'000, 8'192, 0}, "rack-" + std::to_string(i));
    auto& report = fixture.agents.vm(id).services.emplace_back();
    report.set_service("web");
    report.set_load(0.5);
    report.set_p99_ms(30);
  }
  fixture.take_over();
  fixture.run(2s);
  fixture.add_job(ShardFixture::job("plan", 40, {1'000, 512, 0}));
  fixture.run(1s);
  const auto used = [&fixture] {
    return std::count_if(fixture.listed.begin(), fixture.listed.end(),
                         [&fixture](const auto& id) { return fixture.agents.running_on(id) > 0; });
  };
  cr_assert_eq(used(), 2);
  fixture.run(30s);
  cr_assert_eq(used(), 8);
  cr_assert_eq(fixture.agents.running(), 40U);
}
