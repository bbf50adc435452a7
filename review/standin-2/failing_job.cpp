// One lasting job of 20 can never be done: its tasks fail a moment after each start. The others are
// sound.
#include <chrono>
#include <string>

#include "deployment.hpp"
#include "idle_watch.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr int k_workers = 8;
constexpr int k_jobs = 20;
constexpr int k_bad_job = 2;     // its number
constexpr int k_bad_tasks = 12;  // the other jobs have one task
constexpr std::uint64_t k_cpu_millis = 13'000;
constexpr Duration k_gap = 1s;  // between two jobs
constexpr Duration k_fails_after = 320ms;
// The rule: 3 s without a run, if these and the 4 s before them are calm.
constexpr Duration k_bound = 3s;
constexpr Duration k_calm_time = 4s;
constexpr Duration k_poison_time = 3s;  // for which such jobs may come
constexpr Duration k_end = 30s;         // after the last job

class Case {
 public:
  explicit Case(const CaseOptions& options)
      : m_options(options),
        m_deployment(options.program, options.record, {}, 3),
        m_watch(m_deployment) {
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker({});
    }
    for (int i = 0; i < k_jobs; ++i) {
      auto& behaviour = m_deployment.fleet().behaviours[id_of(i)];
      behaviour.is_long_running = true;
      behaviour.cpu_millis = k_cpu_millis;
      const bool fails = i == k_bad_job && m_options.has_trouble;
      behaviour.fails_after = fails ? k_fails_after : Duration::zero();
    }
  }
  int run() {
    return m_deployment.run([this] { submit_next(0); }, 110s);
  }

 private:
  static std::string id_of(int job) { return fmt::format("{:016x}", 0xc300 + job); }

  void submit_next(int number) {
    if (number == k_jobs) {
      m_deployment.after(k_end, [this] { judge(); });
      return;
    }
    const std::string id = id_of(number);
    const json job{{"Spec", "watch"},
                   {"Steps", json::array({{{"Count", number == k_bad_job ? k_bad_tasks : 1},
                                           {"Cpu", k_cpu_millis},
                                           {"MemMb", 26'000},
                                           {"EstimatedMs", 320},
                                           {"LongRunning", true}}})}};
    // Jobs that come while it isn't calm yet are not judged.
    const bool is_judged = number * k_gap >= k_bad_job * k_gap + k_poison_time + k_calm_time;
    m_deployment.submit(id, job, [this, id, is_judged] {
      if (is_judged) {
        m_watch.add(id, k_cpu_millis);
      }
    });
    m_deployment.after(k_gap, [this, number] { submit_next(number + 1); });
  }

  void judge() {
    std::size_t late = 0;
    std::size_t never_started = 0;
    for (const auto& [id, job] : m_watch.jobs()) {
      const bool has_started = m_deployment.fleet().starts.contains(id);
      late += job.longest > k_bound ? 1 : 0;
      never_started += has_started ? 0 : 1;
      m_deployment.trace(
          fmt::format("job {}: up to {} ms with nothing running{}", id,
                      std::chrono::duration_cast<std::chrono::milliseconds>(job.longest).count(),
                      has_started ? "" : ", never started"));
    }
    const std::string seen = fmt::format(
        "of {} sound jobs, {} had nothing running for over 3 s with room for them, {} never "
        "started; the longest time is {} ms",
        m_watch.jobs().size(), late, never_started,
        std::chrono::duration_cast<std::chrono::milliseconds>(m_watch.longest()).count());
    m_deployment.finish(late > 0 ? Deployment::k_broken : Deployment::k_held, seen);
  }

  const CaseOptions m_options;
  Deployment m_deployment;
  IdleWatch m_watch;
};

}  // namespace

int play_failing_job(const CaseOptions& options) {
  return Case(options).run();
}

}  // namespace review
