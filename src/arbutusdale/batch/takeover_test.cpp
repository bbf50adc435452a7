// Tests of holders that die, pause or follow one another, and of answers and VMs that are lost.
#include "test_world.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

namespace {

void add_vms(World& world, int count) {
  for (int i = 1; i <= count; ++i) {
    world.add_vm("vm-" + std::to_string(i), {4'000, 4'096, 0}, "rack-" + std::to_string(i));
  }
}

void end_all(World& world, AttemptState state) {
  for (const std::string& id : world.listed) {
    world.agents.end(id, state);
  }
}

}  // namespace

// Guards against tasks that run twice, are lost, or are recorded twice when the holder dies
// between any two steps; the number of ticks before each death covers every step of a task's life.
Test(takeover, holder_killed_at_every_step) {
  for (int steps = 1; steps <= 60; ++steps) {
    World world;
    add_vms(world, 3);
    world.take_over();
    world.add_job(World::job("plan", 9));
    for (int i = 0; i < steps; ++i) {
      world.step();
      if (i == 20 || i == 40) {
        end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
      }
    }
    // The dead holder's last record arrives; nobody hears of it.
    world.stream.lose_completions = true;
    world.runner->tick(world.now);
    world.stream.commit();
    world.stream.lose_completions = false;
    world.take_over();
    world.run(3s);
    end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
    world.run(5s);
    cr_assert_eq(world.succeeded("plan"), 9U, "killed after %d steps", steps);
    cr_assert_eq(world.agents.starts_run, 9U, "killed after %d steps", steps);
    cr_assert(world.agents.vm("vm-1").attempts.empty(), "killed after %d steps", steps);
  }
}

// Guards against a paused holder that acts after its successor has taken over.
Test(takeover, paused_holder_is_refused) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.run(1s);
  world.add_job(World::job("plan", 4));
  std::unique_ptr<ShardRunner> paused = std::move(world.runner);
  world.take_over();
  world.step();
  paused->tick(world.now);
  world.agents.deliver();
  cr_assert_gt(paused->stats().started, 0U, "the paused holder has sent starts");
  cr_assert_eq(world.agents.starts_run, 0U, "its token is refused");
  paused->tick(world.now + 60s);
  cr_assert(world.agents.vm("vm-1").token == world.options.term);
  world.run(2s);
  cr_assert_eq(world.agents.starts_run, 4U);
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against the start of a task that may still run on a worker that has not answered.
Test(takeover, unreachable_worker_blocks_unknown_tasks) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 6));
  world.run(1s);
  cr_assert_eq(world.agents.running(), 6U);
  world.agents.vm("vm-2").reachable = false;
  world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  world.take_over();
  world.run(90s);
  cr_assert_eq(world.agents.starts_run, 6U, "a listed VM is not gone, however long it is silent");
  cr_assert(world.runner->stats().blocked > 0);
  cr_assert(world.runner->waiting_reason("plan").find("vm-2") != std::string::npos);
  world.agents.vm("vm-2").reachable = true;
  world.run(5s);
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(5s);
  cr_assert_eq(world.succeeded("plan"), 6U);
  cr_assert_eq(world.agents.starts_run, 6U);
}

// Guards against the seeded fault being without effect: the checker must be able to see it.
Test(takeover, seeded_fault_skips_the_wait) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 6));
  world.run(1s);
  world.agents.vm("vm-2").reachable = false;
  world.options.seeded_fault = SeededFault::skip_takeover_wait;
  world.agents.end("vm-1", AttemptState::ATTEMPT_SUCCEEDED);
  world.take_over();
  world.run(5s);
  cr_assert_eq(world.agents.most_at_once, 2U);
}

// Guards against a VM that counts as gone although a halved list interrupted its absence, and
// against tasks that stay blocked after the loss is proved.
Test(takeover, vm_gone_during_takeover) {
  World world;
  add_vms(world, 3);
  world.take_over();
  world.add_job(World::job("plan", 9));
  world.run(1s);
  world.agents.vm("vm-3").reachable = false;
  world.options.recently_listed = {world.agents.vm("vm-3").info};
  world.listed.erase("vm-3");
  world.take_over();
  world.run(40s);
  world.list(false);
  world.run(40s);
  cr_assert_eq(world.agents.starts_run, 9U, "an untrusted list starts the wait again");
  world.run(25s);
  cr_assert_gt(world.agents.starts_run, 9U, "tasks of the lost VM start again");
}

