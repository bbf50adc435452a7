// Tests of idempotency keys and of calls forwarded between daemons.
#include "answer.hpp"
#include "test_support.hpp"
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace arbutusdale;
using namespace arbutusdale::gateway;
using namespace arbutusdale::gateway::testing;
using routing::KeyDecision;

namespace {

/// Makes scripted decisions on a separate thread, as the control thread does.
class FakeGate final : public KeyGate {
 public:
  struct Finished {
    bool not_run = false;
    std::string answer;
  };

  ~FakeGate() override {
    for (auto& thread : m_threads) {
      thread.join();
    }
  }

  KeyRoute route(const routing::KeyedCall& /*call*/) override {
    ++routed;
    return next_route;
  }

  void request(const routing::KeyedCall& call,
               routing::KeyTable::DecisionCallback decided) override {
    const std::lock_guard lock(m_mutex);
    asked.push_back(call);
    m_threads.emplace_back([decided = std::move(decided), answer = next] { decided(answer); });
  }

  void finish(const routing::KeyedCall& /*call*/, bool not_run, std::string answer) override {
    const std::lock_guard lock(m_mutex);
    finished.push_back({not_run, std::move(answer)});
    m_changed.notify_all();
  }

  void wait_for_finished(std::size_t count) {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return finished.size() >= count; });
  }

  KeyRoute next_route;
  routing::KeyResult next{KeyDecision::run, ""};
  std::atomic<int> routed{0};
  std::vector<routing::KeyedCall> asked;
  std::vector<Finished> finished;

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::thread> m_threads;
};

constexpr const char* k_key = "Idempotency-Key: order-7\r\n";

bool answer_order(Connection& connection, const TargetRequest& /*request*/) {
  connection.send("HTTP/1.1 201 Created\r\nContent-Length: 5\r\nLocation: /quote/7\r\n\r\norder");
  return true;
}

std::string verdict_of(const Reply& reply) {
  return nlohmann::json::parse(reply.body)["verdict"];
}

}  // namespace

// Guards against keyed calls that bypass the key table, and against answers that are not stored.
Test(keys, permitted_call_runs_and_its_answer_is_replayed) {
  ScriptedTarget target(answer_order);
  FakeGate gate;
  TestGateway gateway({target.address()}, {}, &gate);
  const auto first = call(gateway.port(), "POST", "/quote", k_key, "x");
  cr_assert_eq(first.status(), 201);
  gate.wait_for_finished(1);
  cr_assert_not(gate.finished[0].not_run);
  cr_assert(gate.asked.at(0).service == "quote");
  cr_assert(gate.asked.at(0).key == "order-7");
  gate.next = {KeyDecision::done, gate.finished[0].answer};
  const auto second = call(gateway.port(), "POST", "/quote", k_key, "x");
  cr_assert_eq(second.status(), 201);
  cr_assert(second.body == "order");
  cr_assert(second.header("Location") == "/quote/7");
  cr_assert_eq(target.requests().size(), 1);
  cr_assert_eq(gate.finished.size(), 1);
  cr_assert_eq(gate.asked[0].fingerprint, gate.asked[1].fingerprint);
  call(gateway.port(), "POST", "/quote", k_key, "y");
  cr_assert_neq(gate.asked[0].fingerprint, gate.asked[2].fingerprint);
}

// Guards against a key that stays taken although no byte of its call was sent.
Test(keys, call_that_was_not_run_frees_its_key) {
  FakeGate gate;
  TestGateway gateway({refusing_address()}, {}, &gate);
  cr_assert(verdict_of(call(gateway.port(), "POST", "/quote", k_key, "x")) == "not_run");
  gate.wait_for_finished(1);
  cr_assert(gate.finished[0].not_run);
}

// Guards against a lost answer that frees its key, which would allow a second run.
Test(keys, lost_answer_keeps_its_key) {
  ScriptedTarget target([](Connection&, const TargetRequest&) { return false; });
  FakeGate gate;
  TestGateway gateway({target.address()}, {}, &gate);
  cr_assert(verdict_of(call(gateway.port(), "POST", "/quote", k_key, "x")) == "may_have_run");
  gate.wait_for_finished(1);
  cr_assert_not(gate.finished[0].not_run);
  cr_assert(gate.finished[0].answer.empty());
}

