// Answers as the gateway builds, keeps and replays them.
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

/// Form in which the key table keeps an answer (CBOR); nothing when `text` is not of that form.
std::string encode_answer(const Answer& answer);
std::optional<Answer> decode_answer(std::string_view text);

}  // namespace arbutusdale::gateway
