// Some workers fail all that they start. A gang that lands on them fails once, on all members.
#include "grey_worker.hpp"
#include "scenarios.hpp"

namespace review {
namespace {

constexpr int k_workers = 48;
constexpr int k_grey_workers = 3;
constexpr std::uint64_t k_max_attempts = 3;  // as for fit-check
constexpr Duration k_grey_time = 6s;

class GangFailures {
 public:
  explicit GangFailures(const Options& options) : m_options(options), m_deployment(options) {
    m_fleet.own_end = [this](const std::string& worker, const std::string&, std::uint64_t) {
      const bool is_grey = m_is_grey && (worker == "w-1" || worker == "w-2" || worker == "w-3");
      return is_grey ? OwnEnd{400ms, "failed"} : OwnEnd{800ms, "done"};
    };
    for (int i = 0; i < k_workers; ++i) {
      m_workers.push_back(std::make_unique<GreyWorker>(m_deployment, m_fleet,
                                                       fmt::format("w-{}", i + 1),
                                                       i < k_grey_workers ? "a" : "b", 50 + i));
      m_deployment.after(i * 31ms,
                         [this, i] { (void)m_workers[static_cast<std::size_t>(i)]->start(); });
    }
  }
  ~GangFailures() {
    for (const auto& worker : m_workers) {
      worker->close();
    }
  }

  int run() {
    m_deployment.run([this] { m_deployment.after(3s, [this] { begin(); }); }, 60s);
    return m_deployment.was_ready() ? judge() : k_not_run;
  }

 private:
  void begin() {
    m_is_grey = m_options.has_trouble;
    if (m_is_grey) {
      m_deployment.note("workers w-1 to w-3 fail all that they start from now on, for 6 s");
      m_deployment.after(k_grey_time, [this] {
        m_is_grey = false;
        m_deployment.note("they are sound again");
      });
    }
    const json job{{"Spec", "spec"},
                   {"Steps", json::array({{{"Count", 3},
                                           {"Cpu", 4'600},
                                           {"MemMb", 9'200},
                                           {"EstimatedMs", 800},
                                           {"AntiAffinity", 1},
                                           {"Requirements", "a"},
                                           {"Gang", true}}})}};
    m_fleet.gang_members[k_id] = 3;
    m_deployment.submit(k_id, job, [this] { m_is_accepted = true; });
    m_deployment.after(25s, [this] { ask(); });
  }
  void ask() {
    m_deployment.call(1, "GET", k_id, "", [this](const CallerReply& reply) {
      m_state = json::parse(reply.body, nullptr, false).value("State", "");
      m_deployment.finish();
    });
  }

  int judge() {
    std::set<std::uint64_t> failed_gangs;
    std::map<std::string, std::size_t> failed_tasks;
    std::size_t alone = 0;
    for (const GreyFleet::End& end : m_fleet.ends) {
      alone += end.how == "alone" ? 1 : 0;
      if (end.how == "failed") {
        failed_gangs.insert(end.run);
        ++failed_tasks[end.task];
      }
    }
    std::size_t most = 0;
    for (const auto& [task, count] : failed_tasks) {
      most = std::max(most, count);
    }
    m_deployment.note(fmt::format(
        "the job is shown as {}; runs of the gang that failed: {}, of a task at most: {}; "
        "MaxAttempts is {}; ends alone: {}",
        m_state, failed_gangs.size(), most, k_max_attempts, alone));
    if (!m_is_accepted || m_state.empty()) {
      return k_not_run;
    }
    const bool has_cause = failed_gangs.size() >= k_max_attempts || most >= k_max_attempts;
    if (m_state == "failed" && !has_cause) {
      m_deployment.note("LOST: the job is shown as failed without cause");
      return k_broken;
    }
    return k_held;
  }

  static constexpr const char* k_id = "5c0e7a21d94b36f8";

  const Options m_options;
  Deployment m_deployment;
  GreyFleet m_fleet;
  std::vector<std::unique_ptr<GreyWorker>> m_workers;
  bool m_is_grey = false;
  bool m_is_accepted = false;
  std::string m_state;
};

}  // namespace

int run_gang_failures(const Options& options) {
  return GangFailures(options).run();
}

}  // namespace review
