// A worker leaves the first order to start a run unanswered and carries it out 11 s later. By then
// the run, started by the second order, has ended `done`, and the worker has crashed behind a cut
// and started again under its id.
#include <chrono>
#include <string>

#include "deployment.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr const char* k_job = "00000000000000d8";
constexpr int k_workers = 8;
constexpr int k_other_jobs = 25;  // whose orders are not late
constexpr std::uint64_t k_cpu_millis = 7'000;
constexpr Duration k_work = 2s;
constexpr Duration k_lateness = 11s;
// Counted from the submission.
constexpr Duration k_cut_at = 7s;
constexpr Duration k_crash_at = 7'500ms;
constexpr Duration k_start_at = 8'500ms;
constexpr Duration k_cut_until = 12'500ms;
constexpr Duration k_asked_at = 6s;
constexpr Duration k_end = 20s;

class Case {
 public:
  explicit Case(const CaseOptions& options)
      : m_options(options),
        m_deployment(options.program, options.record, {.priority = 2, .max_attempts = 2}, 3) {
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker({});
      if (options.has_trouble) {
        m_deployment.worker(static_cast<std::size_t>(i)).late_job = k_job;
        m_deployment.worker(static_cast<std::size_t>(i)).lateness = k_lateness;
      }
    }
    for (int i = 0; i < k_other_jobs; ++i) {
      set_behaviour(other_job(i));
    }
    set_behaviour(k_job);
  }
  int run() {
    return m_deployment.run([this] { begin(); }, 100s);
  }

 private:
  static std::string other_job(int number) { return fmt::format("{:016x}", 0xd900 + number); }

  void set_behaviour(const std::string& job) {
    auto& behaviour = m_deployment.fleet().behaviours[job];
    behaviour.work = k_work;
    behaviour.cpu_millis = k_cpu_millis;
  }

  void submit(const std::string& id) {
    const json job{
        {"Spec", "plan of " + id},
        {"Steps",
         json::array(
             {{{"Count", 1}, {"Cpu", k_cpu_millis}, {"MemMb", 13'000}, {"EstimatedMs", 2'000}}})}};
    m_deployment.submit(id, job, [] {});
  }

  void begin() {
    submit(k_job);
    for (int i = 0; i < k_other_jobs; ++i) {
      submit(other_job(i));
    }
    m_deployment.after(1s, [this] { find_worker(); });
    m_deployment.after(k_asked_at, [this] { ask(); });
    m_deployment.after(k_end, [this] { judge(); });
    if (!m_options.has_trouble) {
      return;
    }
    m_deployment.after(k_cut_at, [this] { set_cut(true); });
    m_deployment.after(k_crash_at, [this] {
      m_deployment.trace("it crashes");
      m_worker->crash();
    });
    m_deployment.after(k_start_at, [this] {
      m_deployment.trace("it starts again under its id");
      (void)m_worker->start();
    });
    m_deployment.after(k_cut_until, [this] { set_cut(false); });
  }

  /// The worker that runs the task.
  void find_worker() {
    for (std::size_t i = 0; i < m_deployment.workers(); ++i) {
      if (m_deployment.worker(i).runs_job(k_job)) {
        m_worker = &m_deployment.worker(i);
      }
    }
    if (m_worker == nullptr) {
      m_deployment.finish(Deployment::k_could_not_run, "the task doesn't run");
    }
  }
  void set_cut(bool is_cut) {
    m_deployment.trace(
        fmt::format("{} is {}", m_worker->options().id, is_cut ? "cut off" : "back"));
    m_worker->is_cut = is_cut;
  }

  void ask() {
    m_deployment.ask(0, k_job, [this](const std::string& state) { m_state = state; });
  }

  void judge() {
    const Fleet& fleet = m_deployment.fleet();
    if (m_state != "completed" || fleet.noted_as_done.empty()) {
      m_deployment.finish(Deployment::k_could_not_run, "the job was not completed in time");
      return;
    }
    m_deployment.finish(
        fleet.starts_after_done > 0 ? Deployment::k_broken : Deployment::k_held,
        fmt::format("{} starts of a task after its end `done` was taken note of; its job was shown "
                    "as completed before",
                    fleet.starts_after_done));
  }

  const CaseOptions m_options;
  Deployment m_deployment;
  Worker* m_worker = nullptr;  // that runs the task first
  std::string m_state;
};

}  // namespace

int play_late_start(const CaseOptions& options) {
  return Case(options).run();
}

}  // namespace review
