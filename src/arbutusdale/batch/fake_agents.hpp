// Fake agents of a shard's VMs for tests, with fencing, tombstones and injected faults.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace arbutusdale::batch::testing {

using proto::platform::AgentReply;
using proto::platform::AttemptState;

/// One VM with its agent.
struct FakeVm {
  using Key = std::tuple<std::string, std::uint32_t, std::uint32_t>;  // job, task, attempt

  WorkerInfo info;
  bool reachable = true;
  bool lose_answers = false;  // commands take effect, their answers are lost
  bool delay_starts = false;  // starts arrive only in `deliver_delayed_starts`
  bool slow_stop = false;     // a stopped attempt keeps running until `finish_stops` is called
  bool fail_all = false;      // every task fails
  std::uint64_t token = 0;
  std::uint64_t boot = 1;
  std::uint64_t measured_ms = 1;
  std::map<Key, proto::platform::AttemptReport> attempts;
  std::set<Key> tombstones;
  std::set<Key> stopping;
  std::vector<proto::platform::StartRequest> delayed;
  std::vector<proto::platform::ServiceReport> services;
  std::vector<std::string> commands;  // in order of arrival
  Resources task_use;                 // reported as used by each running attempt
};

/// Agents of all VMs. `deliver` delivers the answers; a destroyed runner ignores its own.
class FakeAgents final : public backplane::WorkerAgents {
 public:
  using Reply = backplane::WorkerAgents::Reply;

  std::size_t reports = 0;  // requested, over all VMs

  FakeVm& vm(const std::string& id) { return m_vms[id]; }

  void acquire(const backplane::AgentAddress& agent, const proto::platform::AcquireRequest& request,
               Reply done) override {
    command(agent, request.token(), done, [this, agent](AgentReply& reply) {
      *reply.mutable_report() = report_of(vm(agent.worker));
    });
  }
  void renew(const backplane::AgentAddress& agent, const proto::platform::RenewRequest& request,
             Reply done) override {
    command(agent, request.token(), done,
            [this, agent](AgentReply&) { vm(agent.worker).commands.emplace_back("renew"); });
  }
  void report(const backplane::AgentAddress& agent, Reply done) override {
    ++reports;
    command(agent, vm(agent.worker).token, done, [this, agent](AgentReply& reply) {
      *reply.mutable_report() = report_of(vm(agent.worker));
    });
  }
  void start(const backplane::AgentAddress& agent, const proto::platform::StartRequest& request,
             Reply done) override {
    FakeVm& target = vm(agent.worker);
    ++starts_sent[request.job()];
    if (target.delay_starts) {
      target.delayed.push_back(request);
      m_answers.push_back([done] { done(may_have_run(ErrorCode::connection_lost, "lost")); });
      return;
    }
    command(agent, request.token(), done, [this, agent, request](AgentReply& reply) {
      reply.set_code(run_start(vm(agent.worker), request));
    });
  }
  void checkpoint(const backplane::AgentAddress& agent,
                  const proto::platform::AttemptRequest& request, Reply done) override {
    command(agent, request.token(), done, [](AgentReply&) {});
  }
  void throttle(const backplane::AgentAddress& agent,
                const proto::platform::AttemptRequest& request, Reply done) override {
    command(agent, request.token(), done, [this, agent, request](AgentReply& reply) {
      FakeVm& target = vm(agent.worker);
      target.commands.push_back("throttle " + request.job());
      const auto found = target.attempts.find(key_of(request));
      if (found == target.attempts.end()) {
        reply.set_code(AgentReply::UNKNOWN_ATTEMPT);
        return;
      }
      found->second.set_throttle_percent(request.throttle_percent());
    });
  }
  void stop(const backplane::AgentAddress& agent, const proto::platform::AttemptRequest& request,
            Reply done) override {
    command(agent, request.token(), done, [this, agent, request](AgentReply& reply) {
      reply.set_code(run_stop(vm(agent.worker), request));
    });
  }
  void acknowledge(const backplane::AgentAddress& agent,
                   const proto::platform::AcknowledgeRequest& request, Reply done) override {
    command(agent, request.token(), done, [this, agent, request](AgentReply&) {
      FakeVm& target = vm(agent.worker);
      for (const auto& attempt : request.attempts()) {
        target.commands.push_back("acknowledge " + attempt.job());
        target.attempts.erase(key_of(attempt));
      }
    });
  }