// Guards against a second start elsewhere while the first one may still arrive.
Test(lost_answers, delayed_start_does_not_run_twice) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.run(1s);
  world.agents.vm("vm-1").delay_starts = true;
  world.agents.vm("vm-2").delay_starts = true;
  world.add_job(World::job("plan", 4));
  world.run(300ms);
  world.agents.vm("vm-1").delay_starts = false;
  world.agents.vm("vm-2").delay_starts = false;
  world.run(10s);
  world.agents.deliver_delayed_starts("vm-1");
  world.agents.deliver_delayed_starts("vm-2");
  world.run(2s);
  cr_assert_eq(world.agents.running(), 4U);
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against a duplicate of a start that arrives after the agent was told to forget the
// attempt.
Test(lost_answers, duplicate_start_after_the_end) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.run(1s);
  world.agents.vm("vm-1").delay_starts = true;
  world.add_job(World::job("plan", 2));
  world.run(300ms);
  world.agents.vm("vm-1").delay_starts = false;
  world.run(3s);
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(5s);
  cr_assert_eq(world.succeeded("plan"), 2U);
  cr_assert(world.agents.vm("vm-1").attempts.empty());
  world.agents.deliver_delayed_starts("vm-1");
  cr_assert_eq(world.agents.starts_run, 2U);
}

// Guards against a task that is stuck or doubled when the answers of all commands are lost.
Test(lost_answers, commands_are_resolved_by_reports) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.run(1s);
  world.add_job(World::job("plan", 8));
  world.agents.vm("vm-1").lose_answers = true;
  world.run(3s);
  world.agents.vm("vm-1").lose_answers = false;
  world.run(5s);
  cr_assert_eq(world.agents.running(), 8U);
  cr_assert_eq(world.agents.most_at_once, 1U);
  world.agents.vm("vm-2").lose_answers = true;
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(5s);
  world.agents.vm("vm-2").lose_answers = false;
  world.run(5s);
  cr_assert_eq(world.succeeded("plan"), 8U);
  cr_assert(world.agents.vm("vm-2").attempts.empty());
}

// Guards against an agent that forgets a result before it is in the log.
Test(record, acknowledged_only_after_the_record) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.add_job(World::job("plan", 2));
  world.run(1s);
  world.stream.out = true;
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(30s);
  cr_assert_eq(world.agents.vm("vm-1").attempts.size(), 2U);
  cr_assert_eq(world.succeeded("plan"), 0U);
  world.stream.out = false;
  world.run(3s);
  cr_assert(world.agents.vm("vm-1").attempts.empty());
  cr_assert_eq(world.succeeded("plan"), 2U);
}

// Guards against starts that stop in a log outage although the term is held.
Test(record, starts_go_on_while_the_log_is_out) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.add_job(World::job("plan", 8));
  world.run(1s);
  world.stream.out = true;
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(3s);
  cr_assert_eq(world.agents.running(), 4U);
}

// Guards against attempts of a lost VM that are forgotten, and against a restart without a note.
Test(loss, gone_vm_restarts_with_a_note) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 4));
  world.run(1s);
  const std::uint32_t lost = world.agents.running_on("vm-2");
  world.agents.vm("vm-2").reachable = false;
  world.listed.erase("vm-2");
  world.run(50s);
  cr_assert_eq(world.agents.starts_run, 4U, "not proved gone yet");
  world.run(20s);
  cr_assert_eq(lost, 2U);
  cr_assert_eq(world.runner->stats().lost, lost);
  cr_assert_eq(world.agents.running_on("vm-1"), 4U);
  cr_assert(world.domain->job("plan")->task_entries.begin()->second.note() ==
            "restarted after its VM was lost");
  // The VM comes back with its attempts still running, against the proof: they are stopped.
  world.agents.vm("vm-2").reachable = true;
  world.listed.insert("vm-2");
  world.run(3s);
  cr_assert_eq(world.agents.running(), 4U);
}

