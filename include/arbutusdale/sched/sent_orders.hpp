// What the leader remembers of an order until its reply arrives.
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

}  // namespace arbutusdale::sched
