// Tests of holders that fail, pause or are replaced, and of lost answers and VMs.
#include "shard_fixture.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

namespace {

void add_vms(ShardFixture& fixture, int count) {
  for (int i = 1; i <= count; ++i) {
    fixture.add_vm("vm-" + std::to_string(i), {4'000, 4'096, 0}, "rack-" + std::to_string(i));
  }
}

void end_all(ShardFixture& fixture, AttemptState state) {
  for (const std::string& id : fixture.listed) {
    fixture.agents.end(id, state);
  }
}

}  // namespace

// Guards against tasks that run twice, are lost, or are recorded twice when the holder fails
// between any two steps. The number of ticks before the failure covers every step from start to
// record.
Test(takeover, holder_killed_at_every_step) {
  for (int steps = 1; steps <= 60; ++steps) {
    ShardFixture fixture;
    add_vms(fixture, 3);
    fixture.take_over();
    fixture.add_job(ShardFixture::job("plan", 9));
    for (int i = 0; i < steps; ++i) {
      fixture.step();
      if (i == 20 || i == 40) {
        end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
      }
    }
    // The last record of the failed holder is applied without a notice of completion.
    fixture.stream.lose_completions = true;
    fixture.runner->tick(fixture.now);
    fixture.stream.commit();
    fixture.stream.lose_completions = false;
    fixture.take_over();
    fixture.run(3s);
    end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
    fixture.run(5s);
    cr_assert_eq(fixture.succeeded("plan"), 9U, "killed after %d steps", steps);
    cr_assert_eq(fixture.agents.starts_executed, 9U, "killed after %d steps", steps);
    cr_assert(fixture.agents.vm("vm-1").attempts.empty(), "killed after %d steps", steps);
  }
}

// Guards against a paused holder whose commands take effect after its successor has taken over.
Test(takeover, paused_holder_is_refused) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.run(1s);
  fixture.add_job(ShardFixture::job("plan", 4));
  std::unique_ptr<ShardRunner> paused = std::move(fixture.runner);
  fixture.take_over();
  fixture.step();
  paused->tick(fixture.now);
  fixture.agents.deliver();
  cr_assert_gt(paused->stats().started, 0U, "the paused holder has sent starts");
  cr_assert_eq(fixture.agents.starts_executed, 0U, "its token is refused");
  paused->tick(fixture.now + 60s);
  cr_assert(fixture.agents.vm("vm-1").token == fixture.options.term);
  fixture.run(2s);
  cr_assert_eq(fixture.agents.starts_executed, 4U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against the start of a task that may still run on a worker that has not yet answered.
Test(takeover, unreachable_worker_blocks_unknown_tasks) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 6));
  fixture.run(1s);
  cr_assert_eq(fixture.agents.running(), 6U);
  fixture.agents.vm("vm-2").reachable = false;
  fixture.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.take_over();
  fixture.run(90s);
  cr_assert_eq(fixture.agents.starts_executed, 6U,
               "a listed VM is not gone, however long it is silent");
  cr_assert(fixture.runner->stats().blocked > 0);
  cr_assert(fixture.runner->waiting_reason("plan").find("vm-2") != std::string::npos);
  fixture.agents.vm("vm-2").reachable = true;
  fixture.run(5s);
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(5s);
  cr_assert_eq(fixture.succeeded("plan"), 6U);
  cr_assert_eq(fixture.agents.starts_executed, 6U);
}

// Guards against a seeded fault without effect: the invariant checker must be able to detect it.
Test(takeover, seeded_fault_skips_the_wait) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 6));
  fixture.run(1s);
  fixture.agents.vm("vm-2").reachable = false;
  fixture.options.seeded_fault = SeededFault::skip_takeover_wait;
  fixture.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.take_over();
  fixture.run(5s);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 2U);
}

