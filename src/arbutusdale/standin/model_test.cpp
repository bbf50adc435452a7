// Tests of the stand-in's models on a fake clock.
#include "arbutusdale/backplane/backplane.hpp"
#include "arbutusdale/standin/agent_model.hpp"
#include "arbutusdale/standin/log_model.hpp"
#include "arbutusdale/standin/observer.hpp"

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::standin;
using proto::platform::AgentReply;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint k_start{Duration{1'000'000}};

proto::platform::StartRequest start_request(std::uint64_t token, std::uint32_t attempt,
                                            std::uint64_t cpu = 1000) {
  proto::platform::StartRequest request;
  request.set_token(token);
  request.set_job("cut");
  request.set_task(7);
  request.set_attempt(attempt);
  request.mutable_resources()->set_cpu_millis(cpu);
  request.set_expected_ms(10'000);
  return request;
}

proto::platform::AttemptRequest attempt_request(std::uint64_t token, std::uint32_t attempt) {
  proto::platform::AttemptRequest request;
  request.set_token(token);
  request.set_job("cut");
  request.set_task(7);
  request.set_attempt(attempt);
  return request;
}

AgentModel make_agent(const std::string& worker, Observer& observer) {
  AgentModelOptions options;
  options.worker = worker;
  options.capacity = {4000, 1024, 0};
  return AgentModel(options, &observer);
}

}  // namespace

// Guards against a log that assigns offsets with gaps or reads past the limit.
Test(log_model, offsets_are_consecutive) {
  LogModel log;
  cr_assert_eq(log.append("global", "a", k_start).value(), 0U);
  cr_assert_eq(log.append("global", "b", k_start).value(), 1U);
  cr_assert_eq(log.append("domain/x", "c", k_start).value(), 0U);
  const auto read = log.read("global", 1, 10).value();
  cr_assert_eq(read.entries_size(), 1);
  cr_assert_eq(read.entries(0).offset(), 1U);
  cr_assert_eq(read.next_offset(), 2U);
}

// Guards against a read that returns more bytes than a client accepts, or that returns nothing.
Test(log_model, read_is_bounded_in_bytes) {
  LogModelOptions options;
  options.max_read_bytes = 10;
  LogModel log(options);
  for (const char* payload : {"0123456789abcdef", "01234567", "01", "x"}) {
    (void)log.append("global", payload, k_start);
  }
  cr_assert_eq(log.read("global", 0, 10).value().entries_size(), 1);
  cr_assert_eq(log.read("global", 1, 10).value().entries_size(), 2);
}

// Guards against a limit that lets appends through, or that refuses them after having stored them.
Test(log_model, limit_refuses_without_effect) {
  LogModelOptions options;
  options.appends_per_second = 1;
  options.append_burst = 2;
  LogModel log(options);
  cr_assert(log.append("global", "a", k_start).has_value());
  cr_assert(log.append("global", "b", k_start).has_value());
  const auto refused = log.append("global", "c", k_start);
  cr_assert_not(refused.has_value());
  cr_assert(refused.error().verdict == Verdict::not_run);
  cr_assert_eq(log.read("global", 0, 10).value().next_offset(), 2U);
  cr_assert(log.append("global", "c", k_start + seconds{1}).has_value());
}

// Guards against a lost answer that is modelled as a lost append.
Test(log_model, lost_answer_has_taken_effect) {
  LogModel log;
  log.faults().lose_answers_percent = 100;
  const auto lost = log.append("global", "a", k_start);
  cr_assert_not(lost.has_value());
  cr_assert(lost.error().verdict == Verdict::may_have_run);
  cr_assert_eq(log.read("global", 0, 10).value().entries_size(), 1);
}

// Guards against a trim that hides the gap from the reader.
Test(log_model, trim_moves_the_first_offset) {
  LogModel log;
  for (int i = 0; i < 5; ++i) {
    (void)log.append("global", "x", k_start);
  }
  log.trim("", 2);
  const auto read = log.read("global", 0, 10).value();
  cr_assert_eq(read.first_offset(), 3U);
  cr_assert_eq(read.entries(0).offset(), 3U);
  cr_assert_eq(read.next_offset(), 5U);
}

