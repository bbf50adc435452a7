// When a worker that has answered a poll is polled again.
//
// A worker holds a poll back until a run ends. It answers at once while it lists ends that are not
// acknowledged, so that the next poll is sent when the next end is expected instead.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/sched/worker_table.hpp"

namespace arbutusdale::sched {

/// Time between an answer of the worker at `now` and the next poll.
Duration poll_pause(const Worker& worker, TimePoint now);

}  // namespace arbutusdale::sched
