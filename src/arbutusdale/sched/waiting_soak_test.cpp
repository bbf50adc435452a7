// Soak of one leader at a time under series of faults of workers. Checks that no job waits at the
// end on a fleet that is mostly free. The variable ARBUTUSDALE_WAITING_SEEDS sets the number of
// seeds, ARBUTUSDALE_WAITING_FIRST_SEED the first one.
#include "arbutusdale/core/random.hpp"
#include "arbutusdale/observe/event_log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sched_fixture_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::sched;
using namespace std::chrono_literals;
using proto::jobs::JobState;

namespace {

constexpr std::uint64_t k_worker_cpu_millis = 16'000;
constexpr int k_workers = 16;
constexpr std::uint32_t k_first_batch = 1'000;  // numbers of jobs
constexpr std::uint32_t k_first_check = 2'000;
constexpr std::uint32_t k_first_deadly = 3'000;
constexpr Duration k_traffic = 34s;
constexpr Duration k_finish = 14s;        // from the end of the traffic to the check
constexpr Duration k_longest_wait = 3s;   // without a run, in the end
constexpr Duration k_lasting_grace = 6s;  // of a lasting task, since its last run

std::uint64_t variable(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::uint32_t number_of(const jobs::JobId& job) {
  return static_cast<std::uint32_t>(std::stoul(job.str(), nullptr, 16));
}

/// A fleet of which less than half is in use, under overlapping faults that begin before the
/// traffic ends.
class WaitingSoak {
 public:
  explicit WaitingSoak(std::uint64_t seed)
      : m_random(seed), m_fixture(k_workers, k_worker_cpu_millis) {
    FakeFleet& fleet = m_fixture.fleet;
    fleet.work_of = [](const jobs::TaskId& task) -> Duration {
      const std::uint32_t number = number_of(task.job);
      return number < k_first_batch ? 600s : number < k_first_check ? 2'200ms : 800ms;
    };
    fleet.crashes_worker = [](const jobs::TaskId& task) {
      return number_of(task.job) >= k_first_deadly && task.index == 0;
    };
    fleet.tail_or_cpu_of = [](const FakeWorker& worker, const FakeRun& run) -> std::uint64_t {
      if (number_of(run.task.job) >= k_first_batch) {
        return 1'000;
      }
      const auto harmful =
          std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto& other) {
            const std::uint32_t number = number_of(other.task.job);
            return number >= k_first_batch && number < k_first_check && number % 3 != 0;
          });
      return 10 + 12 * static_cast<std::uint64_t>(harmful);
    };
    fleet.return_mode = chance(0.5) ? Return::under_same_id : Return::under_new_id;
    for (auto& [id, worker] : fleet.all()) {
      worker->guards_capacity = true;
      fleet.advisor.allowed.insert(id);
    }
    m_advised = chance(0.3);
    fleet.needs_tickets = m_advised;
    if (std::getenv("ARBUTUSDALE_TEST_EVENTS") != nullptr) {
      write_events();
    }
    lead();
  }

  /// Descriptions of the tasks that wait in the end.
  std::vector<std::string> run() {
    advance(500ms);
    for (std::uint32_t i = 0; i < 5; ++i) {
      submit(++m_serving);
    }
    advance(2s);
    const TimePoint end = now() + k_traffic;
    while (now() < end) {
      submit_some();
      if (chance(0.12)) {
        inject();
      }
      advance(200ms);
    }
    const TimePoint check_at = now() + k_finish;
    while (now() < check_at) {
      advance(100ms);
      observe();
    }
    return waiting();
  }

