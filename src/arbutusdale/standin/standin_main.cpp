// arbutus-standin: serves a platform, worker agents and targets until SIGINT or SIGTERM.
#include <csignal>
#include <cstdio>

#include "settings.hpp"
#include <spdlog/spdlog.h>

int main(int argc, char** argv) {
  using namespace arbutusdale;
  const auto options = standin::parse_settings(argc, argv);
  if (!options) {
    (void)std::fprintf(stderr, "%s\n", options.error().message.c_str());
    return 2;
  }
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
  const auto server = standin::make_standin(*options);
  if (!server) {
    spdlog::error("cannot start: {}", server.error().message);
    return 1;
  }
  for (const std::string& domain : options->domains) {
    spdlog::info("platform of {} at {}", domain, (*server)->platform_address(domain));
  }
  spdlog::info("serving {} VMs", (*server)->vms().size());
  int received = 0;
  sigwait(&signals, &received);
  spdlog::info("stopping on signal {}", received);
  return 0;
}
