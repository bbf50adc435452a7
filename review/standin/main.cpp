// review-standin CASE RECORD FOLDER: plays one case. The variable TROUBLE=0 leaves its disruption
// out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include <cstdio>
#include <map>

#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace review;
  if (argc != 4) {
    (void)std::fprintf(stderr, "usage: review-standin CASE RECORD FOLDER\n");
    return k_could_not_run;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = variable == nullptr || std::string(variable) != "0";
  const std::map<std::string, int (*)(Deployment&, bool)> cases{
      {"crashes", play_crashes},
      {"gang", play_gang},
      {"gang-checkpoint", play_gang_checkpoint},
      {"late-start", play_late_start},
      {"lost-kind", play_lost_kind},
      {"lost-rack", play_lost_rack},
      {"same-id", play_same_id},
      {"silent", play_silent},
      {"impossible", play_impossible},
      {"other-kind", play_other_kind},
  };
  const auto found = cases.find(argv[1]);
  if (found == cases.end()) {
    return k_could_not_run;
  }
  Deployment deployment(argv[2], argv[3]);
  const int result = found->second(deployment, trouble);
  deployment.record.write("result: {}", result == 1   ? "the rule was broken"
                                        : result == 0 ? "the rule held"
                                                      : "the case could not run");
  return result;
}
