// What the daemons' logs say of one job, in the order in which it happened, and what they lack.
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
  nlohmann::json fields;  // the whole line
};

struct JobTimeline {
  std::string job;
  /// Lines about the job, and changes of leadership between the first and the last of them.
  std::vector<LogEvent> events;
  std::string outcome;               // "unknown" without a line that tells it
  std::vector<std::string> missing;  // what should have a line and has none
};

/// `logs` may hold the logs of several daemons in any order. Text before the first brace of a line
/// and lines that are not JSON are ignored.
JobTimeline make_job_timeline(const std::string& job, const std::vector<std::string>& logs);

std::string render_job_timeline(const JobTimeline& timeline);
nlohmann::json job_timeline_json(const JobTimeline& timeline);

}  // namespace arbutusdale::cli
