// The values come from a header that the build generates.
#include "arbutusdale/observe/build_info.hpp"

#include "build_values.hpp"
#include <fmt/format.h>

namespace arbutusdale::observe {

const BuildInfo& build_info() {
  static constexpr BuildInfo k_build{ARBUTUSDALE_VERSION, ARBUTUSDALE_BUILD_COMMIT,
                                     ARBUTUSDALE_BUILD_SOURCES};
  return k_build;
}

std::string describe(const BuildInfo& build) {
  return fmt::format("{} (commit {}, sources {})", build.version, build.commit, build.sources);
}

void publish_build_info(Registry& registry) {
  const BuildInfo& build = build_info();
  registry
      .gauge("arbutusdale_build_info", "1; the labels name the code of this program",
             {{"version", std::string(build.version)},
              {"commit", std::string(build.commit)},
              {"sources", std::string(build.sources)}})
      .set(1);
}

}  // namespace arbutusdale::observe
