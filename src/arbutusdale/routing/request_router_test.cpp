// Tests of the request router through its public interface.
#include "arbutusdale/routing/request_router.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::routing;

namespace {

constexpr auto k_ms = std::chrono::milliseconds{1};

struct Fixture {
  TimePoint now{std::chrono::seconds{1}};
  std::unique_ptr<RequestRouter> router;

  explicit Fixture(std::uint32_t workers, std::uint32_t slots = 1, RouterOptions options = {}) {
    options.daemon = options.daemon.empty() ? "d1" : options.daemon;
    router = make_request_router(options);
    ServiceConfig service;
    service.name = "fit";
    service.path_prefix = "/fit";
    service.slots = slots;
    service.queue_limit = 16;
    router->set_services({service}, {{"a", 1}, {"b", 1}});
    set_workers(workers);
  }

  void set_workers(std::uint32_t count, const std::string& leaving = "") const {
    std::vector<TargetInfo> targets;
    for (std::uint32_t i = 0; i < count; ++i) {
      const auto id = "w" + std::to_string(i);
      targets.push_back({id, "10.0.0." + std::to_string(i) + ":80", id == leaving});
    }
    router->set_targets("fit", targets, now);
  }

  Result<CallId> submit(bool idempotent = true, const std::string& team = "a",
                        Duration timeout = 10'000 * k_ms) const {
    Call call;
    call.service = "fit";
    call.team = team;
    call.idempotent = idempotent;
    call.deadline = now + timeout;
    return router->submit(call, now);
  }

  std::vector<Assignment> take() const { return router->take_assignments(now); }

  Completion finish(const Assignment& assignment, AttemptResult result,
                    Duration latency = k_ms) const {
    return router->finish_attempt(assignment.call, {result, latency}, now);
  }

  /// Submits a call and finishes it after `latency` with `result`; returns the worker, or "" when
  /// the call was not assigned.
  std::string run_one(AttemptResult result, Duration latency = k_ms) {
    if (!submit(false)) {
      return "";
    }
    const auto assigned = take();
    if (assigned.empty()) {
      return "";
    }
    now += latency;
    finish(assigned.front(), result, latency);
    return assigned.front().worker;
  }
};

}  // namespace

// Guards against "/fit" matching "/fitting", and against preferring a shorter prefix.
Test(match, longest_prefix_at_segments) {
  auto router = make_request_router({});
  const auto service = [](std::string name, std::string prefix) {
    ServiceConfig config;
    config.name = std::move(name);
    config.path_prefix = std::move(prefix);
    return config;
  };
  router->set_services({service("root", "/"), service("fit", "/fit"), service("deep", "/fit/a")},
                       {});
  cr_assert_eq(router->match("/fit"), "fit");
  cr_assert_eq(router->match("/fit/b?x=/fit/a"), "fit");
  cr_assert_eq(router->match("/fit/a/c"), "deep");
  cr_assert_eq(router->match("/fitting"), "root");
  cr_assert_eq(router->match("other"), "");
}

// Guards against sending a worker more calls than it has slots.
Test(slots, queue_when_all_are_taken) {
  Fixture f{2, 2};
  for (int i = 0; i < 6; ++i) {
    cr_assert(f.submit());
  }
  const auto first = f.take();
  cr_assert_eq(first.size(), 4U);
  std::map<std::string, int> load;
  for (const auto& assignment : first) {
    ++load[assignment.worker];
  }
  cr_assert_eq(load["w0"], 2);
  f.now += k_ms;
  f.finish(first[0], AttemptResult::answered);
  const auto second = f.take();
  cr_assert_eq(second.size(), 1U);
  cr_assert_eq(second[0].worker, first[0].worker);
  cr_assert_eq(second[0].queued, Duration{k_ms});
}

// Guards against unbounded queues and against refusals without the verdict `not_run`.
Test(admission, bounded_queue) {
  Fixture f{1};
  for (int i = 0; i < 17; ++i) {
    cr_assert(f.submit());
  }
  const auto refused = f.submit();
  cr_assert_not(refused);
  cr_assert(refused.error().verdict == Verdict::not_run);
  cr_assert(refused.error().code == ErrorCode::overloaded);
  // The other team is within its share, so the newest call of the longest queue is dropped.
  cr_assert(f.submit(true, "b"));
  const auto dropped = f.router->take_dropped(f.now);
  cr_assert_eq(dropped.size(), 1U);
  cr_assert(dropped[0].error.verdict == Verdict::not_run);
}

