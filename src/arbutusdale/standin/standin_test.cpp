// Tests of the stand-in over HTTP, with the platform's own clients.
#include "arbutusdale/standin/standin.hpp"

#include "arbutusdale/backplane/http_backplane.hpp"

#include <future>
#include <memory>
#include <string>

#include "settings.hpp"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace arbutusdale;
using namespace arbutusdale::standin;
using proto::platform::AgentReply;

namespace {

constexpr Duration k_long = std::chrono::seconds{20};
constexpr Duration k_short = std::chrono::milliseconds{200};

struct Bench {
  explicit Bench(StandinOptions options = {}) {
    options.platform_port = 0;
    options.agent_base_port = 0;
    options.target_base_port = 0;
    server = std::move(make_standin(std::move(options)).value());
    engine = backplane::make_http_engine({}, [](const std::function<void()>& task) { task(); });
    address = server->platform_address("domain-a");
  }

  Result<std::uint64_t> append(Duration timeout = k_long) {
    std::promise<Result<std::uint64_t>> promise;
    backplane::make_http_log(*engine, address, timeout)
        ->append("domain/a b", "record",
                 [&](auto result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
  }

  Result<proto::platform::ReadReply> read(std::uint64_t from) {
    std::promise<Result<proto::platform::ReadReply>> promise;
    backplane::make_http_log(*engine, address, k_long)
        ->read("domain/a b", from, 10, [&](auto result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
  }

  Result<proto::platform::VmListReply> list() {
    std::promise<Result<proto::platform::VmListReply>> promise;
    backplane::make_http_vm_list(*engine, address, k_long)->fetch([&](auto result) {
      promise.set_value(std::move(result));
    });
    return promise.get_future().get();
  }

  Result<AgentReply> start(std::size_t vm, std::uint64_t token, Duration timeout = k_long) {
    proto::platform::StartRequest request;
    request.set_token(token);
    request.set_job("cut");
    request.mutable_resources()->set_cpu_millis(1'000);
    request.set_expected_ms(100'000);
    std::promise<Result<AgentReply>> promise;
    backplane::make_http_worker_agents(*engine, timeout)
        ->start(agent(vm), request, [&](auto result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
  }

  Result<AgentReply> report(std::size_t vm) {
    std::promise<Result<AgentReply>> promise;
    backplane::make_http_worker_agents(*engine, k_long)->report(agent(vm), [&](auto result) {
      promise.set_value(std::move(result));
    });
    return promise.get_future().get();
  }

  // Body of the target's response to a GET request.
  Result<std::string> get(const std::string& url, Duration timeout = k_long, bool fresh = true) {
    std::promise<Result<std::string>> promise;
    backplane::HttpCall call;
    call.url = url;
    call.timeout = timeout;
    call.fresh_connection = fresh;
    call.done = [&](Result<std::string> result) { promise.set_value(std::move(result)); };
    engine->submit(std::move(call));
    return promise.get_future().get();
  }

  [[nodiscard]] std::string target_url(std::size_t vm) const {
    return "http://" + server->vms()[vm].target_address() + "/quote?x=%20y";
  }

  [[nodiscard]] backplane::AgentAddress agent(std::size_t vm) const {
    const auto node = server->vms()[vm];
    return {node.id(), node.agent_address()};
  }

  void fault(const std::string& request) const {
    cr_assert(server->fault(request).has_value(), "%s", request.c_str());
  }

  std::unique_ptr<Standin> server;
  std::unique_ptr<backplane::HttpEngine> engine;
  std::string address;
};

}  // namespace

// Guards against routes on which client and platform disagree, also for percent-encoded names.
Test(standin, serves_log_list_and_agents) {
  Bench bench;
  cr_assert_eq(bench.append().value(), 0U);
  cr_assert_eq(bench.append().value(), 1U);
  const auto read = bench.read(1).value();
  cr_assert_eq(read.entries_size(), 1);
  cr_assert(read.entries(0).payload() == "record");
  const auto list = bench.list().value();
  cr_assert_eq(list.vms_size(), 4);
  cr_assert(list.vms(3).id() == "domain-a-vm-003");
  cr_assert_eq(bench.start(0, 5).value().code(), AgentReply::OK);
  cr_assert_eq(bench.start(0, 4).value().code(), AgentReply::STALE_TOKEN);
  cr_assert_eq(bench.report(0).value().report().attempts_size(), 1);
}

// Guards against log faults whose verdict does not match their effect.
Test(standin, log_faults_have_exact_verdicts) {
  Bench bench;
  bench.fault(R"({"fault":"log_outage"})");
  cr_assert(bench.append().error().verdict == Verdict::not_run);
  cr_assert_not(bench.read(0).has_value());
  bench.fault(R"({"fault":"log_outage","on":false})");
  bench.fault(R"({"fault":"log_lose_answers","value":100})");
  cr_assert(bench.append().error().verdict == Verdict::may_have_run);
  bench.fault(R"({"fault":"clear"})");
  cr_assert_eq(bench.read(0).value().next_offset(), 1U);
  bench.fault(R"({"fault":"log_delay","value":5000})");
  cr_assert(bench.append(k_short).error().code == ErrorCode::deadline_exceeded);
  bench.fault(R"({"fault":"clear"})");
  cr_assert_eq(bench.read(0).value().next_offset(), 2U);
  bench.fault(R"({"fault":"platform_cut","domain":"domain-a"})");
  cr_assert(bench.append(k_short).error().code == ErrorCode::deadline_exceeded);
}

// Guards against a crashed VM that still answers, or that returns with its old boot id.
Test(standin, crashed_vm_refuses_and_returns_with_a_new_boot) {
  Bench bench;
  const std::string boot = bench.report(1).value().report().boot_id();
  bench.fault(R"({"fault":"vm_crash","vm":"domain-a-vm-001"})");
  // The ports close on their own threads, shortly after the fault is switched.
  while (bench.report(1).has_value() || bench.get(bench.target_url(1)).has_value()) {
  }
  cr_assert(bench.start(1, 9).error().verdict == Verdict::not_run);
  bench.fault(R"({"fault":"vm_crash","vm":"domain-a-vm-001","on":false})");
  Result<AgentReply> back = bench.report(1);
  while (!back) {
    back = bench.report(1);
  }
  cr_assert(back->report().boot_id() != boot);
}

// Guards against commands that have no effect when the agent's response is lost.
Test(standin, agent_faults) {
  Bench bench;
  bench.fault(R"({"fault":"agent_lose_answers","vm":"domain-a-vm-00*"})");
  cr_assert(bench.start(0, 1).error().verdict == Verdict::may_have_run);
  bench.fault(R"({"fault":"clear"})");
  cr_assert_eq(bench.report(0).value().report().attempts_size(), 1);
  bench.fault(R"({"fault":"agent_unreachable","vm":"domain-a-vm-002"})");
  cr_assert(bench.start(2, 1, k_short).error().code == ErrorCode::deadline_exceeded);
  bench.fault(R"({"fault":"clear"})");
  cr_assert_eq(bench.report(2).value().report().attempts_size(), 0);
}

// Guards against target responses that cannot be matched to the request, and against target faults
// without effect.
Test(standin, target_echoes_and_fails_on_demand) {
  Bench bench;
  const std::string url = bench.target_url(0);
  const std::string echo = "/quote?x=%20y\n\n";
  cr_assert(bench.get(url).value() == echo);
  const auto fails = [&](const std::string& mode, ErrorCode code) {
    bench.fault(R"({"fault":"target","vm":"domain-a-vm-000","mode":")" + mode + "\"}");
    cr_assert(bench.get(url, mode == "silent" ? k_short : k_long).error().code == code, "%s",
              mode.c_str());
  };
  fails("errors", ErrorCode::internal);
  fails("reset", ErrorCode::connection_lost);
  fails("truncate", ErrorCode::connection_lost);
  fails("silent", ErrorCode::deadline_exceeded);
  bench.fault(R"({"fault":"clear"})");
  cr_assert(bench.get(url).value() == echo);
  cr_assert_eq(nlohmann::json::parse(bench.server->observer_json())["executions"], 6);
}

// Guards against silenced connections that respond, and against new ones that do not.
Test(standin, silences_open_connections_only) {
  Bench bench;
  const std::string url = bench.target_url(0);
  cr_assert(bench.get(url, k_long, false).has_value());
  bench.fault(R"({"fault":"silence_connections","vm":"domain-a-vm-000"})");
  // The fault is switched on the target's own thread, shortly after it was accepted.
  Result<std::string> silent = bench.get(url, k_short, false);
  while (silent) {
    silent = bench.get(url, k_short, false);
  }
  cr_assert(silent.error().code == ErrorCode::deadline_exceeded);
  cr_assert(bench.get(url).has_value());
}

// Guards against a target that serves more requests at once than it has slots, or loses those
// that wait.
Test(standin, requests_beyond_the_slots_wait) {
  StandinOptions options;
  options.slots = 2;
  options.service_time = std::chrono::milliseconds{20};
  Bench bench(options);
  constexpr int k_requests = 20;
  std::vector<std::promise<bool>> answered(k_requests);
  for (auto& promise : answered) {
    backplane::HttpCall call;
    call.url = bench.target_url(0);
    call.timeout = k_long;
    call.done = [&promise](const Result<std::string>& result) {
      promise.set_value(result.has_value());
    };
    bench.engine->submit(std::move(call));
  }
  for (auto& promise : answered) {
    cr_assert(promise.get_future().get());
  }
}

// Guards against a misspelt setting that is ignored.
Test(standin_settings, reads_json_and_rejects_unknown_names) {
  StandinOptions options;
  cr_assert(apply_json(R"({"domains":"x,y", "slots":3, "list_lag_ms":70, "interference":{"n":2.5},
                           "vms":[{"id":"x-vm-1","domain":"x","cpu_millis":5,"memory_mib":6}]})",
                       options)
                .has_value());
  cr_assert_eq(options.domains.size(), 2U);
  cr_assert_eq(options.slots, 3U);
  cr_assert(options.list_lag == std::chrono::milliseconds{70});
  cr_assert_eq(options.vms[0].capacity.memory_mib, 6U);
  cr_assert_eq(options.interference["n"], 2.5);
  cr_assert_not(apply_json(R"({"slot":3})", options).has_value());
  cr_assert_not(apply_json(R"({"slots":-3})", options).has_value());
}
