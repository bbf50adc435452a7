// A worker leaves the starts of a task unanswered. The task runs elsewhere. The worker is cut off,
// crashes behind the cut and starts again under its id; then a late start is carried out.
#include "scenarios.hpp"

namespace review {
namespace {

constexpr int k_workers = 48;
constexpr int k_late_starts = 4;      // two runs of the task, each ordered twice
constexpr Duration k_lateness = 9s;   // the pages: 2 to 12 s
constexpr Duration k_cut_after = 5s;  // counted from the first unanswered start
constexpr Duration k_cut = 5500ms;
constexpr Duration k_crash_after = 200ms;  // counted from the begin of the cut
constexpr Duration k_down = 1s;
constexpr Duration k_work = 25s;
constexpr const char* k_task_job = "5c0e7a21d94b36f8";

class LateTwice {
 public:
  explicit LateTwice(const Options& options) : m_options(options), m_deployment(options) {
    m_deployment.record().work_of = [](const std::string& owner) {
      return job_of(owner) == k_task_job ? k_work : Duration{600ms};
    };
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker(fmt::format("w-{}", i + 1), i < 2 ? "a" : "b", i * 31ms);
    }
    StandInWorker& worker = m_deployment.worker(0);
    worker.has_calls_across_restarts = true;  // docs/questions.md, question 1
    worker.disruption = [this](const std::string& path) { return treat(path); };
  }

  int run() {
    m_deployment.run([this] { m_deployment.after(3s, [this] { begin(); }); }, 60s);
    return m_deployment.was_ready() && m_is_over ? judge() : k_not_run;
  }

 private:
  static json job_of_kind(const char* kind, std::uint64_t cpu, std::uint64_t count) {
    return {{"Spec", "spec"},
            {"Steps", json::array({{{"Count", count},
                                    {"Cpu", cpu},
                                    {"MemMb", 1'000},
                                    {"EstimatedMs", kind[0] == 'a' ? 25'000 : 600},
                                    {"Requirements", kind}}})}};
  }

  void begin() {
    submit_others();
    m_deployment.submit(k_task_job, job_of_kind("a", 7'000, 1), [] {});
    m_deployment.after(20s, [this] {
      m_is_over = true;
      m_deployment.finish();
    });
  }
  // So that the late orders are a small share of all.
  void submit_others() {
    m_deployment.submit(
        fmt::format("{:016x}", 0x1a0e7a21d94b0000 + ++m_jobs), job_of_kind("b", 4'600, 6), [] {},
        m_jobs % m_deployment.daemons());
    m_deployment.after(300ms, [this] { submit_others(); });
  }

  std::optional<Treatment> treat(const std::string& path) {
    if (!m_options.has_trouble) {
      return std::nullopt;
    }
    if (m_is_cut) {
      return Treatment{.is_executed = false, .end = CallEnd::silence};
    }
    if (path != "/run-start" || m_late_starts == k_late_starts) {
      return std::nullopt;
    }
    m_deployment.note(fmt::format(
        "worker w-1: order {} to start the task gets no answer and is carried out 9 s later",
        ++m_late_starts));
    if (m_late_starts == 1) {
      m_deployment.after(k_cut_after, [this] { cut(); });
    }
    return Treatment{.executed_after = k_lateness, .end = CallEnd::silence};
  }

  void cut() {
    m_is_cut = true;
    m_deployment.note("worker w-1 is cut off from all daemons, for 5.5 s");
    m_deployment.after(k_cut, [this] {
      m_is_cut = false;
      m_deployment.note("the cut has ended");
    });
    m_deployment.after(k_crash_after, [this] {
      m_deployment.worker(0).crash();
      m_deployment.note("worker w-1 crashes behind the cut");
    });
    m_deployment.after(k_crash_after + k_down, [this] {
      (void)m_deployment.worker(0).restart(m_deployment.worker(0).life());
      m_deployment.note("worker w-1 has started again under its id");
    });
  }

  int judge() {
    std::size_t twice = 0;
    std::size_t starts = 0;
    for (const RunStart& start : m_deployment.record().starts) {
      ++starts;
      twice += start.is_doubled ? 1 : 0;
      if (job_of(start.task) != k_task_job) {
        continue;
      }
      m_deployment.note(
          fmt::format("start of {} run {} on {} at {:.3f}{}", start.task, start.run, start.worker,
                      m_deployment.seconds_of(start.at),
                      start.is_doubled ? ": TWICE, another run of it is at work" : ""));
    }
    m_deployment.note(fmt::format("{} starts in all, {} orders late; {} starts beside another run",
                                  starts, m_late_starts, twice));
    if (starts == 0 || (m_options.has_trouble && m_late_starts == 0)) {
      return k_not_run;
    }
    return twice > 0 ? k_broken : k_held;
  }

  const Options m_options;
  Deployment m_deployment;
  std::uint64_t m_jobs = 0;
  int m_late_starts = 0;
  bool m_is_cut = false;
  bool m_is_over = false;
};

}  // namespace

int run_late_twice(const Options& options) {
  return LateTwice(options).run();
}

}  // namespace review