// Guards against admitting a call whose expected queue wait exceeds its deadline.
Test(admission, early_refusal) {
  Fixture f{1};
  f.run_one(AttemptResult::answered, 100 * k_ms);
  for (int i = 0; i < 4; ++i) {
    cr_assert(f.submit());
  }
  cr_assert_not(f.submit(true, "a", 300 * k_ms));
  cr_assert(f.submit(true, "a", 1000 * k_ms));
}

// Guards against sending a call after its deadline or after its caller has disconnected.
Test(admission, expired_and_cancelled_calls_are_never_sent) {
  Fixture f{1};
  f.submit();
  const auto busy = f.take();
  const auto expiring = f.submit(true, "a", 5 * k_ms);
  const auto cancelled = f.submit();
  f.router->cancel(*cancelled, f.now);
  cr_assert_eq(f.router->next_wakeup(), f.now + 5 * k_ms);
  f.now += 5 * k_ms;
  const auto dropped = f.router->take_dropped(f.now);
  cr_assert_eq(dropped.size(), 1U);
  cr_assert_eq(dropped[0].call, *expiring);
  f.finish(busy[0], AttemptResult::answered);
  cr_assert(f.take().empty());
}

// Guards against a team's backlog that delays the calls of another team.
Test(fairness, other_team_is_served_next) {
  Fixture f{1};
  f.submit();
  auto running = f.take();
  for (int i = 0; i < 10; ++i) {
    f.submit(true, "a");
  }
  const auto other = f.submit(true, "b");
  for (int i = 0; i < 2; ++i) {
    f.finish(running[0], AttemptResult::answered);
    running = f.take();
    if (running[0].call == *other) {
      return;
    }
  }
  cr_assert_fail("the other team waited behind the backlog");
}

// Guards against wrong verdicts, and against retrying a non-idempotent call that may have run.
Test(retry, verdict_is_exact) {
  Fixture f{3};
  const auto run = [&f](bool idempotent, AttemptResult result) {
    f.submit(idempotent);
    return f.finish(f.take().front(), result);
  };
  for (int i = 0; i < 50; ++i) {  // fills the retry budget
    f.run_one(AttemptResult::answered);
  }
  const auto lost = run(false, AttemptResult::connection_lost);
  cr_assert(lost.next == NextStep::finish);
  cr_assert(lost.verdict == Verdict::may_have_run);
  cr_assert(run(false, AttemptResult::server_error).verdict == Verdict::answered);
  cr_assert(run(false, AttemptResult::not_sent).next == NextStep::retry);
  cr_assert(run(true, AttemptResult::timed_out).next == NextStep::retry);
}

// Guards against the verdict `not_run` for a call with an earlier attempt that may have run.
Test(retry, an_earlier_attempt_counts) {
  RouterOptions options;
  options.max_attempts = 2;
  options.retry_budget_enabled = false;
  Fixture f{3, 1, options};
  f.submit();
  cr_assert(f.finish(f.take().front(), AttemptResult::connection_lost).next == NextStep::retry);
  f.now += 500 * k_ms;
  const auto end = f.finish(f.take().front(), AttemptResult::refused);
  cr_assert(end.next == NextStep::finish);
  cr_assert(end.verdict == Verdict::may_have_run);
}

// Guards against a retry at the worker that failed while another usable worker is only busy.
Test(retry, waits_for_another_worker) {
  RouterOptions options;
  options.retry_budget_enabled = false;
  Fixture f{2, 1, options};
  f.submit();
  f.submit();
  const auto first = f.take();
  f.finish(first[0], AttemptResult::not_sent);
  f.now += 500 * k_ms;
  cr_assert(f.take().empty());
  f.finish(first[1], AttemptResult::answered);
  const auto retry = f.take();
  cr_assert_eq(retry.size(), 1U);
  cr_assert_eq(retry[0].worker, first[1].worker);
  cr_assert_eq(retry[0].attempt, 2U);
}

// Guards against the verdict `not_run` for a retry that is dropped from the queue after an attempt
// that may have run, and against retrying a cancelled call.
Test(retry, dropped_retry_keeps_its_verdict) {
  RouterOptions options;
  options.retry_budget_enabled = false;
  Fixture f{2, 1, options};
  f.submit(true, "a", 50 * k_ms);
  f.submit();
  const auto first = f.take();
  cr_assert(f.finish(first[0], AttemptResult::connection_lost).next == NextStep::retry);
  f.now += 60 * k_ms;
  const auto dropped = f.router->take_dropped(f.now);
  cr_assert_eq(dropped.size(), 1U);
  cr_assert(dropped[0].error.verdict == Verdict::may_have_run);
  f.router->cancel(first[1].call, f.now);
  const auto end = f.finish(first[1], AttemptResult::not_sent);
  cr_assert(end.next == NextStep::finish);
  cr_assert(end.verdict == Verdict::not_run);
}

