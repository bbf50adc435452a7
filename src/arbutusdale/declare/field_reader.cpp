// Strict reader of JSON objects.
#include "field_reader.hpp"

#include "arbutusdale/declare/declare.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace arbutusdale::declare {
namespace {

constexpr std::size_t k_max_value_chars = 60;  // of an invalid value in an error message
constexpr double k_max_cpu = 10'000'000;
constexpr double k_max_memory_gib = 100'000'000;
constexpr std::uint64_t k_max_accelerators = 1'000'000;
constexpr double k_millis_per_cpu = 1'000;
constexpr double k_mib_per_gib = 1'024;

struct NestingTooDeep : std::runtime_error {
  NestingTooDeep() : std::runtime_error("nesting too deep") {}
};

/// Parser callback that reports duplicate keys of an object, of which the parsed value silently
/// keeps the last, and stops at containers nested deeper than `k_max_depth`.
class DuplicateCheck {
 public:
  explicit DuplicateCheck(ParseErrors& errors) : m_errors(errors) {}

  bool operator()(Json::parse_event_t event, const Json& parsed) {
    switch (event) {
      case Json::parse_event_t::object_start:
      case Json::parse_event_t::array_start:
        enter(event == Json::parse_event_t::array_start);
        break;
      case Json::parse_event_t::object_end:
      case Json::parse_event_t::array_end:
        m_frames.pop_back();
        break;
      case Json::parse_event_t::key:
        add_key(parsed.get<std::string>());
        break;
      case Json::parse_event_t::value:
        count_element();
        break;
    }
    return true;
  }

 private:
  struct Frame {
    bool is_array = false;
    std::size_t elements = 0;
    std::string key;
    std::set<std::string> keys;
  };

  void enter(bool is_array) {
    count_element();
    if (m_frames.size() >= k_max_depth) {
      throw NestingTooDeep();
    }
    m_frames.push_back(Frame{is_array, 0, "", {}});
  }

  /// Counts an element if the innermost container is an array.
  void count_element() {
    if (!m_frames.empty() && m_frames.back().is_array) {
      ++m_frames.back().elements;
    }
  }

  void add_key(const std::string& name) {
    m_frames.back().key = name;
    if (!m_frames.back().keys.insert(name).second) {
      m_errors.add(path(), "the field appears twice in the same object");
    }
  }

  [[nodiscard]] std::string path() const {
    std::string result;
    for (const Frame& frame : m_frames) {
      if (frame.is_array) {
        result += fmt::format("[{}]", frame.elements - 1);
      } else {
        result += (result.empty() ? "" : ".") + frame.key;
      }
    }
    return result;
  }

  ParseErrors& m_errors;
  std::vector<Frame> m_frames;  // open containers, outermost first
};

std::string expected_integer(const IntegerRule& rule) {
  return fmt::format("an integer from {} to {}", rule.min, rule.max);
}

}  // namespace

void ParseErrors::add(const std::string& path, const std::string& text) {
  if (m_lines.size() >= k_max_errors_reported) {
    ++m_omitted;
    return;
  }
  m_lines.push_back(fmt::format("{}: {}{}{}", m_file, path, path.empty() ? "" : ": ", text));
}

void ParseErrors::add_invalid_value(const std::string& path, const Json& value,
                                    const std::string& allowed) {
  std::string shown = value.dump(-1, ' ', true);
  if (shown.size() > k_max_value_chars) {
    shown = shown.substr(0, k_max_value_chars) + "...";
  }
  add(path, fmt::format("{} is not allowed; expected {}", shown, allowed));
}

std::string ParseErrors::text() const {
  std::string result = fmt::format("{}", fmt::join(m_lines, "\n"));
  if (m_omitted > 0) {
    result += fmt::format("\n{}: {} more errors", m_file, m_omitted);
  }
  return result;
}

const TextRule& name_rule() {
  static const TextRule k_rule{
      k_max_name_chars, "letters, digits, '.', '_' and '-', starting with a letter or digit",
      [](std::string_view text) {
        const auto is_letter_or_digit = [](unsigned char c) { return std::isalnum(c) != 0; };
        return !text.empty() && is_letter_or_digit(static_cast<unsigned char>(text[0])) &&
               std::all_of(text.begin(), text.end(), [&](unsigned char c) {
                 return is_letter_or_digit(c) || c == '.' || c == '_' || c == '-';
               });
      }};
  return k_rule;
}

std::optional<Json> parse_json(std::string_view text, ParseErrors& errors) {
  DuplicateCheck check(errors);
  try {
    return Json::parse(
        text,
        [&check](int /*depth*/, Json::parse_event_t event, Json& parsed) {
          return check(event, parsed);
        },
        true, true);
  } catch (const Json::exception& error) {
    errors.add("", error.what());
  } catch (const NestingTooDeep&) {
    errors.add("", fmt::format("objects and lists are nested deeper than {}", k_max_depth));
  }
  return std::nullopt;
}

