// A small deployment on loopback addresses: daemons as processes of their own, started by the
// command of the deploy file, with the store, the workers and a client as stand-ins in this
// process.
#pragma once

#include "arbutusdale/net/event_loop.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "caller_pool_test.hpp"
#include "store_service_test.hpp"
#include "worker.hpp"
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

inline constexpr const char* k_host = "jobs.example";
inline constexpr const char* k_prefix = "/jobs/";
inline constexpr int k_ok = 200;

inline bool is_success(int status) {
  return status >= 200 && status < 300;
}

/// An address that no other process on the machine is likely to use.
inline std::string ip_of(int host) {
  const auto pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 64 + pid % 128, pid / 128 % 256, host);
}

/// A process of the program that the deploy file starts.
class Daemon {
 public:
  Daemon(std::string program, const std::filesystem::path& folder, int index, std::string zone,
         stand_in::SocketEndpoint store, stand_in::SocketEndpoint advice)
      : m_program(std::move(program)),
        m_name(fmt::format("edge-{}-{}", zone, index)),
        m_zone(std::move(zone)),
        m_callers(stand_in::free_endpoint(ip_of(index))),
        m_readiness(stand_in::free_endpoint(ip_of(index))),
        m_store(std::move(store)),
        m_advice(std::move(advice)),
        m_settings_path(folder / (m_name + ".json")),
        m_log_path(folder / (m_name + ".log")) {}
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon() { kill(); }

  [[nodiscard]] const std::string& name() const { return m_name; }
  [[nodiscard]] const stand_in::SocketEndpoint& callers() const { return m_callers; }
  [[nodiscard]] const stand_in::SocketEndpoint& readiness() const { return m_readiness; }

