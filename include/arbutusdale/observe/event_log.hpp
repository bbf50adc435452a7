// Event log: one JSON object per line on standard output for each decision that concerns a job or
// changes the process's view of the fleet or its role. Never blocks; lines over the limit are
// dropped and counted.
#pragma once

#include "arbutusdale/core/clock.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusdale::observe {

/// Kinds of events; docs/OPERATIONS.md explains each one and how to respond to it.
enum class Event : std::uint8_t {
  process_started,
  process_stopping,
  process_stopped,
  settings_reloaded,
  dependency_lost,
  dependency_regained,
  request_repeated,
  append_resolved,
  record_too_large,
  store_lost_records,
  view_outdated,
  view_current,
  roster_full,
  configuration_applied,
  job_moved,
  shard_layout_known,
  shard_layout_proposed,
  leadership_claimed,
  leadership_refused,
  leadership_lost,
  leadership_released,
  worker_seen,
  worker_changed,
  worker_gone,
  worker_lost,
  worker_crashed,
  worker_quarantined,
  step_failing,
  poll_unanswered,
  ends_missing,
  end_held,
  job_accepted,
  job_refused,
  job_unresolved,
  job_cancelled,
  job_owned,
  job_ended,
  state_answered,
  run_ordered,
  run_refused,
  run_unanswered,
  run_adopted,
  run_ended,
  run_stopping,
  run_vanished,
  run_presumed_ended,
  run_unexpected,
  task_given_up,
  task_waiting,
  pace_changed,
  opportunistic_work,
  advice_received,
  advice_missing,
  lines_dropped,
};

std::string_view to_string(Event event);

/// Builds one line. Fields appear in the order in which they are added.
class EventLine {
 public:
  explicit EventLine(Event event);

  EventLine& add(std::string_view name, std::string_view value);
  EventLine& add(std::string_view name, const char* value) {
    return add(name, std::string_view(value));
  }
  EventLine& add(std::string_view name, std::integral auto value) {
    return add_number(name, std::to_string(value));
  }
  EventLine& add_ms(std::string_view name, Duration value);

  /// Counts the event and writes the line to the process's event log.
  void write();

 private:
  EventLine& add_number(std::string_view name, std::string_view digits);

  Event m_event;
  std::string m_text;
};

struct EventLogLimits {
  std::size_t lines_per_second = 400;
  /// Additional lines for events that explain others: changes of leadership and of dependencies,
  /// and the start and end of jobs.
  std::size_t reserved_lines_per_second = 200;
  std::size_t buffer_bytes = 262'144;
};

/// Sets up the process's event log; before that, lines are discarded.
void open_event_log(int descriptor, std::string daemon, const Clock& clock, EventLogLimits limits);

/// Writes as much as the descriptor accepts without blocking. Call once per event loop iteration.
void flush_event_log();

/// Lines dropped since the start.
std::uint64_t dropped_event_lines();

}  // namespace arbutusdale::observe
