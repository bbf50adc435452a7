// Test fixture: several daemons that share a store and a fleet of workers. Each daemon has an event
// loop that can be suspended, and its own faults on the paths to the store and to each worker.
#pragma once

#include "arbutusdale/fleet/node.hpp"
#include "arbutusdale/observe/event_log.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../sched/sched_fixture_test.hpp"

namespace arbutusdale::fleet {

/// Event loop of one process. Nothing runs while the process is suspended. When it is resumed, the
/// replies that have arrived are delivered before the timers that are due.
class FakeProcess final : public Timer {
 public:
  explicit FakeProcess(store::FakeTimer& timer) : m_timer(timer) {}
  ~FakeProcess() override { end(); }

  [[nodiscard]] TimePoint now() const override { return m_timer.now(); }
  [[nodiscard]] std::uint64_t wall_ms() const override { return m_timer.wall_ms(); }
  void call_after(Duration delay, std::function<void()> action) override {
    m_timer.call_after(delay, [state = m_state, action = std::move(action)] {
      run_or_queue(*state, state->due_timers, action);
    });
  }

  /// Passes a reply on to `done` once the process runs.
  template <typename Reply>
  std::function<void(Reply)> receive(std::function<void(Reply)> done) {
    return [state = m_state, done = std::move(done)](Reply reply) {
      run_or_queue(*state, state->replies,
                   [done, reply = std::move(reply)]() mutable { done(std::move(reply)); });
    };
  }

  void suspend() { m_state->suspended = true; }
  void resume() {
    const auto state = m_state;
    state->suspended = false;
    run_all(*state, std::exchange(state->replies, {}));
    run_all(*state, std::exchange(state->due_timers, {}));
  }
  /// Ends the process: nothing runs any more.
  void end() { m_state->ended = true; }
  [[nodiscard]] bool is_suspended() const { return m_state->suspended; }

 private:
  using Actions = std::vector<std::function<void()>>;
  struct State {
    bool suspended = false;
    bool ended = false;
    Actions replies;
    Actions due_timers;
  };

  static void run_or_queue(State& state, Actions& queue, std::function<void()> action) {
    if (state.ended) {
      return;
    }
    if (state.suspended) {
      queue.push_back(std::move(action));
      return;
    }
    action();
  }
  static void run_all(const State& state, const Actions& actions) {
    for (const auto& action : actions) {
      if (!state.ended) {
        action();
      }
    }
  }

  store::FakeTimer& m_timer;
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

enum class PathFault : std::uint8_t {
  none,
  refused,     ///< every call fails at once
  silent,      ///< no call and no reply arrives
  no_replies,  ///< calls arrive, but no replies
};

/// The store as one daemon reaches it.
class DaemonStore final : public store::MetadataStore {
 public:
  DaemonStore(store::FakeStore& store, store::FakeTimer& timer, FakeProcess& process)
      : m_store(store), m_timer(timer), m_process(process) {}

  bool disconnected = false;  // every call is refused at once
  PathFault append_fault = PathFault::none;
  PathFault read_fault = PathFault::none;  // also of scans

  void append(store::AppendRequest request, AppendDone done) override {
    const Duration timeout = request.timeout;
    send<store::AppendReply, store::AppendError>(
        append_fault, std::move(done), {store::AppendFailure::refused, 0, "disconnected"},
        {store::AppendFailure::unknown, 0, "no reply"}, timeout,
        [&](AppendDone reply) { m_store.append(std::move(request), std::move(reply)); });
  }
  void read(store::ReadRequest request, ReadDone done) override {
    const Duration timeout = std::chrono::milliseconds{request.wait_ms} + request.reply_timeout;
    send<store::ReadReply, store::ReadError>(
        read_fault, std::move(done), {store::ReadFailure::unavailable, "disconnected"},
        {store::ReadFailure::timed_out, "no reply"}, timeout,
        [&](ReadDone reply) { m_store.read(std::move(request), std::move(reply)); });
  }
  void scan(store::Partition partition, std::string after_key, ScanDone done) override {
    send<store::ScanPage, store::ReadError>(
        read_fault, std::move(done), {store::ReadFailure::unavailable, "disconnected"},
        {store::ReadFailure::timed_out, "no reply"}, k_scan_timeout, [&](ScanDone reply) {
          m_store.scan(std::move(partition), std::move(after_key), std::move(reply));
        });
  }

 private:
  static constexpr Duration k_scan_timeout = std::chrono::seconds{1};