// Guards against calls that stay queued for a removed service, and against a crash when an attempt
// ends after the removal.
Test(services, removal_drops_queued_calls) {
  Fixture f{1};
  f.submit();
  const auto queued = f.submit();
  const auto running = f.take();
  f.router->set_services({}, {});
  const auto dropped = f.router->take_dropped(f.now);
  cr_assert_eq(dropped.size(), 1U);
  cr_assert_eq(dropped[0].call, *queued);
  cr_assert(f.finish(running[0], AttemptResult::answered).verdict == Verdict::answered);
  cr_assert(f.submit().error().code == ErrorCode::not_found);
  f.router->set_services({}, {});
  cr_assert(f.router->stats().empty());
}

// Guards against retries that multiply the load when every target fails.
Test(retry, amplification_is_bounded) {
  Fixture f{10};
  int attempts = 0;
  int calls = 0;
  for (; calls < 2000; ++calls) {
    f.submit();
    for (auto assigned = f.take(); !assigned.empty(); assigned = f.take()) {
      attempts += static_cast<int>(assigned.size());
      for (const auto& assignment : assigned) {
        f.finish(assignment, AttemptResult::connection_lost);
      }
    }
    f.now += 20 * k_ms;
  }
  cr_assert_leq(attempts, calls * 11 / 10);
  cr_assert_geq(attempts, calls * 105 / 100);
}

// Guards against a worker that receives most of the calls because it fails them quickly.
Test(outlier, failing_fast_attracts_no_traffic) {
  Fixture f{10};
  std::map<std::string, int> calls;
  for (int i = 0; i < 2000; ++i) {
    f.submit(false);
    for (const auto& assignment : f.take()) {
      ++calls[assignment.worker];
      const bool bad = assignment.worker == "w3";
      f.now += bad ? Duration{50} : Duration{10 * k_ms};
      f.finish(assignment, bad ? AttemptResult::server_error : AttemptResult::answered,
               bad ? Duration{50} : Duration{10 * k_ms});
    }
  }
  cr_assert_lt(calls["w3"], 40);
  cr_assert_eq(f.router->stats()[0].ejected, 1U);
}

// Guards against ejecting so many workers that the remaining ones are overloaded.
Test(outlier, ejected_share_is_bounded) {
  Fixture f{10};
  for (int i = 0; i < 3000; ++i) {
    f.submit(false);
    for (const auto& assignment : f.take()) {
      f.now += k_ms;
      f.finish(assignment,
               assignment.worker < "w5" ? AttemptResult::connection_lost : AttemptResult::answered);
    }
    cr_assert_leq(f.router->stats()[0].ejected, 3U);
  }
}

// Guards against a slow worker that keeps its full share of calls, and against an ejection that
// never ends.
Test(outlier, slow_worker_is_ejected_and_returns) {
  Fixture f{10};
  std::map<std::string, int> calls;
  for (int i = 0; i < 3000; ++i) {
    f.submit(false);
    const auto assignment = f.take().at(0);
    const Duration latency = assignment.worker == "w3" && i < 1000 ? 80 * k_ms : 10 * k_ms;
    f.now += latency;
    f.finish(assignment, AttemptResult::answered, latency);
    calls[assignment.worker] += i >= 2500 ? 1 : 0;
    cr_assert(i != 1000 || f.router->stats()[0].ejected == 1U);
  }
  cr_assert_gt(calls["w3"], 0);
}

// Guards against assigning calls to a leaving VM, and against losing a call in flight to it.
Test(targets, leaving_worker_receives_nothing) {
  Fixture f{2};
  f.submit();
  f.submit();
  auto running = f.take();
  f.set_workers(2, "w1");
  for (const auto& assignment : running) {
    cr_assert(f.finish(assignment, AttemptResult::answered).verdict == Verdict::answered);
  }
  for (int i = 0; i < 50; ++i) {
    cr_assert_eq(f.run_one(AttemptResult::answered), "w0");
  }
}

// Guards against full load on a worker that has just started.
Test(targets, new_worker_starts_slowly) {
  Fixture f{4, 4};
  for (int i = 0; i < 200; ++i) {
    f.run_one(AttemptResult::answered, 5 * k_ms);
  }
  f.set_workers(5);
  const TimePoint end = f.now + std::chrono::seconds{1};
  std::map<std::string, int> calls;
  while (f.now < end) {
    std::vector<Assignment> wave;
    while (f.router->stats()[0].idle_slots > 0 && f.submit(false)) {
      for (auto& assignment : f.take()) {
        wave.push_back(assignment);
      }
    }
    f.now += 5 * k_ms;
    for (const auto& assignment : wave) {
      ++calls[assignment.worker];
      f.finish(assignment, AttemptResult::answered, 5 * k_ms);
    }
  }
  cr_assert_gt(calls["w4"], 0);
  cr_assert_lt(calls["w4"], calls["w0"] / 3);
}

