// A small deployment on loopback addresses for the cases of this review: the store, the daemons as
// processes of the deploy file's command, workers and callers, and the record of the run.
#pragma once

#include "arbutusdale/net/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../../platform/process_test/caller_pool_test.hpp"
#include "../../platform/process_test/fleet_record_test.hpp"
#include "../../platform/process_test/store_service_test.hpp"
#include "../../platform/process_test/worker_fleet_test.hpp"
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace arbutusdale;
using namespace arbutusdale::platform::process_test;
using namespace std::chrono_literals;
using nlohmann::json;

inline constexpr const char* k_program =
    "target/bin/arbutusdale-entry";  // `run` in deploy/system.toml
inline constexpr const char* k_host = "jobs.example";
inline constexpr const char* k_prefix = "/jobs/";

enum ExitStatus { k_held = 0, k_broken = 1, k_not_run = 2 };

/// A daemon, started as the deploy file says.
class Daemon {
 public:
  Daemon(std::string name, std::string zone, const std::string& ip, SocketEndpoint store,
         std::filesystem::path folder, std::string advice)
      : m_name(std::move(name)),
        m_zone(std::move(zone)),
        m_ip(ip),
        m_callers(free_endpoint(ip)),
        m_ready(free_endpoint(ip)),
        m_control(free_endpoint(ip)),
        m_store(std::move(store)),
        m_folder(std::move(folder)),
        m_advice(std::move(advice)) {}
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon() { end(); }

  [[nodiscard]] const std::string& name() const { return m_name; }
  [[nodiscard]] const SocketEndpoint& callers() const { return m_callers; }
  [[nodiscard]] const SocketEndpoint& ready() const { return m_ready; }
  [[nodiscard]] std::filesystem::path log_path() const { return m_folder / (m_name + ".log"); }

  void start() {
    const auto settings = m_folder / (m_name + ".json");
    std::ofstream(settings) << settings_text();
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("ARBUTUSDALE_CONFIG", settings.c_str(), 1);
    ::execl(k_program, k_program, nullptr);
    ::_exit(127);
  }
  void signal(int number) const {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  void end() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(std::exchange(m_pid, 0), nullptr, 0);
    }
  }
  [[nodiscard]] bool is_running() {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = 0;
    }
    return m_pid > 0;
  }

 private:
  [[nodiscard]] std::string settings_text() const {
    const json bounds{{"ContactMs", 3000},     {"AckMs", 4000},
                      {"DrainMs", 2000},       {"GraceS", 6},
                      {"LossSlackMs", 200},    {"ConfigApplyMs", 2000},
                      {"HoldMaxMs", 6000},     {"StopTimeoutMs", 900},
                      {"GangTimeoutMs", 3000}, {"cancel_ms", 3000},
                      {"visible_ms", 3000},    {"early_ms", 250},
                      {"finish_s", 14},        {"status_s", 120},
                      {"CheckpointS", 0.5},    {"FencingEnforced", true}};
    return json{
        {"NodeName", m_name},
        {"Role", "entry"},
        {"MachineClass", "edge"},
        {"Serves", {"edge"}},
        {"Ip", m_ip},
        {"Zone", m_zone},
        {"Region", "steiermark"},
        {"Zones", {{"halle-a", "steiermark"}, {"halle-b", "steiermark"}, {"lager", "steiermark"}}},
        {"BindAddresses",
         {{"Frontend", m_callers.text()},
          {"Ready", m_ready.text()},
          {"Control", m_control.text()}}},
        {"Seeds", json::array()},
        {"Bootstrap", true},
        {"Limits",
         {{"CpuShare", 0.25},
          {"Cores", 1},
          {"MemoryMb", 260},
          {"MaxFds", 4100},
          {"LinkMbps", 1000.0}}},
        {"DataDir", nullptr},
        {"Discovery", "platform"},
        {"HeartbeatMs", 1500},
        {"Bounds", bounds},
        {"Orders", "call"},
        {"Advice", m_advice},
        {"platform",
         {{"Address", m_store.text()},
          {"form", "log"},
          {"WritesPerS", 800},
          {"ReadsPerS", 2000},
          {"parts", 32},
          {"AppendMs", 2.0},
          {"RecordBytes", 262144},
          {"CallBytes", 2097152},
          {"keep_s", 300}}}}
        .dump();
  }

  const std::string m_name;
  const std::string m_zone;
  const std::string m_ip;
  const SocketEndpoint m_callers;
  const SocketEndpoint m_ready;
  const SocketEndpoint m_control;
  const SocketEndpoint m_store;
  const std::filesystem::path m_folder;
  const std::string m_advice;
  pid_t m_pid = 0;  // 0: not running
};

struct Options {
  std::string name;    // of the case
  std::string record;  // path of record.txt
  bool has_trouble = true;
  int daemons = 3;
  bool enforces_capacity = true;
};