  template <typename Reply, typename Error>
  using Done = std::function<void(tl::expected<Reply, Error>)>;

  template <typename Reply, typename Error, typename Call>
  void send(const PathFault& fault, Done<Reply, Error> done, const Error& refused,
            const Error& unanswered, Duration timeout, Call call) {
    if (disconnected || fault == PathFault::refused) {
      done(tl::unexpected(refused));
      return;
    }
    const Done<Reply, Error> receive = m_process.receive(std::move(done));
    const auto time_out = [&timer = m_timer, receive, unanswered, timeout] {
      timer.call_after(timeout, [receive, unanswered] { receive(tl::unexpected(unanswered)); });
    };
    if (fault == PathFault::silent) {
      time_out();
      return;
    }
    call([receive, time_out, &fault](tl::expected<Reply, Error> reply) {
      if (fault == PathFault::silent || fault == PathFault::no_replies) {
        time_out();
        return;
      }
      receive(std::move(reply));
    });
  }

  store::FakeStore& m_store;
  store::FakeTimer& m_timer;
  FakeProcess& m_process;
};

/// The path from one daemon to one worker. The runs of a worker go on whatever the path does.
struct WorkerPath {
  PathFault fault = PathFault::none;
  // Numbers of the next orders that get no answer and are carried out `late_by` later, by whichever
  // incarnation of the worker is there then.
  int late_starts = 0;
  int late_polls = 0;
  int late_stops = 0;
  /// Number of the next starts whose connection breaks before the answer, and which are carried out
  /// `late_by` later.
  int broken_starts = 0;
  Duration late_by = std::chrono::seconds{3};
};

/// The workers as one daemon reaches them.
class DaemonOrders final : public sched::WorkerOrders {
 public:
  DaemonOrders(sched::FakeFleet& fleet, store::FakeTimer& timer, FakeProcess& process)
      : m_fleet(fleet), m_timer(timer), m_process(process) {}

  WorkerPath& path(const std::string& worker) { return *path_to(m_fleet.address_of(worker)); }

  void poll(const sched::WorkerEndpoint& to, const sched::PollOrder& order,
            PollDone done) override {
    send<sched::PollReply>(
        to, path_to(to.address)->late_polls, std::move(done),
        [=, &fleet = m_fleet](PollDone reply) { fleet.poll(to, order, std::move(reply)); });
  }
  void start(const sched::WorkerEndpoint& to, const sched::StartOrder& order, Done done) override {
    const auto call = [=, &fleet = m_fleet](const Done& reply) { fleet.start(to, order, reply); };
    WorkerPath& used = *path_to(to.address);
    if (used.fault == PathFault::none && used.broken_starts > 0) {
      --used.broken_starts;
      m_timer.call_after(used.late_by, [call] { call([](const auto&) {}); });
      m_timer.call_after(k_network_delay, [receive = m_process.receive(std::move(done))] {
        receive(tl::unexpected(
            sched::OrderError{sched::OrderFailure::unknown, std::nullopt, "connection broke"}));
      });
      return;
    }
    send<sched::OrderReply>(to, used.late_starts, std::move(done), call);
  }
  void stop(const sched::WorkerEndpoint& to, const sched::RunOrder& order, Done done) override {
    send<sched::OrderReply>(
        to, path_to(to.address)->late_stops, std::move(done),
        [=, &fleet = m_fleet](const Done& reply) { fleet.stop(to, order, reply); });
  }
  void throttle(const sched::WorkerEndpoint& to, const sched::ThrottleOrder& order,
                Done done) override {
    int none_late = 0;
    send<sched::OrderReply>(
        to, none_late, std::move(done),
        [=, &fleet = m_fleet](const Done& reply) { fleet.throttle(to, order, reply); });
  }

 private:
  static constexpr Duration k_network_delay = std::chrono::milliseconds{2};
  static constexpr Duration k_answer_timeout = std::chrono::milliseconds{300};

  const std::shared_ptr<WorkerPath>& path_to(const std::string& address) {
    auto& path = m_paths[address];
    if (!path) {
      path = std::make_shared<WorkerPath>();
    }
    return path;
  }

  template <typename Reply>
  using ReplyDone = std::function<void(tl::expected<Reply, sched::OrderError>)>;

