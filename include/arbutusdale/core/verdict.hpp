// Verdicts, error codes and the result type that all modules return.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace arbutusdale {

/// Says whether a request or command may have taken effect.
enum class Verdict : std::uint8_t {
  answered,      ///< a whole answer was received
  not_run,       ///< proved: no byte could have reached a party that acts on it
  may_have_run,  ///< everything else
};

enum class ErrorCode : std::uint8_t {
  invalid_argument,
  not_found,
  conflict,
  unauthorized,
  overloaded,
  deadline_exceeded,
  unavailable,      ///< the other side refused the connection or answered that it is out
  connection_lost,  ///< failed after the first byte was sent
  trimmed,          ///< the offset asked for is below the log's trim horizon
  stale_token,
  too_large,
  internal,
};

/// Name of a verdict as it appears in problem documents, metrics and logs.
std::string_view to_string(Verdict verdict);

/// Name of an error code as it appears in problem documents, metrics and logs.
std::string_view to_string(ErrorCode code);

/// A failed operation: what went wrong, in words for an operator, and whether it may have run.
struct Error {
  ErrorCode code = ErrorCode::internal;
  Verdict verdict = Verdict::may_have_run;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// Failure of something that had no effect.
tl::unexpected<Error> not_run(ErrorCode code, std::string message);

/// Failure of something that may have had its effect.
tl::unexpected<Error> may_have_run(ErrorCode code, std::string message);

}  // namespace arbutusdale
