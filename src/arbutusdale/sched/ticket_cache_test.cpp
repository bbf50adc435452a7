// Tests the cache of tickets with answers that are late, incomplete or for others.
#include "arbutusdale/sched/ticket_cache.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint k_start{Duration{1'000'000'000}};

/// A step and two workers, with a cache that answers are recorded in.
struct CacheFixture {
  Job job;
  Step step;
  Worker first;
  Worker second;
  TicketCache tickets;

  CacheFixture() {
    step.job = &job;
    first.entry.id = "w1";
    first.entry.incarnation = 1;
    second.entry.id = "w2";
    second.entry.incarnation = 1;
  }
  /// Records the answer to a call that names both workers as they are now.
  void record(std::vector<Ticket> rows, TimePoint now) {
    const Advice advice{std::move(rows), 1'000ms};
    tickets.record_advice(step_id(step), {first.endpoint(), second.endpoint()}, advice, now);
  }
};

}  // namespace

// Guards against a ticket for a worker that the call did not name.
Test(ticket_cache, a_worker_that_was_not_asked_for_gets_no_ticket) {
  CacheFixture fixture;
  Worker other;
  other.entry.id = "w3";
  fixture.record({{"w3", "t3"}, {"w1", "t1"}}, k_start);
  cr_assert_null(fixture.tickets.find(fixture.step, other, k_start));
  cr_assert(fixture.tickets.is_candidate(fixture.step, other, k_start));
  cr_assert_not_null(fixture.tickets.find(fixture.step, fixture.first, k_start));
  cr_assert_not(fixture.tickets.is_candidate(fixture.step, fixture.second, k_start));
}

// Guards against a ticket that is used for another step.
Test(ticket_cache, a_ticket_is_for_one_step) {
  CacheFixture fixture;
  fixture.record({{"w1", "t1"}}, k_start);
  Step other;
  other.job = &fixture.job;
  other.index = 1;
  cr_assert_null(fixture.tickets.find(other, fixture.first, k_start));
  other.index = 0;
  other.occurrence = 1;
  cr_assert_null(fixture.tickets.find(other, fixture.first, k_start));
  cr_assert(fixture.tickets.is_candidate(other, fixture.second, k_start));
}

// Guards against an answer for an earlier life of a worker, which may return as another kind.
Test(ticket_cache, an_answer_is_for_one_life_of_a_worker) {
  CacheFixture fixture;
  const std::vector<WorkerEndpoint> asked{fixture.first.endpoint(), fixture.second.endpoint()};
  fixture.first.entry.incarnation = 2;
  fixture.second.entry.incarnation = 2;
  fixture.tickets.record_advice(step_id(fixture.step), asked, {{{"w1", "t1"}}, 1'000ms}, k_start);
  for (const Worker* worker : {&fixture.first, &fixture.second}) {
    cr_assert_null(fixture.tickets.find(fixture.step, *worker, k_start));
    cr_assert(fixture.tickets.is_candidate(fixture.step, *worker, k_start));
  }
}

// Guards against a duplicate row that hides a ticket, and against a ticket that is used when it is
// about to expire.
Test(ticket_cache, duplicate_rows_give_one_ticket_until_it_expires) {
  CacheFixture fixture;
  fixture.record({{"w1", "a"}, {"w1", "b"}}, k_start);
  cr_assert_not_null(fixture.tickets.find(fixture.step, fixture.first, k_start + 500ms));
  cr_assert_null(fixture.tickets.find(fixture.step, fixture.first, k_start + 700ms));
  cr_assert(fixture.tickets.is_candidate(fixture.step, fixture.first, k_start + 700ms));
}