  template <typename Reply, typename Call>
  void send(const sched::WorkerEndpoint& to, int& late, ReplyDone<Reply> done, Call call) {
    const ReplyDone<Reply> receive = m_process.receive(std::move(done));
    const auto fail_after = [&timer = m_timer, receive](Duration delay,
                                                        sched::OrderFailure reason) {
      timer.call_after(delay, [receive, reason] {
        receive(tl::unexpected(sched::OrderError{reason, std::nullopt, "no path"}));
      });
    };
    const auto used = path_to(to.address);
    if (used->fault == PathFault::refused) {
      fail_after(k_network_delay, sched::OrderFailure::connection_refused);
      return;
    }
    if (used->fault == PathFault::silent) {
      fail_after(k_answer_timeout, sched::OrderFailure::unknown);
      return;
    }
    if (late > 0) {
      --late;
      m_timer.call_after(used->late_by, [call] { call([](const auto&) {}); });
      fail_after(k_answer_timeout, sched::OrderFailure::unknown);
      return;
    }
    call([receive, fail_after, used](tl::expected<Reply, sched::OrderError> reply) {
      if (used->fault != PathFault::none) {
        fail_after(k_answer_timeout, sched::OrderFailure::unknown);
        return;
      }
      receive(std::move(reply));
    });
  }

  sched::FakeFleet& m_fleet;
  store::FakeTimer& m_timer;
  FakeProcess& m_process;
  std::map<std::string, std::shared_ptr<WorkerPath>> m_paths;  // by address
};

/// Reports the registrations of all workers of a fake fleet once, and the changes that the fleet
/// announces.
class FakeDirectory final : public sched::WorkerDirectory, public sched::WorkerListener {
 public:
  FakeDirectory(Timer& timer, sched::FakeFleet& fleet, sched::WorkerListener& listener)
      : m_timer(timer), m_fleet(fleet), m_listener(listener) {
    m_fleet.listeners.insert(this);
    forward([this] {
      for (const auto& [id, worker] : m_fleet.all()) {
        if (worker->registered) {
          m_listener.on_worker_updated(worker->entry);
        }
      }
      m_listener.on_workers_loaded();
    });
  }
  ~FakeDirectory() override {
    m_fleet.listeners.erase(this);
    *m_alive = false;
  }

  void on_worker_updated(const sched::WorkerEntry& entry) override {
    forward([this, entry] { m_listener.on_worker_updated(entry); });
  }
  void on_worker_gone(const std::string& id) override {
    forward([this, id] { m_listener.on_worker_gone(id); });
  }
  void on_workers_loaded() override {}

 private:
  static constexpr Duration k_delay = std::chrono::milliseconds{20};

  void forward(std::function<void()> report) {
    m_timer.call_after(k_delay, [report = std::move(report), alive = m_alive] {
      if (*alive) {
        report();
      }
    });
  }

  Timer& m_timer;
  sched::FakeFleet& m_fleet;
  sched::WorkerListener& m_listener;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// Makes the directory of one daemon, on its view of the store and on its timer.
using DirectoryFactory = std::function<std::unique_ptr<sched::WorkerDirectory>(
    store::MetadataStore&, Timer&, sched::WorkerListener&)>;

struct Daemon {
  FakeProcess process;
  DaemonStore store;
  DaemonOrders orders;
  std::unique_ptr<Node> node;

  Daemon(store::FakeStore& fake, store::FakeTimer& timer, sched::FakeFleet& fleet,
         const std::string& name, const DirectoryFactory& directory, double cpu_share)
      : process(timer), store(fake, timer, process), orders(fleet, timer, process) {
    node = std::make_unique<Node>(
        NodeDependencies{store, orders, fleet.advisor, process,
                         [this, directory](sched::WorkerListener& listener) {
                           return directory(store, process, listener);
                         },
                         name, name + "." + std::to_string(timer.wall_ms()), cpu_share,
                         fake.limits.value_or(store::RecordLimits{})});
    jobs::Configuration configuration;
    configuration.version = 1;
    node->configuration().apply(configuration);
    node->start();
    tick();
  }
  /// Ends the process without a shutdown, as a crash does.
  void kill() {
    process.end();
    node.reset();
  }
  [[nodiscard]] bool runs() const { return node && !process.is_suspended(); }

 private:
  void tick() {
    node->tick();
    process.call_after(std::chrono::milliseconds{100}, [this] { tick(); });
  }
};

struct Cluster {
  store::FakeTimer timer;
  store::FakeStore store{timer};
  sched::FakeFleet fleet{timer};
  DirectoryFactory directory;
  // Ended daemons stay, since orders and calls of theirs may still be under way.
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Daemon>> ended;  // processes that have been replaced
  std::vector<double> shares;                  // of a core, by daemon