 private:
  /// Writes the events of the leaders to the standard error output.
  void write_events() {
    constexpr std::size_t k_unlimited = 1'000'000;
    observe::open_event_log(2, "test", m_fixture.timer, {k_unlimited, k_unlimited, k_unlimited});
    flush_events();
  }
  void flush_events() {
    observe::flush_event_log();
    after(5ms, [this] { flush_events(); });
  }
  [[nodiscard]] TimePoint now() const { return m_fixture.timer.now(); }
  void advance(Duration time) {
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      m_fixture.fleet.advisor.allowed.insert(id);
    }
    m_fixture.timer.advance(time);
  }
  bool chance(double share) { return random_unit(m_random) < share; }
  Duration ms(std::uint64_t least, std::uint64_t most) {
    return std::chrono::milliseconds{least + random_index(m_random, most - least + 1)};
  }
  void after(Duration time, std::function<void()> action) {
    m_fixture.timer.call_after(time, std::move(action));
  }

  void lead() {
    if (!m_leaders.empty()) {
      m_leaders.back()->kill();
    }
    const auto term = static_cast<std::uint32_t>(m_leaders.size() + 1);
    m_leaders.push_back(
        std::make_unique<LeaderFixture>(m_fixture.timer, m_fixture.fleet, m_fixture.log, term));
  }

  void submit(std::uint32_t number) {
    JobBuilder job(number, number < k_first_batch || number >= k_first_check ? 0 : 2);
    job.record.mutable_terms()->set_advised(m_advised);
    if (number < k_first_batch) {
      auto& step = job.step(6, 3'200);
      step.set_long_running(true);
      step.set_image(fmt::format("serving{}", number % 3));
      step.set_tail_target_ms(24);
      step.set_max_per_worker(number % 2 == 0 ? 1 : 0);
    } else if (number < k_first_check) {
      auto& step = job.step(4, 1'800);
      step.set_opportunistic(true);
      step.set_image(fmt::format("batch{}", number % 9));
      step.set_checkpointing(true);
    } else {
      job.step(4, 1'100).set_max_per_worker(number % 5 == 0 ? 1 : 0);
    }
    m_submitted.push_back(number);
    m_leaders.back()->submit(job);
  }

  void submit_some() {
    if (chance(0.25)) {
      submit(k_first_batch + ++m_batch);
    }
    if (chance(0.3)) {
      submit(k_first_check + ++m_checks);
    }
    if (chance(0.01)) {
      submit(k_first_deadly + ++m_deadly);
    }
  }

  std::vector<std::string> some_workers(double share) {
    std::vector<std::string> chosen;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      if (chance(share) && !worker->crashed && worker->entry.state == WorkerState::ready) {
        chosen.push_back(id);
      }
    }
    return chosen;
  }
  FakeWorker* find(const std::string& id) {
    const auto found = m_fixture.fleet.all().find(id);
    return found == m_fixture.fleet.all().end() ? nullptr : found->second.get();
  }
  template <typename Change>
  void change_for(const std::string& id, Duration length, Change change) {
    change(m_fixture.fleet.at(id), true);
    after(length, [this, id, change] {
      if (FakeWorker* worker = find(id)) {
        change(*worker, false);
      }
    });
  }

  void inject() {
    const Duration length = ms(500, 8'000);
    const std::uint64_t kind = random_index(m_random, 9);
    trace(kind, length);
    for (const std::string& id : some_workers(0.25)) {
      switch (kind) {
        case 0:
          change_for(id, length, [](FakeWorker& w, bool on) { w.partitioned = on; });
          break;
        case 1:
          change_for(id, length, [](FakeWorker& w, bool on) { w.drops_answers = on; });
          break;
        case 2:
        case 3: {
          const Duration late = ms(2'000, 12'000);
          change_for(id, length,
                     [late](FakeWorker& w, bool on) { w.start_delay = on ? late : Duration{}; });
          break;
        }
        case 4:
          change_for(id, length, [](FakeWorker& w, bool on) { w.fails_all_runs = on; });
          break;
        case 5:
          m_fixture.fleet.crash_and_return(id);
          break;
        case 6:
          drain(id, ms(2'000, 9'000));
          break;
        case 7:
          change_for(id, length, [](FakeWorker& w, bool on) { w.refuses_connections = on; });
          break;
        default:
          break;
      }
    }
    if (kind == 8) {
      lead();
    }
  }

  static void trace(std::uint64_t kind, Duration length) {
    if (std::getenv("ARBUTUSDALE_TEST_EVENTS") != nullptr) {
      fmt::print(stderr, "{{\"fault\":{},\"length_ms\":{}}}\n", kind, length.count() / 1'000);
    }
  }

  /// Another worker comes; this one announces that it leaves, and exits after `linger`.
  void drain(const std::string& id, Duration linger) {
    const std::string next = fmt::format("n{}", ++m_added);
    FakeWorker& added = m_fixture.fleet.add(next, k_worker_cpu_millis);
    added.guards_capacity = true;
    m_fixture.fleet.advisor.allowed.insert(next);
    update(added);
    FakeWorker& worker = m_fixture.fleet.at(id);
    worker.entry.state = WorkerState::draining;
    worker.entry.remaining_ms = 2'000;
    update(worker);
    after(linger, [this, id] {
      FakeWorker* leaving = find(id);
      if (leaving == nullptr || leaving->entry.state == WorkerState::ready) {
        return;
      }
      m_fixture.fleet.crash(id);
      leaving->registered = false;
      for (WorkerListener* listener : m_fixture.fleet.listeners) {
        listener->on_worker_gone(id);
      }
    });
  }
  void update(const FakeWorker& worker) {
    for (WorkerListener* listener : m_fixture.fleet.listeners) {
      listener->on_worker_updated(worker.entry);
    }
  }

  void observe() {
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      for (const FakeRun& run : worker->runs) {
        m_run_at[number_of(run.task.job)] = now();
        m_task_run_at[FakeFleet::name_of(run.task)] = now();
      }
    }
  }

  /// Less than half of the ready workers' processors is in use, by runs of any kind.
  [[nodiscard]] bool is_mostly_free() {
    std::uint64_t capacity = 0;
    std::uint64_t used = 0;
    for (const auto& [id, worker] : m_fixture.fleet.all()) {
      const bool ready = !worker->crashed && worker->entry.state == WorkerState::ready;
      capacity += ready ? worker->entry.capacity.cpu_millis : 0;
      for (const FakeRun& run : worker->runs) {
        const std::uint32_t number = number_of(run.task.job);
        used += number < k_first_batch ? 3'200 : number < k_first_check ? 1'800 : 1'100;
      }
    }
    return 2 * used < capacity;
  }

  std::vector<std::string> waiting() {
    std::vector<std::string> found;
    if (!is_mostly_free()) {
      return found;
    }
    for (const std::uint32_t number : m_submitted) {
      const JobState state = m_leaders.back()->state(number);
      const bool can_be_done = number < k_first_deadly;
      if (!can_be_done || (state != JobState::QUEUED && state != JobState::RUNNING)) {
        continue;
      }
      if (now() - m_run_at[number] > k_longest_wait) {
        found.push_back(fmt::format("job {} has no run", number));
      }
      for (std::uint32_t i = 0; number < k_first_batch && i < 6; ++i) {
        const std::string task = FakeFleet::name_of({job_id(number), 0, 0, i});
        if (now() - m_task_run_at[task] > k_lasting_grace + k_longest_wait) {
          found.push_back(fmt::format("task {} of job {} has no run", i, number));
        }
      }
    }
    return found;
  }

  Random m_random;
  FleetFixture m_fixture;
  std::vector<std::unique_ptr<LeaderFixture>> m_leaders;  // by term
  bool m_advised = false;
  std::uint32_t m_serving = 0;
  std::uint32_t m_batch = 0;
  std::uint32_t m_checks = 0;
  std::uint32_t m_deadly = 0;
  int m_added = 0;
  std::vector<std::uint32_t> m_submitted;
  std::map<std::uint32_t, TimePoint> m_run_at;     // last run seen, by job
  std::map<std::string, TimePoint> m_task_run_at;  // the same, by task
};

}  // namespace

// Guards against a job without a run, or a lasting task without one, that waits while most of the
// fleet is free although the faults are over.
Test(waiting, no_task_waits_on_a_mostly_free_fleet_after_faults) {
  const std::uint64_t first = variable("ARBUTUSDALE_WAITING_FIRST_SEED", 1);
  const std::uint64_t count = variable("ARBUTUSDALE_WAITING_SEEDS", 60);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::vector<std::string> waiting = WaitingSoak(seed).run();
    failed += waiting.empty() ? 0 : 1;
    for (const std::string& task : waiting) {
      std::fprintf(stderr, "seed %lu: %s\n", seed, task.c_str());
    }
  }
  cr_assert_eq(failed, 0U, "%lu of %lu seeds failed", failed, count);
}
