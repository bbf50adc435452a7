// One worker of eight goes down and up by turns. A lasting job can only run there.
#include <chrono>
#include <memory>
#include <string>

#include "deployment.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

using namespace std::chrono_literals;

constexpr const char* k_job = "00000000000000a1";
constexpr int k_workers = 8;
constexpr int k_crashes = 6;
constexpr Duration k_up_time = 4s;
constexpr Duration k_down_time = 1s;
constexpr Duration k_calm_time = 12s;  // after the last crash
constexpr Duration k_poll_interval = 500ms;

class Case {
 public:
  explicit Case(const CaseOptions& options)
      : m_options(options), m_deployment(options.program, options.record, {}, 3) {
    for (int i = 0; i < k_workers; ++i) {
      WorkerOptions worker;
      worker.kind = i == 0 ? "b" : "a";
      m_deployment.add_worker(worker);
    }
    m_deployment.fleet().behaviours[k_job].is_long_running = true;
    m_deployment.fleet().behaviours[k_job].cpu_millis = 13'000;
  }

  int run() {
    return m_deployment.run([this] { begin(); }, 100s);
  }

 private:
  void begin() {
    const json job{{"Spec", "watch"},
                   {"Steps", json::array({{{"Count", 1},
                                           {"Cpu", 13'000},
                                           {"MemMb", 26'000},
                                           {"EstimatedMs", 320},
                                           {"Requirements", "b"},
                                           {"LongRunning", true}}})}};
    m_deployment.submit(k_job, job, [this] {
      await_run();
      ask_again();
    });
  }

  /// Crashes the worker each time that it has run the task for a while.
  void await_run() {
    if (!m_deployment.worker(0).runs_job(k_job)) {
      m_deployment.after(50ms, [this] { await_run(); });
      return;
    }
    m_deployment.after(k_up_time, [this] {
      if (!m_options.has_trouble || m_crashes == k_crashes) {
        m_deployment.after(k_calm_time, [this] { judge(); });
        return;
      }
      ++m_crashes;
      m_deployment.trace(fmt::format("w-1 crashes, number {}", m_crashes));
      m_deployment.worker(0).crash();
      m_deployment.after(k_down_time, [this] {
        m_deployment.trace("w-1 starts again");
        (void)m_deployment.worker(0).start();
        await_run();
      });
    });
  }

  void ask_again() {
    m_deployment.ask(m_asked++ % m_deployment.daemons(), k_job, [this](const std::string& state) {
      m_state = state.empty() ? m_state : state;
      if (m_state == "failed") {
        // Another daemon may still say otherwise, and the worker may still get the task.
        m_deployment.after(k_calm_time, [this] { judge(); });
        return;
      }
      m_deployment.after(k_poll_interval, [this] { ask_again(); });
    });
  }

  void judge() {
    m_deployment.ask(0, k_job, [this](const std::string& state) {
      const std::size_t failed = m_deployment.fleet().failed_ends[k_job].size();
      const std::string seen =
          fmt::format("the job is shown as {}; {} crashes, {} starts, {} ends `failed`", state,
                      m_crashes, m_deployment.fleet().starts[k_job], failed);
      const bool is_broken = state == "failed" && failed == 0;
      m_deployment.finish(is_broken ? Deployment::k_broken : Deployment::k_held, seen);
    });
  }

  const CaseOptions m_options;
  Deployment m_deployment;
  int m_crashes = 0;
  std::size_t m_asked = 0;
  std::string m_state;
};

}  // namespace

int play_flapping_worker(const CaseOptions& options) {
  return Case(options).run();
}

}  // namespace review
