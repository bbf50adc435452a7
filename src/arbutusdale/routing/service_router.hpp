// Calls of one service at one daemon: admission, queueing, attempts and retries.
#pragma once

#include "arbutusdale/core/random.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <deque>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fair_queue.hpp"
#include "retry_budget.hpp"
#include "spill.hpp"
#include "worker_pool.hpp"

namespace arbutusdale::routing {

/// Router of one service. Not thread-safe.
class ServiceRouter {
 public:
  ServiceRouter(const ServiceConfig& config, const RouterOptions& options);

  void set_config(const ServiceConfig& config, const std::vector<TeamConfig>& teams);
  void set_targets(const std::vector<TargetInfo>& targets, TimePoint now);
  void set_peers(const std::vector<PeerInfo>& own_domain,
                 const std::vector<PeerInfo>& other_domains, TimePoint now);
  /// Drops all calls that wait; those in flight can still be finished.
  void close(TimePoint now);

  [[nodiscard]] const std::string& name() const { return m_config.name; }
  [[nodiscard]] const std::string& path_prefix() const { return m_config.path_prefix; }

  Result<void> submit(CallId id, const Call& call, TimePoint now);
  Completion finish_attempt(CallId id, const AttemptOutcome& outcome, TimePoint now);
  void cancel(CallId id, TimePoint now);
  /// Handles expired deadlines, due retries and timers, and assigns queued calls to free slots.
  void advance(TimePoint now);

  std::vector<Assignment> take_assignments() { return std::exchange(m_assignments, {}); }
  std::vector<DroppedCall> take_dropped() { return std::exchange(m_dropped, {}); }
  [[nodiscard]] bool has_output() const { return !m_assignments.empty() || !m_dropped.empty(); }
  [[nodiscard]] TimePoint next_due() const;
  [[nodiscard]] ServiceStats stats() const;
  [[nodiscard]] bool empty() const { return m_calls.empty(); }

 private:
  enum class Stage : std::uint8_t { queued, in_flight, backoff };
  struct CallState {
    Call call;
    Stage stage = Stage::queued;
    TimePoint ready{};  // time of submission, or of the end of the last backoff
    std::uint32_t attempts = 0;
    bool may_have_run = false;  // set by the first attempt that is not proved not to have run
    bool cancelled = false;
    bool is_retry = false;
    std::vector<std::string> tried;  // workers and daemons, one per attempt
    Choice choice;
    bool to_peer = false;
  };
  using Calls = std::unordered_map<CallId, CallState>;

  [[nodiscard]] Duration expected_wait(double calls_ahead) const;
  [[nodiscard]] Result<void> check_admission(const Call& call, TimePoint now);
  bool try_spill(CallId id, CallState& state, Duration local_wait, TimePoint now);
  void enqueue(CallId id, CallState& state);
  void remove_from_queue(CallId id, const CallState& state);
  void drop(CallId id, ErrorCode code, const char* message);
  void drop_expired(TimePoint now);
  void start_retries(TimePoint now);
  [[nodiscard]] std::uint32_t overflow_slots() const;
  void dispatch(TimePoint now);
  bool dispatch_retries(TimePoint now);
  bool assign(CallId id, CallState& state, TimePoint now);
  void start_attempt(CallId id, CallState& state, const std::string& target,
                     const std::string& address, TimePoint now);
  void end_attempt(CallState& state, const AttemptOutcome& outcome, TimePoint now);
  [[nodiscard]] bool may_retry(const CallState& state, const AttemptOutcome& outcome,
                               TimePoint now);
  void schedule_retry(CallId id, CallState& state, TimePoint now);
  [[nodiscard]] static Verdict verdict(const CallState& state, AttemptResult result);

  ServiceConfig m_config;
  RouterOptions m_options;
  Random m_random;
  WorkerPool m_pool;
  SpillTable m_spill;
  RetryBudget m_budget;

  Calls m_calls;
  FairQueue m_queue;             // first attempts
  std::deque<CallId> m_retries;  // ready retries; served before all first attempts
  std::set<std::pair<TimePoint, CallId>> m_deadlines;  // of queued calls and calls in backoff
  using Backoff = std::pair<TimePoint, CallId>;
  std::priority_queue<Backoff, std::vector<Backoff>, std::greater<>> m_backoff;

  std::vector<Assignment> m_assignments;
  std::vector<DroppedCall> m_dropped;
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_peers = 0;  // live daemons of this domain, except this one
  Duration m_peer_delay{};    // mean of their queue delays
  Duration m_shortest_peer_delay{};
  ServiceStats m_counts;
};

}  // namespace arbutusdale::routing