// Guards against a lease that is renewed until the VM counts as gone.
Test(loss, absent_worker_is_not_renewed_to_the_end) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.run(1s);
  world.agents.vm("vm-1").lose_answers = true;
  world.listed.erase("vm-1");
  world.run(35s);
  world.agents.vm("vm-1").commands.clear();
  world.run(24s);
  const auto& commands = world.agents.vm("vm-1").commands;
  cr_assert_eq(std::count(commands.begin(), commands.end(), "renew"), 0);
}

// Guards against a restarted VM whose attempts are waited for, or that is used without its token.
Test(loss, new_boot_id_restarts_and_acquires_again) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.add_job(World::job("plan", 3));
  world.run(2s);
  world.agents.reboot("vm-1");
  world.run(5s);
  cr_assert_eq(world.agents.vm("vm-1").token, world.options.term);
  cr_assert_eq(world.agents.running(), 3U);
  cr_assert_eq(world.runner->stats().lost, 3U);
}

// Guards against an early duplicate of a start that reaches the VM after its restart, when the task
// has long been started again elsewhere.
Test(loss, duplicate_start_after_a_reboot) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.run(1s);
  world.agents.vm("vm-1").delay_starts = true;
  world.add_job(World::job("plan", 4));
  world.run(300ms);
  world.agents.vm("vm-1").delay_starts = false;
  world.run(5s);
  cr_assert_eq(world.agents.running(), 4U);
  world.agents.reboot("vm-1");
  for (int i = 0; i < 20; ++i) {
    world.run(500ms);
    if (i == 12) {
      world.agents.deliver_delayed_starts("vm-1");
    }
  }
  cr_assert_eq(world.agents.running(), 4U);
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against evicted work that loses its attempt number or checkpoint when the holder dies
// between the record and the resumption.
Test(takeover, resumes_evicted_work_of_a_dead_holder) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.add_job(World::job("plan", 2));
  world.run(1s);
  world.agents.vm("vm-1").info.leaving = true;
  world.run(5s);
  cr_assert_eq(world.agents.running(), 0U);
  world.agents.vm("vm-1").info.leaving = false;
  world.take_over();
  world.run(3s);
  cr_assert_eq(world.agents.running(), 2U);
  cr_assert_eq(world.agents.started.back().attempt(), 2U);
  cr_assert(world.agents.started.back().checkpoint() == "checkpoint-1");
}

// Guards against a worker that joins later and gets tasks before it knows the token, and against
// a second run of the tasks that it brings along.
Test(loss, late_worker_is_acquired_and_reconciled) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.add_job(World::job("plan", 6));
  world.run(1s);
  world.add_vm("vm-9");
  auto& old = world.agents.vm("vm-9").attempts[{"plan", 5, 1}];
  old.set_job("plan");
  old.set_task(5);
  old.set_attempt(1);
  *old.mutable_committed() = backplane::to_proto(Resources{1'000, 1'024, 0});
  world.run(4s);
  cr_assert_eq(world.agents.vm("vm-9").token, world.options.term);
  cr_assert_eq(world.agents.running("plan", 5), 1U);
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(5s);
  cr_assert_eq(world.succeeded("plan"), 6U);
  cr_assert_eq(world.agents.starts_run, 5U);
}

// Guards against a holder that starts tasks after a long pause on a VM that has restarted since and
// forgotten the successor's token.
Test(takeover, holder_acquires_again_after_a_pause) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.run(1s);
  world.add_job(World::job("plan", 4));
  std::unique_ptr<ShardRunner> paused = std::move(world.runner);
  world.take_over();
  world.step();
  world.agents.reboot("vm-1");
  paused->tick(world.now + 60s);
  cr_assert_eq(paused->stats().started, 0U);
  world.agents.deliver();
  paused->tick(world.now + 61s);
  cr_assert_eq(paused->stats().started, 0U, "vm-2 has refused its token");
}