  void start() {
    std::ofstream(m_settings_path) << settings().dump(2);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(1);
    }
    const int log = ::open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("ARBUTUSDALE_CONFIG", m_settings_path.c_str(), 1);
    ::execl(m_program.c_str(), m_program.c_str(), nullptr);
    ::_exit(127);
  }
  void signal(int number) const {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  void kill() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(std::exchange(m_pid, 0), nullptr, 0);
    }
  }
  /// How the process has ended, as waitpid() tells; nothing while it runs.
  std::optional<int> end_status() {
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
      return std::nullopt;
    }
    m_pid = 0;
    return status;
  }

 private:
  /// The fields that the platform fills in, with the figures of a small deployment.
  [[nodiscard]] json settings() const {
    const stand_in::SocketEndpoint nobody{m_callers.ip, 9};
    return {{"NodeName", m_name},
            {"Role", "entry"},
            {"MachineClass", "edge"},
            {"Serves", {"edge"}},
            {"Ip", m_callers.ip},
            {"Zone", m_zone},
            {"Region", "r"},
            {"BindAddresses", {{"Frontend", m_callers.text()}, {"Ready", m_readiness.text()}}},
            {"Bootstrap", true},
            {"Limits",
             {{"CpuShare", 0.25},
              {"Cores", 1},
              {"MemoryMb", 260},
              {"MaxFds", 4'100},
              {"LinkMbps", 1'000.0},
              {"DiskMb", 0}}},
            {"DataDir", nullptr},
            {"Discovery", "platform"},
            {"Entry", "vip"},
            {"HeartbeatMs", 1'500},
            {"Contracts", {"base", "drain", "config", "cost", "recover", "sched", "platform"}},
            {"Bounds",
             {{"ContactMs", 3'000},
              {"AckMs", 4'000},
              {"DrainMs", 2'000},
              {"GraceS", 6},
              {"LossSlackMs", 200},
              {"ConfigApplyMs", 2'000},
              {"HoldMaxMs", 6'000},
              {"StopTimeoutMs", 900},
              {"GangTimeoutMs", 3'000},
              {"cancel_ms", 3'000},
              {"visible_ms", 3'000},
              {"finish_s", 14},
              {"status_s", 120},
              {"FencingEnforced", true},
              {"LeaseMs", 3'000}}},
            {"Orders", "call"},
            {"Advice", m_advice.text()},
            {"platform",
             {{"Address", m_store.text()},
              {"form", "log"},
              {"WritesPerS", 800},
              {"ReadsPerS", 2'000},
              {"parts", 32},
              {"RecordBytes", 262'144},
              {"CallBytes", 2'097'152},
              {"keep_s", 300},
              {"PartitionMb", 200}}},
            {"Cloud",
             {{"Address", nobody.text()},
              {"RatePerS", 60.0},
              {"Duties", json::array()},
              {"DutyPerS", 60.0}}}};
  }

  const std::string m_program;
  const std::string m_name;
  const std::string m_zone;
  const stand_in::SocketEndpoint m_callers;
  const stand_in::SocketEndpoint m_readiness;
  const stand_in::SocketEndpoint m_store;
  const stand_in::SocketEndpoint m_advice;
  const std::filesystem::path m_settings_path;
  const std::filesystem::path m_log_path;
  pid_t m_pid = 0;  // 0: not running
};

/// What the configuration says of the queue's advice.
struct AdviceTerms {
  int decision_ms = 0;
  int per_worker_ms = 0;
  int valid_ms = 3'000;
};

/// A queue of the configuration.
struct QueueTerms {
  int priority = 0;
  int max_attempts = 3;
  double stretch = 2.0;
  int latency_target_ms = 2'500;
  std::optional<AdviceTerms> advice = std::nullopt;
};

class Deployment {
 public:
  Deployment(std::string program, const std::filesystem::path& record, QueueTerms terms,
             int daemons)
      : m_folder(std::filesystem::temp_directory_path() /
                 fmt::format("arbutusdale-review-{}", ::getpid())),
        m_record(record),
        m_loop(arbutusdale::net::make_event_loop()),
        m_store(*m_loop),
        m_client(*m_loop),
        m_advice_endpoint(stand_in::free_endpoint(ip_of(250))),
        m_begun_at(m_loop->read_clock()) {
    std::filesystem::create_directories(m_folder);
    m_fleet.trace = [this](const std::string& line) { trace(line); };
    m_routes.push_back(route_of("q1", k_prefix, terms));
    put_configuration();
    for (int i = 0; i < daemons; ++i) {
      const stand_in::SocketEndpoint store = stand_in::free_endpoint(ip_of(200));
      m_is_sound = m_store.add_endpoint(static_cast<std::size_t>(i), store) && m_is_sound;
      m_daemons.push_back(std::make_unique<Daemon>(
          program, m_folder, i + 1, fmt::format("z{}", i % 3 + 1), store, m_advice_endpoint));
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() {
    m_client.close();
    for (const auto& daemon : m_daemons) {
      daemon->kill();
    }
    for (const auto& worker : m_workers) {
      worker->close();
    }
    m_store.close();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(m_folder);
    } else {
      fmt::print("{}\n", m_folder.string());
    }
  }

  [[nodiscard]] EventLoop& loop() { return *m_loop; }
  [[nodiscard]] stand_in::StoreService& store() { return m_store; }
  [[nodiscard]] Fleet& fleet() { return m_fleet; }
  [[nodiscard]] Worker& worker(std::size_t index) { return *m_workers[index]; }
  [[nodiscard]] std::size_t workers() const { return m_workers.size(); }
  [[nodiscard]] Daemon& daemon(std::size_t index) { return *m_daemons[index]; }
  [[nodiscard]] std::size_t daemons() const { return m_daemons.size(); }
  /// Address of the advice service, at which nobody listens unless the case does.
  [[nodiscard]] const stand_in::SocketEndpoint& advice() const { return m_advice_endpoint; }

  void add_worker(WorkerOptions options) {
    const auto index = static_cast<int>(m_workers.size());
    options.id = fmt::format("w-{}", index + 1);
    m_workers.push_back(std::make_unique<Worker>(*m_loop, m_store, m_fleet, std::move(options),
                                                 stand_in::free_endpoint(ip_of(100 + index))));
    m_is_sound = m_workers.back()->start() && m_is_sound;
  }

  void after(Duration delay, std::function<void()> action) {
    m_loop->call_after(delay, std::move(action));
  }
  void trace(const std::string& line) {
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_loop->read_clock() - m_begun_at);
    m_record << fmt::format("{:8.3f} {}\n", static_cast<double>(ms.count()) / 1'000, line)
             << std::flush;
  }

  /// Starts the daemons and calls `scenario` once all are ready. Returns the exit status.
  int run(std::function<void()> scenario, Duration limit) {
    for (const auto& daemon : m_daemons) {
      daemon->start();
    }
    after(limit, [this] { finish(k_could_not_run, "the time is over"); });
    await_ready(0, std::move(scenario));
    m_loop->run();
    return m_result;
  }
  void finish(int result, const std::string& why) {
    if (std::exchange(m_has_finished, true)) {
      return;
    }
    m_result = result;
    trace(fmt::format("RESULT {}: {}", result, why));
    fmt::print("{}: {}\n", result, why);
    m_loop->stop();
  }

  /// The operator's next configuration, which adds a queue. Calls go to that one from now on.
  void add_queue(const std::string& prefix, const QueueTerms& terms) {
    m_routes.push_back(route_of("q2", prefix, terms));
    m_prefix = prefix;
    put_configuration();
  }

  void call(std::size_t daemon, const std::string& method, const std::string& id,
            const std::string& body, const stand_in::CallerPool::Done& done) {
    m_client.call(m_daemons[daemon]->callers(), {method, m_prefix + id, k_host, body},
                  [this, daemon, method, id, done](const stand_in::CallerReply& reply) {
                    trace(fmt::format("{} {} at {}: {} {}", method, id, m_daemons[daemon]->name(),
                                      reply.status, reply.body));
                    done(reply);
                  });
  }
  /// Submits until the job is accepted, at one daemon after the other.
  void submit(const std::string& id, const json& job, std::function<void()> accepted,
              std::size_t attempt = 0) {
    trace(fmt::format("sent POST {}: {}", id, job.dump()));
    call(attempt % m_daemons.size(), "POST", id, job.dump(),
         [this, id, job, accepted = std::move(accepted),
          attempt](const stand_in::CallerReply& reply) {
           if (is_success(reply.status)) {
             accepted();
             return;
           }
           after(std::chrono::milliseconds{300},
                 [this, id, job, accepted, attempt] { submit(id, job, accepted, attempt + 1); });
         });
  }
  /// The state of a job, as the daemon answers; empty without an answer.
  void ask(std::size_t daemon, const std::string& id,
           const std::function<void(const std::string& state)>& done) {
    call(daemon, "GET", id, "", [done](const stand_in::CallerReply& reply) {
      const json body = json::parse(reply.body, nullptr, false);
      done(body.is_object() ? body.value("State", "") : "");
    });
  }

  static constexpr int k_held = 0;
  static constexpr int k_broken = 1;
  static constexpr int k_could_not_run = 2;

 private:
  static json route_of(const std::string& name, const std::string& prefix,
                       const QueueTerms& terms) {
    json route{{"Name", name},
               {"Host", k_host},
               {"PathPrefix", prefix},
               {"Service", "s1"},
               {"Priority", terms.priority},
               {"MaxAttempts", terms.max_attempts},
               {"TimeoutMs", 3'000},
               {"Stretch", terms.stretch},
               {"TargetLatencyMs", terms.latency_target_ms}};
    if (terms.advice) {
      route["Advice"] = {{"DecisionMs", terms.advice->decision_ms},
                         {"PerWorkerMs", terms.advice->per_worker_ms},
                         {"ValidMs", terms.advice->valid_ms}};
    }
    return route;
  }

  void put_configuration() {
    const json services = json::array({{{"Name", "s1"}, {"EnforcesCapacity", true}}});
    const json configuration{
        {"Version", ++m_version}, {"Routes", m_routes}, {"Services", services}};
    trace("configuration: " + configuration.dump());
    m_store.put("keyed.op", {"config", configuration.dump()});
  }

  /// Waits for the daemon of this index and those after it, then for workers to be known.
  void await_ready(std::size_t index, std::function<void()> scenario) {
    if (!m_is_sound) {
      finish(k_could_not_run, "an address can't be listened on");
      return;
    }
    if (index == m_daemons.size()) {
      // As on the platform, traffic starts some seconds after the machines.
      constexpr Duration k_lead = std::chrono::seconds{8};
      after(k_lead, std::move(scenario));
      return;
    }
    m_client.call(
        m_daemons[index]->readiness(), {"GET", "/readyz", "platform", ""},
        [this, index, scenario = std::move(scenario)](const stand_in::CallerReply& reply) {
          const bool is_ready = reply.status == k_ok;
          after(
              std::chrono::milliseconds{is_ready ? 0 : 100},
              [this, next = index + (is_ready ? 1 : 0), scenario] { await_ready(next, scenario); });
        });
  }

  const std::filesystem::path m_folder;
  std::ofstream m_record;
  std::unique_ptr<EventLoop> m_loop;
  stand_in::StoreService m_store;
  stand_in::CallerPool m_client;
  const stand_in::SocketEndpoint m_advice_endpoint;
  const TimePoint m_begun_at;
  Fleet m_fleet;
  json m_routes = json::array();
  std::string m_prefix = k_prefix;
  int m_version = 0;  // of the configuration
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<std::unique_ptr<Worker>> m_workers;
  bool m_is_sound = true;
  bool m_has_finished = false;
  int m_result = k_could_not_run;
};

}  // namespace review
