// Verbs of arbutusctl.
#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include "admin_client.hpp"
#include "options.hpp"

namespace arbutusdale::cli {

/// Output streams and file access of the verbs; replaced in tests.
struct CommandIo {
  std::ostream& out;
  std::ostream& err;
  std::function<std::optional<std::string>(const std::string&)> read_file;
};

/// Runs the verb. `client` is used only by verbs that need the server.
Exit run_command(const Options& options, AdminClient& client, const CommandIo& io);

}  // namespace arbutusdale::cli
