// Main program of the entry daemon, arbutusdaled.
#include "arbutusdale/observe/build_info.hpp"
#include "arbutusdale/observe/logging.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "daemon.hpp"
#include "settings.hpp"
#include <pthread.h>
#include <spdlog/spdlog.h>

using namespace arbutusdale;

namespace {

constexpr int k_settings_error = 2;  // exit status

/// Blocks the stop signals in this thread and in all threads that it starts later, so that only
/// `sigwait` receives them. Also ignores SIGPIPE.
sigset_t block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int run(const daemon::Settings& settings) {
  const auto signals = block_stop_signals();
  const auto daemon = daemon::make_daemon(settings);
  if (const auto started = daemon->start(); !started) {
    spdlog::error("start failed: {}", started.error().message);
    return EXIT_FAILURE;
  }
  int received = 0;
  sigwait(&signals, &received);
  spdlog::info("received signal {}; stopping", received);
  const auto cut_off = daemon->stop();
  spdlog::info("stopped; {} calls cut off", cut_off);
  return cut_off == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  const auto line = daemon::parse_command_line(argc, argv);
  if (!line) {
    std::fprintf(stderr, "arbutusdaled: %s\n", line.error().message.c_str());
    return k_settings_error;
  }
  switch (line->action) {
    case daemon::Action::help:
      std::fputs(daemon::usage().c_str(), stdout);
      return EXIT_SUCCESS;
    case daemon::Action::version:
      std::printf("arbutusdaled %s\n", observe::describe(observe::build_info()).c_str());
      return EXIT_SUCCESS;
    case daemon::Action::check:
      std::puts("settings are valid");
      return EXIT_SUCCESS;
    case daemon::Action::run:
      break;
  }
  observe::LogOptions log;
  log.level = line->settings.log_level;
  log.json = line->settings.log_json;
  observe::setup_logging(log);
  return run(line->settings);
}