// Guards against a holder that goes on after the log has ended its incarnation.
Test(takeover, ended_holder_stops_by_itself) {
  World world;
  add_vms(world, 1);
  world.take_over();
  world.run(1s);
  std::unique_ptr<ShardRunner> old = std::move(world.runner);
  world.take_over();
  old->state_changed(world.now);
  world.agents.vm("vm-1").commands.clear();
  old->tick(world.now + 60s);
  world.agents.deliver();
  cr_assert(world.agents.vm("vm-1").commands.empty());
}

// Guards against a takeover that trusts tokens which the platform does not compare.
Test(takeover, without_fencing_waits_for_the_end_of_inherited_work) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 9));
  world.run(2s);
  world.options.agent_fencing = false;
  world.take_over();
  world.run(30s);
  cr_assert_not(world.runner->stats().takeover_complete);
  cr_assert_eq(world.agents.starts_run, 8U);
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(5s);
  cr_assert(world.runner->stats().takeover_complete);
  cr_assert_eq(world.agents.starts_run, 9U);
}

// Guards against a second run of a task whose VM comes back after it was proved gone, while the
// record of the loss waits for the log.
Test(loss, vm_returns_before_its_loss_is_recorded) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 4));
  world.run(1s);
  world.stream.out = true;
  world.agents.vm("vm-2").reachable = false;
  world.listed.erase("vm-2");
  world.run(65s);
  cr_assert_eq(world.runner->stats().lost, 2U);
  world.agents.vm("vm-2").reachable = true;
  world.listed.insert("vm-2");
  world.run(5s);
  world.stream.out = false;
  world.run(10s);
  cr_assert_eq(world.agents.running(), 4U);
  cr_assert_eq(world.agents.most_at_once, 1U);
}

// Guards against a third run of a task that has succeeded on a VM which came back.
Test(loss, success_on_a_returned_vm_counts) {
  World world;
  add_vms(world, 2);
  world.take_over();
  world.add_job(World::job("plan", 4));
  world.run(1s);
  world.agents.vm("vm-2").reachable = false;
  world.listed.erase("vm-2");
  world.run(70s);
  world.agents.end("vm-2", AttemptState::ATTEMPT_SUCCEEDED);
  world.agents.vm("vm-2").reachable = true;
  world.listed.insert("vm-2");
  world.run(4s);
  cr_assert_eq(world.succeeded("plan"), 2U);
  cr_assert_eq(world.agents.running(), 2U, "the second attempts are stopped");
}

// Guards against seeded faults without effect: the checker must be able to see each of them.
Test(seeded_fault, acknowledge_before_record) {
  World world;
  add_vms(world, 1);
  world.options.seeded_fault = SeededFault::acknowledge_before_record;
  world.take_over();
  world.add_job(World::job("plan", 2));
  world.run(1s);
  world.stream.out = true;
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(3s);
  cr_assert(world.agents.vm("vm-1").attempts.empty());
  cr_assert_eq(world.succeeded("plan"), 0U);
}

// Guards against a seeded fault without effect, as above.
Test(seeded_fault, resume_without_stop_proof) {
  World world;
  add_vms(world, 2);
  world.options.seeded_fault = SeededFault::resume_without_stop_proof;
  world.take_over();
  world.add_job(World::job("plan", 4));
  world.run(1s);
  world.agents.vm("vm-1").slow_stop = true;
  proto::state::Declaration drains;
  drains.add_drains("vm-1");
  world.confirm(drains);
  world.run(3s);
  cr_assert_eq(world.agents.most_at_once, 2U);
}

// Guards against a seeded fault without effect, as above.
Test(seeded_fault, start_cancelled) {
  World world;
  add_vms(world, 1);
  world.options.seeded_fault = SeededFault::start_cancelled;
  world.take_over();
  world.add_job(World::job("plan", 8));
  world.run(1s);
  world.cancel("plan");
  end_all(world, AttemptState::ATTEMPT_SUCCEEDED);
  world.run(3s);
  cr_assert_gt(world.agents.starts_run, 4U);
}
