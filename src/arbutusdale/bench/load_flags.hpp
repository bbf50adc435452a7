// Flags of the load programs.
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

/// Stream from "team=sales,path=/quote,rate=200,method=PUT,body=1024"; every part may be left out.
std::optional<LoadStream> parse_stream(std::string_view text);

/// Nothing when a flag is wrong; `error` then says which.
std::optional<LoadFlags> parse_load_flags(int argc, char** argv, std::string& error);

std::string load_usage();

}  // namespace arbutusdale::bench