  /// Delivers the answers in flight.
  void deliver() {
    while (!m_answers.empty()) {
      const std::function<void()> answer = std::move(m_answers.front());
      m_answers.pop_front();
      answer();
    }
  }

  /// Lets the delayed starts reach the agent.
  void deliver_delayed_starts(const std::string& id) {
    FakeVm& target = vm(id);
    target.delay_starts = false;
    for (const auto& request : std::exchange(target.delayed, {})) {
      if (request.token() >= target.token) {
        run_start(target, request);
      }
    }
  }

  /// Ends all running attempts on the VM with `state`.
  void end(const std::string& id, AttemptState state, const std::string& failure = "") {
    for (auto& [key, attempt] : vm(id).attempts) {
      if (attempt.state() == AttemptState::ATTEMPT_RUNNING) {
        attempt.set_state(state);
        attempt.set_failure(failure);
        attempt.set_run_ms(5'000);
      }
    }
  }

  /// Gives the VM a new boot id; it loses its attempts, tombstones and token.
  void reboot(const std::string& id) {
    FakeVm& target = vm(id);
    ++target.boot;
    target.token = 0;
    target.attempts.clear();
    target.tombstones.clear();
  }

  /// Completes the stops that `slow_stop` holds back.
  void finish_stops(const std::string& id) {
    FakeVm& target = vm(id);
    for (const FakeVm::Key& key : std::exchange(target.stopping, {})) {
      const auto found = target.attempts.find(key);
      if (found != target.attempts.end() &&
          found->second.state() == AttemptState::ATTEMPT_RUNNING) {
        set_stopped(found->second);
      }
    }
  }

  /// Running attempts of a task, over all VMs.
  std::uint32_t running(const std::string& job, std::uint32_t task) {
    std::uint32_t count = 0;
    for (auto& [id, target] : m_vms) {
      for (auto& [key, attempt] : target.attempts) {
        count += std::get<0>(key) == job && std::get<1>(key) == task &&
                         attempt.state() == AttemptState::ATTEMPT_RUNNING
                     ? 1
                     : 0;
      }
    }
    return count;
  }
  std::uint32_t running() {
    std::uint32_t count = 0;
    for (auto& [id, target] : m_vms) {
      count += running_on(id);
    }
    return count;
  }
  std::uint32_t running_on(const std::string& id) {
    return static_cast<std::uint32_t>(std::count_if(
        vm(id).attempts.begin(), vm(id).attempts.end(),
        [](const auto& item) { return item.second.state() == AttemptState::ATTEMPT_RUNNING; }));
  }

  /// Largest number of attempts of one task that have run at the same time.
  std::uint32_t max_concurrent_attempts = 0;
  bool track_overlap = true;  // costs a scan of all attempts at each start
  std::uint64_t starts_executed = 0;
  std::map<std::string, std::uint64_t> starts_sent;  // by job, including those that never arrived
  bool overcommitted = false;
  std::vector<proto::platform::StartRequest> started;

 private:
  template <typename Request>
  static FakeVm::Key key_of(const Request& request) {
    return {request.job(), request.task(), request.attempt()};
  }

  static void set_stopped(proto::platform::AttemptReport& attempt) {
    attempt.set_state(AttemptState::ATTEMPT_STOPPED);
  }

  void command(const backplane::AgentAddress& agent, std::uint64_t token, const Reply& done,
               const std::function<void(AgentReply&)>& effect) {
    FakeVm& target = vm(agent.worker);
    if (!target.reachable) {
      m_answers.push_back([done] { done(not_run(ErrorCode::unavailable, "unreachable")); });
      return;
    }
    AgentReply reply;
    if (token < target.token) {
      reply.set_code(AgentReply::STALE_TOKEN);
    } else {
      target.token = token;
      effect(reply);
    }
    if (target.lose_answers) {
      m_answers.push_back([done] { done(may_have_run(ErrorCode::connection_lost, "lost")); });
      return;
    }
    m_answers.push_back([done, reply] { done(reply); });
  }

  AgentReply::Code run_start(FakeVm& target, const proto::platform::StartRequest& request) {
    const FakeVm::Key key = key_of(request);
    target.token = std::max(target.token, request.token());
    if (target.tombstones.contains(key)) {
      return AgentReply::ALREADY_ENDED;
    }
    if (target.attempts.contains(key)) {
      return target.attempts.at(key).state() == AttemptState::ATTEMPT_RUNNING
                 ? AgentReply::OK
                 : AgentReply::ALREADY_ENDED;
    }
    const Resources need = backplane::from_proto(request.resources());
    const Resources after = plus(committed(target), need);
    if (!fits(after, target.info.capacity)) {
      overcommitted = true;
      return AgentReply::NO_CAPACITY;
    }
    auto& attempt = target.attempts[key];
    attempt.set_job(request.job());
    attempt.set_task(request.task());
    attempt.set_attempt(request.attempt());
    attempt.set_state(target.fail_all ? AttemptState::ATTEMPT_FAILED
                                      : AttemptState::ATTEMPT_RUNNING);
    attempt.set_throttle_percent(100);
    *attempt.mutable_committed() = request.resources();
    started.push_back(request);
    ++starts_executed;
    if (track_overlap) {
      max_concurrent_attempts =
          std::max(max_concurrent_attempts, running(request.job(), request.task()));
    }
    return AgentReply::OK;
  }

  AgentReply::Code run_stop(FakeVm& target, const proto::platform::AttemptRequest& request) {
    const FakeVm::Key key = key_of(request);
    target.commands.push_back("stop " + request.job());
    target.tombstones.insert(key);
    const auto found = target.attempts.find(key);
    if (found == target.attempts.end()) {
      return AgentReply::UNKNOWN_ATTEMPT;
    }
    if (found->second.state() != AttemptState::ATTEMPT_RUNNING) {
      return AgentReply::ALREADY_ENDED;
    }
    if (request.take_checkpoint()) {
      found->second.set_checkpoint("checkpoint-" + std::to_string(request.attempt()));
    }
    if (target.slow_stop) {
      target.stopping.insert(key);
    } else {
      set_stopped(found->second);
    }
    return AgentReply::OK;
  }

  static Resources committed(const FakeVm& target) {
    Resources total;
    for (const auto& [key, attempt] : target.attempts) {
      if (attempt.state() == AttemptState::ATTEMPT_RUNNING) {
        total = plus(total, backplane::from_proto(attempt.committed()));
      }
    }
    return total;
  }

  static proto::platform::WorkerReport report_of(FakeVm& target) {
    proto::platform::WorkerReport report;
    report.set_worker(target.info.id);
    report.set_boot_id(std::to_string(target.boot));
    report.set_token(target.token);
    *report.mutable_capacity() = backplane::to_proto(target.info.capacity);
    *report.mutable_committed() = backplane::to_proto(committed(target));
    report.set_measured_at_ms(target.measured_ms);
    for (auto& [key, attempt] : target.attempts) {
      auto& item = *report.add_attempts();
      item = attempt;
      if (attempt.state() == AttemptState::ATTEMPT_RUNNING) {
        item.set_run_ms(5'000);
        if (!is_zero(target.task_use)) {
          *item.mutable_used() = backplane::to_proto(target.task_use);
        }
      }
    }
    for (const auto& service : target.services) {
      *report.add_services() = service;
    }
    return report;
  }

  std::map<std::string, FakeVm> m_vms;
  std::deque<std::function<void()>> m_answers;
};

}  // namespace arbutusdale::batch::testing
