// Random faults, at once and in sequence, with fixed seeds. Checks the safety rules at every step,
// and that every task finishes once the faults have ended.
#include "arbutusdale/core/random.hpp"

#include "shard_fixture.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::batch;
using namespace arbutusdale::batch::testing;
using namespace std::chrono_literals;

namespace {

constexpr int k_vms = 6;
constexpr std::uint32_t k_tasks = 120;

class FaultRun {
 public:
  explicit FaultRun(int seed) : m_seed(seed), m_random(static_cast<std::uint64_t>(seed)) {
    for (int i = 0; i < k_vms; ++i) {
      m_fixture.add_vm(name(i), {4'000, 4'096, 0}, "rack-" + std::to_string(i / 2));
    }
    m_fixture.take_over();
    m_fixture.add_job(ShardFixture::job("plan", k_tasks));
    m_fixture.add_job(ShardFixture::job("dropped", k_tasks));
  }

  void run_with_faults(int steps) {
    for (int i = 0; i < steps; ++i) {
      if (one_in(10)) {
        inject_fault();
      }
      end_some_attempts();
      m_fixture.step();
      check_invariants();
    }
  }

  void recover() {
    m_fixture.stream.outage = false;
    m_fixture.stream.lose_completions = false;
    for (int i = 0; i < k_vms; ++i) {
      FakeVm& vm = m_fixture.agents.vm(name(i));
      vm.reachable = true;
      vm.lose_answers = false;
      vm.slow_stop = false;
      vm.info.leaving = false;
      vm.delay_starts = false;
      m_fixture.listed.insert(name(i));
      m_fixture.agents.deliver_delayed_starts(name(i));
      m_fixture.agents.finish_stops(name(i));
    }
    for (int i = 0; i < 3'000 && m_fixture.succeeded("plan") < k_tasks; ++i) {
      end_some_attempts();
      m_fixture.step();
      check_invariants();
    }
    m_fixture.run(10s);
  }

  ShardFixture& fixture() { return m_fixture; }

 private:
  static std::string name(int i) { return "vm-" + std::to_string(i); }
  bool one_in(std::uint64_t count) { return random_index(m_random, count) == 0; }

  void check_invariants() {
    cr_assert_leq(m_fixture.agents.max_concurrent_attempts, 1U, "seed %d", m_seed);
    cr_assert_not(m_fixture.agents.overcommitted);
    if (m_cancelled) {
      cr_assert_eq(m_fixture.agents.starts_sent["dropped"], m_dropped_starts);
    }
  }

  // In each step about one in 40 running attempts ends, one in 20 of them with a failure.
  void end_some_attempts() {
    for (int i = 0; i < k_vms; ++i) {
      for (auto& [key, attempt] : m_fixture.agents.vm(name(i)).attempts) {
        if (attempt.state() == AttemptState::ATTEMPT_RUNNING && one_in(40)) {
          attempt.set_state(one_in(20) ? AttemptState::ATTEMPT_FAILED
                                       : AttemptState::ATTEMPT_SUCCEEDED);
        }
      }
    }
  }

  void inject_fault() {
    const std::string id = name(static_cast<int>(random_index(m_random, k_vms)));
    FakeVm& vm = m_fixture.agents.vm(id);
    switch (random_index(m_random, 12)) {
      case 0:
        vm.reachable = !vm.reachable;
        break;
      case 1:
        vm.lose_answers = !vm.lose_answers;
        break;
      case 2:
        vm.delay_starts = !vm.delay_starts;
        break;
      case 3:
        m_fixture.agents.deliver_delayed_starts(id);
        break;
      case 4:
        // Starts in flight are lost with their connections. A restarted agent has neither token nor
        // tombstones, so a start that arrived later would run.
        vm.delayed.clear();
        m_fixture.agents.reboot(id);
        break;
      case 5:
        vm.info.leaving = !vm.info.leaving;
        break;
      case 6:
        vm.slow_stop = !vm.slow_stop;
        m_fixture.agents.finish_stops(id);
        break;
      case 7:
        lose_or_return(id);
        break;
      case 8:
        m_fixture.stream.outage = !m_fixture.stream.outage;
        break;
      case 9:
        m_fixture.list(false);
        break;
      case 10:
        kill_holder();
        break;
      default:
        cancel();
        break;
    }
  }

  // The VM fails with all its attempts, or returns without any. The VM list lags behind the
  // failure.
  void lose_or_return(const std::string& id) {
    if (m_fixture.listed.erase(id) == 0) {
      m_fixture.listed.insert(id);
      m_fixture.agents.vm(id).reachable = true;
      return;
    }
    m_fixture.agents.reboot(id);
    m_fixture.agents.vm(id).delayed.clear();
    m_fixture.agents.vm(id).reachable = false;
  }

  void kill_holder() {
    if (m_fixture.stream.outage) {
      return;
    }
    // Records in flight are applied without notice to the holder.
    m_fixture.stream.lose_completions = true;
    m_fixture.stream.commit();
    m_fixture.stream.lose_completions = false;
    m_fixture.options.recently_listed.clear();
    for (int i = 0; i < k_vms; ++i) {
      m_fixture.options.recently_listed.push_back(m_fixture.agents.vm(name(i)).info);
    }
    m_fixture.take_over();
  }

  void cancel() {
    if (!m_cancelled && one_in(10)) {
      m_fixture.cancel("dropped");
      m_cancelled = true;
      m_dropped_starts = m_fixture.agents.starts_sent["dropped"];
    }
  }

  ShardFixture m_fixture;
  int m_seed;
  Random m_random;
  bool m_cancelled = false;
  std::uint64_t m_dropped_starts = 0;
};

}  // namespace

// Guards against combinations of faults that the tests of single faults do not cover: tasks that
// run twice, are lost, or start after their cancellation.
Test(stress, random_faults, .timeout = 120) {
  for (int seed = 1; seed <= 40; ++seed) {
    FaultRun run(seed);
    run.run_with_faults(4'000);
    run.recover();
    const state::JobRecord& record = *run.fixture().domain->job("plan");
    cr_assert_eq(record.succeeded.size() + record.failed.size(), k_tasks, "seed %d: %d tasks", seed,
                 static_cast<int>(record.succeeded.size()));
  }
}
