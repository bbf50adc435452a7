// Reading of logs, and the checks for gaps.
#include "story.hpp"

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
constexpr std::array<std::string_view, 5> k_run_ends{"run_ended", "run_vanished", "run_refused",
                                                     "run_stopping", "run_unanswered"};
constexpr double k_ms_per_second = 1'000;

template <std::size_t N>
bool is_one_of(const std::array<std::string_view, N>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string text_of(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t number_of(const Json& fields, const char* name) {
  const auto found = fields.find(name);
  return found != fields.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::optional<StoryLine> parse_line(std::string_view text) {
  const std::size_t brace = text.find('{');
  if (brace == std::string_view::npos) {
    return std::nullopt;
  }
  Json fields = Json::parse(text.substr(brace), nullptr, false);
  if (!fields.is_object()) {
    return std::nullopt;
  }
  StoryLine line;
  line.time_ms = number_of(fields, "time_ms");
  line.daemon = text_of(fields, "daemon");
  line.event = text_of(fields, "event");
  line.fields = std::move(fields);
  return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

/// Splits the log into lines and hands over those that concern the job or all jobs.
void collect(std::string_view log, const std::string& job, std::vector<StoryLine>& of_job,
             std::vector<StoryLine>& context) {
  while (!log.empty()) {
    const std::size_t end = std::min(log.find('\n'), log.size());
    auto line = parse_line(log.substr(0, end));
    log.remove_prefix(std::min(end + 1, log.size()));
    if (!line) {
      continue;
    }
    if (text_of(line->fields, "job") == job) {
      of_job.push_back(std::move(*line));
    } else if (is_one_of(k_context_events, line->event)) {
      context.push_back(std::move(*line));
    }
  }
}

std::string outcome_of(const std::vector<StoryLine>& lines) {
  std::string outcome = "unknown";
  for (const StoryLine& line : lines) {
    if (line.event == "job_ended") {
      return text_of(line.fields, "state");
    }
    if (line.event == "job_accepted") {
      outcome = "accepted";
    } else if (line.event == "job_refused" && outcome == "unknown") {
      outcome = "refused";
    } else if (line.event == "job_unresolved" && outcome != "accepted") {
      outcome = "unresolved";
    }
  }
  return outcome;
}

bool has_event(const std::vector<StoryLine>& lines, std::string_view event) {
  return std::any_of(lines.begin(), lines.end(),
                     [event](const StoryLine& line) { return line.event == event; });
}

void find_open_runs(const std::vector<StoryLine>& lines, std::vector<std::string>& missing) {
  std::set<RunKey> open;
  for (const StoryLine& line : lines) {
    const RunKey key{number_of(line.fields, "step"), number_of(line.fields, "task"),
                     number_of(line.fields, "run")};
    if (line.event == "run_ordered" || line.event == "run_adopted") {
      open.insert(key);
    } else if (is_one_of(k_run_ends, line.event)) {
      open.erase(key);
    }
  }
  for (const auto& [step, task, run] : open) {
    missing.push_back(fmt::format("end of run {} of task {} of step {}", run, task, step));
  }
}

std::vector<std::string> find_gaps(const std::vector<StoryLine>& lines) {
  if (lines.empty()) {
    return {"any line about the job"};
  }
  std::vector<std::string> missing;
  const bool accepted = has_event(lines, "job_accepted");
  const bool owned = has_event(lines, "job_owned");
  const bool ended = has_event(lines, "job_ended");
  if (!accepted && owned) {
    missing.emplace_back("its acceptance");
  }
  if (accepted && !owned) {
    missing.emplace_back("a leader that took it up");
  }
  if (owned && !ended) {
    missing.emplace_back("its end");
  }
  find_open_runs(lines, missing);
  std::map<std::string, std::uint64_t> dropped;
  for (const StoryLine& line : lines) {
    if (line.event == "lines_dropped") {
      dropped[line.daemon] += number_of(line.fields, "count");
    }
  }
  for (const auto& [daemon, count] : dropped) {
    missing.push_back(fmt::format("{} lines that {} dropped meanwhile", count, daemon));
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

Story make_story(const std::string& job, const std::vector<std::string>& logs) {
  Story story;
  story.job = job;
  std::vector<StoryLine> context;
  for (const std::string& log : logs) {
    collect(log, job, story.lines, context);
  }
  const auto earlier = [](const StoryLine& one, const StoryLine& other) {
    return one.time_ms < other.time_ms;
  };
  std::stable_sort(story.lines.begin(), story.lines.end(), earlier);
  if (!story.lines.empty()) {
    const std::uint64_t begin = story.lines.front().time_ms;
    const std::uint64_t end = story.lines.back().time_ms;
    for (StoryLine& line : context) {
      if (line.time_ms >= begin && line.time_ms <= end) {
        story.lines.push_back(std::move(line));
      }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), earlier);
  }
  story.outcome = outcome_of(story.lines);
  story.missing = find_gaps(story.lines);
  return story;
}

std::string render_story(const Story& story) {
  std::string text = fmt::format("job {}: {}\n", story.job, story.outcome);
  for (const StoryLine& line : story.lines) {
    const auto since_ms = static_cast<double>(line.time_ms - story.lines.front().time_ms);
    text += fmt::format("{:>9.3f} s  {:<20} {:<18}{}\n", since_ms / k_ms_per_second, line.daemon,
                        line.event, render_fields(line.fields));
  }
  for (const std::string& gap : story.missing) {
    text += fmt::format("missing: {}\n", gap);
  }
  return text;
}

nlohmann::json story_json(const Story& story) {
  Json lines = Json::array();
  for (const StoryLine& line : story.lines) {
    lines.push_back(line.fields);
  }
  return {{"job", story.job},
          {"outcome", story.outcome},
          {"lines", std::move(lines)},
          {"missing", story.missing}};
}

}  // namespace arbutusdale::cli
