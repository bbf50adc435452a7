// Stand-ins of the workers.
#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.hpp"
#include "store.hpp"
#include "world.hpp"

namespace review {

/// How a run goes on the worker that starts it.
struct Plan {
  Millis work_ms = 500;
  bool fails = false;  // instead of ending as done
};

/// A run on a worker.
struct Run {
  std::string task;
  unsigned number = 0;
  Plan plan;
  bool lasts = false;
  std::uint64_t cpu = 0;
  std::string gang;  // key of its gang run; empty: no gang
  unsigned gang_size = 0;
  Millis present_since = 0;
  Millis working_since = -1;  // -1: waits for the rest of its gang
  Millis stop_at = -1;
  bool saves = false;
  Millis saved_ms = 0;  // work that the checkpoint covers, also that of earlier runs
  Millis resumed_ms = 0;
  std::string checkpoint;
};

/// An end that has been taken note of.
struct NotedEnd {
  Millis at = 0;
  std::string task;
  std::string how;
};

struct End {
  std::uint64_t number = 0;
  std::string task;
  unsigned run = 0;
  std::string how;
  std::string checkpoint;
};

/// A start that a worker has carried out, for the checks of the cases.
struct Start {
  Millis at = 0;
  std::string task;
  unsigned run = 0;
  std::string worker;
  std::string kind;
  std::uint64_t born = 0;
  std::string checkpoint;
};

/// Settings of a worker that stay with its machine, but for the kind.
struct Machine {
  std::string name;
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  std::string rack;
  std::string kind = "a";
  std::uint64_t cpu = 64'000;
};

class Fleet;

/// One life of a machine.
struct Life {
  std::string id;
  std::uint64_t born = 0;
  Millis clock_zero = 0;
  Machine machine;
  std::unique_ptr<Server> server;
  bool alive = true;
  std::uint64_t token = 0;
  Millis lease_until = 0;  // on the worker's clock
  std::uint64_t sequence = 0;
  std::uint64_t ends = 0;
  std::list<Run> running;
  std::vector<End> finished;
  std::map<std::string, unsigned> highest_ended;  // by task: runs up to it are rejected
};

class Fleet {
 public:
  static constexpr Millis k_hold_max_ms = 6'000;
  static constexpr Millis k_stop_ms = 100;  // StopTimeoutMs allows 900
  static constexpr Millis k_gang_timeout_ms = 3'000;
  static constexpr Millis k_heartbeat_ms = 1'500;
  static constexpr Millis k_serving_startup_ms = 300;
  static constexpr Millis k_checkpoint_ms = 500;  // CheckpointS
  static constexpr Millis k_restore_ms = 100;
  static constexpr Millis k_unanswered_ms = 1'000;  // longer than a daemon waits

