// In-memory workers for tests. They carry out orders as real workers do, with injected faults, and
// count the times that a task runs twice at once and the starts beyond a worker's capacity.
#pragma once

#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../store/fake_store_test.hpp"
#include "fake_progress_log_test.hpp"
#include "fake_worker_test.hpp"
#include <fmt/format.h>

namespace arbutusdale::sched {

class FakeFleet final : public WorkerOrders {
 public:
  explicit FakeFleet(store::FakeTimer& timer) : advisor(timer), m_timer(timer) { tick(); }

  /// Work of a task at full speed.
  std::function<Duration(const jobs::TaskId&)> work_of = [](const jobs::TaskId&) {
    return std::chrono::seconds{1};
  };
  /// Work after which each run of the task fails; empty if it does not.
  std::function<std::optional<Duration>(const jobs::TaskId&)> fails_after =
      [](const jobs::TaskId&) { return std::nullopt; };
  /// Tail latency of a serving task in ms; CPU in use of other tasks, in thousandths.
  std::function<std::uint64_t(const FakeWorker&, const FakeRun&)> tail_or_cpu_of =
      [](const FakeWorker&, const FakeRun&) { return 0; };
  /// Tasks that crash each worker that starts them, `crash_delay` after the start; with 0 before
  /// the start is answered. The worker returns `return_delay` after the crash, at its address.
  std::function<bool(const jobs::TaskId&)> crashes_worker = [](const jobs::TaskId&) {
    return false;
  };
  /// Called before a worker crashes under such a task, while the worker still has its runs.
  std::function<void(const FakeWorker&)> on_crash_by_task = [](const FakeWorker&) {};
  TaskDelay crash_delay = default_crash_delay;
  Duration return_delay = std::chrono::milliseconds{3'200};
  /// From the start of a process under an earlier id until leaders have read its registration.
  Duration registration_time = std::chrono::milliseconds{100};
  Return return_mode = Return::under_new_id;
  /// Learn of returned workers, and of crashed ones whose registrations have expired.
  std::set<WorkerListener*> listeners;
  /// Resources that a run of the task reserves: without the processors of an opportunistic one.
  std::function<Resources(const jobs::TaskId&)> need_of = [](const jobs::TaskId&) {
    return Resources{};
  };
  /// A smaller capacity binds orders that are sent later than this after the change: a heartbeat
  /// and the time until leaders have read it.
  Duration capacity_grace = std::chrono::milliseconds{4'500};
  FakeAdvisor advisor;
  bool needs_tickets = false;
  Duration start_latency{};  // in addition to the network delay
  std::size_t starts_in_flight = 0;
  std::size_t most_starts_in_flight = 0;
  std::uint64_t invalid_tickets = 0;     // starts refused for an invalid ticket
  std::uint64_t doubled = 0;             // starts of a task while another run of it was alive
  std::uint64_t started_after_done = 0;  // starts of a task after a noted run of it that succeeded
  std::uint64_t over_capacity = 0;       // starts beyond the capacity of an unguarded worker
  std::vector<std::string> violations;   // descriptions of the starts counted above
  std::uint64_t starts = 0;
  std::uint64_t polls = 0;
  std::map<std::string, std::uint32_t> successes;  // successful runs, by task
  std::map<std::string, TaskCounts> counts;        // by task
  std::uint64_t crashes = 0;                       // of workers, under tasks that crash them

  /// Without `address`, the worker gets one of its own.
  FakeWorker& add(const std::string& id, std::uint64_t cpu_millis, const std::string& rack = "r1",
                  const std::string& address = "") {
    auto worker = std::make_unique<FakeWorker>();
    worker->entry.id = id;
    worker->entry.service = "service";
    worker->entry.address = address.empty() ? next_address() : address;
    m_listening[worker->entry.address] = worker.get();
    worker->entry.rack = rack;
    worker->entry.labels = {"a", rack};
    worker->entry.capacity = {cpu_millis, 256'000, 0};
    worker->entry.incarnation = 1;
    worker->started_at = m_timer.now();
    m_workers[id] = std::move(worker);
    return *m_workers[id];
  }
  FakeWorker& at(const std::string& id) { return *m_workers.at(id); }
  /// The present workers by id, including crashed ones that have not returned under another id.
  std::map<std::string, std::unique_ptr<FakeWorker>>& all() { return m_workers; }
  [[nodiscard]] TaskCounts counts_of(const jobs::TaskId& task) const {
    const auto found = counts.find(name_of(task));
    return found == counts.end() ? TaskCounts{} : found->second;
  }

  /// When the last run of the task began; the epoch if there was none.
  [[nodiscard]] TimePoint last_start_of(const jobs::TaskId& task) const {
    const auto found = m_last_start.find(name_of(task));
    return found == m_last_start.end() ? TimePoint{} : found->second;
  }

  void set_capacity(const std::string& id, const Resources& capacity) {
    FakeWorker& worker = at(id);
    worker.earlier_capacities.push_back({worker.entry.capacity, m_timer.now()});
    worker.entry.capacity = capacity;
  }
  /// Resources that the worker's runs reserve, also those that are being stopped.
  [[nodiscard]] Resources reserved_on(const FakeWorker& worker) const {
    Resources reserved;
    for (const FakeRun& run : worker.runs) {
      reserved = plus(reserved, need_of(run.task));
    }
    return reserved;
  }

  /// Ends the worker's process; all its runs are lost, and connections to it are refused.
  void crash(const std::string& id) {
    FakeWorker& worker = at(id);
    lose_runs(worker);
    worker.crashed = true;
  }

  /// Ends the worker's process. The registration expires, and the worker returns as `return_mode`
  /// says. A worker that exits of its own accord removes its registration itself.
  void crash_and_return(const std::string& id, bool exits = false) {
    crash(id);
    m_timer.call_after(exits ? Duration::zero() : k_registration_expiry, [this, id] {
      const auto found = m_workers.find(id);
      if (found != m_workers.end() && found->second->crashed) {
        found->second->registered = false;
        notify([&id](WorkerListener& listener) { listener.on_worker_gone(id); });
      }
    });
    if (return_mode == Return::never) {
      return;
    }
    m_timer.call_after(return_delay, [this, id, mode = return_mode] {
      const auto found = m_workers.find(id);
      if (found == m_workers.end() || !found->second->crashed) {
        return;  // it has returned already
      }
      if (mode == Return::under_new_id) {
        announce(replace(id));
      } else {
        restart(id);
        announce(at(id));
      }
    });
  }

  /// Puts a new process, with an id of its own, in the place of a crashed worker.
  FakeWorker& replace(const std::string& id) {
    auto predecessor = m_workers.extract(id);
    const WorkerEntry& entry = predecessor.mapped()->entry;
    const std::string base = id.substr(0, id.find('.'));
    FakeWorker& worker = add(fmt::format("{}.{}", base, m_replaced.size() + 1),
                             entry.capacity.cpu_millis, entry.rack, entry.address);
    const std::string new_id = worker.entry.id;
    worker.entry = entry;
    worker.entry.id = new_id;
    ++worker.entry.incarnation;
    // Polls of the earlier process may still be waiting.
    m_replaced.push_back(std::move(predecessor.mapped()));
    return worker;
  }

  /// The address of the worker; the id if there is no such worker.
  [[nodiscard]] std::string address_of(const std::string& id) const {
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? id : found->second->entry.address;
  }

  /// Restarts the worker under the same id; all its runs are lost. It registers with its start.
  void restart(const std::string& id, std::uint64_t first_clock_ms = 0) {
    FakeWorker& worker = at(id);
    lose_runs(worker);
    worker.ended.clear();
    worker.done_at.clear();
    worker.superseded_through.clear();
    worker.end_count = 0;
    worker.token = 0;
    worker.lease_until_ms = 0;
    worker.crashed = false;
    worker.registered = true;
    worker.started_at = m_timer.now();
    worker.first_clock_ms = first_clock_ms;
    ++worker.entry.incarnation;
    m_timer.call_after(registration_time, [this, id, incarnation = worker.entry.incarnation] {
      const auto found = m_workers.find(id);
      const bool is_same =
          found != m_workers.end() && found->second->entry.incarnation == incarnation;
      if (is_same && !found->second->crashed) {
        announce(*found->second);
      }
    });
  }

  void poll(const WorkerEndpoint& to, const PollOrder& order, PollDone done) override {
    ++polls;
    deliver<PollReply>(to, std::move(done), [this, order](FakeWorker& worker, const auto& answer) {
      if (fenced(worker, order.fencing_token)) {
        answer(tl::unexpected(OrderError{OrderFailure::fenced, clock_of(worker), "fence"}));
        return;
      }
      if (order.lease_until_ms) {
        extend(worker, *order.lease_until_ms);
      }
      note_ends(worker, order.acknowledged_through);
      wait_for_end(worker, worker.entry.incarnation,
                   m_timer.now() + std::chrono::milliseconds{order.wait_ms}, answer);
    });
  }

  void start(const WorkerEndpoint& to, const StartOrder& order, Done answered) override {
    most_starts_in_flight = std::max(most_starts_in_flight, ++starts_in_flight);
    const Done done = [this, answered = std::move(answered)](auto reply) {
      m_timer.call_after(start_latency, [this, answered, reply = std::move(reply)] {
        --starts_in_flight;
        answered(reply);
      });
    };
    const TimePoint sent = m_timer.now();
    const auto carry_out = [this, order, sent](FakeWorker& worker, const auto& answer) {
      answer(start_now(worker, order, sent));
    };
    const FakeWorker* target = listening_at(to.address);
    if (target != nullptr && target->start_delay > Duration::zero()) {
      m_timer.call_after(target->start_delay, [this, to, order, sent] {
        FakeWorker* worker = listening_at(to.address);
        if (worker->entry.id == to.id && !worker->crashed) {
          (void)start_now(*worker, order, sent);
        }
      });
      time_out<OrderReply>(done);
      return;
    }
    deliver<OrderReply>(to, done, carry_out);
  }

  void stop(const WorkerEndpoint& to, const RunOrder& order, Done done) override {
    deliver<OrderReply>(to, std::move(done), [this, order](FakeWorker& worker, const auto& answer) {
      if (fenced(worker, order.fencing_token)) {
        answer(tl::unexpected(OrderError{OrderFailure::fenced, clock_of(worker), "fence"}));
        return;
      }
      begin_stop(worker, order);
      auto& superseded = worker.superseded_through[name_of(order.task)];
      superseded = std::max(superseded, order.run);
      answer(OrderReply{clock_of(worker)});
    });
  }

  void throttle(const WorkerEndpoint& to, const ThrottleOrder& order, Done done) override {
    deliver<OrderReply>(to, std::move(done), [this, order](FakeWorker& worker, const auto& answer) {
      if (fenced(worker, order.run.fencing_token)) {
        answer(tl::unexpected(OrderError{OrderFailure::fenced, clock_of(worker), "fence"}));
        return;
      }
      for (FakeRun& run : worker.runs) {
        if (run.task == order.run.task && run.number == order.run.run) {
          run.throttle_percent = order.percent;
        }
      }
      answer(OrderReply{clock_of(worker)});
    });
  }

  static std::string name_of(const jobs::TaskId& task) {
    return task.job.str() + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
  }

  [[nodiscard]] std::size_t running() const {
    std::size_t count = 0;
    for (const auto& [id, worker] : m_workers) {
      count += worker->runs.size();
    }
    return count;
  }

 private:
  static constexpr Duration k_tick = std::chrono::milliseconds{10};
  static constexpr Duration k_network_delay = std::chrono::milliseconds{2};
  static constexpr Duration k_answer_timeout = std::chrono::milliseconds{600};
  static constexpr Duration k_registration_expiry = std::chrono::seconds{3};  // after a crash

  std::string next_address() {
    constexpr std::size_t k_hosts = 250;
    const std::size_t number = m_addresses++;
    return fmt::format("10.0.{}.{}:80", number / k_hosts, number % k_hosts + 1);
  }

  /// The worker that listens at the address, or did last.
  [[nodiscard]] FakeWorker* listening_at(const std::string& address) const {
    const auto found = m_listening.find(address);
    return found == m_listening.end() ? nullptr : found->second;
  }

  template <typename Call>
  void notify(Call call) {
    for (WorkerListener* listener : std::set<WorkerListener*>(listeners)) {
      call(*listener);
    }
  }
  void announce(const FakeWorker& worker) {
    notify([&worker](WorkerListener& listener) { listener.on_worker_updated(worker.entry); });
  }

  void lose_runs(FakeWorker& worker) {
    std::set<std::string> tasks;
    for (const FakeRun& run : worker.runs) {
      tasks.insert(name_of(run.task));
    }
    for (const std::string& task : tasks) {
      ++counts[task].crashes;
    }
    worker.runs.clear();
  }

  /// Counts the start of a task. Returns true when the worker has crashed under it already.
  bool crash_under(FakeWorker& worker, const FakeRun& run) {
    TaskCounts& task = counts[name_of(run.task)];
    ++task.starts;
    task.starts_after_three_crashes += task.crashes >= 3 ? 1 : 0;
    task.is_deadly = crashes_worker(run.task);
    if (!task.is_deadly) {
      return false;
    }
    if (crash_delay(run.task) == Duration::zero()) {
      crash_by_task(worker);
      return true;
    }
    m_timer.call_after(crash_delay(run.task), [this, &worker, id = run.task, number = run.number] {
      const bool is_alive = std::any_of(
          worker.runs.begin(), worker.runs.end(),
          [&](const FakeRun& other) { return other.task == id && other.number == number; });
      if (is_alive) {
        crash_by_task(worker);
      }
    });
    return false;
  }
  void crash_by_task(const FakeWorker& worker) {
    ++crashes;
    on_crash_by_task(worker);
    crash_and_return(worker.entry.id);
  }

  [[nodiscard]] std::uint64_t clock_of(const FakeWorker& worker) const {
    const auto passed = (m_timer.now() - worker.started_at).count() / 1'000;
    return worker.first_clock_ms + static_cast<std::uint64_t>(passed);
  }

  static bool fenced(FakeWorker& worker, std::uint64_t token) {
    if (token < worker.token) {
      return true;
    }
    worker.token = token;
    return false;
  }

  void extend(FakeWorker& worker, std::uint64_t until_ms) const {
    constexpr std::uint64_t k_longest_ms = 6'000;
    worker.lease_until_ms =
        std::max(worker.lease_until_ms, std::min(until_ms, clock_of(worker) + k_longest_ms));
  }

  template <typename Reply>
  void time_out(std::function<void(tl::expected<Reply, OrderError>)> done) {
    m_timer.call_after(k_answer_timeout, [done = std::move(done)] {
      done(tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "no answer"}));
    });
  }

  template <typename Reply, typename Action>
  void deliver(const WorkerEndpoint& to, std::function<void(tl::expected<Reply, OrderError>)> done,
               Action action) {
    m_timer.call_after(k_network_delay, [this, to, done = std::move(done), action] {
      FakeWorker* worker = listening_at(to.address);
      if (worker == nullptr || worker->partitioned) {
        time_out<Reply>(done);
        return;
      }
      if (worker->refuses_connections || worker->crashed) {
        done(tl::unexpected(OrderError{OrderFailure::connection_refused, std::nullopt, "refused"}));
        return;
      }
      const bool drops_answers = worker->drops_answers;
      const std::function<void(tl::expected<Reply, OrderError>)> answer =
          [this, drops_answers, worker, done](tl::expected<Reply, OrderError> reply) {
            if (drops_answers || worker->partitioned) {
              time_out<Reply>(done);
              return;
            }
            m_timer.call_after(k_network_delay, [done, reply = std::move(reply)] { done(reply); });
          };
      if (worker->entry.id != to.id) {
        answer(tl::unexpected(OrderError{OrderFailure::incarnation_mismatch, clock_of(*worker),
                                         "other incarnation"}));
        return;
      }
      action(*worker, answer);
    });
  }

  tl::expected<OrderReply, OrderError> start_now(FakeWorker& worker, const StartOrder& order,
                                                 TimePoint sent_at) {
    const auto refuse = [&](OrderFailure reason) {
      return tl::unexpected(OrderError{reason, clock_of(worker), "refused"});
    };
    if (fenced(worker, order.fencing_token)) {
      return refuse(OrderFailure::fenced);
    }
    if (order.lease_until_ms <= clock_of(worker)) {
      return refuse(OrderFailure::lease_expired);
    }
    const std::string name = name_of(order.task);
    if (order.run <= worker.superseded_through[name]) {
      return refuse(OrderFailure::superseded);
    }
    if (needs_tickets && !advisor.accepts(order.task.job, worker.entry.id, order.ticket)) {
      ++invalid_tickets;
      return refuse(OrderFailure::invalid_ticket);
    }
    for (const FakeRun& run : worker.runs) {
      if (run.task == order.task && run.number == order.run) {
        return OrderReply{clock_of(worker)};
      }
    }
    extend(worker, order.lease_until_ms);
    if (!fits_on(worker, order, sent_at)) {
      if (worker.guards_capacity) {
        return refuse(OrderFailure::no_capacity);
      }
      ++over_capacity;
      violate(fmt::format("run {} of {} starts on {} beyond its capacity", order.run, name,
                          worker.entry.id));
    }
    ++starts;
    note_if_doubled(worker, order);
    if (m_noted.contains(name)) {
      ++started_after_done;
      violate(fmt::format("run {} of {} on {} starts after a success", order.run, name,
                          worker.entry.id));
    }
    m_last_start[name] = m_timer.now();
    FakeRun run;
    run.task = order.task;
    run.number = order.run;
    run.worked_until = m_timer.now();
    run.payload = order.payload;
    worker.runs.push_back(run);
    if (crash_under(worker, run)) {
      return tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "connection lost"});
    }
    return OrderReply{clock_of(worker)};
  }

