// Table of the settings with their validation, and the command-line parser.
#include "settings.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <string_view>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <getopt.h>

namespace arbutusdale::daemon {
namespace {

constexpr std::size_t k_z85_key_length = 40;    // characters of a CURVE key
constexpr std::size_t k_min_token_length = 16;  // characters
constexpr std::size_t k_max_peers = 512;
constexpr std::uint64_t k_max_duration_ms = 3'600'000;
constexpr std::string_view k_environment_prefix = "ARBUTUSDALE_";

/// One setting: its flag, its help text, and how a value is validated and stored.
struct Spec {
  const char* name = nullptr;
  const char* argument = nullptr;
  const char* help = nullptr;
  const char* allowed = nullptr;
  bool (*store)(Settings& settings, const std::string& value) = nullptr;  // false if invalid
  bool required = false;
  bool secret = false;  // error messages hide the value
};

bool is_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const auto host = text.substr(0, colon);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  in_addr address{};
  return parsed.ec == std::errc{} && parsed.ptr == end && port >= 1 && port <= 65'535 &&
         inet_pton(AF_INET, host.c_str(), &address) == 1;
}

bool is_name(const std::string& text) {
  constexpr std::size_t k_max_name_length = 64;
  return !text.empty() && text.size() <= k_max_name_length &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(separator, begin), text.size());
    if (end > begin) {
      parts.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

bool store_address(std::string& target, const std::string& value) {
  target = value;
  return is_address(value);
}

bool store_name(std::string& target, const std::string& value) {
  target = value;
  return is_name(value);
}

bool store_key(std::string& target, const std::string& value) {
  target = value;
  return value.size() == k_z85_key_length;
}

bool store_ms(Duration& target, const std::string& value) {
  std::uint64_t ms = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, ms);
  target = std::chrono::milliseconds{ms};
  return parsed.ec == std::errc{} && parsed.ptr == end && ms >= 1 && ms <= k_max_duration_ms;
}

bool store_number(std::uint64_t& target, const std::string& value) {
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, target);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

bool store_tokens(std::vector<NamedToken>& target, const std::string& value) {
  target.clear();
  for (const auto& part : split(value, ',')) {
    const auto colon = part.find(':');
    if (colon == std::string::npos || !is_name(part.substr(0, colon)) ||
        part.size() - colon - 1 < k_min_token_length) {
      return false;
    }
    target.push_back({part.substr(0, colon), part.substr(colon + 1)});
  }
  return !target.empty();
}

bool store_peers(Settings& settings, const std::string& value) {
  settings.peers = split(value, ',');
  return settings.peers.size() <= k_max_peers &&
         std::all_of(settings.peers.begin(), settings.peers.end(), is_address);
}

bool store_weighting(Settings& settings, const std::string& value) {
  for (const auto weighting : {batch::Weighting::throughput, batch::Weighting::latency}) {
    if (to_string(weighting) == value) {
      settings.weighting = weighting;
      return true;
    }
  }
  return false;
}

bool store_policy(Settings& settings, const std::string& value) {
  for (const auto policy : {routing::Policy::slot_share, routing::Policy::round_robin,
                            routing::Policy::random, routing::Policy::least_in_flight}) {
    if (to_string(policy) == value) {
      settings.policy = policy;
      return true;
    }
  }
  return false;
}

bool store_log_level(Settings& settings, const std::string& value) {
  constexpr std::array<std::string_view, 5> k_levels{"debug", "info", "warn", "error", "off"};
  settings.log_level = value;
  return std::find(k_levels.begin(), k_levels.end(), value) != k_levels.end();
}

bool store_choice(bool& target, const std::string& value, std::string_view on,
                  std::string_view off) {
  target = value == on;
  return value == on || value == off;
}

bool store_url(Settings& settings, const std::string& value) {
  settings.trace_collector = value;
  return value.empty() || value.starts_with("http://") || value.starts_with("https://");
}

constexpr const char* k_address_rule = "an IPv4 address and port, such as 10.0.0.1:8080";
constexpr const char* k_name_rule = "1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* k_ms_rule = "1 to 3600000 milliseconds";
constexpr const char* k_token_rule =
    "NAME:TOKEN pairs separated by commas, tokens of at least 16 characters";
constexpr const char* k_key_rule = "a Z85 key of 40 characters";

const std::array k_specs{
    Spec{"id", "NAME", "id of this daemon, the same after a restart", k_name_rule,
         [](Settings& s, const std::string& v) { return store_name(s.id, v); }, true},
    Spec{"domain", "NAME", "failure domain of this daemon", k_name_rule,
         [](Settings& s, const std::string& v) { return store_name(s.domain, v); }, true},
    Spec{"listen", "ADDRESS", "HTTP listener for callers", k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.listen, v); }},
    Spec{"admin-listen", "ADDRESS", "HTTP listener for operators, health and metrics",
         k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.admin_listen, v); }},
    Spec{"peer-listen", "ADDRESS", "listener for other daemons", k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.peer_listen, v); }},
    Spec{"advertise-caller", "ADDRESS", "address advertised to peers for forwarded calls [listen]",
         k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.advertise_caller, v); }},
    Spec{"advertise-peer", "ADDRESS", "address advertised to peers for messages [peer-listen]",
         k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.advertise_peer, v); }},
    Spec{"peers", "LIST", "peer addresses of other daemons, separated by commas",
         "at most 512 addresses such as 10.0.0.1:8082", store_peers},
    Spec{"platform", "ADDRESS", "the platform's log and VM list", k_address_rule,
         [](Settings& s, const std::string& v) { return store_address(s.platform, v); }, true},
    Spec{"operator-tokens", "LIST", "bearer tokens of operators", k_token_rule,
         [](Settings& s, const std::string& v) { return store_tokens(s.operator_tokens, v); }, true,
         true},
    Spec{"team-tokens", "LIST", "bearer tokens of teams", k_token_rule,
         [](Settings& s, const std::string& v) { return store_tokens(s.team_tokens, v); }, false,
         true},
    Spec{"fleet-token", "TOKEN", "secret that marks calls forwarded between daemons",
         "at least 16 characters",
         [](Settings& s, const std::string& v) {
           s.fleet_token = v;
           return v.size() >= k_min_token_length;
         },
         true, true},
    Spec{"fleet-public-key", "KEY", "public CURVE key shared by all daemons", k_key_rule,
         [](Settings& s, const std::string& v) { return store_key(s.fleet_public_key, v); }, true},
    Spec{"fleet-secret-key", "KEY", "secret CURVE key shared by all daemons", k_key_rule,
         [](Settings& s, const std::string& v) { return store_key(s.fleet_secret_key, v); }, true,
         true},
    Spec{"weighting", "NAME", "whether batch throughput or service latency takes precedence",
         "throughput or latency", store_weighting},
    Spec{"policy", "NAME", "choice of targets; all but slot_share are baselines",
         "slot_share, round_robin, random or least_in_flight", store_policy},
    Spec{"agent-fencing", "NAME", "whether the agents compare fencing tokens", "token or none",
         [](Settings& s, const std::string& v) {
           return store_choice(s.agent_fencing, v, "token", "none");
         }},
    Spec{"lease-ms", "MS", "duration of the lease of a worker's tasks", k_ms_rule,
         [](Settings& s, const std::string& v) { return store_ms(s.lease, v); }},
    Spec{"gone-after-ms", "MS", "absence from the VM list after which a VM counts as gone",
         k_ms_rule, [](Settings& s, const std::string& v) { return store_ms(s.gone_after, v); }},
    Spec{"stop-timeout-ms", "MS", "longest wait for open calls at a graceful stop", k_ms_rule,
         [](Settings& s, const std::string& v) { return store_ms(s.stop_timeout, v); }},
    Spec{"log-level", "LEVEL", "lowest level logged", "debug, info, warn, error or off",
         store_log_level},
    Spec{"log-format", "FORMAT", "format of log lines", "text or json",
         [](Settings& s, const std::string& v) {
           return store_choice(s.log_json, v, "json", "text");
         }},
    Spec{"trace-collector", "URL", "OTLP/HTTP collector of trace spans",
         "an http:// or https:// URL", store_url},
    Spec{"seed", "NUMBER", "seed of random choices", "0 to 18446744073709551615",
         [](Settings& s, const std::string& v) { return store_number(s.seed, v); }},
};

