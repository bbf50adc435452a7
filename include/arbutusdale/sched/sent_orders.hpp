// What the leader remembers of an order until its reply arrives, and of orders and acknowledgements
// that wait for a write.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/task_table.hpp"
#include "arbutusdale/sched/worker_orders.hpp"

#include <cstdint>
#include <string>

namespace arbutusdale::sched {

/// What the reply to a poll is compared with.
struct SentPoll {
  WorkerSlot slot = 0;
  std::uint64_t serial = 0;
  std::string address;
  TimePoint sent{};
};

/// What the reply to a start is compared with.
struct SentStart {
  WorkerEndpoint endpoint;
  WorkerSlot worker = 0;
  std::uint64_t fencing_token = 0;
  TimePoint sent_at{};
};

/// A start that is sent once it is stored.
struct PendingStart {
  jobs::TaskId task;
  std::uint32_t run = 0;
  WorkerSlot worker = 0;
  bool is_urgent = false;  // it is stored even if the last write was a moment ago
};

/// Ended runs of a worker whose effects are part of a write.
struct ProcessedEnds {
  WorkerSlot slot = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t through = 0;  // sequence of the last one
};

}  // namespace arbutusdale::sched
