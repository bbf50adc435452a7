// Set-up of the process's log: plain lines or one JSON object per line, on standard error.
#pragma once

#include <memory>
#include <string>

#include <spdlog/formatter.h>

namespace arbutusdale::observe {

struct LogOptions {
  std::string level = "info";  // trace, debug, info, warning, error, critical, off
  bool json = false;
};

/// Replaces spdlog's default logger. False when the level is unknown; nothing changes then.
bool setup_logging(const LogOptions& options);

/// Formatter of a line. In JSON form the message is escaped and invalid UTF-8 is replaced, so that
/// every line is a valid JSON object.
std::unique_ptr<spdlog::formatter> make_log_formatter(bool json);

}  // namespace arbutusdale::observe
