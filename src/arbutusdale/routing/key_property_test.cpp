// Property test: random schedules of faults over several key tables, each reproduced by its seed.
// The test itself counts how often each key ran, independently of the tables; a granted call that
// is reported as not sent does not count.
#include <array>
#include <map>
#include <set>
#include <string>

#include "key_cluster_test.hpp"
#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::routing;
using namespace arbutusdale::routing::testing;

namespace {

constexpr int k_schedules = 400;
constexpr int k_steps = 1500;
constexpr std::array k_names{"a", "b", "c", "d"};

struct Totals {
  int runs = 0;
  int replays = 0;
  int refused = 0;
};

class Schedule {
 public:
  Schedule(std::uint64_t seed, Totals& totals)
      : m_seed{seed},
        m_changes_per_mille{2 + 7 * (seed % 4)},
        m_cluster{2, seed},
        m_totals{totals} {
    const auto first = 1 + draw(k_names.size());
    for (std::size_t i = 0; i < first; ++i) {
      m_cluster.start(k_names.at(i));
    }
    m_cluster.read_all();
  }

  void run() {
    for (int i = 0; i < k_steps; ++i) {
      step();
    }
  }

 private:
  std::uint64_t draw(std::uint64_t count) { return random_index(m_cluster.random(), count); }

  void step() {
    const auto names = m_cluster.names();
    const auto kind = draw(100);
    if (draw(1000) < m_changes_per_mille) {
      change_processes(names);
    } else if (kind < 60) {
      for (int i = 0; i < 3; ++i) {
        m_cluster.deliver(0.05, 0.08);
      }
    } else if (kind < 73) {
      m_cluster.advance(std::chrono::milliseconds{50 + draw(100)});
    } else if (!names.empty()) {
      const auto& name = names[draw(names.size())];
      kind < 88 ? use(name) : follow_stream(name);
    }
  }

  /// Kills, pauses, resumes, starts, ends or stops one daemon.
  void change_processes(const std::vector<std::string>& names) {
    const std::string name = k_names.at(draw(k_names.size()));
    if (!m_cluster.has(name)) {
      m_cluster.start(name);
      return;
    }
    auto& process = m_cluster.process(name);
    switch (draw(8)) {
      case 0:
        m_killed[name] = process.incarnation;
        m_running.erase(name);
        m_cluster.kill(name);
        return;
      case 1:
        process.table->hand_over(m_cluster.now);
        return;
      case 2:  // late heartbeats: a live daemon is ended
        m_cluster.end(name, process.incarnation);
        return;
      case 3:
      case 4:
        process.paused = names.size() > 1;
        return;
      default:
        process.paused = false;
        return;
    }
  }

  void use(const std::string& name) {
    auto& process = m_cluster.process(name);
    if (process.paused || !process.joined) {
      return;
    }
    auto& running = m_running[name];
    if (!running.empty() && draw(2) == 0) {
      const auto key = *running.begin();
      running.erase(running.begin());
      process.table->finish({"s", key, 1}, false, "answer of " + key, m_cluster.now);
      return;
    }
    const auto key = "k" + std::to_string(draw(60));
    process.table->request(
        {"s", key, 1}, m_cluster.now,
        [this, name, key](const KeyResult& answer) { decided(name, key, answer); });
  }

  void decided(const std::string& name, const std::string& key, const KeyResult& answer) {
    if (answer.decision == KeyDecision::done) {
      ++m_totals.replays;
      cr_assert_eq(m_runs[key], 1, "seed %lu: %s done, never run", m_seed, key.c_str());
      cr_assert(answer.stored_answer.empty() || answer.stored_answer == "answer of " + key);
      return;
    }
    cr_assert(answer.decision != KeyDecision::mismatch);
    if (answer.decision != KeyDecision::run) {
      ++m_totals.refused;
      return;
    }
    if (draw(4) == 0) {  // the target refused the connection, so the call has not run
      m_not_sent.emplace_back(name, key);
      m_cluster.table(name).finish({"s", key, 1}, true, {}, m_cluster.now);
      return;
    }
    ++m_totals.runs;
    cr_assert_eq(++m_runs[key], 1, "seed %lu: %s ran twice", m_seed, key.c_str());
    m_running[name].insert(key);
  }

  void follow_stream(const std::string& name) {
    auto& process = m_cluster.process(name);
    if (process.paused) {
      return;
    }
    if (draw(4) == 0 && !m_killed.empty()) {  // peers notice the missing heartbeats
      const auto killed = m_killed.begin();
      m_cluster.end(killed->first, killed->second);
      m_killed.erase(killed);
    }
    const auto left = m_cluster.stream.size() - process.read;
    const auto incarnation = process.incarnation;
    m_cluster.read(name, process.read + draw(left + 1));
    auto& reader = m_cluster.process(name);
    if (reader.incarnation != incarnation) {
      m_running.erase(name);
    } else if (reader.joined) {
      const auto shard = static_cast<std::uint32_t>(draw(2));
      draw(20) == 0 ? m_cluster.release(name, shard) : void(m_cluster.claim(name, shard));
    }
  }

  std::uint64_t m_seed;
  std::uint64_t m_changes_per_mille;  // low and high rates reach different states
  Cluster m_cluster;
  Totals& m_totals;
  std::map<std::string, std::uint64_t> m_killed;  // killed, but not yet ended in the stream
  std::map<std::string, std::set<std::string>> m_running;
  std::vector<std::pair<std::string, std::string>> m_not_sent;
  std::map<std::string, int> m_runs;  // by key
};

}  // namespace

// Guards against a key that runs twice, is answered as done without having run, gets the stored
// answer of another key, or is refused as a mismatch although all its calls have one fingerprint.
// The schedules mix lost, duplicated and reordered messages, kills, pauses, daemons that are ended
// while still alive, takeovers and handovers.
Test(key_table, no_key_runs_twice) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= k_schedules; ++seed) {
    Schedule{seed, totals}.run();
  }
  // Guards against a table that is safe only because it grants nothing or replays no answer.
  cr_log_info("runs %d replays %d refused %d", totals.runs, totals.replays, totals.refused);
  cr_assert_gt(totals.runs, 10 * k_schedules);
  cr_assert_gt(totals.replays, k_schedules);
}
