// In-memory workers for tests. They carry out orders as real workers do, with injected faults, and
// count the times that a task runs twice at once and the starts beyond a worker's capacity.
#pragma once

#include "arbutusdale/sched/scheduler.hpp"

#include <algorithm>
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
#include <fmt/format.h>

namespace arbutusdale::sched {

struct FakeRun {
  jobs::TaskId task;
  std::uint32_t number = 0;
  std::uint32_t throttle_percent = 100;
  Duration worked{};         // work done, as time at full speed
  TimePoint worked_until{};  // time up to which `worked` is counted
  std::string payload;
  std::optional<TimePoint> ends_at;  // while it is being stopped
};

/// A capacity that a worker no longer has.
struct EarlierCapacity {
  Resources capacity;
  TimePoint replaced_at{};
};

struct FakeWorker {
  WorkerEntry entry;
  std::uint64_t token = 0;
  std::uint64_t lease_until_ms = 0;
  TimePoint started_at{};
  std::uint64_t first_clock_ms = 0;  // its clock when it started
  std::vector<FakeRun> runs;
  std::vector<EndedRun> ended;
  std::map<std::uint64_t, TimePoint> done_at;  // of the runs in `ended` that count if noted
  std::uint64_t end_count = 0;
  std::map<std::string, std::uint32_t> superseded_through;  // highest run stopped or ended, by task
  bool partitioned = false;      // receives no orders and sends no answers
  bool drops_answers = false;    // carries out orders and sends no answers
  Duration start_delay{};        // starts are not answered and are carried out this much later
  Duration stop_time{};          // a run that is stopped ends this much later
  bool guards_capacity = false;  // refuses starts that do not fit
  std::vector<EarlierCapacity> earlier_capacities;
  bool fails_all_runs = false;       // every run fails
  bool refuses_connections = false;  // its runs continue
  bool crashed = false;              // its process has ended
};

/// Advice service that gives expiring tickets for the workers in `allowed`.
class FakeAdvisor final : public Advisor {
 public:
  explicit FakeAdvisor(store::FakeTimer& timer) : m_timer(timer) {}

  std::set<std::string> allowed;
  Duration valid_for = std::chrono::seconds{3};
  Duration latency = std::chrono::milliseconds{50};
  int failures = 0;  // the next calls that fail
  int calls = 0;
  std::size_t most_named = 0;  // largest number of workers in one call

  void advise(const StepId& step, const std::vector<std::string>& workers, Done done) override {
    ++calls;
    most_named = std::max(most_named, workers.size());
    m_timer.call_after(latency, [this, step, workers, done = std::move(done)] {
      if (failures > 0) {
        --failures;
        done(tl::unexpected(AdviceError{"status 429"}));
        return;
      }
      Advice advice;
      advice.valid_for = valid_for;
      for (const std::string& worker : workers) {
        if (allowed.contains(worker)) {
          advice.tickets.push_back({worker, step.job.str() + "@" + worker});
          m_valid_until[advice.tickets.back().text] = m_timer.now() + valid_for;
        }
      }
      done(advice);
    });
  }

  /// True when the ticket is valid for a start of a task of the job on the worker.
  [[nodiscard]] bool accepts(const jobs::JobId& job, const std::string& worker,
                             const std::string& ticket) const {
    const auto found = m_valid_until.find(ticket);
    return found != m_valid_until.end() && m_timer.now() <= found->second &&
           ticket == job.str() + "@" + worker;
  }

 private:
  store::FakeTimer& m_timer;
  std::map<std::string, TimePoint> m_valid_until;  // by ticket
};

class FakeFleet final : public WorkerOrders {
 public:
  explicit FakeFleet(store::FakeTimer& timer) : advisor(timer), m_timer(timer) { tick(); }

  /// Work of a task at full speed.
  std::function<Duration(const jobs::TaskId&)> work_of = [](const jobs::TaskId&) {
    return std::chrono::seconds{1};
  };
  /// Tail latency of a serving task in ms; CPU in use of other tasks, in thousandths.
  std::function<std::uint64_t(const FakeWorker&, const FakeRun&)> tail_or_cpu_of =
      [](const FakeWorker&, const FakeRun&) { return 0; };
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

