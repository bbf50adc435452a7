// Some workers crash every 1.5 s and start again. No run ever ends `failed`.
#include "arbutusdale/core/random.hpp"

#include "scenarios.hpp"

namespace review {
namespace {

constexpr int k_workers = 48;
constexpr std::size_t k_crashed_workers = 6;  // 0.125 of them
constexpr Duration k_crash_interval = 1500ms;
constexpr int k_series = 40;  // times, as many as a day may have entries
constexpr Duration k_down = 1s;
constexpr Duration k_traffic = 64s;
constexpr Duration k_calm_end = 25s;
constexpr Duration k_job_interval = 45ms;
constexpr std::uint64_t k_max_attempts = 10;  // of the queue
constexpr Duration k_work = 5s;

class CrashSeries {
 public:
  explicit CrashSeries(const Options& options)
      : m_options(options), m_deployment(options), m_random(seed()) {
    m_deployment.record().work_of = [](const std::string&) { return k_work; };
    m_deployment.put_configuration(k_max_attempts);
    for (int i = 0; i < k_workers; ++i) {
      m_deployment.add_worker(fmt::format("w-{}", i + 1), "a", i * 31ms);
    }
  }

  int run() {
    m_deployment.run([this] { begin(); }, 115s);
    return m_deployment.was_ready() && m_is_over ? judge() : k_not_run;
  }

 private:
  static std::uint64_t seed() {
    const char* text = std::getenv("SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  }

  void begin() {
    m_deployment.after(2s, [this] { submit_next(); });
    if (m_options.has_trouble) {
      m_deployment.after(4s, [this] { crash_some(); });
    }
    m_deployment.after(2s + k_traffic, [this] { m_has_traffic = false; });
    m_deployment.after(2s + k_traffic + k_calm_end, [this] { ask_next(1); });
  }

  static std::string id_of(std::uint64_t number) {
    return fmt::format("{:016x}", 0x5c0e7a21d94b0000 + number);
  }

  void submit_next() {
    if (!m_has_traffic) {
      return;
    }
    const json job{{"Spec", "spec"},
                   {"Steps", json::array({{{"Count", 8},
                                           {"Cpu", 1'000},
                                           {"MemMb", 1'000},
                                           {"EstimatedMs", 5'000},
                                           {"AntiAffinity", 1}}})}};
    ++m_jobs;
    m_deployment.submit(
        id_of(m_jobs), job, [this, id = id_of(m_jobs)] { m_accepted.insert(id); },
        m_jobs % m_deployment.daemons());
    m_deployment.after(k_job_interval, [this] { submit_next(); });
  }

  void crash_some() {
    if (m_crashes++ == k_series) {
      return;
    }
    std::set<std::size_t> chosen;
    while (chosen.size() < k_crashed_workers) {
      const std::size_t index = random_index(m_random, k_workers);
      if (m_deployment.worker(index).is_up()) {
        chosen.insert(index);
      }
    }
    std::string names;
    for (const std::size_t index : chosen) {
      names += " " + m_deployment.worker(index).life().id;
      m_deployment.worker(index).crash();
    }
    m_deployment.note("workers crash:" + names);
    m_deployment.after(k_down, [this, chosen] {
      for (const std::size_t index : chosen) {
        (void)m_deployment.worker(index).restart(m_deployment.worker(index).life());
      }
    });
    m_deployment.after(k_crash_interval, [this] { crash_some(); });
  }

  void ask_next(std::uint64_t number) {
    if (number > m_jobs) {
      m_is_over = true;
      m_deployment.finish();
      return;
    }
    const std::string id = id_of(number);
    if (!m_accepted.contains(id)) {
      return ask_next(number + 1);
    }
    m_deployment.call(number % m_deployment.daemons(), "GET", id, "",
                      [this, id, number](const CallerReply& reply) {
                        m_states[id] = json::parse(reply.body, nullptr, false).value("State", "");
                        ask_next(number + 1);
                      });
  }

  /// Most starts of one task, by job. Each may at worst have been lost with its worker.
  [[nodiscard]] std::map<std::string, std::size_t> most_starts() {
    std::map<std::string, std::size_t> starts;  // by task
    for (const RunStart& start : m_deployment.record().starts) {
      ++starts[start.task];
    }
    std::map<std::string, std::size_t> most;
    for (const auto& [task, count] : starts) {
      most[job_of(task)] = std::max(most[job_of(task)], count);
    }
    return most;
  }

  int judge() {
    const auto most = most_starts();
    std::map<std::string, std::size_t> counts;
    std::size_t lost = 0;
    for (const auto& [id, state] : m_states) {
      ++counts[state];
      if (state != "failed" && state != "cancelled") {
        continue;
      }
      const std::size_t starts = most.contains(id) ? most.at(id) : 0;
      const bool has_no_cause = state == "cancelled" || starts < k_max_attempts;
      lost += has_no_cause ? 1 : 0;
      m_deployment.note(fmt::format(
          "{}job {} is shown as {}; none of its runs ended failed; at most {} starts of a task, "
          "MaxAttempts is {}",
          has_no_cause ? "LOST: " : "", id, state, starts, k_max_attempts));
    }
    std::string text;
    for (const auto& [state, count] : counts) {
      text += fmt::format(" {} {}", count, state.empty() ? "without a state" : state);
    }
    m_deployment.note(fmt::format(
        "{} jobs accepted, {} runs started, {} ended failed; shown as:{}; {} without cause",
        m_accepted.size(), m_deployment.record().starts.size(), m_deployment.record().failed.size(),
        text, lost));
    if (m_accepted.empty() || !m_deployment.record().failed.empty()) {
      return k_not_run;
    }
    return lost > 0 ? k_broken : k_held;
  }

  const Options m_options;
  Deployment m_deployment;
  Random m_random;
  std::uint64_t m_jobs = 0;
  int m_crashes = 0;
  std::set<std::string> m_accepted;
  std::map<std::string, std::string> m_states;
  bool m_has_traffic = true;
  bool m_is_over = false;
};

}  // namespace

int run_crash_series(const Options& options) {
  return CrashSeries(options).run();
}

}  // namespace review
