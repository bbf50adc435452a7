// Some workers crash and start again under their ids as ones of another kind.
#include "scenarios.hpp"

namespace review {
namespace {

constexpr Duration k_job_interval = 250ms;
constexpr Duration k_life = 5s;     // of the workers that change their kind
constexpr Duration k_shift = 70ms;  // longer each time, so that the heartbeats fall otherwise
constexpr Duration k_down = 1s;     // after a crash
constexpr Duration k_traffic = 60s;
constexpr std::size_t k_changing_workers = 4;  // of 48
constexpr int k_other_workers = 44;
constexpr Duration k_heartbeat_gap = 31ms;  // 48 workers, each every 1.5 s

class OtherKind {
 public:
  explicit OtherKind(const Options& options) : m_options(options), m_deployment(options) {
    m_deployment.record().work_of = [](const std::string&) { return 1200ms; };
    for (int i = 0; i < static_cast<int>(k_changing_workers) + k_other_workers; ++i) {
      const bool changes = i < static_cast<int>(k_changing_workers);
      m_deployment.add_worker(fmt::format("w-{}", i + 1), changes ? "a" : "b", i * k_heartbeat_gap);
    }
  }

  int run() {
    m_deployment.run([this] { begin(); }, 110s);
    if (!m_deployment.was_ready() || !m_is_over) {
      m_deployment.note("the case could not run");
      return k_not_run;
    }
    return judge();
  }

 private:
  void begin() {
    m_deployment.after(2s, [this] { submit_next(); });
    if (m_options.has_trouble) {
      m_deployment.after(2s + k_life, [this] { change_kind(); });
    }
    m_deployment.after(2s + k_traffic, [this] {
      m_is_over = true;
      m_deployment.finish();
    });
  }

  // While no worker has the label, these tasks wait.
  void submit_next() {
    const json job{{"Spec", "spec"},
                   {"Steps", json::array({{{"Count", 1},
                                           {"Cpu", 16'000},
                                           {"MemMb", 100},
                                           {"EstimatedMs", 1'200},
                                           {"Requirements", "a"}}})}};
    const std::string id = fmt::format("{:016x}", 0x5c0e7a21d94b0000 + ++m_jobs);
    m_deployment.submit(
        id, job, [] {}, m_jobs % m_deployment.daemons());
    m_deployment.after(k_job_interval, [this] { submit_next(); });
  }

  void change_kind() {
    std::vector<WorkerLife> lives;
    for (std::size_t i = 0; i < k_changing_workers; ++i) {
      lives.push_back(m_deployment.worker(i).life());
      lives.back().kind = lives.back().kind == "a" ? "b" : "a";
      m_deployment.worker(i).crash();
    }
    m_deployment.note(fmt::format("workers w-1 to w-{} crash", k_changing_workers));
    m_deployment.after(k_down, [this, lives] {
      for (std::size_t i = 0; i < k_changing_workers; ++i) {
        (void)m_deployment.worker(i).restart(lives[i]);
      }
      m_deployment.note(
          fmt::format("they have started again as kind {} and have registered", lives[0].kind));
      m_deployment.after(k_life + ++m_changes * k_shift, [this] { change_kind(); });
    });
  }

  int judge() {
    std::size_t wrong = 0;
    for (const RunStart& start : m_deployment.record().starts) {
      wrong += start.lacks_label ? 1 : 0;
      m_deployment.note(
          fmt::format("start of {} run {} on {} at {:.3f}{}", start.task, start.run, start.worker,
                      m_deployment.seconds_of(start.at),
                      start.lacks_label ? ": ROUTE, the worker lacks the label" : ""));
    }
    m_deployment.note(fmt::format("{} starts, {} of them without the label in Requirements",
                                  m_deployment.record().starts.size(), wrong));
    if (m_deployment.record().starts.empty()) {
      return k_not_run;
    }
    return wrong > 0 ? k_broken : k_held;
  }

  const Options m_options;
  Deployment m_deployment;
  std::uint64_t m_jobs = 0;
  int m_changes = 0;
  bool m_is_over = false;
};

}  // namespace

int run_other_kind(const Options& options) {
  return OtherKind(options).run();
}

}  // namespace review
