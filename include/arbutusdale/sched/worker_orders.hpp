// Abstract interface to the workers: what the leader of a fleet may ask of them.
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

/// What a worker says of itself in its registration.
struct WorkerEntry {
  std::string id;
  std::string service;
  std::string address;  // IP:port
  std::string failure_domain;
  std::string vm;
  std::string rack;
  std::vector<std::string> labels;  // the rack is one of them
  WorkerState state = WorkerState::ready;
  Resources capacity;
  std::uint64_t incarnation = 0;   // wall time of its start, in ms; the same id may start again
  std::uint32_t remaining_ms = 0;  // least time left while it drains
};

/// Where an order is sent. A worker that has restarted refuses an order for its earlier
/// incarnation.
struct WorkerEndpoint {
  std::string id;
  std::string address;
  std::uint64_t incarnation = 0;
};

enum class OrderFailure : std::uint8_t {
  fenced,                ///< a higher fencing token is in force
  superseded,            ///< a run with this or a higher number has been stopped or has ended there
  lease_expired,         ///< the lease in the order has run out
  no_capacity,           ///< the worker's capacity does not allow it
  invalid_ticket,        ///< the ticket of the advice service is missing or has expired
  rejected,              ///< the worker refused and did nothing
  connection_refused,    ///< the connection was refused at once; nothing was done
  incarnation_mismatch,  ///< the worker has restarted
  invalid,               ///< the worker does not understand the order
  unknown,               ///< no answer: may be carried out, now or later
};

struct OrderError {
  OrderFailure reason = OrderFailure::unknown;
  std::optional<std::uint64_t> clock_ms;  // the worker's clock, if it answered
  std::string message;
};

struct OrderReply {
  std::uint64_t clock_ms = 0;  // the worker's clock
};

struct StartOrder {
  jobs::TaskId task;
  std::uint32_t run = 0;
  std::string payload;
  std::uint64_t lease_until_ms = 0;  // on the worker's clock
  std::uint64_t fencing_token = 0;
  std::string checkpoint;
  std::string ticket;
};

struct RunOrder {
  jobs::TaskId task;
  std::uint32_t run = 0;
  std::uint64_t fencing_token = 0;
};

struct ThrottleOrder {
  RunOrder run;
  std::uint32_t percent = 0;  // share of full speed
};

/// Extends the lease of all that runs on the worker and asks what runs and what has ended.
struct PollOrder {
  std::uint64_t fencing_token = 0;
  std::uint64_t acknowledged_through = 0;       // ends up to this number are forgotten
  std::optional<std::uint64_t> lease_until_ms;  // on the worker's clock
  std::uint32_t wait_ms = 0;                    // for the next end
};

struct RunningTask {
  jobs::TaskId task;
  std::uint32_t run = 0;
  std::string checkpoint;              // empty: none
  std::uint32_t progress_percent = 0;  // of its work
  /// Of a serving task, the tail of its response times in ms; of others, the processors in use in
  /// thousandths. Over the last half second.
  std::uint64_t tail_ms_or_cpu_millis = 0;
};

enum class RunOutcome : std::uint8_t {
  done,
  failed,
  stopped,
  lease_expired,      ///< its lease ran out
  gang_member_ended,  ///< another member of its gang ended
  gang_incomplete,    ///< the other members of its gang did not come
};

struct EndedRun {
  std::uint64_t sequence = 0;  // rises by one with each end of the worker's incarnation
  jobs::TaskId task;
  std::uint32_t run = 0;
  RunOutcome outcome = RunOutcome::done;
  std::string checkpoint;  // empty: none
};

struct PollReply {
  std::uint64_t clock_ms = 0;
  std::uint64_t incarnation = 0;  // 0: not told
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

/// All calls are asynchronous; a completion is invoked exactly once.
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