// Guards against a VM list without lag, and against a fault that loses VMs for good.
Test(vm_list_model, lag_and_faults) {
  VmListModel list(seconds{2});
  proto::platform::Vm vm;
  for (const char* id : {"a", "b", "c", "d"}) {
    vm.set_id(id);
    list.set(vm, k_start);
  }
  cr_assert_eq(list.fetch(k_start + seconds{1}).value().vms_size(), 0);
  cr_assert_eq(list.fetch(k_start + seconds{2}).value().vms_size(), 4);
  list.set_fault(VmListFault::halved, k_start + seconds{3});
  cr_assert_eq(list.fetch(k_start + seconds{3}).value().vms_size(), 2);
  list.set_fault(VmListFault::empty, k_start + seconds{3});
  cr_assert_eq(list.fetch(k_start + seconds{3}).value().vms_size(), 0);
  list.set_fault(VmListFault::none, k_start + seconds{4});
  cr_assert_eq(list.fetch(k_start + seconds{4}).value().vms_size(), 4);
}

// Guards against a breach counted while the list could not yet show the VM as leaving.
Test(vm_list_model, grace_begins_with_the_listing) {
  Observer observer;
  VmListModel list(seconds{2}, &observer);
  proto::platform::Vm vm;
  vm.set_id("a");
  list.set(vm, k_start);
  list.advance(k_start + seconds{2});
  list.set_fault(VmListFault::frozen, k_start + seconds{2});
  list.set_state("a", proto::platform::VM_LEAVING, k_start + seconds{3});
  list.advance(k_start + seconds{20});
  observer.start_command("a", k_start + seconds{20});
  cr_assert_eq(observer.counts().starts_on_leaving, 0U);
  list.set_fault(VmListFault::none, k_start + seconds{20});
  list.advance(k_start + seconds{21});
  observer.start_command("a", k_start + seconds{23});
  cr_assert_eq(observer.counts().starts_on_leaving, 0U);
  observer.start_command("a", k_start + seconds{24});
  cr_assert_eq(observer.counts().starts_on_leaving, 1U);
}

// Guards against an agent that accepts an outdated fencing token, also after a reboot.
Test(agent_model, refuses_a_stale_token) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  proto::platform::AcquireRequest acquire;
  acquire.set_token(5);
  cr_assert_eq(agent.acquire(acquire, k_start).code(), AgentReply::OK);
  cr_assert_eq(agent.start(start_request(4, 1), k_start).code(), AgentReply::STALE_TOKEN);
  cr_assert_eq(agent.running(), 0U);
  agent.crash(k_start);
  agent.boot(k_start);
  cr_assert_eq(agent.start(start_request(4, 1), k_start).code(), AgentReply::STALE_TOKEN);
}

// Guards against an agent that overcommits its VM, and against a repeated start that runs twice.
Test(agent_model, capacity_and_idempotent_start) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  cr_assert_eq(agent.start(start_request(1, 1, 3000), k_start).code(), AgentReply::OK);
  cr_assert_eq(agent.start(start_request(1, 1, 3000), k_start).code(), AgentReply::OK);
  cr_assert_eq(agent.start(start_request(1, 2, 3000), k_start).code(), AgentReply::NO_CAPACITY);
  cr_assert_eq(agent.running(), 1U);
  cr_assert_eq(observer.counts().breaches(), 0U);
}

// Guards against a late start command that reruns an attempt already stopped or acknowledged.
Test(agent_model, tombstones_block_late_starts) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  cr_assert_eq(agent.stop(attempt_request(1, 1), k_start).code(), AgentReply::UNKNOWN_ATTEMPT);
  cr_assert_eq(agent.start(start_request(1, 1), k_start).code(), AgentReply::ALREADY_ENDED);
  cr_assert_eq(agent.start(start_request(1, 2), k_start).code(), AgentReply::OK);
  const auto end = k_start + seconds{10};
  cr_assert_eq(agent.report(end).report().attempts(0).state(), proto::platform::ATTEMPT_SUCCEEDED);
  proto::platform::AcknowledgeRequest acknowledge;
  acknowledge.set_token(1);
  *acknowledge.add_attempts() = attempt_request(1, 2);
  cr_assert_eq(agent.acknowledge(acknowledge, end).code(), AgentReply::OK);
  cr_assert_eq(agent.report(end).report().attempts_size(), 0);
  cr_assert_eq(agent.start(start_request(1, 2), end).code(), AgentReply::ALREADY_ENDED);
}