FieldReader::FieldReader(const Json& object, std::string path, ParseErrors& errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors) {
  if (!m_object.is_object()) {
    m_errors.add_invalid_value(m_path, m_object, "an object");
  }
}

std::string FieldReader::path_of(const std::string& field) const {
  return m_path.empty() ? field : m_path + "." + field;
}

const Json* FieldReader::find(const std::string& field, bool required) {
  m_known_fields.insert(field);
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto it = m_object.find(field);
  if (it != m_object.end()) {
    return &*it;
  }
  if (required) {
    m_errors.add(path_of(field), "the field is required");
  }
  return nullptr;
}

std::string FieldReader::text(const std::string& field, const TextRule& rule, bool required) {
  const Json* value = find(field, required);
  if (value == nullptr) {
    return "";
  }
  const auto* text = value->get_ptr<const std::string*>();
  if (text == nullptr || text->size() > rule.max_chars || (rule.valid && !rule.valid(*text))) {
    m_errors.add_invalid_value(path_of(field), *value,
                               fmt::format("a string of at most {} characters{}{}", rule.max_chars,
                                           rule.allowed.empty() ? "" : ": ", rule.allowed));
    return "";
  }
  return *text;
}

std::uint64_t FieldReader::integer(const std::string& field, const IntegerRule& rule) {
  const Json* value = find(field, !rule.default_value);
  if (value == nullptr) {
    return rule.default_value.value_or(rule.min);
  }
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() < rule.min ||
      value->get<std::uint64_t>() > rule.max) {
    m_errors.add_invalid_value(path_of(field), *value, expected_integer(rule));
    return rule.min;
  }
  return value->get<std::uint64_t>();
}

bool FieldReader::boolean(const std::string& field) {
  const Json* value = find(field, false);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    m_errors.add_invalid_value(path_of(field), *value, "true or false");
    return false;
  }
  return value->get<bool>();
}

void FieldReader::list(const std::string& field,
                       const std::function<void(const Json&, const std::string&)>& each) {
  const Json* value = find(field, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() || value->size() > k_max_list_entries) {
    m_errors.add(path_of(field),
                 fmt::format("{}; expected a list of at most {} entries",
                             value->is_array() ? fmt::format("{} entries", value->size())
                                               : std::string(value->type_name()),
                             k_max_list_entries));
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    each((*value)[i], fmt::format("{}[{}]", path_of(field), i));
  }
}

std::vector<std::string> FieldReader::names(const std::string& field) {
  std::vector<std::string> result;
  std::set<std::string> seen;
  list(field, [&](const Json& element, const std::string& path) {
    const auto* text = element.get_ptr<const std::string*>();
    const TextRule& rule = name_rule();
    if (text == nullptr || text->size() > rule.max_chars || !rule.valid(*text)) {
      m_errors.add_invalid_value(
          path, element,
          fmt::format("a string of at most {} characters: {}", rule.max_chars, rule.allowed));
    } else if (!seen.insert(*text).second) {
      m_errors.add(path, fmt::format("\"{}\" appears twice in the list", *text));
    } else {
      result.push_back(*text);
    }
  });
  return result;
}

proto::platform::Resources FieldReader::resources(const std::string& field, bool required) {
  proto::platform::Resources result;
  const Json* value = find(field, required);
  if (value == nullptr) {
    return result;
  }
  FieldReader reader(*value, path_of(field), m_errors);
  const auto amount = [&](const std::string& part, double max, double scale) -> std::uint64_t {
    const Json* number = reader.find(part, false);
    if (number == nullptr) {
      return 0;
    }
    if (!number->is_number() || number->get<double>() < 0 || number->get<double>() > max) {
      m_errors.add_invalid_value(reader.path_of(part), *number,
                                 fmt::format("a number from 0 to {:.0f}", max));
      return 0;
    }
    return static_cast<std::uint64_t>(std::llround(number->get<double>() * scale));
  };
  result.set_cpu_millis(amount("cpu", k_max_cpu, k_millis_per_cpu));
  result.set_memory_mib(amount("memory_gib", k_max_memory_gib, k_mib_per_gib));
  result.set_accelerators(reader.integer32("accelerators", {0, k_max_accelerators, 0}));
  reader.finish();
  if (required && result.cpu_millis() == 0 && result.memory_mib() == 0 &&
      result.accelerators() == 0) {
    m_errors.add_invalid_value(path_of(field), *value, "at least one amount above 0");
  }
  return result;
}

void FieldReader::finish() {
  if (!m_object.is_object()) {
    return;
  }
  for (const auto& [field, value] : m_object.items()) {
    if (!m_known_fields.contains(field)) {
      m_errors.add(path_of(field), fmt::format("unknown field; expected one of {}",
                                               fmt::join(m_known_fields, ", ")));
    }
  }
}

}  // namespace arbutusdale::declare
