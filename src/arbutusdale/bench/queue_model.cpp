// Event loop of the queue model.
#include "queue_model.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>

#include "workload.hpp"

namespace arbutusdale::bench {
namespace {

using namespace arbutusdale::routing;

constexpr EnumNames<Scenario, 8> k_scenario_names{{
    {Scenario::steady, "steady"},
    {Scenario::slow_workers, "slow_workers"},
    {Scenario::waves, "waves"},
    {Scenario::daemon_killed, "daemon_killed"},
    {Scenario::total_failure, "total_failure"},
    {Scenario::failing_fast, "failing_fast"},
    {Scenario::team_calm, "team_calm"},
    {Scenario::team_surge, "team_surge"},
}};

const std::string k_service = "service";
constexpr Duration k_load_interval = std::chrono::milliseconds{100};
constexpr Duration k_fault_reply_delay = std::chrono::milliseconds{1};  // of a worker
// Time after which a killed daemon is no longer used by its peers and by the load balancer.
constexpr Duration k_peer_detection_time = std::chrono::seconds{3};
constexpr Duration k_balancer_detection_time = std::chrono::milliseconds{500};

enum class EventKind : std::uint8_t { wakeup, reach_worker, work_done, result, exchange, kill };

struct Event {
  TimePoint time{};
  std::uint64_t order = 0;  // events at the same time run in the order of their creation
  EventKind kind = EventKind::wakeup;
  std::uint32_t daemon = 0;
  std::uint32_t worker = 0;
  CallId call = 0;
  std::uint32_t attempt = 0;
  AttemptResult outcome = AttemptResult::answered;
  friend bool operator>(const Event& a, const Event& b) {
    return std::pair{a.time, a.order} > std::pair{b.time, b.order};
  }
};

struct CallRecord {
  Arrival arrival;
  std::uint32_t attempt = 0;  // attempt in flight; results of other attempts are ignored
  TimePoint sent{};
  std::uint32_t worker = 0;
};

struct DaemonState {
  std::unique_ptr<RequestRouter> router;
  std::unordered_map<CallId, CallRecord> calls;
  TimePoint next_wakeup = TimePoint::max();
  ServiceStats reported;
  bool alive = true;
};

struct WorkerState {
  std::uint32_t busy = 0;
  std::deque<Event> waiting;
};

class Model {
 public:
  explicit Model(const ModelOptions& options)
      : m_options{options},
        m_workload{options},
        m_random{options.seed + 2},
        m_now{m_workload.start()} {
    m_workers.resize(options.workers);
    for (std::uint32_t d = 0; d < options.daemons; ++d) {
      add_daemon(d);
    }
    push(Event{.time = m_now + k_load_interval, .kind = EventKind::exchange});
    if (options.scenario == Scenario::daemon_killed) {
      push(Event{.time = m_now + options.warm_up + options.measured / 2, .kind = EventKind::kill});
    }
  }

  ModelResult run() {
    while (const auto arrival = m_workload.next()) {
      run_until(arrival->due);
      submit(*arrival);
    }
    run_until(m_workload.end() + 2 * m_options.deadline);
    auto result = m_outcomes.result(m_options);
    result.amplification = static_cast<double>(m_attempts) / std::max(1.0, m_calls_sent);
    result.queued_at_worker =
        static_cast<double>(m_queued_at_worker) / std::max(1.0, static_cast<double>(m_attempts));
    result.affected = static_cast<double>(m_answered_by_affected) /
                      std::max(1.0, static_cast<double>(m_answered));
    return result;
  }

 private:
  static std::string daemon_id(std::uint32_t daemon) { return "daemon-" + std::to_string(daemon); }

  void add_daemon(std::uint32_t index) {
    RouterOptions options;
    options.daemon = daemon_id(index);
    options.policy = m_options.policy;
    options.retry_budget_enabled = m_options.retry_budget;
    options.seed = m_options.seed;
    auto& daemon = m_daemons.emplace_back();
    daemon.router = make_request_router(options);
    ServiceConfig service;
    service.name = k_service;
    service.path_prefix = "/";
    service.slots = m_options.slots;
    daemon.router->set_services({service}, {{"a", 1}, {"b", 1}});
    std::vector<TargetInfo> targets;
    for (std::uint32_t worker = 0; worker < m_options.workers; ++worker) {
      const auto id = std::to_string(worker);
      targets.push_back({"vm-" + std::string(5 - id.size(), '0') + id, id, false});
    }
    daemon.router->set_targets(k_service, targets, m_now);
  }

