// HTTP client on libcurl. Each call opens a new connection: libcurl silently retries a request when
// a reused connection turns out to be closed, and a POST must not run twice.
#include "admin_client.hpp"

#include <cctype>
#include <memory>
#include <utility>

#include <curl/curl.h>
#include <fmt/format.h>

namespace arbutusdale::cli {
namespace {

constexpr long k_connect_timeout_ms = 3'000;
constexpr long k_total_timeout_ms = 30'000;

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using Headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* body) {
  auto& text = *static_cast<std::string*>(body);
  const std::size_t bytes = size * count;
  if (text.size() + bytes > k_max_response_bytes) {
    return 0;  // libcurl ends the transfer with CURLE_WRITE_ERROR
  }
  text.append(data, bytes);
  return bytes;
}

bool failed_before_sending(CURLcode code) {
  return code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_COULDNT_CONNECT ||
         code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

class CurlClient final : public AdminClient {
 public:
  CurlClient(std::string server, std::string token)
      : m_server(std::move(server)), m_token(std::move(token)) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
  }
  ~CurlClient() override { curl_global_cleanup(); }

  Result<HttpResponse> get(const std::string& path) override { return call(path, nullptr); }
  Result<HttpResponse> post(const std::string& path, const std::string& body) override {
    return call(path, &body);
  }

 private:
  Result<HttpResponse> call(const std::string& path, const std::string* body);
  [[nodiscard]] Headers make_headers() const;

  std::string m_server;
  std::string m_token;
};

Headers CurlClient::make_headers() const {
  Headers headers(nullptr, &curl_slist_free_all);
  const auto add = [&headers](const std::string& line) {
    headers.reset(curl_slist_append(headers.release(), line.c_str()));
  };
  add("Content-Type: application/json");
  add("Expect:");
  if (!m_token.empty()) {
    add("Authorization: Bearer " + m_token);
  }
  return headers;
}

Result<HttpResponse> CurlClient::call(const std::string& path, const std::string* body) {
  const Handle handle(curl_easy_init(), &curl_easy_cleanup);
  if (!handle) {
    return not_run(ErrorCode::internal, "libcurl cannot be initialized");
  }
  const std::string url = m_server + path;
  const Headers headers = make_headers();
  HttpResponse response;
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, k_connect_timeout_ms);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, k_total_timeout_ms);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &write_body);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  if (body != nullptr) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body->size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body->c_str());
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) {
    const std::string message = fmt::format("{}: {}", m_server, curl_easy_strerror(code));
    return failed_before_sending(code) ? not_run(ErrorCode::unavailable, message)
                                       : may_have_run(ErrorCode::connection_lost, message);
  }
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
  return response;
}

}  // namespace

std::unique_ptr<AdminClient> make_admin_client(std::string server, std::string token) {
  return std::make_unique<CurlClient>(std::move(server), std::move(token));
}

std::string encode_segment(const std::string& segment) {
  std::string encoded;
  for (const char c : segment) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
    encoded += plain ? std::string(1, c) : fmt::format("%{:02X}", byte);
  }
  return encoded;
}

}  // namespace arbutusdale::cli
