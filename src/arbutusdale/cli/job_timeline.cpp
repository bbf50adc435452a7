// Parses event logs and finds missing events.
#include "job_timeline.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace arbutusdale::cli {
namespace {

using Json = nlohmann::json;
using RunKey = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;  // step, task, run

constexpr std::array<std::string_view, 4> k_context_events{"leadership_claimed", "leadership_lost",
                                                           "leadership_released", "lines_dropped"};
constexpr std::array<std::string_view, 6> k_run_end_events{"run_ended",          "run_vanished",
                                                           "run_presumed_ended", "run_refused",
                                                           "run_stopping",       "run_unanswered"};
constexpr double k_ms_per_second = 1'000;

template <std::size_t N>
bool contains(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string string_field(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t number_field(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::optional<LogEvent> parse_event(std::string_view text) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos) {
    return std::nullopt;
  }
  Json fields = Json::parse(text.substr(brace), nullptr, false);
  if (!fields.is_object()) {
    return std::nullopt;
  }
  LogEvent event;
  event.time_ms = number_field(fields, "time_ms");
  event.daemon = string_field(fields, "daemon");
  event.name = string_field(fields, "event");
  event.fields = std::move(fields);
  return event.name.empty() ? std::nullopt : std::optional(std::move(event));
}

/// Parses the lines of the log. Appends events of the job to `job_events` and events that concern
/// all jobs to `context`.
void collect_events(std::string_view log, const std::string& job, std::vector<LogEvent>& job_events,
                    std::vector<LogEvent>& context) {
  while (!log.empty()) {
    const std::size_t end = std::min(log.find('\n'), log.size());
    auto event = parse_event(log.substr(0, end));
    log.remove_prefix(std::min(end + 1, log.size()));
    if (!event) {
      continue;
    }
    if (string_field(event->fields, "job") == job) {
      job_events.push_back(std::move(*event));
    } else if (contains(k_context_events, event->name)) {
      context.push_back(std::move(*event));
    }
  }
}

std::string determine_outcome(const std::vector<LogEvent>& events) {
  std::string outcome = "unknown";
  for (const LogEvent& event : events) {
    if (event.name == "job_ended") {
      return string_field(event.fields, "state");
    }
    if (event.name == "job_accepted") {
      outcome = "accepted";
    } else if (event.name == "job_refused" && outcome == "unknown") {
      outcome = "refused";
    } else if (event.name == "job_unresolved" && outcome != "accepted") {
      outcome = "unresolved";
    }
  }
  return outcome;
}

bool has_event(const std::vector<LogEvent>& events, std::string_view name) {
  return std::any_of(events.begin(), events.end(),
                     [name](const LogEvent& event) { return event.name == name; });
}

void append_unfinished_runs(const std::vector<LogEvent>& events,
                            std::vector<std::string>& missing) {
  std::set<RunKey> unfinished;
  for (const LogEvent& event : events) {
    const RunKey key{number_field(event.fields, "step"), number_field(event.fields, "task"),
                     number_field(event.fields, "run")};
    if (event.name == "run_ordered" || event.name == "run_adopted") {
      unfinished.insert(key);
    } else if (contains(k_run_end_events, event.name)) {
      unfinished.erase(key);
    }
  }
  for (const auto& [step, task, run] : unfinished) {
    missing.push_back(fmt::format("end of run {} of task {} of step {}", run, task, step));
  }
}

std::vector<std::string> find_missing(const std::vector<LogEvent>& events) {
  if (events.empty()) {
    return {"any line about the job"};
  }
  std::vector<std::string> missing;
  const bool accepted = has_event(events, "job_accepted");
  const bool owned = has_event(events, "job_owned");
  const bool ended = has_event(events, "job_ended");
  if (!accepted && owned) {
    missing.emplace_back("its acceptance");
  }
  if (accepted && !owned) {
    missing.emplace_back("a leader that took ownership of it");
  }
  if (owned && !ended) {
    missing.emplace_back("its end");
  }
  append_unfinished_runs(events, missing);
  std::map<std::string, std::uint64_t> dropped;
  for (const LogEvent& event : events) {
    if (event.name == "lines_dropped") {
      dropped[event.daemon] += number_field(event.fields, "count");
    }
  }
  for (const auto& [daemon, count] : dropped) {
    missing.push_back(fmt::format("{} lines that {} dropped in this period", count, daemon));
  }
  return missing;
}

std::string render_fields(const Json& fields) {
  std::string text;
  for (const auto& [name, value] : fields.items()) {
    if (name == "time_ms" || name == "daemon" || name == "event" || name == "job") {
      continue;
    }
    text +=
        fmt::format("  {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

}  // namespace

JobTimeline make_job_timeline(const std::string& job, const std::vector<std::string>& logs) {
  JobTimeline timeline;
  timeline.job = job;
  std::vector<LogEvent> context;
  for (const std::string& log : logs) {
    collect_events(log, job, timeline.events, context);
  }
  const auto earlier = [](const LogEvent& one, const LogEvent& other) {
    return one.time_ms < other.time_ms;
  };
  std::stable_sort(timeline.events.begin(), timeline.events.end(), earlier);
  if (!timeline.events.empty()) {
    const std::uint64_t begin = timeline.events.front().time_ms;
    const std::uint64_t end = timeline.events.back().time_ms;
    for (LogEvent& event : context) {
      if (event.time_ms >= begin && event.time_ms <= end) {
        timeline.events.push_back(std::move(event));
      }
    }
    std::stable_sort(timeline.events.begin(), timeline.events.end(), earlier);
  }
  timeline.outcome = determine_outcome(timeline.events);
  timeline.missing = find_missing(timeline.events);
  return timeline;
}

std::string render_job_timeline(const JobTimeline& timeline) {
  std::string text = fmt::format("job {}: {}\n", timeline.job, timeline.outcome);
  for (const LogEvent& event : timeline.events) {
    const auto since_ms = static_cast<double>(event.time_ms - timeline.events.front().time_ms);
    text += fmt::format("{:>9.3f} s  {:<20} {:<18}{}\n", since_ms / k_ms_per_second, event.daemon,
                        event.name, render_fields(event.fields));
  }
  for (const std::string& item : timeline.missing) {
    text += fmt::format("missing: {}\n", item);
  }
  return text;
}

nlohmann::json job_timeline_json(const JobTimeline& timeline) {
  Json lines = Json::array();
  for (const LogEvent& event : timeline.events) {
    lines.push_back(event.fields);
  }
  return {{"job", timeline.job},
          {"outcome", timeline.outcome},
          {"lines", std::move(lines)},
          {"missing", timeline.missing}};
}

}  // namespace arbutusdale::cli
