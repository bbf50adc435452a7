// Timeline of one job from the event logs of several daemons, and the expected events that the logs
// lack.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace arbutusdale::cli {

struct LogEvent {
  std::uint64_t time_ms = 0;  // wall clock of the daemon
  std::string daemon;
  std::string name;
  nlohmann::json fields;  // all fields of the line
};

struct JobTimeline {
  std::string job;
  /// Events of the job, and changes of leadership and reports of dropped lines between its first
  /// and its last event.
  std::vector<LogEvent> events;
  std::string outcome;               // "unknown" without an event that determines it
  std::vector<std::string> missing;  // descriptions of what the logs lack
};

/// `logs` may hold the logs of several daemons in any order. Text before the first brace of a line
/// and lines that are not JSON are ignored.
JobTimeline make_job_timeline(const std::string& job, const std::vector<std::string>& logs);

std::string render_job_timeline(const JobTimeline& timeline);
nlohmann::json job_timeline_json(const JobTimeline& timeline);

}  // namespace arbutusdale::cli
