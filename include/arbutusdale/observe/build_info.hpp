// Which code this program was built from, so that its logs can be matched with it.
#pragma once

#include "arbutusdale/observe/metrics.hpp"

#include <string>
#include <string_view>

namespace arbutusdale::observe {

struct BuildInfo {
  std::string_view version;  // of the project
  std::string_view commit;   // abbreviated, with "-dirty" after local changes; or "unknown"
  std::string_view sources;  // digest of all sources but tests; the same code has the same digest
};

const BuildInfo& build_info();

/// One line, e.g. "0.1.0 (commit 1234567890ab, sources ba0987654321)".
std::string describe(const BuildInfo& build);

/// Adds the gauge `arbutusdale_build_info`, which is always 1 and has the build as its labels.
void publish_build_info(Registry& registry);

}  // namespace arbutusdale::observe
