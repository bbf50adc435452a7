// Workers that restart under their ids as ones of another kind: with other labels, for another
// service, or with less capacity.
#include <chrono>
#include <functional>
#include <utility>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;

namespace {

/// A change of what a worker's registration says.
using Change = std::function<void(WorkerEntry&)>;

/// A leader of one worker with the label "a".
struct OtherKindFixture : FleetFixture {
  LeaderFixture leader;
  FakeWorker& worker = fleet.at("w00");

  OtherKindFixture() : FleetFixture(1), leader(timer, fleet, log) {
    fleet.work_of = [](const jobs::TaskId&) { return 500ms; };
    fleet.registration_time = 1h;  // registrations are read as a test says
    timer.advance(1s);
  }
  /// The worker restarts as another kind, and the leader has an answer of the next incarnation
  /// before it has read its registration.
  void restart_as(const Change& change) {
    change(worker.entry);
    fleet.restart("w00");
    timer.advance(1s);
    cr_assert_eq(leader.scheduler->workers().at(0).entry.incarnation, worker.entry.incarnation);
  }
  void read_registration() { leader.scheduler->on_worker_updated(worker.entry); }

  /// Submits a job of one task for a worker with the label "a", and returns the starts in the
  /// second that follows.
  std::uint64_t starts_after_job(std::uint64_t cpu_millis = 1'000) {
    const std::uint64_t earlier = fleet.starts;
    JobBuilder job(++m_jobs);
    job.step(1, cpu_millis).set_required_label("a");
    job.record.set_accepted_wall_ms(timer.wall_ms());
    log.jobs.apply_job_record({0, jobs::encode(job.record)});
    timer.advance(1s);
    return fleet.starts - earlier;
  }

 private:
  std::uint32_t m_jobs = 0;
};

void lose_label(WorkerEntry& entry) {
  entry.labels = {"b", entry.rack};
}

}  // namespace

// Guards against starts by the labels of the earlier incarnation: a poll shows the restart before
// the registration of the next one is read.
Test(other_kind, gets_no_starts_by_the_labels_of_its_earlier_incarnation) {
  OtherKindFixture f;
  f.restart_as(lose_label);
  cr_expect_eq(f.starts_after_job(), 0U);
  f.read_registration();
  cr_expect_eq(f.starts_after_job(), 0U);
}

// Guards against starts of queues that the worker no longer serves.
Test(other_kind, gets_no_starts_for_its_earlier_service) {
  OtherKindFixture f;
  f.restart_as([](WorkerEntry& entry) { entry.service = "other"; });
  cr_expect_eq(f.starts_after_job(), 0U);
  f.read_registration();
  cr_expect_eq(f.starts_after_job(), 0U);
}

// Guards against starts beyond the capacity of the next incarnation.
Test(other_kind, gets_no_starts_by_its_earlier_capacity) {
  OtherKindFixture f;
  f.fleet.capacity_grace = 0s;
  f.restart_as([](WorkerEntry& entry) { entry.capacity.cpu_millis = 2'000; });
  cr_expect_eq(f.starts_after_job(4'000), 0U);
  f.read_registration();
  cr_expect_eq(f.starts_after_job(4'000), 0U);
  cr_expect_eq(f.fleet.over_capacity, 0U);
}

// Guards against a worker that gets no starts any more after a restart.
Test(other_kind, gets_starts_once_its_registration_is_read) {
  OtherKindFixture f;
  f.restart_as([](const WorkerEntry& /*entry*/) {});
  cr_expect_eq(f.starts_after_job(), 0U);
  f.read_registration();
  f.timer.advance(500ms);
  cr_expect_eq(f.fleet.starts, 1U);
}

// Guards against starts by a registration that another writer has put in the place of the worker's
// own, and against a worker that is left out after its own has been written again.
Test(other_kind, gets_no_starts_by_a_registration_of_another_incarnation) {
  OtherKindFixture f;
  f.restart_as(lose_label);
  WorkerEntry odd = f.worker.entry;
  odd.labels = {"a", odd.rack};
  odd.incarnation += 7;
  f.leader.scheduler->on_worker_updated(odd);
  cr_expect_eq(f.starts_after_job(), 0U);
  f.worker.entry.labels = odd.labels;
  f.read_registration();
  f.timer.advance(500ms);
  cr_expect_eq(f.fleet.starts, 1U);
}

// Guards against the same by a new leader, which has only the earlier registration.
Test(other_kind, gets_no_starts_by_its_earlier_labels_from_a_new_leader) {
  OtherKindFixture f;
  const WorkerEntry earlier = f.worker.entry;
  f.restart_as(lose_label);
  f.leader.kill();
  const WorkerEntry present = std::exchange(f.worker.entry, earlier);
  LeaderFixture next(f.timer, f.fleet, f.log, 2);
  f.worker.entry = present;
  f.timer.advance(1s);
  cr_expect_eq(f.starts_after_job(), 0U);
}
