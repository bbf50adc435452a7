// Verdicts, error codes and the result type that all modules return.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace arbutusdale {

/// Whether a request or command may have taken effect.
enum class Verdict : std::uint8_t {
  answered,      ///< a complete response was received
  not_run,       ///< proven: no byte could have reached a process that acts on it
  may_have_run,  ///< everything else
};

enum class ErrorCode : std::uint8_t {
  invalid_argument,
  not_found,
  conflict,
  unauthorized,
  overloaded,
  deadline_exceeded,
  unavailable,      ///< the peer refused the connection or reported itself unavailable
  connection_lost,  ///< failed after the first byte was sent
  trimmed,          ///< the requested offset is below the log's trim horizon
  stale_token,
  too_large,
  internal,
};

/// Name of a verdict as it appears in problem documents, metrics and logs.
std::string_view to_string(Verdict verdict);

/// Name of an error code as it appears in problem documents, metrics and logs.
std::string_view to_string(ErrorCode code);

/// A failed operation: what went wrong, whether it may have run, and a message for operators.
struct Error {
  ErrorCode code = ErrorCode::internal;
  Verdict verdict = Verdict::may_have_run;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Error of an operation that had no effect.
tl::unexpected<Error> not_run(ErrorCode code, std::string message);

/// Error of an operation that may have taken effect.
tl::unexpected<Error> may_have_run(ErrorCode code, std::string message);

}  // namespace arbutusdale
