// arbutusctl, the command-line tool for operators.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "admin_client.hpp"
#include "commands.hpp"
#include "options.hpp"

namespace {

/// Content of a file, or nothing when it cannot be read; "-" is the standard input.
std::optional<std::string> read_file(const std::string& name) {
  if (name == "-") {
    return std::string{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return file.bad() ? std::nullopt : std::optional<std::string>(std::move(text));
}

}  // namespace

int main(int argc, char** argv) {
  using namespace arbutusdale::cli;
  const auto options = parse_options(argc, argv);
  if (!options) {
    std::cerr << "arbutusctl: " << options.error().message << "\n";
    return static_cast<int>(Exit::usage);
  }
  const auto client = make_admin_client(options->server, options->token);
  return static_cast<int>(run_command(*options, *client, {std::cout, std::cerr, &read_file}));
}
