// Settings of the daemon. Each is a flag with an environment variable of the same name.
#pragma once

#include "arbutusdale/batch/shard_runner.hpp"
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/routing/request_router.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::daemon {

/// Name and bearer token of an operator or team.
struct NamedToken {
  std::string name;
  std::string token;
};

/// Validated settings. Addresses are HOST:PORT, where HOST is an IPv4 address.
struct Settings {
  std::string id;
  std::string domain;
  std::string listen = "127.0.0.1:8080";
  std::string admin_listen = "127.0.0.1:8081";
  std::string peer_listen = "127.0.0.1:8082";
  std::string advertise_caller;  // for forwarded calls from peers; `listen` if not given
  std::string advertise_peer;    // for messages from peers; `peer_listen` if not given
  std::vector<std::string> peers;
  std::string platform = "127.0.0.1:9000";
  std::vector<NamedToken> operator_tokens;
  std::vector<NamedToken> team_tokens;
  std::string fleet_token;
  std::string fleet_public_key;  // Z85, 40 characters
  std::string fleet_secret_key;  // Z85, 40 characters
  batch::Weighting weighting = batch::Weighting::throughput;
  routing::Policy policy = routing::Policy::slot_share;
  bool agent_fencing = true;
  Duration lease = std::chrono::seconds{30};
  Duration gone_after = std::chrono::seconds{60};
  Duration stop_timeout = std::chrono::seconds{60};
  std::string log_level = "info";
  bool log_json = false;
  std::string trace_collector;  // URL; empty: no tracing
  std::uint64_t seed = 1;
};

/// What the command line asks for.
enum class Action : std::uint8_t { run, check, help, version };

/// Parsed command line.
struct CommandLine {
  Action action = Action::run;
  Settings settings;
};

/// Reads flags and environment variables; a flag overrides its variable. Fails with
/// `invalid_argument`; the message names the setting, its value (unless secret) and what is
/// allowed.
Result<CommandLine> parse_command_line(int argc, char** argv);

/// Text of `--help`.
std::string usage();

}  // namespace arbutusdale::daemon
