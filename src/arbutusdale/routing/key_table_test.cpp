// Tests of individual rules of the key table; key_property_test.cpp covers random schedules.
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "key_cluster_test.hpp"
#include "key_store.hpp"
#include "key_takeover.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::routing;
using namespace arbutusdale::routing::testing;

namespace {

/// Up to three daemons; "a" owns the only shard.
struct Fixture {
  Cluster cluster{1, 7};
  KeyResult answer;

  explicit Fixture(int daemons = 3) {
    for (const auto* name : {"a", "b", "c"}) {
      if (daemons-- > 0) {
        cluster.start(name);
      }
    }
    cluster.read_all();
    cluster.claim("a", 0);
    cluster.settle();
  }

  static KeyedCall call(const std::string& key, std::uint64_t fingerprint = 1) {
    return KeyedCall{"book", key, fingerprint};
  }

  /// Requests a key at a daemon and delivers messages until it is decided.
  KeyDecision ask(const std::string& daemon, const std::string& key,
                  std::uint64_t fingerprint = 1) {
    std::optional<KeyResult> decided;
    cluster.table(daemon).request(call(key, fingerprint), cluster.now,
                                  [&](KeyResult result) { decided = std::move(result); });
    for (int i = 0; i < 15 && !decided; ++i) {
      cluster.deliver_all();
      if (!decided) {
        cluster.advance(std::chrono::milliseconds{200});
      }
    }
    cr_assert(decided.has_value(), "no decision");
    answer = *decided;
    return answer.decision;
  }

  void finish(const std::string& daemon, const std::string& key, bool not_run,
              const std::string& text = "") {
    cluster.table(daemon).finish(call(key), not_run, text, cluster.now);
    cluster.deliver_all();
  }

  /// Kills a daemon and lets `successor` claim the shard.
  void take_over(const std::string& killed, const std::string& successor) {
    const auto incarnation = cluster.process(killed).incarnation;
    cluster.kill(killed);
    cluster.end(killed, incarnation);
    cluster.read_all();
    cr_assert(cluster.claim(successor, 0));
    cluster.settle();
  }
};

}  // namespace

// Guards against a second run of a key at any daemon, and against the loss of its answer.
Test(key_table, answer_is_replayed) {
  Fixture f;
  cr_assert(f.ask("b", "k") == KeyDecision::run);
  cr_assert(f.ask("c", "k") == KeyDecision::in_progress);
  cr_assert(f.ask("b", "k") == KeyDecision::in_progress);
  f.finish("b", "k", false, "booked");
  for (const auto* daemon : {"a", "b", "c"}) {
    cr_assert(f.ask(daemon, "k") == KeyDecision::done);
    cr_assert_eq(f.answer.stored_answer, "booked");
  }
}

// Guards against returning the answer of one call to a different call with the same key.
Test(key_table, key_of_another_call_is_refused) {
  Fixture f;
  cr_assert(f.ask("b", "k", 1) == KeyDecision::run);
  cr_assert(f.ask("c", "k", 2) == KeyDecision::mismatch);
}

// Guards against a key that stays blocked although its call was proved not to have run.
Test(key_table, not_run_frees_the_key) {
  Fixture f;
  for (const auto* daemon : {"a", "b", "c"}) {
    cr_assert(f.ask(daemon, "k") == KeyDecision::run);
    f.finish(daemon, "k", true);
  }
  f.take_over("a", "b");
  cr_assert(f.ask("c", "k") == KeyDecision::run);
}