  // Whether the start leaves the worker within the capacity that it has, or one that it had within
  // the grace time before the order was sent. A guarding worker knows only the present one.
  [[nodiscard]] bool fits_on(const FakeWorker& worker, const StartOrder& order,
                             TimePoint sent_at) const {
    const Resources reserved = plus(reserved_on(worker), need_of(order.task));
    if (fits(reserved, worker.entry.capacity)) {
      return true;
    }
    const auto& earlier = worker.earlier_capacities;
    return !worker.guards_capacity &&
           std::any_of(earlier.begin(), earlier.end(), [&](const EarlierCapacity& other) {
             return other.replaced_at + capacity_grace > sent_at && fits(reserved, other.capacity);
           });
  }

  // Forgets the ends up to `sequence`. The success of a task counts from then on, unless the
  // worker's lease expired before.
  void note_ends(FakeWorker& worker, std::uint64_t sequence) {
    for (const EndedRun& end : worker.ended) {
      const auto done = worker.done_at.find(end.sequence);
      if (end.sequence > sequence || done == worker.done_at.end()) {
        continue;
      }
      const std::string name = name_of(end.task);
      if (m_last_start[name] > done->second) {
        ++started_after_done;
        violate(fmt::format("the success of run {} of {} on {} is noted after another start",
                            end.run, name, worker.entry.id));
      }
      m_noted.insert(name);
    }
    std::erase_if(worker.ended,
                  [sequence](const EndedRun& end) { return end.sequence <= sequence; });
  }