std::string environment_name(std::string_view flag) {
  std::string name{k_environment_prefix};
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

Result<void> store(const Spec& spec, Settings& settings, const std::string& value,
                   const std::string& source) {
  if (spec.store(settings, value)) {
    return {};
  }
  return not_run(ErrorCode::invalid_argument,
                 fmt::format("{}: '{}' is not allowed; expected {}", source,
                             spec.secret ? "(secret)" : value, spec.allowed));
}

constexpr int k_help_option = 1'000;
constexpr int k_version_option = 1'001;
constexpr int k_check_option = 1'002;

std::vector<option> long_options() {
  std::vector<option> options;
  options.reserve(k_specs.size() + 4);
  int index = 0;
  for (const auto& spec : k_specs) {
    options.push_back({spec.name, required_argument, nullptr, index++});
  }
  options.push_back({"help", no_argument, nullptr, k_help_option});
  options.push_back({"version", no_argument, nullptr, k_version_option});
  options.push_back({"check", no_argument, nullptr, k_check_option});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

Result<void> read_environment(Settings& settings, std::vector<bool>& given) {
  for (std::size_t i = 0; i < k_specs.size(); ++i) {
    const auto name = environment_name(k_specs[i].name);
    const char* value = std::getenv(name.c_str());
    if (value == nullptr || given[i]) {
      continue;
    }
    given[i] = true;
    if (auto stored = store(k_specs[i], settings, value, name); !stored) {
      return stored;
    }
  }
  return {};
}

/// Checks that the required settings are given, derives the advertised addresses that are not, and
/// checks that the listeners differ.
Result<void> complete_settings(Settings& settings, const std::vector<bool>& given) {
  for (std::size_t i = 0; i < k_specs.size(); ++i) {
    if (k_specs[i].required && !given[i]) {
      return not_run(ErrorCode::invalid_argument,
                     fmt::format("--{} or {} is required: {}", k_specs[i].name,
                                 environment_name(k_specs[i].name), k_specs[i].allowed));
    }
  }
  if (settings.advertise_caller.empty()) {
    settings.advertise_caller = settings.listen;
  }
  if (settings.advertise_peer.empty()) {
    settings.advertise_peer = settings.peer_listen;
  }
  if (settings.listen == settings.admin_listen || settings.listen == settings.peer_listen ||
      settings.admin_listen == settings.peer_listen) {
    return not_run(ErrorCode::invalid_argument,
                   fmt::format("--listen '{}', --admin-listen '{}' and --peer-listen '{}' must "
                               "differ",
                               settings.listen, settings.admin_listen, settings.peer_listen));
  }
  return {};
}

}  // namespace

std::string usage() {
  std::string text =
      "Usage: arbutusdaled [OPTION]...\n"
      "Entry daemon: routes calls to services, places batch tasks, carries out plans.\n"
      "Each flag can also be given by an environment variable; a flag overrides it.\n\n";
  for (const auto& spec : k_specs) {
    const auto flag = fmt::format("--{}={}", spec.name, spec.argument);
    text += fmt::format("  {:<28} {}{}\n{:31}{}; {}\n", flag, spec.help,
                        spec.required ? " (required)" : "", "", environment_name(spec.name),
                        spec.allowed);
  }
  text += "  --check                      check the settings and exit\n";
  text += "  --help                       print this text and exit\n";
  text += "  --version                    print the version and exit\n";
  return text;
}

Result<CommandLine> parse_command_line(int argc, char** argv) {
  CommandLine line;
  std::vector<bool> given(k_specs.size(), false);
  const auto options = long_options();
  optind = 0;  // resets getopt, which keeps its position in a global variable
  opterr = 0;
  for (;;) {
    const int chosen = getopt_long(argc, argv, "", options.data(), nullptr);
    if (chosen == -1) {
      break;
    }
    if (chosen == k_help_option || chosen == k_version_option) {
      line.action = chosen == k_help_option ? Action::help : Action::version;
      return line;
    }
    if (chosen == k_check_option) {
      line.action = Action::check;
      continue;
    }
    if (chosen == '?') {
      return not_run(ErrorCode::invalid_argument,
                     fmt::format("unknown option or missing value: '{}'", argv[optind - 1]));
    }
    const auto& spec = k_specs.at(static_cast<std::size_t>(chosen));
    given[static_cast<std::size_t>(chosen)] = true;
    if (auto stored = store(spec, line.settings, optarg, fmt::format("--{}", spec.name)); !stored) {
      return tl::unexpected<Error>(stored.error());
    }
  }
  if (optind < argc) {
    return not_run(ErrorCode::invalid_argument,
                   fmt::format("unexpected argument '{}'", argv[optind]));
  }
  if (auto read = read_environment(line.settings, given); !read) {
    return tl::unexpected<Error>(read.error());
  }
  if (auto checked = complete_settings(line.settings, given); !checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return line;
}

}  // namespace arbutusdale::daemon