  FakeWorker& add(const std::string& id, std::uint64_t cpu_millis, const std::string& rack = "r1") {
    auto worker = std::make_unique<FakeWorker>();
    worker->entry.id = id;
    worker->entry.service = "service";
    worker->entry.address = id;
    worker->entry.rack = rack;
    worker->entry.labels = {"a", rack};
    worker->entry.capacity = {cpu_millis, 256'000, 0};
    worker->entry.incarnation = 1;
    worker->started_at = m_timer.now();
    m_workers[id] = std::move(worker);
    return *m_workers[id];
  }
  FakeWorker& at(const std::string& id) { return *m_workers.at(id); }
  std::map<std::string, std::unique_ptr<FakeWorker>>& all() { return m_workers; }

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
    worker.runs.clear();
    worker.crashed = true;
  }

  /// Restarts the worker under the same id; all its runs are lost.
  void restart(const std::string& id, std::uint64_t first_clock_ms = 0) {
    FakeWorker& worker = at(id);
    worker.runs.clear();
    worker.ended.clear();
    worker.done_at.clear();
    worker.superseded_through.clear();
    worker.end_count = 0;
    worker.token = 0;
    worker.lease_until_ms = 0;
    worker.crashed = false;
    worker.started_at = m_timer.now();
    worker.first_clock_ms = first_clock_ms;
    ++worker.entry.incarnation;
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
      wait_for_end(worker.entry.id, worker.entry.incarnation,
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
    const auto found = m_workers.find(to.id);
    if (found != m_workers.end() && found->second->start_delay > Duration::zero()) {
      m_timer.call_after(found->second->start_delay,
                         [this, id = to.id, order, sent] { (void)start_now(at(id), order, sent); });
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
    m_timer.call_after(k_network_delay, [this, id = to.id, done = std::move(done), action] {
      const auto found = m_workers.find(id);
      if (found == m_workers.end() || found->second->partitioned) {
        time_out<Reply>(done);
        return;
      }
      if (found->second->refuses_connections || found->second->crashed) {
        done(tl::unexpected(OrderError{OrderFailure::connection_refused, std::nullopt, "refused"}));
        return;
      }
      const bool drops_answers = found->second->drops_answers;
      const std::function<void(tl::expected<Reply, OrderError>)> answer =
          [this, drops_answers, id, done](tl::expected<Reply, OrderError> reply) {
            const bool silent = drops_answers || !m_workers.contains(id) || at(id).partitioned;
            if (silent) {
              time_out<Reply>(done);
              return;
            }
            m_timer.call_after(k_network_delay, [done, reply = std::move(reply)] { done(reply); });
          };
      action(*found->second, answer);
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
    if (outcome == RunOutcome::done) {
      ++successes[name_of(task)];
      worker.done_at[worker.end_count] = m_timer.now();
    }
  }

  void wait_for_end(const std::string& id, std::uint64_t incarnation, TimePoint until,
                    const std::function<void(tl::expected<PollReply, OrderError>)>& answer) {
    FakeWorker& worker = at(id);
    if (worker.entry.incarnation != incarnation || worker.crashed) {
      answer(tl::unexpected(OrderError{OrderFailure::unknown, std::nullopt, "connection lost"}));
      return;
    }
    if (worker.ended.empty() && m_timer.now() < until && !worker.partitioned) {
      m_timer.call_after(k_tick, [this, id, incarnation, until, answer] {
        wait_for_end(id, incarnation, until, answer);
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
        } else if (worker->fails_all_runs) {
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
  std::set<std::string> m_noted;                  // tasks with a noted successful end
  std::map<std::string, TimePoint> m_last_start;  // by task
};

/// Progress log in memory.
class FakeProgressLog final : public ProgressLog {
 public:
  explicit FakeProgressLog(store::FakeTimer& timer) : m_timer(timer) {}

  bool down = false;
  std::uint32_t term = 0;  // of the newest leader
  jobs::JobTable jobs;     // as every daemon sees it

  void write(std::vector<store::KeyedValue> entries, std::function<void(bool)> done) override {
    m_timer.call_after(std::chrono::milliseconds{15},
                       [this, entries = std::move(entries), done = std::move(done)] {
                         if (down) {
                           write(entries, done);
                           return;
                         }
                         for (const auto& entry : entries) {
                           jobs.apply_leader_record({m_offset++, entry});
                         }
                         done(true);
                       });
  }

 private:
  store::FakeTimer& m_timer;
  std::uint64_t m_offset = 0;
};

}  // namespace arbutusdale::sched