  void note_if_doubled(const FakeWorker& worker, const StartOrder& order) {
    bool is_alive = false;
    for (const auto& [id, other] : m_workers) {
      for (const FakeRun& run : other->runs) {
        if (run.task == order.task) {
          is_alive = true;
          violate(fmt::format("run {} of {} starts on {} while run {} is alive on {}", order.run,
                              name_of(order.task), worker.entry.id, run.number, id));
        }
      }
    }
    doubled += is_alive ? 1 : 0;
  }

  void violate(const std::string& text) {
    violations.push_back(fmt::format("{} ms: {}", m_timer.wall_ms(), text));
  }

  void begin_stop(FakeWorker& worker, const RunOrder& order) {
    for (FakeRun& run : worker.runs) {
      const bool is_new = run.task == order.task && run.number == order.run && !run.ends_at;
      if (is_new && worker.stop_time > Duration::zero()) {
        run.ends_at = m_timer.now() + worker.stop_time;
      }
    }
    if (worker.stop_time == Duration::zero()) {
      end_run(worker, order.task, order.run, RunOutcome::stopped);
    }
  }

  void end_run(FakeWorker& worker, const jobs::TaskId& task, std::uint32_t number,
               RunOutcome outcome) {
    const auto found =
        std::find_if(worker.runs.begin(), worker.runs.end(),
                     [&](const FakeRun& run) { return run.task == task && run.number == number; });
    if (found == worker.runs.end()) {
      return;
    }
    worker.runs.erase(found);
    auto& superseded = worker.superseded_through[name_of(task)];
    superseded = std::max(superseded, number);
    worker.ended.push_back({++worker.end_count, task, number, outcome, ""});
    counts[name_of(task)].failures += outcome == RunOutcome::failed ? 1 : 0;
    if (outcome == RunOutcome::done) {
      ++successes[name_of(task)];
      worker.done_at[worker.end_count] = m_timer.now();
    }
  }

