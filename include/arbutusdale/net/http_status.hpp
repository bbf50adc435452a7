// HTTP status codes that the daemons send or handle.
#pragma once

namespace arbutusdale::net {

inline constexpr int k_http_ok = 200;
inline constexpr int k_http_bad_request = 400;
inline constexpr int k_http_not_found = 404;
inline constexpr int k_http_method_not_allowed = 405;
inline constexpr int k_http_conflict = 409;
inline constexpr int k_http_gone = 410;
inline constexpr int k_http_precondition_failed = 412;
inline constexpr int k_http_too_large = 413;
inline constexpr int k_http_misdirected = 421;
inline constexpr int k_http_too_many_requests = 429;
inline constexpr int k_http_unavailable = 503;
inline constexpr int k_http_timeout = 504;
inline constexpr int k_http_insufficient_storage = 507;

}  // namespace arbutusdale::net