  Fleet(Store& store, const Clock& clock, Record& record, const SentJobs& jobs)
      : m_store(store), m_clock(clock), m_record(record), m_jobs(jobs) {}
  ~Fleet() { stop(); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Decides how a run goes. Called with the name of the task and of the machine.
  std::function<Plan(const TaskName&, const Machine&)> plan = [](const auto&, const auto&) {
    return Plan{};
  };
  /// For a start order: zero, or how much later it is carried out, without an answer. Called with
  /// the name of the task, the run and the machine.
  std::function<Millis(const TaskName&, unsigned, const Machine&)> late_by =
      [](const auto&, unsigned, const auto&) { return Millis{0}; };
  std::string service = "svc1";

  /// Id of the first life of the next machine to be added.
  [[nodiscard]] std::string next_id() const {
    return fmt::format("i-{:04x}{:02x}", m_machines.size() + 1, 1);
  }
  void add(Machine machine) {
    const std::string id = next_id();
    machine.port = free_port(machine.ip);
    m_machines.push_back(machine);
    begin_life(m_machines.size() - 1, id);
  }

  void start() {
    m_ticker = std::thread([this] {
      while (!m_stopping) {
        tick();
        sleep_ms(5);
      }
    });
  }

  void stop() {
    if (m_stopping.exchange(true)) {
      return;
    }
    if (m_ticker.joinable()) {
      m_ticker.join();
    }
    for (auto& life : m_lives) {
      end_life(*life);
    }
  }

  /// The process of the machine's worker ends; what it knew is lost.
  void crash(const std::string& machine) {
    Life* life = find_by_machine(machine);
    if (life == nullptr) {
      return;
    }
    m_record.write("worker {} ({}) crashes", life->id, machine);
    end_life(*life);
  }

  /// Starts the worker of a machine again, under a new id or the one that it had.
  void restart(const std::string& machine, bool same_id, const std::string& kind = "") {
    std::size_t index = 0;
    while (m_machines[index].name != machine) {
      ++index;
    }
    if (!kind.empty()) {
      m_machines[index].kind = kind;
    }
    const Life* last = nullptr;
    for (const auto& life : m_lives) {
      last = life->machine.name == machine ? life.get() : last;
    }
    const std::string id =
        same_id ? last->id : fmt::format("i-{:04x}{:02x}", index + 1, ++m_restarts + 1);
    begin_life(index, id);
  }

  /// Name of the machine on which a run of the task is present; empty if there is none.
  std::string machine_of(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    for (const auto& life : m_lives) {
      for (const Run& run : life->running) {
        if (life->alive && run.task == task) {
          return life->machine.name;
        }
      }
    }
    return {};
  }

  /// Processors of the runs that are present, in thousandths, and of all workers.
  std::pair<std::uint64_t, std::uint64_t> use() {
    const std::lock_guard lock(m_mutex);
    std::pair<std::uint64_t, std::uint64_t> use{0, 0};
    for (const auto& life : m_lives) {
      if (!life->alive) {
        continue;
      }
      use.second += life->machine.cpu;
      for (const Run& run : life->running) {
        use.first += run.cpu;
      }
    }
    return use;
  }

  std::vector<Start> starts() {
    const std::lock_guard lock(m_mutex);
    return m_starts;
  }
  std::vector<NotedEnd> noted_ends() {
    const std::lock_guard lock(m_mutex);
    return m_noted_ends;
  }
  /// Ends of a task's runs of all workers: run and how.
  std::vector<std::pair<unsigned, std::string>> ends_of_job(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<unsigned, std::string>> ends;
    for (const End& end : m_all_ends) {
      if (end.task.substr(0, 16) == job) {
        ends.emplace_back(end.run, end.how);
      }
    }
    return ends;
  }
  bool has_runs(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    for (const auto& life : m_lives) {
      for (const Run& run : life->running) {
        if (life->alive && run.task.substr(0, 16) == job) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  Millis clock_of(const Life& life) const { return m_clock.now() - life.clock_zero; }

  Life* find_by_machine(const std::string& machine) {
    const std::lock_guard lock(m_mutex);
    for (const auto& life : m_lives) {
      if (life->alive && life->machine.name == machine) {
        return life.get();
      }
    }
    return nullptr;
  }

  // The registration is stored before the worker takes its first order.
  void begin_life(std::size_t machine, const std::string& id) {
    auto life = std::make_unique<Life>();
    life->id = id;
    life->born = Clock::wall_ms();
    life->clock_zero = m_clock.now() - 1'000;
    life->machine = m_machines[machine];
    Life* added = life.get();
    life->server = std::make_unique<Server>(
        life->machine.ip, life->machine.port,
        [this, added](const Request& request) { return handle(*added, request); });
    {
      const std::lock_guard lock(m_mutex);
      m_lives.push_back(std::move(life));
      register_life(*added);
    }
    if (!added->server->start()) {
      m_record.write("worker {} can't listen", id);
      m_failed = true;
    }
    m_record.write("worker {} ({}, kind {}) starts, born {}", id, added->machine.name,
                   added->machine.kind, added->born);
  }

  void end_life(Life& life) {
    {
      const std::lock_guard lock(m_mutex);
      if (!life.alive) {
        return;
      }
      life.alive = false;
      for (const Run& run : life.running) {
        m_record.write("run {} {} on {} is lost with its worker", run.task, run.number, life.id);
        if (!run.gang.empty() && run.working_since >= 0) {
          m_broken_gangs.insert(run.gang);
        }
      }
      m_changed.notify_all();
    }
    life.server->stop();
  }

  void register_life(Life& life) {
    const Machine& machine = life.machine;
    const json entry{{"Service", service},
                     {"Address", machine.ip + ":" + std::to_string(machine.port)},
                     {"Zone", "zone-a"},
                     {"Version", "v1"},
                     {"Slots", 8},
                     {"State", "ready"},
                     {"ColdRemainingMs", 0},
                     {"Machine", machine.name},
                     {"Capacity", {{"Cpu", machine.cpu}, {"MemMb", 250'000}, {"Gpu", 0}}},
                     {"Labels", json::array({machine.kind, machine.rack})},
                     {"ClockMs", clock_of(life)},
                     {"born", life.born},
                     {"Sequence", ++life.sequence}};
    m_store.put("servers", life.id, entry.dump());
    m_registered_at[&life] = m_clock.now();
  }

  std::optional<Response> handle(Life& life, const Request& request) {
    const json body = json::parse(request.body, nullptr, false);
    std::unique_lock lock(m_mutex);
    if (!life.alive) {
      return std::nullopt;
    }
    const auto instance = request.headers.find("expected-instance");
    if (instance != request.headers.end() && instance->second != life.id) {
      return answer(life, 421, {});
    }
    if (!body.is_object()) {
      return answer(life, 400, {});
    }
    const std::uint64_t token = body.value("FencingToken", std::uint64_t{0});
    if (token < life.token) {
      return answer(life, 409, {{"Reason", "fence"}});
    }
    life.token = token;
    if (request.path == "/run-start") {
      if (leave_unanswered(life, body)) {
        lock.unlock();
        sleep_ms(k_unanswered_ms);
        return std::nullopt;
      }
      return start_run(life, body);
    }
    if (request.path == "/run-stop") {
      return stop_run(life, body);
    }
    if (request.path == "/hold") {
      return hold(life, body, lock);
    }
    if (request.path == "/pace") {
      return answer(life, 200, {});
    }
    return answer(life, 404, {});
  }

  // The order is carried out later, by whichever life has the id then.
  bool leave_unanswered(const Life& life, const json& body) {
    const std::string task = body.value("Task", "");
    const unsigned number = body.value("Run", 0U);
    const Millis delay = late_by(TaskName::parse(task), number, life.machine);
    if (delay == 0) {
      return false;
    }
    m_record.write("start {} {} on {} (born {}) is left unanswered", task, number, life.id,
                   life.born);
    m_late_orders.push_back({m_clock.now() + delay, life.id, body});
    return true;
  }

  void carry_out_late_orders() {
    for (auto order = m_late_orders.begin(); order != m_late_orders.end();) {
      if (m_clock.now() < order->due) {
        ++order;
        continue;
      }
      for (const auto& life : m_lives) {
        const std::uint64_t token = order->body.value("FencingToken", std::uint64_t{0});
        if (!life->alive || life->id != order->worker || token < life->token) {
          continue;
        }
        life->token = token;
        m_record.write("the unanswered start {} {} reaches {} (born {}) late",
                       order->body.value("Task", ""), order->body.value("Run", 0U), life->id,
                       life->born);
        (void)start_run(*life, order->body);
      }
      order = m_late_orders.erase(order);
    }
  }

  Response answer(const Life& life, int status, json body) const {
    if (!body.is_object()) {
      body = json::object();
    }
    body["ClockMs"] = clock_of(life);
    body["born"] = life.born;
    return {status, body.dump()};
  }

  void extend_lease(Life& life, const json& body) {
    const Millis wanted = body.value("DeadlineMs", Millis{0});
    life.lease_until = std::max(life.lease_until, std::min(wanted, clock_of(life) + k_hold_max_ms));
  }

  Response start_run(Life& life, const json& body) {
    const std::string task = body.value("Task", "");
    const unsigned number = body.value("Run", 0U);
    const TaskName name = TaskName::parse(task);
    const json step = m_jobs.step(name);
    if (step.is_null()) {
      m_record.write("start {} {} on {}: no client sent it", task, number, life.id);
      return answer(life, 400, {});
    }
    if (body.value("DeadlineMs", Millis{0}) <= clock_of(life)) {
      return reject(life, task, number, "late");
    }
    for (const Run& run : life.running) {
      if (run.task == task && run.number == number) {
        extend_lease(life, body);
        return answer(life, 200, {});
      }
    }
    const auto ended = life.highest_ended.find(task);
    if (ended != life.highest_ended.end() && number <= ended->second) {
      extend_lease(life, body);
      return reject(life, task, number, "old");
    }
    const bool fills = step.value("Fills", false);
    Run run;
    run.cpu = fills ? 0 : step.value("Cpu", std::uint64_t{0});
    std::uint64_t used = run.cpu;
    for (const Run& other : life.running) {
      used += other.cpu;
    }
    if (used > life.machine.cpu) {
      extend_lease(life, body);
      return reject(life, task, number, "room");
    }
    extend_lease(life, body);
    run.task = task;
    run.number = number;
    run.plan = plan(name, life.machine);
    run.lasts = step.value("LongRunning", false);
    run.present_since = m_clock.now();
    run.saves = step.value("Checkpointing", false);
    run.checkpoint = body.value("Checkpoint", "");
    run.saved_ms = std::strtol(run.checkpoint.c_str(), nullptr, 16);
    run.resumed_ms = run.saved_ms;
    if (step.value("Gang", false)) {
      run.gang = fmt::format("{}.{}.{}/{}", name.job, name.occurrence, name.step, number);
      run.gang_size = step.value("Count", 0U);
    } else {
      run.working_since = m_clock.now();
    }
    life.running.push_back(run);
    m_starts.push_back(
        {m_clock.now(), task, number, life.id, life.machine.kind, life.born, run.checkpoint});
    m_record.write("run {} {} starts on {} ({}, kind {}, born {}), checkpoint '{}'", task, number,
                   life.id, life.machine.name, life.machine.kind, life.born, run.checkpoint);
    return answer(life, 200, {});
  }

  Response reject(const Life& life, const std::string& task, unsigned number, const char* reason) {
    m_record.write("start {} {} on {} is rejected: {}", task, number, life.id, reason);
    return answer(life, 409, {{"Reason", reason}});
  }

  Response stop_run(Life& life, const json& body) {
    const std::string task = body.value("Task", "");
    const unsigned number = body.value("Run", 0U);
    unsigned& highest = life.highest_ended[task];
    highest = std::max(highest, number);
    for (Run& run : life.running) {
      if (run.task == task && run.number <= number && run.stop_at < 0) {
        run.stop_at = m_clock.now() + k_stop_ms;
        m_record.write("run {} {} on {} is told to stop", task, number, life.id);
      }
    }
    return answer(life, 200, {});
  }

  std::optional<Response> hold(Life& life, const json& body, std::unique_lock<std::mutex>& lock) {
    extend_lease(life, body);
    // Only ends that are listed at this moment; an acknowledgement has no effect on later ones.
    const std::uint64_t acknowledged = body.value("AckedThrough", std::uint64_t{0});
    std::erase_if(life.finished, [this, &life, acknowledged](const End& end) {
      const bool known = end.number <= acknowledged;
      if (known) {
        m_record.write("the end of run {} {} on {} is taken note of", end.task, end.run, life.id);
        m_noted_ends.push_back({m_clock.now(), end.task, end.how});
      }
      return known;
    });
    const Millis wait_ms = std::min<Millis>(body.value("WaitMs", Millis{0}), 2'000);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [this, &life] {
      return m_stopping || !life.alive || !life.finished.empty();
    });
    if (!life.alive) {
      return std::nullopt;
    }
    json running = json::array();
    for (const Run& run : life.running) {
      const Millis worked = worked_ms(run);
      const Millis percent = run.lasts ? (worked >= k_serving_startup_ms ? 100 : 0)
                                       : std::min<Millis>(99, worked * 100 / run.plan.work_ms);
      running.push_back({run.task, run.number, run.checkpoint, percent, run.lasts ? 5 : run.cpu});
    }
    json finished = json::array();
    for (const End& end : life.finished) {
      finished.push_back({end.number, end.task, end.run, end.how, end.checkpoint});
    }
    return answer(life, 200, {{"Running", running}, {"Finished", finished}});
  }

  void end_run(Life& life, const Run& run, const std::string& how) {
    const std::string checkpoint = how == "done" ? "" : run.checkpoint;
    life.finished.push_back({++life.ends, run.task, run.number, how, checkpoint});
    m_all_ends.push_back(life.finished.back());
    unsigned& highest = life.highest_ended[run.task];
    highest = std::max(highest, run.number);
    m_record.write("run {} {} on {} ends: {}, checkpoint '{}'", run.task, run.number, life.id, how,
                   checkpoint);
  }

  /// Work of the task, that of earlier runs up to the checkpoint included.
  [[nodiscard]] Millis worked_ms(const Run& run) const {
    if (run.working_since < 0) {
      return run.resumed_ms;
    }
    const Millis restore = run.resumed_ms > 0 ? k_restore_ms : 0;
    return run.resumed_ms + std::max<Millis>(0, m_clock.now() - run.working_since - restore);
  }

  // The value tells how much work it covers, so that members of a gang that save together have the
  // same one.
  void save_checkpoint(Run& run) const {
    const Millis whole = worked_ms(run) / k_checkpoint_ms * k_checkpoint_ms;
    if (run.saves && whole > run.saved_ms) {
      run.saved_ms = whole;
      run.checkpoint = fmt::format("{:016x}", whole);
    }
  }

  /// How the run ends now; empty if it goes on.
  std::string outcome(const Life& life, const Run& run) const {
    const Millis now = m_clock.now();
    if (clock_of(life) >= life.lease_until) {
      return "lapsed";
    }
    if (run.stop_at >= 0 && now >= run.stop_at) {
      return "stopped";
    }
    if (run.working_since < 0) {
      return now - run.present_since >= k_gang_timeout_ms ? "alone" : "";
    }
    if (worked_ms(run) < run.plan.work_ms) {
      return "";
    }
    if (run.plan.fails) {
      return "failed";
    }
    return run.lasts ? "" : "done";
  }

  void tick() {
    const std::lock_guard lock(m_mutex);
    carry_out_late_orders();
    begin_gangs();
    std::map<std::string, std::string> ended_gangs;  // how the first member ended
    for (const std::string& gang : m_broken_gangs) {
      ended_gangs.emplace(gang, "lost");
    }
    m_broken_gangs.clear();
    bool changed = false;
    for (const auto& life : m_lives) {
      if (!life->alive) {
        continue;
      }
      if (m_clock.now() - m_registered_at[life.get()] >= k_heartbeat_ms) {
        register_life(*life);
      }
      for (auto run = life->running.begin(); run != life->running.end();) {
        save_checkpoint(*run);
        const std::string how = outcome(*life, *run);
        if (how.empty()) {
          ++run;
          continue;
        }
        if (!run->gang.empty() && run->working_since >= 0) {
          ended_gangs.emplace(run->gang, how);
        }
        end_run(*life, *run, how);
        run = life->running.erase(run);
        changed = true;
      }
    }
    // The members of a gang end together: done, or broken by the end of another one.
    for (const auto& life : m_lives) {
      for (auto run = life->running.begin(); life->alive && run != life->running.end();) {
        const auto ended = ended_gangs.find(run->gang);
        if (run->gang.empty() || ended == ended_gangs.end()) {
          ++run;
          continue;
        }
        end_run(*life, *run, ended->second == "done" ? "done" : "broken");
        run = life->running.erase(run);
        changed = true;
      }
    }
    if (changed) {
      m_changed.notify_all();
    }
  }

  // A gang works from the moment at which all tasks of one run are present.
  void begin_gangs() {
    std::map<std::string, std::vector<Run*>> gangs;
    for (const auto& life : m_lives) {
      for (Run& run : life->running) {
        if (life->alive && !run.gang.empty()) {
          gangs[run.gang].push_back(&run);
        }
      }
    }
    for (auto& [key, members] : gangs) {
      if (members.size() < members.front()->gang_size) {
        continue;
      }
      for (Run* run : members) {
        run->working_since = run->working_since < 0 ? m_clock.now() : run->working_since;
      }
    }
  }

  Store& m_store;
  const Clock& m_clock;
  Record& m_record;
  const SentJobs& m_jobs;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Machine> m_machines;
  std::vector<std::unique_ptr<Life>> m_lives;  // also those that have ended
  std::map<const Life*, Millis> m_registered_at;
  struct LateOrder {
    Millis due = 0;
    std::string worker;
    json body;
  };
  std::list<LateOrder> m_late_orders;
  std::vector<Start> m_starts;
  std::vector<End> m_all_ends;
  std::vector<NotedEnd> m_noted_ends;
  std::set<std::string> m_broken_gangs;  // a member has been lost with its worker
  unsigned m_restarts = 0;
  bool m_failed = false;
  std::atomic<bool> m_stopping = false;
  std::thread m_ticker;
};

}  // namespace review