class Deployment {
 public:
  explicit Deployment(const Options& options)
      : m_options(options),
        m_folder(std::filesystem::temp_directory_path() /
                 fmt::format("arbutusdale-review-{}-{}", options.name, ::getpid())),
        m_loop(net::make_event_loop()),
        m_store(*m_loop),
        m_pool(*m_loop),
        m_record_file(options.record),
        m_began_at(m_loop->read_clock()) {
    std::filesystem::create_directories(m_folder);
    put_configuration();
    static constexpr const char* k_zones[] = {"halle-a", "halle-b", "lager"};
    for (int i = 0; i < options.daemons; ++i) {
      const std::string ip = ip_of(i + 1);
      const SocketEndpoint store = free_endpoint(ip);
      m_is_listening = m_store.add_endpoint(static_cast<std::size_t>(i), store) && m_is_listening;
      m_daemons.push_back(std::make_unique<Daemon>(fmt::format("edge-{}", i + 1), k_zones[i % 3],
                                                   ip, store, m_folder, ""));
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() {
    m_pool.close();
    for (const auto& daemon : m_daemons) {
      daemon->end();
    }
    m_store.close();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(m_folder);
    } else {
      note("logs of the daemons: " + m_folder.filename().string());
    }
  }

  [[nodiscard]] net::EventLoop& loop() { return *m_loop; }
  [[nodiscard]] StoreService& store() { return m_store; }
  [[nodiscard]] FleetRecord& record() { return m_record; }
  [[nodiscard]] Daemon& daemon(std::size_t index) { return *m_daemons[index]; }
  [[nodiscard]] std::size_t daemons() const { return m_daemons.size(); }
  [[nodiscard]] const std::filesystem::path& folder() const { return m_folder; }
  [[nodiscard]] bool was_ready() const { return m_was_ready; }
  [[nodiscard]] std::vector<std::unique_ptr<StandInWorker>>& workers() { return m_workers; }
  [[nodiscard]] StandInWorker& worker(std::size_t index) { return *m_workers[index]; }

  /// Seconds since the start of the script.
  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(m_loop->read_clock() - m_began_at).count();
  }
  [[nodiscard]] double seconds_of(TimePoint at) const {
    return std::chrono::duration<double>(at - m_began_at).count();
  }
  /// Writes a line to record.txt.
  void note(const std::string& line) {
    m_record_file << fmt::format("{:8.3f} ", seconds()) << line << "\n" << std::flush;
  }
  void after(Duration delay, std::function<void()> action) {
    m_loop->call_after(delay, std::move(action));
  }

  [[nodiscard]] static std::string ip_of(int host) {
    const auto pid = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 256, host);
  }

  /// Adds a worker and starts it after `delay`, so that the heartbeats of all are spread over time.
  StandInWorker& add_worker(const std::string& id, const std::string& kind, Duration delay = 0ms) {
    m_workers.push_back(std::make_unique<StandInWorker>(
        *m_loop, m_store, m_record, id,
        free_endpoint(ip_of(100 + static_cast<int>(m_workers.size()))), kind));
    StandInWorker* worker = m_workers.back().get();
    after(delay, [this, worker] { m_is_listening = worker->start() && m_is_listening; });
    return *worker;
  }

  void put_configuration(std::uint64_t max_attempts = 3) {
    const json routes = json::array({{{"Name", "q0"},
                                      {"Host", k_host},
                                      {"PathPrefix", k_prefix},
                                      {"Service", "s1"},
                                      {"Priority", 1},
                                      {"MaxAttempts", max_attempts},
                                      {"TimeoutMs", 3'000},
                                      {"Stretch", 2.0},
                                      {"TargetLatencyMs", 1'000}}});
    const json services =
        json::array({{{"Name", "s1"}, {"EnforcesCapacity", m_options.enforces_capacity}}});
    m_store.put(
        "keyed.op",
        {"config",
         json{{"Version", ++m_version}, {"Routes", routes}, {"Services", services}}.dump()});
  }

  /// Calls a daemon as a client does, and writes the call and its answer to the record.
  void call(std::size_t daemon, const std::string& method, const std::string& id,
            const std::string& body, const CallerPool::Done& done, Duration timeout = 3s) {
    m_pool.call(m_daemons[daemon]->callers(), {method, k_prefix + id, k_host, body, timeout},
                [this, daemon, method, id, done](const CallerReply& reply) {
                  note(fmt::format(
                      "client: {} {} at {}: {} {}", method, id, m_daemons[daemon]->name(),
                      reply.status == 0 ? "no answer" : std::to_string(reply.status), reply.body));
                  done(reply);
                });
  }
  /// Submits a job, and again at the next daemon until it is accepted or refused for good.
  void submit(const std::string& id, const json& job, std::function<void()> accepted,
              std::size_t daemon = 0) {
    m_record.plans.add(id, job);
    call(daemon, "POST", id, job.dump(), [=, this](const CallerReply& reply) {
      if (reply.status >= 200 && reply.status < 300) {
        accepted();
        return;
      }
      after(300ms, [=, this] { submit(id, job, accepted, (daemon + 1) % m_daemons.size()); });
    });
  }

  /// Starts the daemons, calls `when_ready` once all are, and runs until finish(); at most `limit`.
  void run(std::function<void()> when_ready, Duration limit) {
    for (const auto& daemon : m_daemons) {
      daemon->start();
    }
    m_loop->call_after(limit, [this] { finish(); });
    await_ready(0, std::move(when_ready));
    m_loop->run();
  }
  void finish() { m_loop->stop(); }

 private:
  void await_ready(std::size_t index, std::function<void()> when_ready) {
    if (index == m_daemons.size()) {
      m_was_ready = m_is_listening;
      note("all daemons are ready");
      when_ready();
      return;
    }
    m_pool.call(m_daemons[index]->ready(), {"GET", "/readyz", "platform", ""},
                [this, index, when_ready = std::move(when_ready)](const CallerReply& reply) {
                  const bool is_ready = reply.status == 200;
                  after(is_ready ? 0ms : 50ms, [this, next = index + (is_ready ? 1 : 0),
                                                when_ready] { await_ready(next, when_ready); });
                });
  }

  const Options m_options;
  const std::filesystem::path m_folder;
  std::unique_ptr<net::EventLoop> m_loop;
  StoreService m_store;
  CallerPool m_pool;
  FleetRecord m_record;
  std::vector<std::unique_ptr<StandInWorker>> m_workers;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::ofstream m_record_file;
  const TimePoint m_began_at;
  std::uint64_t m_version = 0;
  bool m_is_listening = true;
  bool m_was_ready = false;
};

}  // namespace review
