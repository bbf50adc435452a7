// A small worker whose runs end as the case says: it registers, takes starts and stops under a
// lease, and lists its runs and their ends. Members of a gang work from the moment when all are
// present.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "deployment.hpp"

namespace review {

/// How a run ends by itself; empty: it goes on until it is stopped.
struct OwnEnd {
  Duration after{};  // counted from when it works
  std::string how;
};

/// What the workers of a case share.
struct GreyFleet {
  std::function<std::optional<OwnEnd>(const std::string& worker, const std::string& task,
                                      std::uint64_t run)>
      own_end = [](const auto&, const auto&, auto) { return std::nullopt; };
  std::map<std::string, std::size_t> gang_members;  // by job: tasks of its gang; missing: no gang
  struct Gang {
    std::set<std::string> members;
    std::optional<TimePoint> works_since;
    std::optional<TimePoint> broken_at;  // when the others are told that a member has ended
  };
  std::map<std::string, Gang> gangs;  // by step and run
  struct Start {
    TimePoint at{};
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
  };
  struct End {
    TimePoint at{};
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::string worker;
  };
  std::vector<Start> starts;
  std::vector<End> ends;
};

class GreyWorker {
 public:
  GreyWorker(Deployment& deployment, GreyFleet& fleet, std::string id, std::string kind, int host)
      : m_deployment(deployment),
        m_fleet(fleet),
        m_id(std::move(id)),
        m_kind(std::move(kind)),
        m_service(deployment.loop(), free_endpoint(Deployment::ip_of(host)),
                  [this](const ServedRequest& request, const ConnectionPtr& caller) {
                    serve(request, caller);
                  }) {}
  GreyWorker(const GreyWorker&) = delete;
  GreyWorker& operator=(const GreyWorker&) = delete;

  bool start() {
    const bool is_open = m_service.open();
    m_born_ms = wall_ms();
    m_started_at = m_deployment.loop().read_clock();
    heartbeat();
    tick();
    return is_open;
  }
  void close() { m_service.close(); }
  [[nodiscard]] const std::string& id() const { return m_id; }

 private:
  struct Run {
    std::string task;
    std::uint64_t number = 0;
    std::uint64_t cpu = 0;
    TimePoint started_at{};
    bool is_stopped = false;
  };
  struct Listed {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };
  struct Poll {
    std::weak_ptr<HttpConnection> caller;
    TimePoint until{};
  };