  /// Without `make_directory`, the directories report all workers once. The number of shards is in
  /// the store already, unless it is 0.
  explicit Cluster(int count = 3, DirectoryFactory make_directory = {}, int workers = 4,
                   std::uint32_t shards = 1)
      : directory(std::move(make_directory)) {
    if (shards > 0) {
      store.append(
          {jobs::layout_partition(), {jobs::encode(jobs::ShardLayout{shards})}, {}, {}, {}},
          [](const auto&) {});
      timer.advance(std::chrono::milliseconds{20});
    }
    if (!directory) {
      directory = [this](store::MetadataStore&, Timer& process, sched::WorkerListener& listener) {
        return std::make_unique<FakeDirectory>(process, fleet, listener);
      };
    }
    store.page_size = 100;
    fleet.need_of = [this](const jobs::TaskId& task) { return need_of(task); };
    if (std::getenv("ARBUTUSDALE_TEST_EVENTS") != nullptr) {
      write_events();
    }
    for (int i = 0; i < workers; ++i) {
      fleet.add("w" + std::to_string(i), 8'000);
    }
    for (int i = 0; i < count; ++i) {
      add();
    }
  }
  void add(double cpu_share = 1) { add(name_of(daemons.size()), cpu_share); }
  void add(const std::string& name, double cpu_share = 1) {
    shares.push_back(cpu_share);
    daemons.push_back(std::make_unique<Daemon>(store, timer, fleet, name, directory, cpu_share));
  }
  /// Starts a new process of a daemon that has been killed.
  void restart(std::size_t daemon) {
    ended.push_back(std::move(daemons[daemon]));
    daemons[daemon] =
        std::make_unique<Daemon>(store, timer, fleet, name_of(daemon), directory, shares[daemon]);
  }
  [[nodiscard]] int leaders() const {
    int count = 0;
    for (const auto& daemon : daemons) {
      count += daemon->node && daemon->node->is_leader() ? 1 : 0;
    }
    return count;
  }
  /// Number of daemons that believe that they lead the shard.
  [[nodiscard]] int leaders_of(jobs::ShardIndex shard) const {
    int count = 0;
    for (const auto& daemon : daemons) {
      count += daemon->node && daemon->node->leads(shard) ? 1 : 0;
    }
    return count;
  }
  /// Index of the first daemon that believes that it leads; the number of daemons if none does.
  [[nodiscard]] std::size_t leader() const {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (daemons[i]->node && daemons[i]->node->is_leader()) {
        return i;
      }
    }
    return daemons.size();
  }
  /// Resources that a run of the task reserves, as the first daemon that knows its job sees it.
  [[nodiscard]] Resources need_of(const jobs::TaskId& task) const {
    for (const auto& daemon : daemons) {
      if (daemon->node && daemon->node->jobs().find(task.job) != nullptr) {
        return sched::reserved_by(daemon->node->jobs(), task);
      }
    }
    return {};
  }
  /// Submits a job at one daemon; the outcome is appended to `outcomes`.
  void submit(std::size_t daemon, std::uint32_t number, std::uint32_t tasks = 2) {
    sched::JobBuilder job(number);
    job.record.set_accepted_wall_ms(timer.wall_ms());
    job.step(tasks, 1'000);
    daemons[daemon]->node->service().submit(
        sched::job_id(number), job.record, timer.now() + std::chrono::seconds{2},
        [this](WriteOutcome outcome) { outcomes.push_back(outcome); });
  }
  [[nodiscard]] jobs::JobState state(std::size_t daemon, std::uint32_t number) const {
    const auto* entry = daemons[daemon]->node->jobs().find(sched::job_id(number));
    return entry == nullptr ? jobs::JobState::QUEUED : entry->state();
  }

  std::vector<WriteOutcome> outcomes;

 private:
  static std::string name_of(std::size_t daemon) { return "daemon" + std::to_string(daemon); }

  /// Writes the events of all daemons to the standard error output.
  void write_events() {
    constexpr std::size_t k_unlimited = 1'000'000;
    observe::open_event_log(2, "test", timer, {k_unlimited, k_unlimited, k_unlimited});
    flush_events();
  }
  void flush_events() {
    observe::flush_event_log();
    timer.call_after(std::chrono::milliseconds{5}, [this] { flush_events(); });
  }
};

}  // namespace arbutusdale::fleet
