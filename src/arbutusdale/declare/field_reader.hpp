// Reads the fields of JSON objects strictly and collects the faults with their paths.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/platform.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace arbutusdale::declare {

using Json = nlohmann::json;

/// Faults of one file.
class Faults {
 public:
  explicit Faults(std::string file) : m_file(std::move(file)) {}

  /// `path: text`, such as "services[0].slots: 0 is not allowed; expected ...".
  void add(const std::string& path, const std::string& text);
  /// A value that is not allowed.
  void refuse(const std::string& path, const Json& value, const std::string& allowed);
  [[nodiscard]] bool empty() const { return m_lines.empty(); }
  [[nodiscard]] const std::string& file() const { return m_file; }
  /// All faults, one a line.
  [[nodiscard]] std::string text() const;

 private:
  std::string m_file;
  std::vector<std::string> m_lines;
  std::size_t m_omitted = 0;  // faults beyond the number that is reported
};

/// What a text field may hold.
struct TextRule {
  std::size_t max_chars = 0;
  std::string allowed;                          // in words
  std::function<bool(std::string_view)> valid;  // null when every text is
};

/// Letters, digits, '.', '_' and '-', starting with a letter or digit.
const TextRule& name_rule();

struct IntegerRule {
  std::uint64_t min = 0;
  std::uint64_t max = 0;
  std::optional<std::uint64_t> preset;  // without one the field is required
};

/// Decodes text into JSON. Refuses bad syntax, a key that appears twice, and deep nesting.
std::optional<Json> parse_json(std::string_view text, Faults& faults);

/// One JSON object. Every read notes its field as known; `finish` refuses the others.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string path, Faults& faults);

  [[nodiscard]] std::string path_of(const std::string& field) const;

  std::string text(const std::string& field, const TextRule& rule, bool required = true);
  std::uint64_t integer(const std::string& field, const IntegerRule& rule);
  std::uint32_t small(const std::string& field, const IntegerRule& rule) {
    return static_cast<std::uint32_t>(integer(field, rule));
  }
  bool boolean(const std::string& field);
  std::vector<std::string> names(const std::string& field);
  /// {"cpu": 1.5, "memory_gib": 2, "accelerators": 1}; each part is 0 when it is left out.
  proto::platform::Resources resources(const std::string& field, bool required);
  /// Calls `each` with every element of a list and its path.
  void list(const std::string& field,
            const std::function<void(const Json&, const std::string&)>& each);
  void finish();

 private:
  const Json* find(const std::string& field, bool required);

  const Json& m_object;
  std::string m_path;
  Faults& m_faults;
  std::set<std::string> m_known;
};

}  // namespace arbutusdale::declare
