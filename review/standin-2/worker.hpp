// A stand-in of a worker, by the platform's protocol page: it registers, runs tasks under a lease,
// lists their ends until they are acknowledged, and can crash and begin another life under its id.
// It runs what it is told to run and judges nothing.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/net/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "http_service_test.hpp"
#include "store_service_test.hpp"
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace review {

using arbutusdale::Duration;
using arbutusdale::TimePoint;
using arbutusdale::net::EventLoop;
using nlohmann::json;
namespace stand_in = arbutusdale::platform::process_test;

inline std::uint64_t wall_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

/// How the tasks of a job behave.
struct TaskBehaviour {
  std::uint64_t cpu_millis = 0;  // that count against the capacity of a worker
  Duration work = std::chrono::seconds{1};
  bool is_long_running = false;
  Duration fails_after{};  // each run ends `failed` after it; zero: none does
};

/// A run of a task on one of the workers.
struct Run {
  std::string task;
  std::uint64_t number = 0;
  TaskBehaviour behaviour;
  TimePoint started_at{};
  bool is_stopped = false;
  TimePoint stopped_at{};
};

/// What all workers share: the behaviour of jobs, and the record.
struct Fleet {
  std::map<std::string, TaskBehaviour> behaviours;  // by job
  /// Ends `failed` of each job: task and run.
  std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>> failed_ends;
  std::map<std::string, std::size_t> starts;  // by job
  std::set<std::string> noted_as_done;        // tasks whose end `done` was acknowledged
  std::size_t starts_after_done = 0;          // of such tasks
  std::function<void(const std::string&)> trace = [](const std::string&) {};

  [[nodiscard]] TaskBehaviour behaviour_of(const std::string& task) const {
    const auto found = behaviours.find(task.substr(0, task.find('.')));
    return found == behaviours.end() ? TaskBehaviour{} : found->second;
  }
};

struct WorkerOptions {
  std::string id;
  std::string service = "s1";
  std::string zone = "z1";
  std::string kind = "a";
  std::string rack = "r1";
  std::uint64_t cpu_millis = 64'000;
  std::uint64_t memory_mib = 250'000;
};

class Worker {
 public:
  Worker(EventLoop& loop, stand_in::StoreService& store, Fleet& fleet, WorkerOptions options,
         const stand_in::SocketEndpoint& endpoint)
      : m_loop(loop),
        m_store(store),
        m_fleet(fleet),
        m_options(std::move(options)),
        m_service(loop, endpoint,
                  [this](const stand_in::ServedRequest& request,
                         const stand_in::ConnectionPtr& caller) { serve(request, caller); }) {}
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const WorkerOptions& options() const { return m_options; }
  [[nodiscard]] bool is_up() const { return m_is_up; }
  [[nodiscard]] std::uint64_t used_cpu_millis() const {
    std::uint64_t used = 0;
    for (const Run& run : m_running) {
      used += run.behaviour.cpu_millis;
    }
    return used;
  }
  [[nodiscard]] bool runs_job(const std::string& job) const {
    return std::any_of(m_running.begin(), m_running.end(),
                       [&job](const Run& run) { return run.task.starts_with(job); });
  }

  /// Begins a life, also after a crash. False if the address can't be listened on.
  bool start() {
    const bool is_listening = m_service.open();
    m_is_up = true;
    m_born_ms = wall_ms();
    m_started_at = m_loop.now();
    heartbeat();
    end_due_runs();
    return is_listening;
  }

  /// The process is gone at once, with all that it ran; connections to it are reset.
  void crash() {
    m_service.close();
    m_is_up = false;
    ++m_lives;
    for (const Run& run : m_running) {
      m_fleet.trace(
          fmt::format("{}: {} run {} is lost with its worker", m_options.id, run.task, run.number));
    }
    for (const Poll& waiting : std::exchange(m_polls, {})) {
      m_loop.cancel(waiting.timer);
    }
    m_running.clear();
    m_ends.clear();
    m_highest_ended.clear();
    m_token = m_lease_until_ms = m_sequence = m_last_end = 0;
  }
  void close() { m_service.close(); }

  bool is_cut = false;  // calls don't arrive
  /// The first order to start a run of this job is left unanswered and carried out `lateness` after
  /// it came, in whatever life; empty: of no job.
  std::string late_job;
  Duration lateness{};

 private:
  // Bounds of the small deployments, as the settings name them.
  static constexpr std::uint64_t k_hold_max_ms = 6'000;
  static constexpr Duration k_stop_time = std::chrono::milliseconds{100};
  static constexpr std::uint64_t k_max_wait_ms = 2'000;
  static constexpr Duration k_heartbeat = std::chrono::milliseconds{1'500};
  static constexpr int k_missed_heartbeats = 3;  // until the registration is removed
  static constexpr Duration k_tick = std::chrono::milliseconds{10};
  static constexpr std::size_t k_listed_ends = 500;
  static constexpr int k_tail_ms = 20;  // well below the targets
  static constexpr int k_used_cpu_millis = 4'000;

  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  struct Poll {
    std::weak_ptr<stand_in::HttpConnection> caller;
    EventLoop::TimerId timer = 0;
  };

  [[nodiscard]] std::uint64_t clock_ms() const {
    return 1'000 + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                  m_loop.read_clock() - m_started_at)
                                                  .count());
  }

  void heartbeat() {
    const json entry{
        {"Service", m_options.service},
        {"Address", m_service.endpoint().text()},
        {"Zone", m_options.zone},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Machine", "m-" + m_options.id},
        {"Capacity", {{"Cpu", m_options.cpu_millis}, {"MemMb", m_options.memory_mib}, {"Gpu", 0}}},
        {"Labels", json::array({m_options.kind, m_options.rack})},
        {"ClockMs", clock_ms()},
        {"born", m_born_ms},
        {"Sequence", ++m_sequence}};
    m_store.put("keyed.servers", {m_options.id, entry.dump()});
    const std::uint64_t written = ++m_registrations;
    m_loop.call_after(k_missed_heartbeats * k_heartbeat, [this, written] {
      if (m_registrations == written) {
        m_store.put("keyed.servers", {m_options.id, ""});
      }
    });
    m_loop.call_after(k_heartbeat, [this, lives = m_lives] {
      if (lives == m_lives) {
        heartbeat();
      }
    });
  }

  void respond(const stand_in::ConnectionPtr& caller, int status, json body) const {
    if (!caller) {
      return;
    }
    body["ClockMs"] = clock_ms();
    body["born"] = m_born_ms;
    caller->send(stand_in::ServedResponse{status, body.dump()}.bytes());
  }

  void serve(const stand_in::ServedRequest& request, const stand_in::ConnectionPtr& caller) {
    if (is_cut) {
      caller->mute();
      return;
    }
    if (is_late(request)) {
      m_fleet.trace(
          fmt::format("{}: leaves an order unanswered: {}", m_options.id, request.message.body));
      m_loop.call_after(lateness, [this, request] {
        if (m_is_up) {
          m_fleet.trace(fmt::format("{}: carries out the late order", m_options.id));
          execute(request, nullptr);
        }
      });
      caller->mute();
      return;
    }
    execute(request, caller);
  }

  bool is_late(const stand_in::ServedRequest& request) {
    if (late_job.empty() || request.path != "/run-start") {
      return false;
    }
    const json body = json::parse(request.message.body, nullptr, false);
    const std::string task = body.is_object() ? body.value("Task", "") : "";
    return task.starts_with(late_job) &&
           m_late_starts.emplace(task, body.value("Run", std::uint64_t{0})).second;
  }

  /// `caller` is null if nobody waits for the answer.
  void execute(const stand_in::ServedRequest& request, const stand_in::ConnectionPtr& caller) {
    const json body = json::parse(request.message.body, nullptr, false);
    const auto instance = request.message.headers.find("expected-instance");
    if (instance != request.message.headers.end() && instance->second != m_options.id) {
      return respond(caller, 421, json::object());
    }
    if (!body.is_object()) {
      return respond(caller, 400, json::object());
    }
    const std::uint64_t token = body.value("FencingToken", std::uint64_t{0});
    if (token < m_token) {
      m_fleet.trace(
          fmt::format("{}: refuses {} with the lower token {}", m_options.id, request.path, token));
      return respond(caller, 409, {{"Reason", "fence"}});
    }
    m_token = token;
    if (request.path == "/run-start") {
      return start_run(body, caller);
    }
    if (request.path == "/run-stop") {
      return stop_run(body, caller);
    }
    if (request.path == "/hold") {
      return poll(body, caller);
    }
    respond(caller, request.path == "/pace" ? 200 : 404, json::object());
  }

  void extend_lease(const json& body) {
    const std::uint64_t wanted = body.value("DeadlineMs", std::uint64_t{0});
    m_lease_until_ms = std::max(m_lease_until_ms, std::min(wanted, clock_ms() + k_hold_max_ms));
  }

  void start_run(const json& body, const stand_in::ConnectionPtr& caller) {
    const std::string task = body.value("Task", "");
    const std::uint64_t number = body.value("Run", std::uint64_t{0});
    if (body.value("DeadlineMs", std::uint64_t{0}) <= clock_ms()) {
      return respond(caller, 409, {{"Reason", "late"}});
    }
    extend_lease(body);
    for (const Run& run : m_running) {
      if (run.task == task && run.number == number) {
        return respond(caller, 200, json::object());
      }
    }
    const auto ended = m_highest_ended.find(task);
    if (ended != m_highest_ended.end() && number <= ended->second) {
      return respond(caller, 409, {{"Reason", "old"}});
    }
    Run run{task, number, m_fleet.behaviour_of(task), m_loop.now()};
    if (used_cpu_millis() + run.behaviour.cpu_millis > m_options.cpu_millis) {
      m_fleet.trace(
          fmt::format("{}: {} run {} is rejected for want of room", m_options.id, task, number));
      return respond(caller, 409, {{"Reason", "room"}});
    }
    m_fleet.trace(fmt::format("{}: {} run {} starts", m_options.id, task, number));
    m_fleet.starts_after_done += m_fleet.noted_as_done.contains(task) ? 1 : 0;
    const std::string job = task.substr(0, task.find('.'));
    ++m_fleet.starts[job];
    m_running.push_back(std::move(run));
    respond(caller, 200, json::object());
  }

  void stop_run(const json& body, const stand_in::ConnectionPtr& caller) {
    const std::string task = body.value("Task", "");
    const std::uint64_t number = body.value("Run", std::uint64_t{0});
    std::uint64_t& highest = m_highest_ended[task];
    highest = std::max(highest, number);
    for (Run& run : m_running) {
      if (run.task == task && run.number <= number && !std::exchange(run.is_stopped, true)) {
        run.stopped_at = m_loop.now();
      }
    }
    respond(caller, 200, json::object());
  }

  void poll(const json& body, const stand_in::ConnectionPtr& caller) {
    extend_lease(body);
    acknowledge(body.value("AckedThrough", std::uint64_t{0}));
    const std::uint64_t wait_ms = std::min(body.value("WaitMs", std::uint64_t{0}), k_max_wait_ms);
    if (wait_ms == 0 || !m_ends.empty()) {
      return answer_poll(caller);
    }
    const auto waiting = m_polls.insert(m_polls.end(), {caller});
    waiting->timer = m_loop.call_after(std::chrono::milliseconds{wait_ms}, [this, waiting] {
      answer_poll(waiting->caller.lock());
      m_polls.erase(waiting);
    });
  }

  void acknowledge(std::uint64_t through) {
    std::erase_if(m_ends, [this, through](const End& end) {
      const bool is_noted = end.number <= through;
      if (is_noted && end.how == "done") {
        m_fleet.trace(fmt::format("{}: the end of {} run {} is taken note of", m_options.id,
                                  end.task, end.run));
        m_fleet.noted_as_done.insert(end.task);
      }
      return is_noted;
    });
  }

  void answer_poll(const stand_in::ConnectionPtr& caller) {
    json running = json::array();
    for (const Run& run : m_running) {
      const int figure = run.behaviour.is_long_running ? k_tail_ms : k_used_cpu_millis;
      running.push_back({run.task, run.number, "", percent_of(run), figure});
    }
    json finished = json::array();
    for (const End& end : m_ends) {
      if (finished.size() < k_listed_ends) {
        finished.push_back({end.number, end.task, end.run, end.how, ""});
      }
    }
    respond(caller, 200, {{"Running", running}, {"Finished", finished}});
  }

  // ---- runs ----

  [[nodiscard]] Duration worked(const Run& run) const { return m_loop.now() - run.started_at; }
  [[nodiscard]] std::int64_t percent_of(const Run& run) const {
    constexpr std::int64_t k_all = 100;
    if (run.behaviour.is_long_running) {
      return k_all;
    }
    return std::min(k_all - 1, worked(run) * k_all / run.behaviour.work);
  }

  /// Empty while the run goes on.
  [[nodiscard]] std::string how_it_ends(const Run& run, bool has_lapsed) const {
    if (has_lapsed) {
      return "lapsed";
    }
    if (run.is_stopped) {
      return m_loop.now() - run.stopped_at >= k_stop_time ? "stopped" : "";
    }
    const Duration fails_after = run.behaviour.fails_after;
    if (fails_after > Duration::zero() && worked(run) >= fails_after) {
      return "failed";
    }
    const bool is_over = worked(run) >= run.behaviour.work;
    return is_over && !run.behaviour.is_long_running ? "done" : "";
  }

  void end_due_runs() {
    const bool has_lapsed = clock_ms() >= m_lease_until_ms;
    const std::size_t ends_before = m_ends.size();
    for (auto run = m_running.begin(); run != m_running.end();) {
      const std::string how = how_it_ends(*run, has_lapsed);
      if (how.empty()) {
        ++run;
        continue;
      }
      end_run(*run, how);
      run = m_running.erase(run);
    }
    if (m_ends.size() > ends_before) {
      for (const Poll& waiting : std::exchange(m_polls, {})) {
        m_loop.cancel(waiting.timer);
        answer_poll(waiting.caller.lock());
      }
    }
    m_loop.call_after(k_tick, [this, lives = m_lives] {
      if (lives == m_lives) {
        end_due_runs();
      }
    });
  }

  void end_run(const Run& run, const std::string& how) {
    std::uint64_t& highest = m_highest_ended[run.task];
    highest = std::max(highest, run.number);
    const std::string job = run.task.substr(0, run.task.find('.'));
    if (how == "failed") {
      m_fleet.failed_ends[job].emplace(run.task, run.number);
    }
    m_fleet.trace(fmt::format("{}: {} run {} ends {}", m_options.id, run.task, run.number, how));
    m_ends.push_back({++m_last_end, run.task, run.number, how});
  }

  EventLoop& m_loop;
  stand_in::StoreService& m_store;
  Fleet& m_fleet;
  const WorkerOptions m_options;
  stand_in::HttpService m_service;

  bool m_is_up = false;
  std::uint64_t m_lives = 0;  // that have ended
  std::uint64_t m_born_ms = 0;
  TimePoint m_started_at{};
  std::uint64_t m_registrations = 0;                              // written
  std::set<std::pair<std::string, std::uint64_t>> m_late_starts;  // runs, in all lives

  // Of the present life.
  std::uint64_t m_token = 0;           // highest fencing token seen
  std::uint64_t m_lease_until_ms = 0;  // on the worker's clock, of all that runs here
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_end = 0;
  std::list<Run> m_running;
  std::vector<End> m_ends;  // not acknowledged yet
  std::list<Poll> m_polls;  // that wait for an end
  std::map<std::string, std::uint64_t> m_highest_ended;
};

}  // namespace review
