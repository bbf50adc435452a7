// Name tables of verdicts and error codes.
#include "arbutusdale/core/verdict.hpp"

#include "arbutusdale/core/enum_names.hpp"

#include <utility>

namespace arbutusdale {
namespace {

constexpr EnumNames<Verdict, 3> k_verdict_names{{
    {Verdict::answered, "answered"},
    {Verdict::not_run, "not_run"},
    {Verdict::may_have_run, "may_have_run"},
}};

constexpr EnumNames<ErrorCode, 12> k_error_names{{
    {ErrorCode::invalid_argument, "invalid_argument"},
    {ErrorCode::not_found, "not_found"},
    {ErrorCode::conflict, "conflict"},
    {ErrorCode::unauthorized, "unauthorized"},
    {ErrorCode::overloaded, "overloaded"},
    {ErrorCode::deadline_exceeded, "deadline_exceeded"},
    {ErrorCode::unavailable, "unavailable"},
    {ErrorCode::connection_lost, "connection_lost"},
    {ErrorCode::trimmed, "trimmed"},
    {ErrorCode::stale_token, "stale_token"},
    {ErrorCode::too_large, "too_large"},
    {ErrorCode::internal, "internal"},
}};

}  // namespace

std::string_view to_string(Verdict verdict) {
  return enum_name(k_verdict_names, verdict);
}

std::string_view to_string(ErrorCode code) {
  return enum_name(k_error_names, code);
}

tl::unexpected<Error> not_run(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, Verdict::not_run, std::move(message)});
}

tl::unexpected<Error> may_have_run(ErrorCode code, std::string message) {
  return tl::unexpected<Error>(Error{code, Verdict::may_have_run, std::move(message)});
}

}  // namespace arbutusdale