// Guards against a VM that counts as gone too early: an untrusted list (one with fewer than half of
// the VMs) restarts the time of its absence. Also guards against tasks that stay blocked after the
// loss is proved.
Test(takeover, vm_gone_during_takeover) {
  ShardFixture fixture;
  add_vms(fixture, 3);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 9));
  fixture.run(1s);
  fixture.agents.vm("vm-3").reachable = false;
  fixture.options.recently_listed = {fixture.agents.vm("vm-3").info};
  fixture.listed.erase("vm-3");
  fixture.take_over();
  fixture.run(40s);
  fixture.list(false);
  fixture.run(40s);
  cr_assert_eq(fixture.agents.starts_executed, 9U, "an untrusted list starts the wait again");
  fixture.run(25s);
  cr_assert_gt(fixture.agents.starts_executed, 9U, "tasks of the lost VM start again");
}

// Guards against a second start on another worker while the first one may still arrive.
Test(lost_answers, delayed_start_does_not_run_twice) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.run(1s);
  fixture.agents.vm("vm-1").delay_starts = true;
  fixture.agents.vm("vm-2").delay_starts = true;
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(300ms);
  fixture.agents.vm("vm-1").delay_starts = false;
  fixture.agents.vm("vm-2").delay_starts = false;
  fixture.run(10s);
  fixture.agents.deliver_delayed_starts("vm-1");
  fixture.agents.deliver_delayed_starts("vm-2");
  fixture.run(2s);
  cr_assert_eq(fixture.agents.running(), 4U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against a duplicate of a start that runs because it arrives after the attempt was
// acknowledged.
Test(lost_answers, duplicate_start_after_the_end) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.run(1s);
  fixture.agents.vm("vm-1").delay_starts = true;
  fixture.add_job(ShardFixture::job("plan", 2));
  fixture.run(300ms);
  fixture.agents.vm("vm-1").delay_starts = false;
  fixture.run(3s);
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(5s);
  cr_assert_eq(fixture.succeeded("plan"), 2U);
  cr_assert(fixture.agents.vm("vm-1").attempts.empty());
  fixture.agents.deliver_delayed_starts("vm-1");
  cr_assert_eq(fixture.agents.starts_executed, 2U);
}

// Guards against a task that never ends or runs twice when the answers to all commands are lost.
Test(lost_answers, commands_are_resolved_by_reports) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.run(1s);
  fixture.add_job(ShardFixture::job("plan", 8));
  fixture.agents.vm("vm-1").lose_answers = true;
  fixture.run(3s);
  fixture.agents.vm("vm-1").lose_answers = false;
  fixture.run(5s);
  cr_assert_eq(fixture.agents.running(), 8U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
  fixture.agents.vm("vm-2").lose_answers = true;
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(5s);
  fixture.agents.vm("vm-2").lose_answers = false;
  fixture.run(5s);
  cr_assert_eq(fixture.succeeded("plan"), 8U);
  cr_assert(fixture.agents.vm("vm-2").attempts.empty());
}

// Guards against an agent that discards a result before it is recorded in the log.
Test(record, acknowledged_only_after_the_record) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 2));
  fixture.run(1s);
  fixture.stream.outage = true;
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(30s);
  cr_assert_eq(fixture.agents.vm("vm-1").attempts.size(), 2U);
  cr_assert_eq(fixture.succeeded("plan"), 0U);
  fixture.stream.outage = false;
  fixture.run(3s);
  cr_assert(fixture.agents.vm("vm-1").attempts.empty());
  cr_assert_eq(fixture.succeeded("plan"), 2U);
}

// Guards against a holder that starts no tasks during a log outage although it holds the term.
Test(record, starts_go_on_while_the_log_is_out) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 8));
  fixture.run(1s);
  fixture.stream.outage = true;
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running(), 4U);
}

// Guards against attempts of a lost VM that are never restarted, and against a restart without a
// note.
Test(loss, gone_vm_restarts_with_a_note) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(1s);
  const std::uint32_t lost = fixture.agents.running_on("vm-2");
  fixture.agents.vm("vm-2").reachable = false;
  fixture.listed.erase("vm-2");
  fixture.run(50s);
  cr_assert_eq(fixture.agents.starts_executed, 4U, "not proved gone yet");
  fixture.run(20s);
  cr_assert_eq(lost, 2U);
  cr_assert_eq(fixture.runner->stats().lost, lost);
  cr_assert_eq(fixture.agents.running_on("vm-1"), 4U);
  cr_assert(fixture.domain->job("plan")->task_entries.begin()->second.note() ==
            "restarted after its VM was lost");
  // The VM returns with its attempts still running although it was proved gone: they are stopped.
  fixture.agents.vm("vm-2").reachable = true;
  fixture.listed.insert("vm-2");
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running(), 4U);
}

