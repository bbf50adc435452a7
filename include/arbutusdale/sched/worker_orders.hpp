// Abstract interface to the workers. An order is a command of the leader to a worker: start, stop
// or throttle one run, or poll the worker.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/resources.hpp"
#include "arbutusdale/jobs/ids.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace arbutusdale::sched {

enum class WorkerState : std::uint8_t { ready, draining };

/// A worker's registration, as the worker writes it.
struct WorkerEntry {
  std::string id;
  std::string service;
  std::string address;  // IP:port
  std::string failure_domain;
  std::string vm;
  std::string rack;
  std::vector<std::string> labels;  // includes the rack
  WorkerState state = WorkerState::ready;
  Resources capacity;
  std::uint64_t incarnation = 0;   // wall time of its start in ms; a restarted worker keeps its id
  std::uint32_t remaining_ms = 0;  // while draining: least time until it exits
};

/// Destination of an order. A restarted worker refuses orders for its earlier incarnation.
struct WorkerEndpoint {
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
};

/// Why an order failed. With every reason except `unknown` it was not carried out.
enum class OrderFailure : std::uint8_t {
  fenced,                ///< the worker has seen a higher fencing token
  superseded,            ///< a run with this or a higher number was stopped or has ended there
  lease_expired,         ///< the lease in the order has expired
  no_capacity,           ///< the worker lacks the capacity
  invalid_ticket,        ///< the ticket from the advice service is missing or has expired
  rejected,              ///< the worker refused for another reason
  connection_refused,    ///< nothing listens at the address
  incarnation_mismatch,  ///< the worker has restarted
  invalid,               ///< the worker does not understand the order
  unknown,               ///< no readable answer; the order may be carried out, now or later
};

struct OrderError {
  OrderFailure reason = OrderFailure::unknown;
  std::optional<std::uint64_t> clock_ms;  // the worker's clock, if it answered
  std::string message;
};

struct OrderReply {
  std::uint64_t clock_ms = 0;  // the worker's clock
};

/// Starts a run: one attempt to execute a task. The numbers of a task's runs rise; repeating an
/// order with the same number starts nothing twice.
struct StartOrder {
  jobs::TaskId task;
  std::uint32_t run = 0;  // number
  std::string payload;
  std::uint64_t lease_until_ms = 0;  // on the worker's clock
  std::uint64_t fencing_token = 0;
  std::string checkpoint;  // where to resume; empty: from the beginning
  std::string ticket;      // of the advice service; empty: none
};

/// Stops a run, or names the run that another order is about.
struct RunOrder {
  jobs::TaskId task;
  std::uint32_t run = 0;
  std::uint64_t fencing_token = 0;
};

struct ThrottleOrder {
  RunOrder run;
  std::uint32_t percent = 0;  // of full speed; 100: not throttled, 0: paused
};

/// Long poll of a worker. Renews the lease of all its runs, acknowledges ended runs, and returns
/// the running ones and those that have ended.
struct PollOrder {
  std::uint64_t fencing_token = 0;
  std::uint64_t acknowledged_through = 0;  // ended runs up to this sequence number are forgotten
  std::optional<std::uint64_t> lease_until_ms;  // on the worker's clock; empty: not renewed
  std::uint32_t wait_ms = 0;                    // longest wait for a run to end
};

/// A run in progress.
struct RunningTask {
  jobs::TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;              // empty: none
  std::uint32_t progress_percent = 0;  // of its work
  /// Of a serving task, its tail latency in ms; of other tasks, the CPU in use in thousandths of a
  /// processor. Measured over the last half second.
  std::uint64_t tail_ms_or_cpu_millis = 0;
};

/// How a run ended.
enum class RunOutcome : std::uint8_t {
  done,
  failed,
  stopped,
  lease_expired,      ///< its lease expired
  gang_member_ended,  ///< another member of its gang ended
  gang_incomplete,    ///< the other members of its gang did not start
};

struct EndedRun {
  std::uint64_t sequence = 0;  // rises by one with each run that ends in the incarnation
  jobs::TaskId task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::done;
  std::string checkpoint;  // empty: none
};

/// Most ended runs in one reply to a poll; the others follow once these are acknowledged.
inline constexpr std::size_t k_max_listed_ends = 500;

struct PollReply {
  std::uint64_t clock_ms = 0;
  std::uint64_t incarnation = 0;  // 0: not given
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

/// Sends orders to workers. All calls are asynchronous; `done` is invoked exactly once.
class WorkerOrders {
 public:
  using Done = std::function<void(tl::expected<OrderReply, OrderError>)>;
  using PollDone = std::function<void(tl::expected<PollReply, OrderError>)>;

  WorkerOrders() = default;
  WorkerOrders(const WorkerOrders&) = delete;
  WorkerOrders& operator=(const WorkerOrders&) = delete;
  virtual ~WorkerOrders() = default;

  virtual void poll(const WorkerEndpoint& worker, const PollOrder& order, PollDone done) = 0;
  virtual void start(const WorkerEndpoint& worker, const StartOrder& order, Done done) = 0;
  virtual void stop(const WorkerEndpoint& worker, const RunOrder& order, Done done) = 0;
  virtual void throttle(const WorkerEndpoint& worker, const ThrottleOrder& order, Done done) = 0;
};

}  // namespace arbutusdale::sched