  void wait_for_end(FakeWorker& worker, std::uint64_t incarnation, TimePoint until,
                    const std::function<void(tl::expected<PollReply, OrderError>)>& answer) {
    if (worker.entry.incarnation != incarnation || worker.crashed) {
      answer(tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "connection lost"}));
      return;
    }
    if (worker.ended.empty() && m_timer.now() < until && !worker.partitioned) {
      m_timer.call_after(k_tick, [this, &worker, incarnation, until, answer] {
        wait_for_end(worker, incarnation, until, answer);
      });
      return;
    }
    PollReply reply;
    reply.clock_ms = clock_of(worker);
    reply.incarnation = worker.entry.incarnation;
    const auto listed = std::min(worker.ended.size(), k_max_listed_ends);
    reply.ended.assign(worker.ended.begin(),
                       worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    for (const FakeRun& run : worker.runs) {
      const Duration work = work_of(run.task);
      const auto percent = std::min<std::int64_t>(100, 100 * run.worked.count() / work.count());
      reply.running.push_back({run.task, run.number, "", static_cast<std::uint32_t>(percent),
                               tail_or_cpu_of(worker, run)});
    }
    answer(reply);
  }

  [[nodiscard]] bool has_failed(const FakeRun& run) const {
    const auto fails_at = fails_after(run.task);
    return fails_at && run.worked >= *fails_at;
  }

  void tick() {
    for (const auto& [id, worker] : m_workers) {
      if (clock_of(*worker) > worker->lease_until_ms) {
        worker->done_at.clear();
      }
      for (const FakeRun& copy : std::vector<FakeRun>(worker->runs)) {
        const auto run =
            std::find_if(worker->runs.begin(), worker->runs.end(), [&copy](const FakeRun& other) {
              return other.task == copy.task && other.number == copy.number;
            });
        run->worked += (m_timer.now() - run->worked_until) * run->throttle_percent / 100;
        run->worked_until = m_timer.now();
        if (clock_of(*worker) > worker->lease_until_ms) {
          end_run(*worker, copy.task, copy.number, RunOutcome::lease_expired);
        } else if (run->ends_at) {
          if (m_timer.now() >= *run->ends_at) {
            end_run(*worker, copy.task, copy.number, RunOutcome::stopped);
          }
        } else if (worker->fails_all_runs || has_failed(*run)) {
          end_run(*worker, copy.task, copy.number, RunOutcome::failed);
        } else if (run->worked >= work_of(copy.task)) {
          end_run(*worker, copy.task, copy.number, RunOutcome::done);
        }
      }
    }
    m_timer.call_after(k_tick, [this] { tick(); });
  }

  store::FakeTimer& m_timer;
  std::map<std::string, std::unique_ptr<FakeWorker>> m_workers;
  std::vector<std::unique_ptr<FakeWorker>> m_replaced;
  std::map<std::string, FakeWorker*> m_listening;  // by address
  std::size_t m_addresses = 0;                     // number of addresses given out
  std::set<std::string> m_noted;                   // tasks with a noted successful end
  std::map<std::string, TimePoint> m_last_start;   // by task
};

}  // namespace arbutusdale::sched
