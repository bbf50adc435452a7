// Tests of the log follower: group commit, lost replies, late appends, outages.
#include "arbutusdale/state/stream.hpp"

#include <chrono>
#include <memory>
#include <string>

#include "append_queue.hpp"
#include "fake_log_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::state;
using namespace std::chrono_literals;
using Fault = FakeLog::Fault;

// Guards against one append per record, which would exceed the log's append rate at full scale.
Test(stream, commits_records_in_groups) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  daemon.propose("first", false);
  run(clock, 100ms, {&daemon});
  for (int i = 0; i < 20; ++i) {
    daemon.propose("plan-" + std::to_string(i), false);
  }
  run(clock, 2s, {&daemon});
  cr_assert_eq(log.appends, 2U);
  cr_assert_eq(daemon.outcomes.size(), 21U);
  cr_assert(daemon.has_plan("plan-19"));
}

// Guards against an urgent record that is delayed by the commit interval.
Test(stream, commits_urgent_records_at_once) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  daemon.propose("a", false);
  run(clock, 50ms, {&daemon});
  daemon.propose("b");
  run(clock, 50ms, {&daemon});
  cr_assert(daemon.has_plan("b"));
  cr_assert_eq(*daemon.outcomes.back(), 1U);
}

// Guards against a second append of a record that the log accepted before its reply was lost.
Test(stream, resolves_a_lost_reply_by_reading) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  log.faults = {Fault::lose_reply};
  daemon.propose("a");
  run(clock, 3s, {&daemon});
  cr_assert_eq(log.entries.size(), 1U);
  cr_assert_eq(daemon.outcomes.size(), 1U);
  cr_assert_eq(*daemon.outcomes[0], 0U);
}

// Guards against a record that is never retried although the log did not accept it.
Test(stream, retries_a_lost_append_after_proved_absence) {
  for (const Fault fault : {Fault::lose_append, Fault::no_reply, Fault::reject}) {
    FakeLog log;
    FakeClock clock;
    Daemon daemon(log, clock, "d1-1");
    run(clock, 100ms, {&daemon});
    log.faults = {fault};
    daemon.propose("a");
    run(clock, 5s, {&daemon});
    cr_assert_eq(log.entries.size(), 1U);
    cr_assert(daemon.has_plan("a"));
    cr_assert_eq(daemon.outcomes.size(), 1U);
  }
}

// Guards against a record that takes effect twice when the log applies a lost append after a read
// has shown it absent, before or after the retry and later records.
Test(stream, late_append_has_no_second_effect) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  Daemon other(log, clock, "d2-1");
  run(clock, 100ms, {&daemon, &other});
  log.faults = {Fault::delay_append};
  daemon.propose("a");
  run(clock, 1s, {&daemon, &other});
  daemon.propose("b");
  run(clock, 1s, {&daemon, &other});
  const std::string before = other.text();
  cr_assert(other.has_plan("a"));
  log.deliver_late();
  run(clock, 1s, {&daemon, &other});
  cr_assert_eq(log.entries.size(), 3U);
  cr_assert(other.text() == before);
  cr_assert(daemon.text() == before);
  cr_assert_eq(daemon.outcomes.size(), 2U);
}

// Guards against concluding absence from a read that the log may have served before the append, or
// from one that ends below the offset that the append received.
Test(stream, absence_needs_a_later_read) {
  StreamOptions options;
  options.writer = "d1-1";
  AppendQueue queue(options);
  const TimePoint now{5s};
  proto::state::Record record;
  record.mutable_plan_proposed();
  cr_assert(queue.push(record, true, nullptr, now));
  const auto first = queue.next(true, now);
  queue.on_append_reply(first->attempt, may_have_run(ErrorCode::connection_lost, "reset"), 5, now);
  queue.on_end_of_log_read(5, 10, now);
  cr_assert_not(queue.next(true, now));
  queue.on_end_of_log_read(6, 10, now);
  const auto second = queue.next(true, now);
  cr_assert(second);
  cr_assert(second->payload == first->payload);
  queue.on_append_reply(second->attempt, 10, 6, now);
  queue.on_end_of_log_read(7, 10, now);
  cr_assert_not(queue.next(true, now));
  queue.on_record_applied("d1-1/1", 10);
  cr_assert(queue.push(record, true, nullptr, now));
  cr_assert(queue.next(true, now));
}

