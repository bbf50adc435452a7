// Tests of the daemon's settings.
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

Result<CommandLine> parse(std::vector<std::string> words) {
  std::vector<char*> arguments;
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  return parse_command_line(static_cast<int>(arguments.size()), arguments.data());
}

Result<CommandLine> parse_with(const std::string& extra) {
  auto words = k_valid;
  words.push_back(extra);
  return parse(words);
}

}  // namespace

// Guards against defaults that a valid command line does not reach.
Test(settings, accepts_valid_flags) {
  const auto line = parse(k_valid);
  cr_assert(line.has_value());
  cr_assert(line->settings.id == "entry-1");
  cr_assert(line->settings.advertise_peer == "127.0.0.1:8082");
}

// Guards against an error that does not say which setting, which value and what is allowed.
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

// Guards against a variable of the environment that overrides a flag.
Test(settings, flag_goes_before_environment) {
  setenv("ARBUTUSDALE_ID", "entry-2", 1);
  setenv("ARBUTUSDALE_LEASE_MS", "5000", 1);
  const auto line = parse(k_valid);
  cr_assert(line.has_value());
  cr_assert(line->settings.id == "entry-1");
  cr_assert(line->settings.lease == std::chrono::seconds{5});
}

// Guards against a daemon that starts without a setting that it cannot do without.
Test(settings, required_settings_are_named) {
  const auto line = parse({"arbutusdaled"});
  cr_assert_not(line.has_value());
  cr_assert(line.error().message.find("--id") != std::string::npos);
}

// Guards against two listeners on one address, which would fail only after the start.
Test(settings, listeners_must_differ) {
  cr_assert_not(parse_with("--admin-listen=127.0.0.1:8080").has_value());
}

// Guards against silently ignored words and unknown flags.
Test(settings, refuses_unknown_words) {
  cr_assert_not(parse_with("extra").has_value());
  cr_assert_not(parse_with("--unknown=1").has_value());
  cr_assert_not(parse_with("--lease-ms=10s").has_value());
  cr_assert_not(parse_with("--weighting=fast").has_value());
}
