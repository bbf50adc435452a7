// Problem documents and the encoding of stored answers.
#include "answer.hpp"

#include <nlohmann/json.hpp>

namespace arbutusdale::gateway {
namespace {

using Json = nlohmann::json;

constexpr std::string_view k_retry_after_s = "1";

std::string title(ErrorCode code) {
  std::string text(to_string(code));
  for (char& c : text) {
    c = c == '_' ? ' ' : c;
  }
  return text;
}

}  // namespace

int error_status(const Error& error) {
  switch (error.code) {
    case ErrorCode::invalid_argument:
      return 400;
    case ErrorCode::unauthorized:
      return 401;
    case ErrorCode::not_found:
      return 404;
    case ErrorCode::conflict:
    case ErrorCode::stale_token:
      return 409;
    case ErrorCode::too_large:
      return 413;
    case ErrorCode::deadline_exceeded:
      // A call refused or dropped before it was sent is reported as overload.
      return error.verdict == Verdict::not_run ? 503 : 504;
    case ErrorCode::connection_lost:
      return 502;
    case ErrorCode::overloaded:
    case ErrorCode::unavailable:
    case ErrorCode::trimmed:
      return error.verdict == Verdict::not_run ? 503 : 502;
    case ErrorCode::internal:
      break;
  }
  return 500;
}

Answer problem(int status, const Error& error) {
  const Json document = {{"type", "urn:arbutusdale:problem:" + std::string(to_string(error.code))},
                         {"title", title(error.code)},
                         {"status", status},
                         {"detail", error.message},
                         {"verdict", to_string(error.verdict)}};
  Answer answer;
  answer.head.status = status;
  answer.head.headers = {{"Content-Type", "application/problem+json"},
                         {std::string(k_verdict_header), std::string(to_string(error.verdict))}};
  if (status == 503 || status == 429) {
    answer.head.headers.push_back({"Retry-After", std::string(k_retry_after_s)});
  }
  answer.body = document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return answer;
}

Answer problem(const Error& error) {
  return problem(error_status(error), error);
}

std::string encode_answer(const Answer& answer) {
  Json headers = Json::array();
  for (const auto& field : answer.head.headers) {
    // Stored as bytes: header values need not be UTF-8, but CBOR text must be.
    headers.push_back(Json::binary({field.name.begin(), field.name.end()}));
    headers.push_back(Json::binary({field.value.begin(), field.value.end()}));
  }
  const Json document = {{"status", answer.head.status},
                         {"headers", std::move(headers)},
                         {"body", Json::binary({answer.body.begin(), answer.body.end()})}};
  const auto bytes = Json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

std::optional<Answer> decode_answer(std::string_view text) {
  const Json document = Json::from_cbor(text.begin(), text.end(), true, false);
  if (!document.is_object() || !document.contains("status") || !document.contains("headers") ||
      !document.contains("body") || !document["status"].is_number_integer() ||
      !document["headers"].is_array() || !document["body"].is_binary()) {
    return std::nullopt;
  }
  Answer answer;
  answer.head.status = document["status"].get<int>();
  const auto as_string = [](const Json& value) {
    const auto& bytes = value.get_binary();
    return std::string(bytes.begin(), bytes.end());
  };
  const auto& headers = document["headers"];
  for (std::size_t i = 0; i + 1 < headers.size(); i += 2) {
    if (!headers[i].is_binary() || !headers[i + 1].is_binary()) {
      return std::nullopt;
    }
    answer.head.headers.push_back({as_string(headers[i]), as_string(headers[i + 1])});
  }
  answer.body = as_string(document["body"]);
  return answer;
}

}  // namespace arbutusdale::gateway