// Guards against renewals that go on until the VM counts as gone, when its lease would still run.
Test(loss, absent_worker_is_not_renewed_to_the_end) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.run(1s);
  fixture.agents.vm("vm-1").lose_answers = true;
  fixture.listed.erase("vm-1");
  fixture.run(35s);
  fixture.agents.vm("vm-1").commands.clear();
  fixture.run(24s);
  const auto& commands = fixture.agents.vm("vm-1").commands;
  cr_assert_eq(std::count(commands.begin(), commands.end(), "renew"), 0);
}

// Guards against a restarted VM whose lost attempts are not restarted, or that gets starts before
// it has the token.
Test(loss, new_boot_id_restarts_and_acquires_again) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 3));
  fixture.run(2s);
  fixture.agents.reboot("vm-1");
  fixture.run(5s);
  cr_assert_eq(fixture.agents.vm("vm-1").token, fixture.options.term);
  cr_assert_eq(fixture.agents.running(), 3U);
  cr_assert_eq(fixture.runner->stats().lost, 3U);
}

// Guards against a duplicate of a start from before the VM's restart that arrives after it and runs
// while the task already runs elsewhere.
Test(loss, duplicate_start_after_a_reboot) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.run(1s);
  fixture.agents.vm("vm-1").delay_starts = true;
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(300ms);
  fixture.agents.vm("vm-1").delay_starts = false;
  fixture.run(5s);
  cr_assert_eq(fixture.agents.running(), 4U);
  fixture.agents.reboot("vm-1");
  for (int i = 0; i < 20; ++i) {
    fixture.run(500ms);
    if (i == 12) {
      fixture.agents.deliver_delayed_starts("vm-1");
    }
  }
  cr_assert_eq(fixture.agents.running(), 4U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against evicted work that loses its attempt number or checkpoint when the holder fails
// after the record and before the work resumes.
Test(takeover, resumes_evicted_work_of_a_dead_holder) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 2));
  fixture.run(1s);
  fixture.agents.vm("vm-1").info.leaving = true;
  fixture.run(5s);
  cr_assert_eq(fixture.agents.running(), 0U);
  fixture.agents.vm("vm-1").info.leaving = false;
  fixture.take_over();
  fixture.run(3s);
  cr_assert_eq(fixture.agents.running(), 2U);
  cr_assert_eq(fixture.agents.started.back().attempt(), 2U);
  cr_assert(fixture.agents.started.back().checkpoint() == "checkpoint-1");
}

// Guards against a worker that joins after the takeover and gets tasks before it has the token, and
// against a second run of a task that it already runs.
Test(loss, late_worker_is_acquired_and_reconciled) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 6));
  fixture.run(1s);
  fixture.add_vm("vm-9");
  auto& old = fixture.agents.vm("vm-9").attempts[{"plan", 5, 1}];
  old.set_job("plan");
  old.set_task(5);
  old.set_attempt(1);
  *old.mutable_committed() = backplane::to_proto(Resources{1'000, 1'024, 0});
  fixture.run(4s);
  cr_assert_eq(fixture.agents.vm("vm-9").token, fixture.options.term);
  cr_assert_eq(fixture.agents.running("plan", 5), 1U);
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(5s);
  cr_assert_eq(fixture.succeeded("plan"), 6U);
  cr_assert_eq(fixture.agents.starts_executed, 5U);
}

// Guards against a holder that starts tasks after a long pause on a VM that has restarted since and
// forgotten the successor's token.
Test(takeover, holder_acquires_again_after_a_pause) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.run(1s);
  fixture.add_job(ShardFixture::job("plan", 4));
  std::unique_ptr<ShardRunner> paused = std::move(fixture.runner);
  fixture.take_over();
  fixture.step();
  fixture.agents.reboot("vm-1");
  paused->tick(fixture.now + 60s);
  cr_assert_eq(paused->stats().started, 0U);
  fixture.agents.deliver();
  paused->tick(fixture.now + 61s);
  cr_assert_eq(paused->stats().started, 0U, "vm-2 has refused its token");
}

