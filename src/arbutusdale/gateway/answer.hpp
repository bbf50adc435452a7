// HTTP answers that the gateway builds, stores and replays.
#pragma once

#include "arbutusdale/core/verdict.hpp"

#include <optional>
#include <string>
#include <string_view>

#include "headers.hpp"

namespace arbutusdale::gateway {

struct AnswerHead {
  int status = 200;
  HeaderList headers;
};

struct Answer {
  AnswerHead head;
  std::string body;
};

/// HTTP status for an error.
int error_status(const Error& error);

/// RFC 9457 problem document with the member `verdict`; Retry-After with 503 and 429.
Answer problem(int status, const Error& error);
Answer problem(const Error& error);

/// Encodes an answer as CBOR for the key table, and decodes it; nothing when `text` is malformed.
std::string encode_answer(const Answer& answer);
std::optional<Answer> decode_answer(std::string_view text);

}  // namespace arbutusdale::gateway
