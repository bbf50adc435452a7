// The configuration says that advice takes 1.5 s and 0.06 s more for each worker named. A job of
// that queue comes to an idle fleet.
#include <chrono>
#include <string>

#include "advice_service.hpp"
#include "deployment.hpp"
#include "idle_watch.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr const char* k_job = "00000000000000a7";
constexpr int k_workers = 48;
constexpr AdviceTerms k_slow_advice{.decision_ms = 1'500, .per_worker_ms = 60};
constexpr AdviceTerms k_quick_advice{.decision_ms = 150, .per_worker_ms = 6};
constexpr std::uint64_t k_cpu_millis = 7'000;
// One call for advice on 30 workers is counted to a job; twice as many, and the bound of the rule.
constexpr Duration k_bound = 2 * (1'500ms + 30 * 60ms) + 3s;
constexpr Duration k_calm_time = 10s;  // between the change and the job
constexpr Duration k_watched_time = 60s;

class Case {
 public:
  explicit Case(const CaseOptions& options)
      : m_terms(options.has_trouble ? k_slow_advice : k_quick_advice),
        m_deployment(options.program, options.record, {}, 3),
        m_advice(m_deployment, m_terms),
        m_watch(m_deployment) {
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker({});
    }
    auto& behaviour = m_deployment.fleet().behaviours[k_job];
    behaviour.work = 2'700ms;
    behaviour.cpu_millis = k_cpu_millis;
  }
  int run() {
    if (!m_advice.open()) {
      return Deployment::k_could_not_run;
    }
    return m_deployment.run([this] { begin(); }, 110s);
  }

 private:
  void begin() {
    m_deployment.add_queue("/advised/", {.priority = 2, .max_attempts = 2, .advice = m_terms});
    m_deployment.after(k_calm_time, [this] { submit(); });
  }

  void submit() {
    const json job{
        {"Spec", "plan"},
        {"Steps",
         json::array(
             {{{"Count", 8}, {"Cpu", k_cpu_millis}, {"MemMb", 13'000}, {"EstimatedMs", 2'700}}})}};
    m_deployment.submit(k_job, job, [this] {
      m_watch.add(k_job, k_cpu_millis);
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

  const AdviceTerms m_terms;
  Deployment m_deployment;
  AdviceService m_advice;
  IdleWatch m_watch;
};

}  // namespace

int play_advised_job(const CaseOptions& options) {
  return Case(options).run();
}

}  // namespace review