// Guards against slots that two daemons own at the same time, or that no daemon owns.
Test(slot_partition, each_slot_has_one_owner) {
  constexpr int k_daemons = 9;
  std::map<std::string, int> load;
  for (int d = 0; d < k_daemons; ++d) {
    RouterOptions options;
    options.daemon = "d" + std::to_string(d);
    Fixture f{50, 8, options};
    std::vector<PeerInfo> peers;
    for (int p = 0; p < k_daemons; ++p) {
      if (p != d) {
        peers.push_back({"d" + std::to_string(p), "", "", 0, {}, {}, 0.0});
      }
    }
    f.router->set_peers("fit", peers, {}, f.now);
    while (f.router->stats()[0].queued == 0) {
      f.submit();
    }
    for (const auto& assignment : f.take()) {
      ++load[assignment.worker];
    }
  }
  cr_assert_eq(load.size(), 50U);
  for (const auto& [worker, calls] : load) {
    cr_assert_eq(calls, 8, "%s has %d", worker.c_str(), calls);
  }
}

// Guards against leaving idle slots of peers unused, and against borrowing the part of them that is
// due to another daemon without idle slots.
Test(slot_partition, borrows_the_reported_idle_slots) {
  const auto peer = [](const char* name, std::uint32_t idle) {
    return PeerInfo{name, "", "", idle, {}, {}, 0.0};
  };
  Fixture alone{6, 3};
  alone.router->set_peers("fit", {peer("d2", 4), peer("d3", 2)}, {}, alone.now);
  for (int i = 0; i < 16; ++i) {
    cr_assert(alone.submit());
  }
  cr_assert_eq(alone.take().size(), 12U);  // 6 own slots and 4 + 2 borrowed ones
  cr_assert_eq(alone.router->stats()[0].borrowed, 6U);
  Fixture shared{6, 3};
  shared.router->set_peers("fit", {peer("d2", 4), peer("d3", 0)}, {}, shared.now);
  for (int i = 0; i < 16; ++i) {
    cr_assert(shared.submit());
  }
  cr_assert_eq(shared.take().size(), 8U);  // half of the 4 idle slots
}

// Guards against daemons that all choose the same workers after a simultaneous restart.
Test(slot_partition, restarted_daemons_choose_different_workers) {
  for (const auto policy : {Policy::round_robin, Policy::random, Policy::least_in_flight}) {
    std::set<std::string> first;
    for (int d = 0; d < 9; ++d) {
      RouterOptions options;
      options.daemon = "d" + std::to_string(d);
      options.policy = policy;
      Fixture f{50, 8, options};
      first.insert(f.run_one(AttemptResult::answered));
    }
    cr_assert_geq(first.size(), 6U);
  }
}

// Guards against forwarding a forwarded call again, and against sending the full traffic to another
// domain right after it became reachable.
Test(spill, goes_to_a_faster_domain_with_a_ramp) {
  Fixture f{1};
  f.run_one(AttemptResult::answered, 100 * k_ms);
  const std::vector<PeerInfo> other{{"x1", "far", "10.1.0.1:80", 100, {}, 8 * k_ms, 0.0}};
  f.router->set_peers("fit", {}, other, f.now);
  const auto count_spills = [&f] {
    int spilled = 0;
    for (int i = 0; i < 100; ++i) {
      f.submit();
      for (const auto& assignment : f.take()) {
        spilled += assignment.to_peer ? 1 : 0;
        f.finish(assignment, AttemptResult::answered, 100 * k_ms);
      }
      f.submit();  // occupies the only slot
    }
    return spilled;
  };
  f.submit();
  cr_assert_eq(count_spills(), 0);
  for (int i = 0; i < 11; ++i) {
    f.now += std::chrono::seconds{1};
    f.router->set_peers("fit", {}, other, f.now);
  }
  Call forwarded;
  forwarded.service = "fit";
  forwarded.forwarded = true;
  for (int i = 0; i < 5; ++i) {
    f.router->submit(forwarded, f.now);
  }
  for (const auto& assignment : f.take()) {
    cr_assert_not(assignment.to_peer);
  }
  f.submit();
  const auto spilled = f.take();
  cr_assert(!spilled.empty() && spilled[0].to_peer);
  cr_assert_eq(spilled[0].address, "10.1.0.1:80");
}
