// Plays one case: standin-2 CASE PROGRAM RECORD. The variable TROUBLE=0 leaves the disruption out.
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>

#include "scenarios.hpp"
#include <fmt/format.h>

int main(int argc, char** argv) {
  static const std::map<std::string_view, int (*)(const review::CaseOptions&)> k_cases{
      {"advised-job", review::play_advised_job},
      {"failing-job", review::play_failing_job},
      {"fills-whole-worker", review::play_fills_whole_worker},
      {"flapping-worker", review::play_flapping_worker},
      {"late-start", review::play_late_start},
  };
  constexpr int k_could_not_run = 2;
  const auto found = argc == 4 ? k_cases.find(argv[1]) : k_cases.end();
  if (found == k_cases.end()) {
    fmt::print(stderr, "usage: standin-2 CASE PROGRAM RECORD\n");
    return k_could_not_run;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string_view(trouble) != "0";
  return found->second({argv[2], argv[3], has_trouble});
}
