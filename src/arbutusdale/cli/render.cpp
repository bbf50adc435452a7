// Text output for people.
#include "render.hpp"

#include <cctype>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace arbutusdale::cli {
namespace {

constexpr std::int64_t k_ms_per_second = 1'000;
constexpr int k_max_depth = 16;

std::string camel_case(const std::string& name) {
  std::string result;
  bool upper = false;
  for (const char c : name) {
    if (c == '_') {
      upper = true;
      continue;
    }
    result += upper ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : c;
    upper = false;
  }
  return result;
}

const Json* find(const Json& object, const std::string& name) {
  if (!object.is_object()) {
    return nullptr;
  }
  for (const std::string& key : {name, camel_case(name)}) {
    if (const auto it = object.find(key); it != object.end()) {
      return &*it;
    }
  }
  return nullptr;
}

std::string format_scalar(const Json& value) {
  return value.is_string() ? value.get<std::string>()
                           : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// UTC time of a field in milliseconds; protobuf JSON writes 64-bit numbers as strings.
std::string time_field(const Json& object, const std::string& name) {
  const std::string text = field(object, name);
  std::int64_t ms = 0;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ms <= 0) {
    return "unknown time";
  }
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(static_cast<std::time_t>(ms / k_ms_per_second)));
}

void append_tree(const Json& value, int indent, std::string& text) {
  if (indent > k_max_depth) {
    text += fmt::format("{:{}}...\n", "", indent * 2);
    return;
  }
  for (const auto& [name, child] : value.items()) {
    const std::string label = value.is_array() ? "-" : name + ":";
    if (child.is_structured() && !child.empty()) {
      text += fmt::format("{:{}}{}\n", "", indent * 2, label);
      append_tree(child, indent + 1, text);
    } else if (!child.is_structured()) {
      text += fmt::format("{:{}}{} {}\n", "", indent * 2, label, format_scalar(child));
    } else if (value.is_object()) {
      text += fmt::format("{:{}}{} none\n", "", indent * 2, label);
    }
  }
}

std::string change_name(const std::string& change) {
  // The protobuf JSON mapping omits the enumerator 0, which is CHANGE_ADD.
  if (change.empty() || change == "CHANGE_ADD") {
    return "add";
  }
  std::string name = change.starts_with("CHANGE_") ? change.substr(7) : change;
  for (char& c : name) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

std::string render_change(const Json& change) {
  const std::string domain = field(change, "domain");
  return fmt::format("  {} {} '{}'{}{}: {}\n", change_name(field(change, "change")),
                     field(change, "object_kind"), field(change, "object_name"),
                     domain.empty() ? "" : " in ", domain, field(change, "detail"));
}

std::string render_entry(const Json& entry) {
  const Json* found = find(entry, "plan");
  const Json plan = found == nullptr ? Json::object() : *found;
  std::string text = fmt::format("{}  plan {} by {}: {}", time_field(entry, "proposed_at_ms"),
                                 field(plan, "id"), field(plan, "actor"), field(entry, "state"));
  const std::string decided_by = field(entry, "decided_by");
  if (!decided_by.empty()) {
    text += fmt::format(", decided by {} at {}", decided_by, time_field(entry, "decided_at_ms"));
  }
  const std::string version = field(entry, "version");
  text += version.empty() || version == "0" ? "\n" : fmt::format(", version {}\n", version);
  if (const std::string reason = field(entry, "reason"); !reason.empty()) {
    text += "  reason: " + reason + "\n";
  }
  if (const Json* changes = find(plan, "changes")) {
    for (const Json& change : *changes) {
      text += render_change(change);
    }
  }
  if (const Json* steps = find(entry, "steps")) {
    for (const Json& step : *steps) {
      const std::string number = field(step, "step");
      text += fmt::format("  step {} done in {}: {}\n", number.empty() ? "0" : number,
                          field(step, "domain"), field(step, "outcome"));
    }
  }
  return text;
}

}  // namespace

std::string field(const Json& object, const std::string& name) {
  const Json* value = find(object, name);
  return value == nullptr || value->is_null() ? "" : format_scalar(*value);
}

std::string render_tree(const Json& value) {
  if (!value.is_structured()) {
    return format_scalar(value) + "\n";
  }
  std::string text;
  append_tree(value, 0, text);
  return text;
}

std::string render_record(const Json& response) {
  const Json* entries = find(response, "entries");
  if (entries == nullptr || entries->empty()) {
    return "no plans\n";
  }
  std::string text;
  for (const Json& entry : *entries) {
    text += render_entry(entry);
  }
  return text;
}

std::string render_problem(long status, const std::string& body) {
  const Json problem = Json::parse(body, nullptr, false);
  for (const char* name : {"detail", "title"}) {
    if (std::string text = field(problem, name); !text.empty()) {
      return text;
    }
  }
  return fmt::format("the server responded with status {}", status);
}

}  // namespace arbutusdale::cli