  void push(Event event) {
    event.order = ++m_order;
    m_events.push(event);
  }

  void run_until(TimePoint until) {
    while (!m_events.empty() && m_events.top().time <= until) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.time;
      handle(event);
    }
    m_now = until;
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case EventKind::wakeup:
        apply_decisions(event.daemon);
        return;
      case EventKind::reach_worker:
        reach_worker(event);
        return;
      case EventKind::work_done:
        work_done(event);
        return;
      case EventKind::result:
        finish(event);
        return;
      case EventKind::exchange:
        exchange_loads();
        return;
      case EventKind::kill:
        kill(0);
        return;
    }
  }

  // Daemon to which the load balancer sends a caller's connection: random, the first one `skew`
  // times as likely as each other one.
  std::uint32_t draw_daemon() {
    const double others = static_cast<double>(m_daemons.size() - 1);
    const double drawn = random_unit(m_random) * (m_options.skew + others) - m_options.skew;
    return drawn < 0.0 ? 0 : 1 + static_cast<std::uint32_t>(drawn);
  }

  void submit(const Arrival& arrival) {
    const bool detected = m_now - m_killed_at >= k_balancer_detection_time;
    auto target = draw_daemon();
    while (detected && !m_daemons[target].alive) {
      target = draw_daemon();
    }
    auto& daemon = m_daemons[target];
    if (!daemon.alive) {
      count_failed(arrival);
      return;
    }
    Call call;
    call.service = k_service;
    call.team = arrival.second_team ? "b" : "a";
    call.idempotent = true;
    call.deadline = arrival.due + m_options.deadline;
    const auto id = daemon.router->submit(call, m_now);
    if (id) {
      daemon.calls.emplace(*id, CallRecord{arrival, 0, {}, 0});
    } else if (arrival.measured) {
      m_outcomes.refused();
    }
    apply_decisions(target);
  }

  /// Sends the attempts that the router has assigned, counts the calls that it has dropped, and
  /// schedules its next wakeup.
  void apply_decisions(std::uint32_t index) {
    auto& daemon = m_daemons[index];
    if (!daemon.alive) {
      return;
    }
    for (const auto& assignment : daemon.router->take_assignments(m_now)) {
      send(index, assignment);
    }
    for (const auto& dropped : daemon.router->take_dropped(m_now)) {
      const auto found = daemon.calls.find(dropped.call);
      if (found != daemon.calls.end() && found->second.arrival.measured) {
        dropped.error.verdict == Verdict::not_run ? m_outcomes.refused() : m_outcomes.failed();
      }
      daemon.calls.erase(dropped.call);
    }
    const TimePoint next = daemon.router->next_wakeup();
    if (next != TimePoint::max() && (next < daemon.next_wakeup || daemon.next_wakeup <= m_now)) {
      daemon.next_wakeup = next;
      push(Event{.time = next, .kind = EventKind::wakeup, .daemon = index});
    }
  }

  void send(std::uint32_t daemon, const Assignment& assignment) {
    auto& record = m_daemons[daemon].calls.at(assignment.call);
    record.attempt = assignment.attempt;
    record.sent = m_now;
    record.worker = static_cast<std::uint32_t>(std::stoul(assignment.address));
    ++m_attempts;
    m_calls_sent += assignment.attempt == 1 ? 1.0 : 0.0;
    Event event{.time = m_now + m_options.link_delay,
                .kind = EventKind::reach_worker,
                .daemon = daemon,
                .worker = record.worker,
                .call = assignment.call,
                .attempt = assignment.attempt};
    push(event);
    event.kind = EventKind::result;  // the attempt's timeout; ignored if a result arrives earlier
    event.time = record.arrival.due + m_options.deadline;
    event.outcome = AttemptResult::timed_out;
    push(event);
  }

  [[nodiscard]] std::optional<AttemptResult> fault_of(std::uint32_t worker) const {
    if (m_options.scenario == Scenario::total_failure) {
      return AttemptResult::connection_lost;
    }
    if (m_options.scenario == Scenario::failing_fast && m_workload.is_affected(worker)) {
      return AttemptResult::server_error;
    }
    return std::nullopt;
  }

  void reach_worker(Event event) {
    if (const auto fault = fault_of(event.worker)) {
      event.kind = EventKind::result;
      event.outcome = *fault;
      event.time = m_now + k_fault_reply_delay + m_options.link_delay;
      push(event);
      return;
    }
    auto& worker = m_workers[event.worker];
    if (worker.busy >= m_options.slots) {
      ++m_queued_at_worker;
      worker.waiting.push_back(event);
      return;
    }
    start_work(event);
  }

