// Admission, target selection and retries of calls.
// Does no I/O: the gateway submits calls, sends the assigned attempts and reports their outcome.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::routing {

/// Load-balancing policies; all but `slot_share` are baselines for measurements.
enum class Policy : std::uint8_t {
  slot_share,  ///< own slots first, then idle slots that peers report
  round_robin,
  random,
  least_in_flight,  ///< fewest calls in flight from this daemon
};

std::string_view to_string(Policy policy);

/// One service as declared.
struct ServiceConfig {
  std::string name;
  std::string path_prefix;
  std::uint32_t slots = 8;         // concurrent requests per worker
  std::uint32_t connections = 64;  // connections per worker over all daemons
  Duration p99_target = std::chrono::milliseconds{100};
  Duration timeout = std::chrono::seconds{10};  // used when the caller sets no deadline
  std::uint32_t queue_limit = 1024;             // queued calls at this daemon
};

/// A team with its weight in the fair queue.
struct TeamConfig {
  std::string name;
  std::uint32_t weight = 1;
};

/// One target of a service in this daemon's failure domain.
struct TargetInfo {
  std::string worker;   // VM id
  std::string address;  // host:port
  bool leaving = false;
};

/// Another daemon, from which slots can be borrowed or to which calls can be forwarded.
struct PeerInfo {
  std::string daemon;
  std::string domain;
  std::string caller_address;
  std::uint32_t idle_slots = 0;
  Duration queue_delay{};
  Duration round_trip{};
  double loss = 0.0;  // fraction of messages lost on the link, 0 to 1
};

struct RouterOptions {
  std::string daemon;
  std::string domain;
  Policy policy = Policy::slot_share;
  double retry_budget = 0.1;         // retries as a fraction of the service's calls
  bool retry_budget_enabled = true;  // false only as a baseline
  std::uint32_t max_attempts = 3;
  double max_ejected_share = 0.3;  // fraction of a service's workers
  /// Added to the expected delay of a call to another failure domain.
  Duration cross_domain_cost = std::chrono::milliseconds{5};
  /// Time over which calls to a domain that was unreachable ramp up.
  Duration cross_domain_ramp = std::chrono::seconds{10};
  std::uint64_t seed = 1;
};

using CallId = std::uint64_t;

/// Properties of a call that the router needs.
struct Call {
  std::string service;
  std::string team;
  bool idempotent = false;
  bool forwarded = false;  // received from another daemon; never forwarded again
  TimePoint deadline{};
};

/// An attempt that the gateway is to send now.
struct Assignment {
  CallId call = 0;
  std::uint32_t attempt = 1;
  std::string worker;   // VM id, or daemon id when `to_peer`
  std::string address;  // host:port
  bool to_peer = false;
  Duration queued{};  // time since the call was submitted or became ready for its retry
};

enum class AttemptResult : std::uint8_t {
  answered,         ///< complete answer with a status below 500
  server_error,     ///< complete answer with a status of 500 or above
  refused,          ///< the target answered 503 or 429 before running the call
  not_sent,         ///< it is certain that no byte reached the target
  connection_lost,  ///< failed after the first byte was sent
  timed_out,
};

std::string_view to_string(AttemptResult result);

struct AttemptOutcome {
  AttemptResult result = AttemptResult::answered;
  Duration latency{};
};

enum class NextStep : std::uint8_t {
  finish,  ///< the call has ended; return the answer, or an error with `verdict`
  retry,   ///< the call is queued again; a new assignment follows
};

struct Completion {
  NextStep next = NextStep::finish;
  Verdict verdict = Verdict::answered;
};

/// A queued call that ended without being assigned again.
struct DroppedCall {
  CallId call = 0;
  Error error;  // verdict `not_run`, or `may_have_run` when an earlier attempt may have run
};

/// Load and counters of one service at this daemon.
struct ServiceStats {
  std::string service;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t idle_slots = 0;
  std::uint32_t targets = 0;
  std::uint32_t ejected = 0;
  Duration queue_delay{};  // expected queue wait of a call that is admitted now
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t retries = 0;
  std::uint64_t spilled = 0;   // attempts sent to another failure domain
  std::uint64_t borrowed = 0;  // attempts on a slot that belongs to another daemon
};

/// Router of one daemon. Not thread-safe: the gateway calls it under its own lock.
class RequestRouter {
 public:
  RequestRouter() = default;
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;
  virtual ~RequestRouter() = default;

  virtual void set_services(const std::vector<ServiceConfig>& services,
                            const std::vector<TeamConfig>& teams) = 0;
  /// Targets of one service in this daemon's failure domain. An empty list is applied too; callers
  /// check the VM list for faults first. Calls in flight to removed targets are not interrupted.
  virtual void set_targets(const std::string& service, const std::vector<TargetInfo>& targets,
                           TimePoint now) = 0;
  /// Live daemons of this domain, except this one, and some daemons of other domains.
  virtual void set_peers(const std::string& service, const std::vector<PeerInfo>& own_domain,
                         const std::vector<PeerInfo>& other_domains, TimePoint now) = 0;

  /// Name of the service with the longest path prefix that matches `path`, or empty.
  [[nodiscard]] virtual std::string match(std::string_view path) const = 0;

  /// Admits a call, or refuses it with verdict `not_run`: `not_found`, `overloaded` or
  /// `deadline_exceeded`.
  virtual Result<CallId> submit(const Call& call, TimePoint now) = 0;

  /// Attempts that were assigned since the previous call of this function.
  virtual std::vector<Assignment> take_assignments(TimePoint now) = 0;

  /// Calls that left the queue unassigned since the previous call of this function: the deadline
  /// passed, the service was removed, or another team's call displaced it.
  virtual std::vector<DroppedCall> take_dropped(TimePoint now) = 0;

  /// Reports the end of an attempt.
  virtual Completion finish_attempt(CallId call, const AttemptOutcome& outcome, TimePoint now) = 0;

  /// The caller has disconnected. A queued call is removed; an attempt in flight must still be
  /// reported with `finish_attempt`.
  virtual void cancel(CallId call, TimePoint now) = 0;

  /// Earliest time at which `take_assignments` or `take_dropped` may return something even if no
  /// other function is called before.
  [[nodiscard]] virtual TimePoint next_wakeup() const = 0;

  [[nodiscard]] virtual std::vector<ServiceStats> stats() const = 0;
};

std::unique_ptr<RequestRouter> make_request_router(RouterOptions options);

}  // namespace arbutusdale::routing