  static std::uint64_t wall_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
  }
  [[nodiscard]] TimePoint now() const { return m_deployment.loop().read_clock(); }
  [[nodiscard]] std::uint64_t clock_ms() const {
    return 1'000 +
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_started_at).count());
  }

  void heartbeat() {
    const json entry{{"Service", "s1"},
                     {"Address", m_service.endpoint().text()},
                     {"Zone", "halle-a"},
                     {"Version", "v1"},
                     {"Slots", 8},
                     {"State", "ready"},
                     {"ColdRemainingMs", 0},
                     {"Machine", "m-" + m_id},
                     {"Capacity", {{"Cpu", 64'000}, {"MemMb", 250'000}, {"Gpu", 0}}},
                     {"Labels", json::array({m_kind, "r1"})},
                     {"ClockMs", clock_ms()},
                     {"born", m_born_ms},
                     {"Sequence", ++m_sequence}};
    m_deployment.store().put("keyed.servers", {m_id, entry.dump()});
    m_deployment.after(1500ms, [this] { heartbeat(); });
  }

  void respond(const ConnectionPtr& caller, int status, json body) const {
    if (caller) {
      body["ClockMs"] = clock_ms();
      body["born"] = m_born_ms;
      caller->send(ServedResponse{status, body.dump()}.bytes());
    }
  }

  void serve(const ServedRequest& request, const ConnectionPtr& caller) {
    const auto instance = request.message.headers.find("expected-instance");
    if (instance != request.message.headers.end() && instance->second != m_id) {
      return respond(caller, 421, json::object());
    }
    const json body = json::parse(request.message.body, nullptr, false);
    if (!body.is_object()) {
      return respond(caller, 400, json::object());
    }
    const std::uint64_t token = body.value("FencingToken", std::uint64_t{0});
    if (token < m_token) {
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
    m_lease_until_ms = std::max(m_lease_until_ms, std::min(wanted, clock_ms() + 6'000));
  }

  [[nodiscard]] std::string gang_key(const Run& run) const {
    return step_of(run.task) + "/" + std::to_string(run.number);
  }
  [[nodiscard]] std::size_t gang_size(const Run& run) const {
    const auto found = m_fleet.gang_members.find(job_of(run.task));
    return found == m_fleet.gang_members.end() ? 0 : found->second;
  }

  void start_run(const json& body, const ConnectionPtr& caller) {
    Run run;
    run.task = body.value("Task", "");
    run.number = body.value("Run", std::uint64_t{0});
    if (body.value("DeadlineMs", std::uint64_t{0}) <= clock_ms()) {
      return respond(caller, 409, {{"Reason", "late"}});
    }
    extend_lease(body);
    for (const Run& other : m_running) {
      if (other.task == run.task && other.number == run.number) {
        return respond(caller, 200, json::object());
      }
    }
    const auto highest = m_highest.find(run.task);
    if (highest != m_highest.end() && run.number <= highest->second) {
      return respond(caller, 409, {{"Reason", "old"}});
    }
    run.cpu = m_deployment.record().plans.step_of(run.task).cpu_millis;
    std::uint64_t used = run.cpu;
    for (const Run& other : m_running) {
      used += other.cpu;
    }
    if (used > 64'000) {
      return respond(caller, 409, {{"Reason", "room"}});
    }
    run.started_at = now();
    m_fleet.starts.push_back({now(), run.task, run.number, m_id});
    m_deployment.note(fmt::format("worker {}: start of {} run {}", m_id, run.task, run.number));
    if (const std::size_t size = gang_size(run); size > 0) {
      GreyFleet::Gang& gang = m_fleet.gangs[gang_key(run)];
      gang.members.insert(run.task);
      if (gang.members.size() == size && !gang.works_since) {
        gang.works_since = now();
      }
    }
    m_running.push_back(std::move(run));
    respond(caller, 200, json::object());
  }

  void stop_run(const json& body, const ConnectionPtr& caller) {
    const std::string task = body.value("Task", "");
    const std::uint64_t number = body.value("Run", std::uint64_t{0});
    std::uint64_t& highest = m_highest[task];
    highest = std::max(highest, number);
    for (Run& run : m_running) {
      run.is_stopped = run.is_stopped || (run.task == task && run.number <= number);
    }
    respond(caller, 200, json::object());
  }

  void poll(const json& body, const ConnectionPtr& caller) {
    extend_lease(body);
    const std::uint64_t through = body.value("AckedThrough", std::uint64_t{0});
    std::erase_if(m_ends, [&](const Listed& end) { return end.number <= through; });
    const auto wait = std::chrono::milliseconds{
        std::min<std::uint64_t>(body.value("WaitMs", std::uint64_t{0}), 2'000)};
    m_polls.push_back({caller, m_ends.empty() ? now() + wait : now()});
    answer_polls();
  }

  void answer_polls() {
    std::erase_if(m_polls, [this](const Poll& waiting) {
      if (m_ends.empty() && now() < waiting.until) {
        return false;
      }
      json running = json::array();
      for (const Run& run : m_running) {
        running.push_back({run.task, run.number, "", 50, 1'000});
      }
      json finished = json::array();
      for (const Listed& end : m_ends) {
        finished.push_back({end.number, end.task, end.run, end.how, ""});
      }
      respond(waiting.caller.lock(), 200, {{"Running", running}, {"Finished", finished}});
      return true;
    });
  }

  [[nodiscard]] std::string how_it_ends(const Run& run) {
    const auto own = m_fleet.own_end(m_id, run.task, run.number);
    if (gang_size(run) > 0) {
      GreyFleet::Gang& gang = m_fleet.gangs[gang_key(run)];
      if (gang.works_since && own && now() >= *gang.works_since + own->after) {
        return own->how;
      }
      if (gang.broken_at && now() >= *gang.broken_at) {
        return "broken";
      }
      if (!gang.works_since && now() >= run.started_at + 3s) {
        return "alone";
      }
    } else if (own && now() >= run.started_at + own->after) {
      return own->how;
    }
    if (clock_ms() >= m_lease_until_ms) {
      return "lapsed";
    }
    return run.is_stopped ? "stopped" : "";
  }

  void tick() {
    for (auto run = m_running.begin(); run != m_running.end();) {
      const std::string how = how_it_ends(*run);
      if (how.empty()) {
        ++run;
        continue;
      }
      if (gang_size(*run) > 0 && how != "done") {
        GreyFleet::Gang& gang = m_fleet.gangs[gang_key(*run)];
        // The other members learn of it over the network.
        gang.broken_at = gang.broken_at.value_or(now() + k_gang_notice);
      }
      std::uint64_t& highest = m_highest[run->task];
      highest = std::max(highest, run->number);
      m_ends.push_back({++m_last_end, run->task, run->number, how});
      m_fleet.ends.push_back({now(), run->task, run->number, how, m_id});
      m_deployment.note(
          fmt::format("worker {}: {} run {} has ended {}", m_id, run->task, run->number, how));
      run = m_running.erase(run);
    }
    answer_polls();
    m_deployment.after(5ms, [this] { tick(); });
  }

  static constexpr Duration k_gang_notice = 20ms;

  Deployment& m_deployment;
  GreyFleet& m_fleet;
  const std::string m_id;
  const std::string m_kind;
  HttpService m_service;
  std::uint64_t m_born_ms = 0;
  TimePoint m_started_at{};
  std::uint64_t m_token = 0;
  std::uint64_t m_lease_until_ms = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_end = 0;
  std::vector<Run> m_running;
  std::vector<Listed> m_ends;
  std::vector<Poll> m_polls;
  std::map<std::string, std::uint64_t> m_highest;
};

}  // namespace review
