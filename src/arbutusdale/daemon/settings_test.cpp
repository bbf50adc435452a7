// Tests of the daemon's settings and command line.
#include "settings.hpp"

#include <cstdlib>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace arbutusdale;
using namespace arbutusdale::daemon;

namespace {

const std::vector<std::string> k_valid{
    "arbutusdaled",
    "--id=entry-1",
    "--domain=halle-a",
    "--platform=127.0.0.1:9000",
    "--operator-tokens=anna:0123456789abcdef",
    "--fleet-token=0123456789abcdef",
    "--fleet-public-key=0123456789012345678901234567890123456789",
    "--fleet-secret-key=0123456789012345678901234567890123456789"};

Result<CommandLine> parse(std::vector<std::string> arguments) {
  std::vector<char*> argv;
  for (auto& argument : arguments) {
    argv.push_back(argument.data());
  }
  return parse_command_line(static_cast<int>(argv.size()), argv.data());
}

Result<CommandLine> parse_with(const std::string& extra) {
  auto arguments = k_valid;
  arguments.push_back(extra);
  return parse(arguments);
}

}  // namespace

// Guards against a valid command line that is rejected, and against defaults that are not applied.
Test(settings, accepts_valid_flags) {
  const auto line = parse(k_valid);
  cr_assert(line.has_value());
  cr_assert(line->settings.id == "entry-1");
  cr_assert(line->settings.advertise_peer == "127.0.0.1:8082");
}

// Guards against error messages that lack the setting, its value or what is allowed.
Test(settings, error_names_setting_value_and_rule) {
  const auto line = parse_with("--listen=localhost:99999");
  cr_assert_not(line.has_value());
  const auto& message = line.error().message;
  cr_assert(message.find("--listen") != std::string::npos);
  cr_assert(message.find("localhost:99999") != std::string::npos);
  cr_assert(message.find("IPv4") != std::string::npos);
}

// Guards against secrets that appear in error messages.
Test(settings, error_hides_secrets) {
  const auto line = parse_with("--fleet-token=short");
  cr_assert_not(line.has_value());
  cr_assert(line.error().message.find("short") == std::string::npos);
}

// Guards against an environment variable that overrides a flag, or that is ignored without one.
Test(settings, flag_overrides_environment) {
  setenv("ARBUTUSDALE_ID", "entry-2", 1);
  setenv("ARBUTUSDALE_LEASE_MS", "5000", 1);
  const auto line = parse(k_valid);
  cr_assert(line.has_value());
  cr_assert(line->settings.id == "entry-1");
  cr_assert(line->settings.lease == std::chrono::seconds{5});
}

// Guards against a daemon that starts without a required setting.
Test(settings, required_settings_are_named) {
  const auto line = parse({"arbutusdaled"});
  cr_assert_not(line.has_value());
  cr_assert(line.error().message.find("--id") != std::string::npos);
}

// Guards against two listeners with the same address, which would fail only when the second is
// opened.
Test(settings, listeners_must_differ) {
  cr_assert_not(parse_with("--admin-listen=127.0.0.1:8080").has_value());
}

// Guards against unexpected arguments, unknown flags and malformed values that are silently
// ignored.
Test(settings, rejects_unknown_arguments) {
  cr_assert_not(parse_with("extra").has_value());
  cr_assert_not(parse_with("--unknown=1").has_value());
  cr_assert_not(parse_with("--lease-ms=10s").has_value());
  cr_assert_not(parse_with("--weighting=fast").has_value());
}