// Guards against a call with a refused key that is sent, or answered with the wrong verdict.
Test(keys, refused_keys_are_never_sent) {
  ScriptedTarget target(answer_order);
  FakeGate gate;
  TestGateway gateway({target.address()}, {}, &gate);
  const auto refused = [&](KeyDecision decision) {
    gate.next = {decision, ""};
    return call(gateway.port(), "POST", "/quote", k_key, "x");
  };
  const auto in_progress = refused(KeyDecision::in_progress);
  cr_assert_eq(in_progress.status(), 409);
  cr_assert(verdict_of(in_progress) == "may_have_run");
  const auto done = refused(KeyDecision::done);
  cr_assert_eq(done.status(), 409);
  cr_assert(verdict_of(done) == "answered");
  cr_assert(verdict_of(refused(KeyDecision::may_have_run)) == "may_have_run");
  cr_assert_eq(refused(KeyDecision::mismatch).status(), 422);
  const auto full = refused(KeyDecision::overloaded);
  cr_assert_eq(full.status(), 503);
  cr_assert(verdict_of(full) == "may_have_run");
  cr_assert_not(full.header("Retry-After").empty());
  cr_assert(target.requests().empty());
  cr_assert(gate.finished.empty());
}

// Guards against idempotent calls that request a key decision although they need none.
Test(keys, idempotent_methods_need_no_key) {
  ScriptedTarget target(answer_order);
  FakeGate gate;
  TestGateway gateway({target.address()}, {}, &gate);
  cr_assert_eq(call(gateway.port(), "PUT", "/quote", k_key, "x").status(), 201);
  cr_assert(gate.asked.empty());
}

// Guards against a keyed call that is decided in the wrong failure domain, is forwarded twice, or
// lets the fleet's token reach a target.
Test(keys, call_is_forwarded_once_to_the_home_domain) {
  ScriptedTarget target(answer_order);
  FakeGate home_gate;
  FakeGate entry_gate;
  // This route would refuse the call if it were requested.
  home_gate.next_route = {KeyRoute::Kind::unreachable, ""};
  TestGateway home({target.address()}, {}, &home_gate);
  TestGateway entry({}, {}, &entry_gate);
  entry_gate.next_route = {KeyRoute::Kind::forward, "127.0.0.1:" + std::to_string(home.port())};
  const auto reply = call(entry.port(), "POST", "/quote", k_key, "x");
  cr_assert_eq(reply.status(), 201);
  cr_assert_eq(home_gate.routed, 0);
  cr_assert_eq(home_gate.asked.size(), 1);
  cr_assert(entry_gate.asked.empty());
  cr_assert(header_of(target.requests().at(0).head, "Arbutusdale-Hop").empty());
}

// Guards against a caller that poses as a daemon of the fleet, and against the verdict "not run"
// for a key whose earlier call may have run in an unreachable home domain.
Test(keys, hop_with_a_wrong_token_has_no_effect) {
  ScriptedTarget target(answer_order);
  FakeGate gate;
  gate.next_route = {KeyRoute::Kind::unreachable, ""};
  TestGateway gateway({target.address()}, {}, &gate);
  const std::string hop = std::string(k_key) + "Arbutusdale-Hop: fleet-secreT\r\n";
  const auto reply = call(gateway.port(), "POST", "/quote", hop, "x");
  cr_assert_eq(reply.status(), 502);
  cr_assert(verdict_of(reply) == "may_have_run");
  cr_assert_eq(gate.routed, 1);
  cr_assert(target.requests().empty());
}

// Guards against stored answers that the encoding changes, and against a crash on malformed ones.
Test(keys, stored_answers_round_trip) {
  const Answer answer{{201, {{"X-Bytes", "\xff\xfe"}}}, std::string("a\0b\xff", 4)};
  const auto text = encode_answer(answer);
  const auto decoded = decode_answer(text);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->head.status, 201);
  cr_assert(decoded->head.headers.at(0).value == "\xff\xfe");
  cr_assert(decoded->body == answer.body);
  for (std::size_t size = 0; size < text.size(); ++size) {
    cr_assert_not(decode_answer(text.substr(0, size)).has_value());
  }
}
