// Declaration files: the desired state as JSON with comments. See docs/declarations.md.
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
/// Objects of one kind in a file, and entries of a list.
constexpr std::size_t k_max_list_entries = 2'000;
constexpr std::size_t k_max_name_chars = 63;
constexpr std::size_t k_max_path_chars = 256;
constexpr std::size_t k_max_command_chars = 4'096;
/// Depth of nested objects and lists.
constexpr std::size_t k_max_depth = 8;
/// Faults reported at once.
constexpr std::size_t k_max_faults_reported = 20;

/// Text of one file.
struct SourceFile {
  std::string name;
  std::string text;
};

/// Decodes one file. Fails with `invalid_argument` or `too_large`; the message has a line per
/// fault, with the file, the path to the field, the value and what is allowed.
Result<proto::state::Declaration> parse_declaration(const std::string& file_name,
                                                    std::string_view text);

/// Decodes several files into one declaration. An object may be declared in one file only.
Result<proto::state::Declaration> parse_declarations(const std::vector<SourceFile>& files);

}  // namespace arbutusdale::declare
