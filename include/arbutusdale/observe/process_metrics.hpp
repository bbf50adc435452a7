// Metrics of the process that are recorded where decisions are made: a counter for each event of
// the log, also for lines that the log's bound drops, and a histogram for each timing. Names are
// stable; docs/OPERATIONS.md lists them.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/metrics.hpp"

#include <cstdint>

namespace arbutusdale::observe {

enum class Timing : std::uint8_t {
  acceptance,        ///< of a job, from its arrival to the stored record
  start_wait,        ///< of a task, from being ready to the order that starts it
  start_call,        ///< of an order that starts a task
  store_append,      ///< of an append that succeeded
  leadership_claim,  ///< of a claim that succeeded
  advice_call,       ///< for the tickets of a step
};

/// Metrics of this process, made at the first call.
Registry& process_metrics();

void count_event(Event event);
void record_timing(Timing timing, Duration duration);

}  // namespace arbutusdale::observe