// Guards against a holder that keeps sending commands after the log has ended its incarnation.
Test(takeover, ended_holder_stops_by_itself) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.take_over();
  fixture.run(1s);
  std::unique_ptr<ShardRunner> old = std::move(fixture.runner);
  fixture.take_over();
  old->state_changed(fixture.now);
  fixture.agents.vm("vm-1").commands.clear();
  old->tick(fixture.now + 60s);
  fixture.agents.deliver();
  cr_assert(fixture.agents.vm("vm-1").commands.empty());
}

// Guards against a takeover that relies on tokens although the platform does not compare them.
Test(takeover, without_fencing_waits_for_the_end_of_inherited_work) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 9));
  fixture.run(2s);
  fixture.options.agent_fencing = false;
  fixture.take_over();
  fixture.run(30s);
  cr_assert_not(fixture.runner->stats().takeover_complete);
  cr_assert_eq(fixture.agents.starts_executed, 8U);
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(5s);
  cr_assert(fixture.runner->stats().takeover_complete);
  cr_assert_eq(fixture.agents.starts_executed, 9U);
}

// Guards against a second run of a task whose VM returns after it was proved gone, while the record
// of the loss is delayed by a log outage.
Test(loss, vm_returns_before_its_loss_is_recorded) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(1s);
  fixture.stream.outage = true;
  fixture.agents.vm("vm-2").reachable = false;
  fixture.listed.erase("vm-2");
  fixture.run(65s);
  cr_assert_eq(fixture.runner->stats().lost, 2U);
  fixture.agents.vm("vm-2").reachable = true;
  fixture.listed.insert("vm-2");
  fixture.run(5s);
  fixture.stream.outage = false;
  fixture.run(10s);
  cr_assert_eq(fixture.agents.running(), 4U);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 1U);
}

// Guards against a third run of a task that has succeeded on a VM that was proved gone and
// returned.
Test(loss, success_on_a_returned_vm_counts) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(1s);
  fixture.agents.vm("vm-2").reachable = false;
  fixture.listed.erase("vm-2");
  fixture.run(70s);
  fixture.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  fixture.agents.vm("vm-2").reachable = true;
  fixture.listed.insert("vm-2");
  fixture.run(4s);
  cr_assert_eq(fixture.succeeded("plan"), 2U);
  cr_assert_eq(fixture.agents.running(), 2U, "the second attempts are stopped");
}

// Guards against a seeded fault without effect: the invariant checker must be able to detect it.
Test(seeded_fault, acknowledge_before_record) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.options.seeded_fault = SeededFault::acknowledge_before_record;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 2));
  fixture.run(1s);
  fixture.stream.outage = true;
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(3s);
  cr_assert(fixture.agents.vm("vm-1").attempts.empty());
  cr_assert_eq(fixture.succeeded("plan"), 0U);
}

// Guards against a seeded fault without effect, as above.
Test(seeded_fault, resume_without_stop_proof) {
  ShardFixture fixture;
  add_vms(fixture, 2);
  fixture.options.seeded_fault = SeededFault::resume_without_stop_proof;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 4));
  fixture.run(1s);
  fixture.agents.vm("vm-1").slow_stop = true;
  proto::state::Declaration drains;
  drains.add_drains("vm-1");
  fixture.confirm(drains);
  fixture.run(3s);
  cr_assert_eq(fixture.agents.max_concurrent_attempts, 2U);
}

// Guards against a seeded fault without effect, as above.
Test(seeded_fault, start_cancelled) {
  ShardFixture fixture;
  add_vms(fixture, 1);
  fixture.options.seeded_fault = SeededFault::start_cancelled;
  fixture.take_over();
  fixture.add_job(ShardFixture::job("plan", 8));
  fixture.run(1s);
  fixture.cancel("plan");
  end_all(fixture, AttemptState::ATTEMPT_SUCCEEDED);
  fixture.run(3s);
  cr_assert_gt(fixture.agents.starts_executed, 4U);
}
