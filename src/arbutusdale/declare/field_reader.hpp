// Strict reader of JSON objects: rejects unknown fields and values that are not allowed, and
// collects all errors with the paths of their fields.
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

/// Errors found in one file. At most `k_max_errors_reported` are kept; the others are counted.
class ParseErrors {
 public:
  explicit ParseErrors(std::string file) : m_file(std::move(file)) {}

  /// Adds the line `FILE: path: text`, such as
  /// "f.json: services[0].slots: 0 is not allowed; expected ...". `path` may be empty.
  void add(const std::string& path, const std::string& text);
  /// Adds an error for a value that is not allowed; `allowed` says what is expected.
  void add_invalid_value(const std::string& path, const Json& value, const std::string& allowed);
  [[nodiscard]] bool empty() const { return m_lines.empty(); }
  [[nodiscard]] const std::string& file() const { return m_file; }
  /// All errors, one per line.
  [[nodiscard]] std::string text() const;

 private:
  std::string m_file;
  std::vector<std::string> m_lines;
  std::size_t m_omitted = 0;  // errors beyond `k_max_errors_reported`
};

/// Constraints on a text field.
struct TextRule {
  std::size_t max_chars = 0;
  std::string allowed;                          // description for error messages
  std::function<bool(std::string_view)> valid;  // null if every text is valid
};

/// Letters, digits, '.', '_' and '-', starting with a letter or digit.
const TextRule& name_rule();

/// Range and default of an integer field.
struct IntegerRule {
  std::uint64_t min = 0;
  std::uint64_t max = 0;
  std::optional<std::uint64_t> default_value;  // the field is required if unset
};

/// Parses JSON with comments. Adds an error for a syntax error, a duplicate key and nesting deeper
/// than `k_max_depth`; returns nothing if the text cannot be parsed or is nested too deeply.
std::optional<Json> parse_json(std::string_view text, ParseErrors& errors);

/// Reads the fields of one JSON object. Every read marks its field as known; `finish` rejects the
/// fields that are not. A read of an invalid value adds an error and returns a placeholder.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string path, ParseErrors& errors);

  /// Path of a field from the root of the file, such as "services[0].slots".
  [[nodiscard]] std::string path_of(const std::string& field) const;

  std::string text(const std::string& field, const TextRule& rule, bool required = true);
  std::uint64_t integer(const std::string& field, const IntegerRule& rule);
  /// For rules whose maximum fits into 32 bits.
  std::uint32_t integer32(const std::string& field, const IntegerRule& rule) {
    return static_cast<std::uint32_t>(integer(field, rule));
  }
  /// False if the field is absent.
  bool boolean(const std::string& field);
  /// List of distinct names that follow `name_rule`.
  std::vector<std::string> names(const std::string& field);
  /// Reads an object such as {"cpu": 1.5, "memory_gib": 2, "accelerators": 1}; an absent amount is
  /// 0. If the object is required, at least one amount must be above 0.
  proto::platform::Resources resources(const std::string& field, bool required);
  /// Calls `each` with every element of a list and the element's path.
  void list(const std::string& field,
            const std::function<void(const Json&, const std::string&)>& each);
  /// Adds an error for every field that no read asked for.
  void finish();

 private:
  const Json* find(const std::string& field, bool required);

  const Json& m_object;
  std::string m_path;
  ParseErrors& m_errors;
  std::set<std::string> m_known_fields;
};

}  // namespace arbutusdale::declare