// Guards against storing answers above the size limit, which would fill the memory.
Test(key_table, large_answer_is_not_kept) {
  Fixture f;
  f.ask("b", "k");
  f.finish("b", "k", false, std::string(70'000, 'x'));
  cr_assert(f.ask("c", "k") == KeyDecision::done);
  cr_assert(f.answer.stored_answer.empty());
}

// Guards against a takeover that misses keys granted by the killed owner, either to another
// requester or to itself with a witness, and against refusing keys that are proved new.
Test(key_table, takeover_knows_the_granted_keys) {
  Fixture f;
  cr_assert(f.ask("b", "by_b") == KeyDecision::run);
  cr_assert(f.ask("a", "by_owner") == KeyDecision::run);
  f.take_over("a", "c");
  cr_assert(f.ask("b", "by_b") == KeyDecision::in_progress);
  cr_assert(f.ask("b", "by_owner") == KeyDecision::may_have_run);
  cr_assert(f.ask("b", "new") == KeyDecision::run);
}

// Guards against a second run of a key when both daemons that stored its grant are lost, and
// against blocking unknown keys for longer than the retention.
Test(key_table, both_holders_lost_leaves_doubt) {
  Fixture f;
  cr_assert(f.ask("b", "k") == KeyDecision::run);
  f.cluster.kill("b");
  f.take_over("a", "c");
  cr_assert(f.ask("c", "k") == KeyDecision::may_have_run);
  for (int i = 0; i < 601; ++i) {
    f.cluster.advance(std::chrono::seconds{1});
  }
  cr_assert(f.ask("c", "other") != KeyDecision::may_have_run || f.cluster.names().size() == 1);
}

// Guards against granting unknown keys after the crash of a daemon that ran calls without a
// witness.
Test(key_table, crash_of_a_lone_daemon_leaves_doubt) {
  Fixture f{1};
  cr_assert(f.ask("a", "alone") == KeyDecision::run);
  f.cluster.start("b");
  f.cluster.read("b", f.cluster.stream.size());
  f.take_over("a", "b");
  cr_assert(f.ask("b", "alone") == KeyDecision::may_have_run);
}

// Guards against keys that were run without a witness and are never registered with daemons that
// join later.
Test(key_table, keys_run_alone_are_registered_later) {
  Fixture f{1};
  cr_assert(f.ask("a", "alone") == KeyDecision::run);
  f.cluster.start("b");
  f.cluster.start("c");
  f.cluster.settle();
  f.take_over("a", "b");
  cr_assert(f.ask("c", "alone") == KeyDecision::may_have_run);
  cr_assert(f.ask("c", "new") == KeyDecision::run);
}

// Guards against a paused owner that resumes and grants keys after its term has ended.
Test(key_table, resumed_owner_grants_nothing) {
  Fixture f;
  auto& old = f.cluster.process("a");
  old.paused = true;
  f.cluster.end("a", old.incarnation);
  f.cluster.read("b", f.cluster.stream.size());
  f.cluster.read("c", f.cluster.stream.size());
  cr_assert(f.cluster.claim("b", 0));
  f.cluster.read("c", f.cluster.stream.size());
  f.cluster.deliver_all();
  old.paused = false;
  cr_assert(f.ask("b", "k") == KeyDecision::run);
  cr_assert(f.ask("a", "k") == KeyDecision::may_have_run);
  cr_assert(f.ask("a", "unused") == KeyDecision::may_have_run);
}

// Guards against refusing unknown keys after several graceful stops in a row.
Test(key_table, handover_leaves_no_doubt) {
  Fixture f;
  cr_assert(f.ask("b", "k") == KeyDecision::run);
  f.cluster.table("a").hand_over(f.cluster.now);
  f.cluster.deliver_all();
  f.take_over("a", "b");
  cr_assert(f.ask("c", "other") == KeyDecision::run);
  f.cluster.table("b").hand_over(f.cluster.now);
  f.cluster.deliver_all();
  f.take_over("b", "c");
  cr_assert(f.ask("c", "new") == KeyDecision::run);
  cr_assert(f.ask("c", "k") == KeyDecision::may_have_run);
}

// Guards against counting the empty table of a restarted daemon as the answer of its earlier
// incarnation.
Test(key_table, restarted_daemon_proves_nothing) {
  Fixture f;
  cr_assert(f.ask("b", "k") == KeyDecision::run);
  f.cluster.end("b", f.cluster.process("b").incarnation);
  f.cluster.start("b");
  f.take_over("a", "c");
  cr_assert(f.ask("b", "k") == KeyDecision::may_have_run);
}

// Guards against unbounded growth of the table.
Test(key_table, size_is_bounded) {
  KeyOptions options;
  options.daemon = "a";
  options.max_keys = 3;
  auto table = make_key_table(options, [](const auto&, auto) {});
  TimePoint now{std::chrono::seconds{1}};
  table->set_shard_owners({{"a", 1}}, now);
  table->begin_term(0, 1, {}, now);
  const auto ask = [&](const std::string& key) {
    KeyDecision decision = KeyDecision::mismatch;
    table->request(Fixture::call(key), now,
                   [&](const KeyResult& result) { decision = result.decision; });
    return decision;
  };
  for (const auto* key : {"1", "2", "3"}) {
    cr_assert(ask(key) == KeyDecision::run);
  }
  cr_assert(ask("4") == KeyDecision::overloaded);
  for (int i = 0; i < 601; ++i) {
    now += std::chrono::seconds{1};
    table->tick(now);
  }
  cr_assert_eq(table->size(), 0U);
  cr_assert(ask("4") == KeyDecision::run);
}

// Guards against a home domain that depends on the order of the declaration, and against using a
// prefix that is not the name of a domain.
Test(key_table, home_domain) {
  cr_assert_eq(home_domain("s", "lager:1", {"halle-a", "lager"}), "lager");
  cr_assert_eq(home_domain("s", "x:1", {"p", "q", "r"}), home_domain("s", "x:1", {"r", "p", "q"}));
  cr_assert_eq(home_domain("s", "k", {}), "");
}

namespace {

/// One table; records the messages that it sends.
struct SingleTable {
  std::vector<proto::peer::PeerMessage> sent;
  std::unique_ptr<KeyTable> table;
  TimePoint now{std::chrono::seconds{1}};

  SingleTable() {
    KeyOptions options;
    options.daemon = "w";
    options.incarnation = 9;
    table = make_key_table(
        options, [this](const auto&, auto message) { sent.push_back(std::move(message)); });
  }

  void receive_key(const std::string& key, std::uint64_t term, std::uint64_t request_id) {
    proto::peer::PeerMessage message;
    message.set_from("x");
    auto* list = message.mutable_key_list();
    list->set_list_id(1);
    list->set_parts(1);
    auto* known = list->add_keys();
    known->set_service("book");
    known->set_key(key);
    known->set_term(term);
    known->set_request_id(request_id);
    sent.clear();
    table->receive(message, now);
  }
};

}  // namespace

// Guards against a pledge for keys that the owner of a newer term does not learn of: a daemon that
// has answered the owner's query must not acknowledge the registration of keys of an older term.
Test(key_table, late_registration_is_for_the_owner_only) {
  SingleTable witness;
  witness.table->set_shard_owners({{"n", 5}}, witness.now);
  witness.receive_key("old", 2, 1);
  cr_assert(witness.sent.empty());
  witness.receive_key("current", 5, 2);
  cr_assert_eq(witness.sent.size(), 1U);
  SingleTable owner;
  owner.table->set_shard_owners({{"w", 5}}, owner.now);
  owner.table->begin_term(0, 5, {}, owner.now);
  owner.receive_key("old", 2, 1);
  cr_assert_eq(owner.sent.size(), 1U);
}

// Guards against a requester that accepts a grant although it knows of another grant of the key.
Test(key_table, requester_refuses_a_second_grant) {
  SingleTable requester;
  requester.table->set_shard_owners({{"n", 5}}, requester.now);
  requester.receive_key("k", 5, 1);
  KeyDecision decision = KeyDecision::run;
  requester.sent.clear();
  requester.table->request(Fixture::call("k"), requester.now,
                           [&](const KeyResult& result) { decision = result.decision; });
  proto::peer::PeerMessage grant;
  grant.set_from("n");
  grant.mutable_key_reply()->set_request_id(requester.sent.at(0).key_forward().request_id());
  grant.mutable_key_reply()->set_decision(proto::peer::KeyReply::RUN);
  grant.mutable_key_reply()->set_term(5);
  requester.table->receive(grant, requester.now);
  cr_assert(decision == KeyDecision::may_have_run);
}

// Guards against freeing a key with two known grants when only one of them is proved not run.
Test(key_store, contested_key_is_never_freed) {
  KeyStore store{std::chrono::minutes{10}};
  const TimePoint now{std::chrono::seconds{1}};
  const KeyId id{"book", "k"};
  KeyRecord grant;
  for (const std::uint64_t request_id : {1U, 2U}) {
    grant.request_id = request_id;
    store.add(id, grant, now);
  }
  store.finish(id, 1, true, {}, now);
  cr_assert(store.may_have_run(id));
  store.finish(id, 2, true, {}, now);
  cr_assert(store.may_have_run(id));
  cr_assert_eq(store.list_all().at(0).keys(0).request_id(), 0U);
}

// Guards against lists too long for one message, and against taking an incomplete list as complete.
Test(key_store, long_lists_are_split) {
  KeyStore store{std::chrono::minutes{10}};
  for (int i = 0; i < 1'200; ++i) {
    store.add({"book", std::to_string(i)}, {}, TimePoint{});
  }
  const auto parts = store.list_all();
  cr_assert_eq(parts.size(), 3U);
  KeyTakeover takeover{2, 1, {{"x", "", true, 4}}, TimePoint{}};
  for (auto part : parts) {
    cr_assert_not(takeover.can_grant_unknown_keys(TimePoint{}, std::chrono::minutes{10}));
    part.set_incarnation(4);
    part.set_list_id(8);
    takeover.record_answer("x", part);
  }
  cr_assert(takeover.can_grant_unknown_keys(TimePoint{}, std::chrono::minutes{10}));
}
