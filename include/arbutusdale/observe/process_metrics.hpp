// Process-wide metrics, recorded where decisions are made: a counter per kind of event, which
// includes events whose log line is dropped, and a histogram per timing. The metric names are
// stable; docs/OPERATIONS.md lists them.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/observe/event_log.hpp"
#include "arbutusdale/observe/metrics.hpp"

#include <cstdint>

namespace arbutusdale::observe {

enum class Timing : std::uint8_t {
  acceptance,        ///< from the arrival of a job to its stored record
  start_wait,        ///< from a task being ready to the order that starts it
  start_call,        ///< an order that starts a task, up to its response
  store_append,      ///< a successful append to the metadata store
  leadership_claim,  ///< a successful claim
  advice_call,       ///< a call to the advice service for the tickets of a step
};

/// Metrics of this process, created at the first call.
Registry& process_metrics();

void count_event(Event event);
void record_timing(Timing timing, Duration duration);

}  // namespace arbutusdale::observe
