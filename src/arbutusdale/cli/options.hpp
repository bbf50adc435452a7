// Command line of arbutusctl.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::cli {

/// Exit status of the program.
enum class Exit : std::uint8_t {
  ok = 0,
  failed = 1,       ///< refused by the server or failed
  usage = 2,        ///< wrong command line
  unreachable = 3,  ///< no answer from the server; a change may have taken effect
};

struct Options {
  std::string verb;
  std::vector<std::string> arguments;
  std::string server;  // http://host:port of the admin listener
  std::string token;
  std::string reason;
  std::uint32_t limit = 20;  // entries of the record
  bool json = false;
  bool yes = false;
  bool help = false;
  std::vector<std::string> drain_vms;
  std::vector<std::string> undrain_vms;
  std::vector<std::string> cancel_jobs;
  std::vector<std::string> remove_services;
};

/// One option; `verbs` lists those that accept it, empty for all.
struct OptionInfo {
  const char* name = nullptr;
  int key = 0;
  const char* argument = nullptr;  // null when it takes none
  std::vector<std::string_view> verbs;
  const char* help = nullptr;
};

struct VerbInfo {
  const char* name = nullptr;
  const char* arguments = nullptr;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  const char* help = nullptr;
};

const std::vector<OptionInfo>& option_table();
const std::vector<VerbInfo>& verb_table();
/// Null when there is no such verb.
const VerbInfo* find_verb(std::string_view name);

/// Parses the command line; server and token default to the environment variables named in the
/// help. Fails with `invalid_argument` and a message for the user.
Result<Options> parse_options(int argc, char** argv);

/// Help of one verb, or of the program when the verb is empty.
std::string help_text(const std::string& verb);

/// Script that completes verbs and options in bash.
std::string bash_completion();

}  // namespace arbutusdale::cli
