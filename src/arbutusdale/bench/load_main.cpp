// arbutus-load: open-loop HTTP load generator.
#include <cstdio>
#include <string>

#include "load_flags.hpp"

int main(int argc, char** argv) {
  using namespace arbutusdale::bench;
  std::string error;
  const auto flags = parse_load_flags(argc, argv, error);
  if (!flags) {
    std::fprintf(stderr, "arbutus-load: %s\n%s", error.c_str(), load_usage().c_str());
    return 2;
  }
  if (flags->help) {
    std::fputs(load_usage().c_str(), stdout);
    return 0;
  }
  const auto results = run_load(flags->load);
  const auto text =
      flags->json ? format_json(flags->load, results) : format_table(flags->load, results);
  std::fputs(text.c_str(), stdout);
  return 0;
}
