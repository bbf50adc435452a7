// Tests of what the log says while the daemons' views of the store are too old to start tasks.
#include <chrono>
#include <string>

#include "../sched/event_capture_test.hpp"
#include "cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::fleet;
using namespace std::chrono_literals;

namespace {

/// A cluster of one daemon, whose leader has work on the way.
struct OneDaemon : Cluster {
  OneDaemon() : Cluster(1) {
    timer.advance(2s);
    cr_assert_eq(leaders(), 1);
  }
};

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against a leader that starts nothing because its reads fail, and whose log does not say
// why.
Test(view_age, the_log_says_that_the_view_of_the_jobs_keeps_tasks_waiting) {
  OneDaemon cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  const sched::EventCapture events(cluster.timer);
  cluster.submit(0, 1, 64);  // the workers have room for half of them
  cluster.timer.advance(1s);
  cluster.submit(0, 2, 2);
  cluster.timer.advance(500ms);
  cluster.daemons[0]->store.read_fault = PathFault::silent;
  cluster.timer.advance(8s);
  cluster.daemons[0]->store.read_fault = PathFault::none;
  cluster.timer.advance(4s);
  const std::string text = events.read();
  cr_expect(has(text, R"("event":"view_outdated","view":"jobs")"), "%s", text.c_str());
  cr_expect(has(text, R"("event":"view_outdated","view":"shard 0")"), "%s", text.c_str());
  cr_expect(has(text, R"("delay":"jobs_outdated")"), "%s", text.c_str());
  cr_expect(has(text, R"("event":"view_current","view":"jobs")"), "%s", text.c_str());
}

// Guards against a log that names a view of the jobs when it is the leadership that is in doubt.
Test(view_age, the_log_says_that_an_unconfirmed_leadership_keeps_tasks_waiting) {
  OneDaemon cluster;
  cluster.fleet.work_of = [](const jobs::TaskId&) { return 4s; };
  const sched::EventCapture events(cluster.timer);
  cluster.submit(0, 1, 64);
  cluster.timer.advance(1s);
  cluster.submit(0, 2, 2);
  cluster.timer.advance(500ms);
  cluster.daemons[0]->store.append_fault = PathFault::silent;
  cluster.timer.advance(8s);
  const std::string text = events.read();
  cr_expect(has(text, R"("delay":"leadership_unconfirmed")"), "%s", text.c_str());
  cr_expect(!has(text, R"("event":"view_outdated")"), "%s", text.c_str());
}
