// Command-line flags of arbutus-load and arbutus-load-overhead.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "load_run.hpp"

namespace arbutusdale::bench {

struct LoadFlags {
  LoadOptions load;
  bool json = false;
  bool help = false;
};

/// Parses "team=sales,path=/quote,rate=200,method=PUT,body=1024"; every part is optional. Returns
/// nothing if a part is unknown or its value is out of bounds.
std::optional<LoadStream> parse_stream(std::string_view text);

/// Returns nothing if a flag or its value is wrong; `error` then describes it.
std::optional<LoadFlags> parse_load_flags(int argc, char** argv, std::string& error);

std::string load_usage();

}  // namespace arbutusdale::bench