// Guards against work that outlives an expired lease, and against a renewal that is ignored.
Test(agent_model, lease_lapses_unless_renewed) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  auto request = start_request(1, 1);
  request.set_expected_ms(100'000);
  (void)agent.start(request, k_start);
  proto::platform::RenewRequest renew;
  renew.set_token(1);
  renew.set_lease_ms(30'000);
  (void)agent.renew(renew, k_start + seconds{20});
  cr_assert_eq(agent.report(k_start + seconds{49}).report().attempts(0).state(),
               proto::platform::ATTEMPT_RUNNING);
  const auto lapsed = agent.report(k_start + seconds{60}).report().attempts(0);
  cr_assert_eq(lapsed.state(), proto::platform::ATTEMPT_LEASE_EXPIRED);
  cr_assert_eq(lapsed.run_ms(), 50'000U);
}

// Guards against a checkpoint that loses progress, and against a throttle without effect.
Test(agent_model, resumes_from_checkpoint_at_throttled_speed) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  auto other = make_agent("vm-2", observer);
  (void)agent.start(start_request(1, 1), k_start);
  auto throttle = attempt_request(1, 1);
  throttle.set_throttle_percent(50);
  (void)agent.throttle(throttle, k_start + seconds{2});
  auto stop = attempt_request(1, 1);
  stop.set_take_checkpoint(true);
  (void)agent.stop(stop, k_start + seconds{6});
  const auto stopped = agent.report(k_start + seconds{6}).report().attempts(0);
  cr_assert_eq(stopped.state(), proto::platform::ATTEMPT_STOPPED);
  auto request = start_request(1, 2);
  request.set_checkpoint(stopped.checkpoint());
  (void)other.start(request, k_start + seconds{6});
  // 2 s at full and 4 s at half speed leave 6 of 10 s.
  cr_assert_eq(other.report(k_start + milliseconds{11'999}).report().attempts(0).state(),
               proto::platform::ATTEMPT_RUNNING);
  cr_assert_eq(other.report(k_start + seconds{12}).report().attempts(0).state(),
               proto::platform::ATTEMPT_SUCCEEDED);
  cr_assert_eq(observer.counts().breaches(), 0U);
  cr_assert_eq(observer.finished_per_job()["cut"], 1U);
}

// Guards against usage that is visible before it could have been measured.
Test(agent_model, usage_lags) {
  Observer observer;
  auto agent = make_agent("vm-1", observer);
  auto request = start_request(1, 1);
  request.set_command("cpu_millis=250 class=noisy");
  (void)agent.start(request, k_start);
  cr_assert_not(agent.report(k_start).report().attempts(0).has_used());
  agent.advance(k_start + milliseconds{500});
  const auto seen = agent.report(k_start + seconds{2}).report();
  cr_assert_eq(seen.attempts(0).used().cpu_millis(), 250U);
  cr_assert_leq(seen.measured_at_ms(), 2'000U);
  cr_assert(agent.loads()[0].job_class == "noisy");
}

// Guards against an observer that misses a task on two workers or a second completion.
Test(observer, sees_double_runs_and_completions) {
  Observer observer;
  auto one = make_agent("vm-1", observer);
  auto two = make_agent("vm-2", observer);
  (void)one.start(start_request(1, 1), k_start);
  (void)two.start(start_request(1, 2), k_start);
  cr_assert_eq(observer.counts().double_runs, 1U);
  one.advance(k_start + seconds{10});
  two.advance(k_start + seconds{10});
  cr_assert_eq(observer.counts().double_completions, 1U);
  cr_assert_eq(observer.finished_per_job()["cut"], 1U);
}

// Guards against a breach reported for work that was lost with its VM and restarted.
Test(observer, lost_work_may_run_again) {
  Observer observer;
  auto one = make_agent("vm-1", observer);
  auto two = make_agent("vm-2", observer);
  (void)one.start(start_request(1, 1), k_start);
  const std::string boot = one.boot_id();
  one.crash(k_start + seconds{20});
  one.boot(k_start + seconds{21});
  cr_assert(one.boot_id() != boot);
  (void)two.start(start_request(1, 2), k_start + seconds{22});
  two.advance(k_start + seconds{40});
  cr_assert_eq(observer.counts().breaches(), 0U);
  cr_assert_eq(observer.finished_per_job()["cut"], 1U);
}

// Guards against an observer that misses overcommits, which a correct agent never lets happen, and
// repeated keys.
Test(observer, sees_overcommit_and_repeated_keys) {
  Observer observer;
  observer.set_capacity("vm-1", {1000, 10, 0});
  observer.attempt_started("vm-1", {"cut", 1, 1}, {600, 1, 0}, "");
  observer.attempt_started("vm-1", {"cut", 2, 1}, {600, 1, 0}, "");
  cr_assert_eq(observer.counts().overcommits, 1U);
  observer.request_executed("vm-1", "key", "r1", k_start);
  observer.request_executed("vm-2", "key", "r1", k_start);
  cr_assert_eq(observer.counts().repeated_keys, 1U);
  cr_assert_eq(observer.executions_of_request("r1"), 2U);
  cr_assert(observer.to_json().find("\"breaches\": 2") != std::string::npos);
}
