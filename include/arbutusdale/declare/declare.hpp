// Parser of declaration files, which describe the desired state as JSON with comments; see
// docs/declarations.md.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/state.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::declare {

constexpr std::size_t k_max_files = 64;
constexpr std::size_t k_max_file_bytes = 1'048'576;
/// Limit on the objects of one kind in a file and on the entries of a list.
constexpr std::size_t k_max_list_entries = 2'000;
constexpr std::size_t k_max_name_chars = 63;
constexpr std::size_t k_max_path_chars = 256;
constexpr std::size_t k_max_command_chars = 4'096;
/// Limit on the nesting of objects and lists.
constexpr std::size_t k_max_depth = 8;
/// Errors reported per file; further ones are only counted.
constexpr std::size_t k_max_errors_reported = 20;

/// Name and content of one declaration file.
struct SourceFile {
  std::string name;
  std::string text;
};

/// Parses one file. Fails with `invalid_argument` or `too_large`; the message has one line per
/// error, with the file, the path of the field, the value and what is allowed.
Result<proto::state::Declaration> parse_declaration(const std::string& file_name,
                                                    std::string_view text);

/// Parses several files into one declaration. An object may be declared in one file only. Fails
/// like `parse_declaration`, with the errors of all files.
Result<proto::state::Declaration> parse_declarations(const std::vector<SourceFile>& files);

}  // namespace arbutusdale::declare
