// HTTP header fields and the rules for forwarding them (RFC 9110, section 7.6).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusdale::gateway {

struct HeaderField {
  std::string name;
  std::string value;
};

using HeaderList = std::vector<HeaderField>;

/// Names of the headers that arbutusdale defines or reads.
inline constexpr std::string_view k_hop_header = "Arbutusdale-Hop";
inline constexpr std::string_view k_timeout_header = "Arbutusdale-Timeout-Ms";
inline constexpr std::string_view k_team_header = "Arbutusdale-Team";
inline constexpr std::string_view k_verdict_header = "Arbutusdale-Verdict";
inline constexpr std::string_view k_key_header = "Idempotency-Key";
inline constexpr std::string_view k_trace_header = "traceparent";

/// Case-insensitive comparison of ASCII names.
bool same_name(std::string_view left, std::string_view right);

/// Value of the first field called `name`, or null.
const std::string* find_header(const HeaderList& headers, std::string_view name);

/// Fields that may be forwarded: all but hop-by-hop fields, those named by Connection, message
/// framing, and fields that only daemons may set.
HeaderList end_to_end_headers(const HeaderList& headers);

/// Parses a non-negative decimal number; nothing for any other text or on overflow.
std::optional<std::uint64_t> parse_number(std::string_view text);

/// Path and query of a request target in origin form or absolute form; nothing for other forms,
/// control characters, and paths with dot segments, which a target could resolve to another
/// service's path.
std::optional<std::string> origin_form(std::string_view target);

/// Compares secrets in a time that does not depend on the position of the first difference.
bool same_secret(std::string_view left, std::string_view right);

}  // namespace arbutusdale::gateway