  void start_work(Event event) {
    const auto& calls = m_daemons[event.daemon].calls;
    const auto found = calls.find(event.call);
    if (found == calls.end()) {
      return;  // the call has ended; the worker notices the closed connection
    }
    ++m_workers[event.worker].busy;
    const double slowdown = m_workload.slowdown(event.worker, m_now);
    event.kind = EventKind::work_done;
    event.time =
        m_now + std::chrono::duration_cast<Duration>(found->second.arrival.service * slowdown);
    push(event);
  }

  void work_done(Event event) {
    auto& worker = m_workers[event.worker];
    --worker.busy;
    while (!worker.waiting.empty() && worker.busy < m_options.slots) {
      const Event next = worker.waiting.front();
      worker.waiting.pop_front();
      start_work(next);
    }
    event.kind = EventKind::result;
    event.outcome = AttemptResult::answered;
    event.time = m_now + m_options.link_delay;
    push(event);
  }

  void finish(const Event& event) {
    auto& daemon = m_daemons[event.daemon];
    const auto found = daemon.calls.find(event.call);
    if (!daemon.alive || found == daemon.calls.end() || found->second.attempt != event.attempt) {
      return;
    }
    found->second.attempt = 0;
    const auto completion = daemon.router->finish_attempt(
        event.call, {event.outcome, m_now - found->second.sent}, m_now);
    if (completion.next == NextStep::finish) {
      count(found->second, event.outcome);
      daemon.calls.erase(found);
    }
    apply_decisions(event.daemon);
  }

  void count(const CallRecord& record, AttemptResult outcome) {
    if (!record.arrival.measured) {
      return;
    }
    if (outcome != AttemptResult::answered) {
      m_outcomes.failed();
      return;
    }
    ++m_answered;
    m_answered_by_affected += m_workload.is_affected(record.worker) ? 1 : 0;
    m_outcomes.answered(m_now - record.arrival.due, m_options.deadline);
  }

  void count_failed(const Arrival& arrival) {
    if (arrival.measured) {
      m_outcomes.failed();
    }
  }

  void kill(std::uint32_t index) {
    auto& daemon = m_daemons[index];
    daemon.alive = false;
    m_killed_at = m_now;
    for (const auto& [id, record] : daemon.calls) {
      count_failed(record.arrival);
    }
    daemon.calls.clear();
  }

  // Gives each daemon the loads that the others reported one interval ago.
  void exchange_loads() {
    const bool detected = m_now - m_killed_at >= k_peer_detection_time;
    for (std::uint32_t i = 0; i < m_daemons.size(); ++i) {
      if (!m_daemons[i].alive) {
        continue;
      }
      std::vector<PeerInfo> peers;
      for (std::uint32_t p = 0; p < m_daemons.size(); ++p) {
        if (p == i || (!m_daemons[p].alive && detected)) {
          continue;
        }
        PeerInfo peer;
        peer.daemon = daemon_id(p);
        peer.idle_slots = m_daemons[p].reported.idle_slots;
        peer.queue_delay = m_daemons[p].reported.queue_delay;
        peers.push_back(std::move(peer));
      }
      m_daemons[i].router->set_peers(k_service, peers, {}, m_now);
      apply_decisions(i);
    }
    for (auto& daemon : m_daemons) {
      daemon.reported = daemon.alive ? daemon.router->stats().at(0) : daemon.reported;
    }
    push(Event{.time = m_now + k_load_interval, .kind = EventKind::exchange});
  }

  const ModelOptions m_options;
  Workload m_workload;
  Random m_random;
  Outcomes m_outcomes;
  TimePoint m_now;
  TimePoint m_killed_at = TimePoint::max() - std::chrono::hours{1};
  std::vector<DaemonState> m_daemons;
  std::vector<WorkerState> m_workers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_order = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_queued_at_worker = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_answered_by_affected = 0;
  double m_calls_sent = 0.0;
};

}  // namespace

std::string_view to_string(Scenario scenario) {
  return enum_name(k_scenario_names, scenario);
}

std::optional<Scenario> scenario_of(std::string_view name) {
  return enum_value(k_scenario_names, name);
}

ModelResult run_model(const ModelOptions& options) {
  return Model{options}.run();
}

}  // namespace arbutusdale::bench