// Guards against records sent ahead of one whose append is not resolved: late duplicates are
// detected by the order of each writer's records.
Test(stream, sends_nothing_past_an_unresolved_append) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  log.faults = {Fault::no_reply};
  daemon.propose("a");
  daemon.propose("b");
  run(clock, 1s, {&daemon});
  cr_assert_eq(log.appends, 1U);
  run(clock, 5s, {&daemon});
  cr_assert(daemon.handler.state->plans()[0]->plan().id() == "a");
  cr_assert(daemon.handler.state->plans()[1]->plan().id() == "b");
}

// Guards against unbounded memory use during an outage, and against records lost in it.
Test(stream, bounds_its_queue_in_an_outage) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  run(clock, 100ms, {&daemon});
  log.unavailable = true;
  for (std::size_t i = 0; i <= k_max_queued_records; ++i) {
    daemon.propose("same-plan", false);
  }
  cr_assert_eq(daemon.outcomes.size(), 1U);
  cr_assert(daemon.outcomes[0].error().code == ErrorCode::overloaded);
  cr_assert(daemon.outcomes[0].error().verdict == Verdict::not_run);
  run(clock, 10s, {&daemon});
  cr_assert_not(daemon.stream->stats().log_reachable);
  log.unavailable = false;
  run(clock, 20s, {&daemon});
  cr_assert_eq(daemon.outcomes.size(), k_max_queued_records + 1);
}

// Guards against a record too large to be appended that blocks the queue.
Test(stream, refuses_a_large_record) {
  FakeLog log;
  FakeClock clock;
  Daemon daemon(log, clock, "d1-1");
  daemon.propose(std::string(k_max_record_bytes, 'x'));
  cr_assert_eq(daemon.outcomes.size(), 1U);
  cr_assert(daemon.outcomes[0].error().code == ErrorCode::too_large);
}

// Guards against daemons that diverge silently on records of a newer version.
Test(stream, stops_on_unknown_records) {
  for (const bool format : {false, true}) {
    FakeLog log;
    FakeClock clock;
    proto::state::Batch batch;
    auto& record = *batch.add_records();
    record.set_id("new/1");
    record.set_format(format ? k_record_format + 1 : k_record_format);
    if (format) {
      record.mutable_plan_proposed()->mutable_plan()->set_id("p");
    }
    log.entries.push_back(batch.SerializeAsString());
    Daemon daemon(log, clock, "d1-1");
    daemon.propose("a");
    run(clock, 1s, {&daemon});
    cr_assert_not(daemon.stream->stats().stopped_reason.empty());
    cr_assert_eq(daemon.outcomes.size(), 1U);
    daemon.propose("b");
    cr_assert_eq(daemon.outcomes.size(), 2U);
    cr_assert_eq(log.appends, 0U);
  }
}

// Guards against a callback into a destroyed stream.
Test(stream, replies_may_outlive_the_stream) {
  class HoldingLog final : public backplane::Log {
   public:
    void append(const std::string& /*stream*/, std::string /*payload*/,
                backplane::Completion<std::uint64_t> /*done*/) override {}
    void read(const std::string& /*stream*/, std::uint64_t /*from*/, std::uint32_t /*limit*/,
              backplane::Completion<proto::platform::ReadReply> done) override {
      held = std::move(done);
    }
    backplane::Completion<proto::platform::ReadReply> held;
  };
  HoldingLog log;
  FakeClock clock;
  StateHandler handler;
  auto stream = make_stream(StreamOptions{}, log, clock, handler);
  stream->tick(clock.now());
  stream.reset();
  log.held(proto::platform::ReadReply{});
}
