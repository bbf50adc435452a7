// Lasting tasks take two fifths of each worker. A job that fills asks for a whole worker's
// processors, which are not counted against the capacity.
#include <chrono>
#include <string>

#include "deployment.hpp"
#include "idle_watch.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr const char* k_lasting_job = "00000000000000f5";
constexpr const char* k_job = "00000000000000f6";
constexpr int k_workers = 8;
constexpr int k_lasting_tasks = 2 * k_workers;
constexpr std::uint64_t k_lasting_cpu_millis = 13'000;
constexpr std::uint64_t k_cpu_millis = 64'000;
constexpr Duration k_bound = 3s;
constexpr Duration k_watched_time = 40s;

class Case {
 public:
  explicit Case(const CaseOptions& options)
      : m_options(options),
        m_deployment(options.program, options.record, {.priority = 2, .max_attempts = 2}, 3),
        m_watch(m_deployment) {
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker({});
    }
    auto& lasting = m_deployment.fleet().behaviours[k_lasting_job];
    lasting.is_long_running = true;
    lasting.cpu_millis = k_lasting_cpu_millis;
    auto& behaviour = m_deployment.fleet().behaviours[k_job];
    behaviour.work = 2'700ms;
  }
  int run() {
    return m_deployment.run([this] { begin(); }, 100s);
  }

 private:
  void begin() {
    if (!m_options.has_trouble) {
      submit();
      return;
    }
    const json job{{"Spec", "watch"},
                   {"Steps", json::array({{{"Count", k_lasting_tasks},
                                           {"Cpu", k_lasting_cpu_millis},
                                           {"MemMb", 26'000},
                                           {"EstimatedMs", 320},
                                           {"AntiAffinity", 2},
                                           {"Image", "watch"},
                                           {"TargetMs", 150},
                                           {"LongRunning", true}}})}};
    m_deployment.submit(k_lasting_job, job,
                        [this] { m_deployment.after(8s, [this] { submit(); }); });
  }

  void submit() {
    const json job{{"Spec", "plan"},
                   {"Steps", json::array({{{"Count", 4},
                                           {"Cpu", k_cpu_millis},
                                           {"MemMb", 13'000},
                                           {"EstimatedMs", 2'700},
                                           {"Image", "plan"},
                                           {"Fills", true}}})}};
    m_deployment.submit(k_job, job, [this] {
      m_watch.add(k_job, 0);
      m_deployment.after(k_watched_time, [this] { judge(); });
    });
  }

  void judge() {
    const std::size_t starts = m_deployment.fleet().starts[k_job];
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_watch.longest());
    const bool is_broken = starts == 0 && m_watch.longest() > k_bound;
    m_deployment.finish(
        is_broken ? Deployment::k_broken : Deployment::k_held,
        is_broken ? fmt::format("the job has had nothing running for {} ms and never started",
                                waited.count())
                  : fmt::format("{} starts of the job", starts));
  }

  const CaseOptions m_options;
  Deployment m_deployment;
  IdleWatch m_watch;
};

}  // namespace

int play_fills_whole_worker(const CaseOptions& options) {
  return Case(options).run();
}

}  // namespace review
