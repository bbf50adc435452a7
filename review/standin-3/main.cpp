// Runs one case: main CASE RECORD. With TROUBLE=0 in the environment there is no disruption.
#include <cstring>
#include <iostream>
#include <map>

#include "scenarios.hpp"

int main(int argc, char** argv) {
  using namespace review;
  static const std::map<std::string, int (*)(const Options&)> k_cases{
      {"other_kind", run_other_kind},     {"gang_failures", run_gang_failures},
      {"crash_series", run_crash_series}, {"unknown_job", run_unknown_job},
      {"late_twice", run_late_twice},
  };
  const auto found = argc == 3 ? k_cases.find(argv[1]) : k_cases.end();
  if (found == k_cases.end()) {
    std::cerr << "usage: case NAME RECORD\n";
    return k_not_run;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  Options options;
  options.name = argv[1];
  options.record = argv[2];
  options.has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  return found->second(options);
}
