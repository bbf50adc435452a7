// Setup and callbacks of a transfer.
#include "transfer.hpp"

#include <algorithm>
#include <cstdlib>
#include <string>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace arbutusdale::gateway {
namespace {

constexpr std::size_t k_max_answer_header_bytes = 65'536;
// A connection with unacknowledged data or unanswered keepalive probes is closed after this time,
// which is shorter than the deadline of most calls.
constexpr unsigned k_tcp_user_timeout_ms = 3'000;
constexpr long k_keepalive_idle_s = 5;
constexpr long k_keepalive_interval_s = 1;

std::string header_line(const HeaderField& field) {
  // libcurl's syntax for a field with an empty value.
  return field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
}

long whole_seconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return static_cast<long>(std::max<std::int64_t>(1, seconds));
}

long whole_milliseconds(Duration duration) {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<long>(std::max<std::int64_t>(1, ms));
}

Duration get_time(CURL* easy, CURLINFO info) {
  curl_off_t microseconds = 0;
  curl_easy_getinfo(easy, info, &microseconds);
  return Duration{microseconds};
}

}  // namespace

void Transfer::prepare(CURL* easy, const UpstreamOptions& options) {
  m_easy = easy;
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_URL, ("http://" + m_request.address + "/").c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, m_request.target.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  // Ignores proxy settings of the environment: targets are reached directly.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, m_request.fresh_connection ? 1L : 0L);
  // A kept connection would add an idle one to the pool with every such call: at 5 calls a second
  // and 15 s of idle time more than the 64 connections that a worker allows.
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, m_request.fresh_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_data);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  set_method();
  set_headers();
  set_limits(options);
}

void Transfer::set_method() {
  if (m_request.method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (m_request.has_body) {
    curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.data());
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_request.body.size()));
  }
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void Transfer::set_headers() {
  const auto add = [this](const std::string& line) {
    m_header_lines = curl_slist_append(m_header_lines, line.c_str());
  };
  for (const auto& field : m_request.headers) {
    add(header_line(field));
  }
  // Keeps libcurl from adding fields that the caller did not send.
  add("Expect:");
  for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
    if (find_header(m_request.headers, name) == nullptr) {
      add(std::string(name) + ":");
    }
  }
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_header_lines);
}

void Transfer::set_limits(const UpstreamOptions& options) {
  curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, whole_milliseconds(m_request.timeout));
  curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, whole_milliseconds(options.connect_timeout));
  curl_easy_setopt(m_easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt(m_easy, CURLOPT_LOW_SPEED_TIME, whole_seconds(m_request.silence));
  curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, static_cast<long>(options.idle_age_s));
  curl_easy_setopt(m_easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(options.lifetime_s));
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPIDLE, k_keepalive_idle_s);
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPINTVL, k_keepalive_interval_s);
  curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, &on_socket);
}

int Transfer::on_socket(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &k_tcp_user_timeout_ms,
             sizeof(k_tcp_user_timeout_ms));
  return CURL_SOCKOPT_OK;
}

std::size_t Transfer::on_header(char* data, std::size_t size, std::size_t count, void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::size_t bytes = size * count;
  return transfer.take_header_line(std::string_view(data, bytes)) ? bytes : 0;
}

bool Transfer::take_header_line(std::string_view line) {
  // Later lines are trailers of a chunked body, which are not forwarded.
  if (m_head_done) {
    return true;
  }
  m_header_bytes += line.size();
  if (m_header_bytes > k_max_answer_header_bytes) {
    return false;
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return finish_head();
  }
  const auto colon = line.find(':');
  if (line.starts_with("HTTP/") || colon == std::string_view::npos) {
    m_headers.clear();
    return true;
  }
  auto value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) {
    value.remove_suffix(1);
  }
  m_headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  return true;
}

bool Transfer::finish_head() {
  long status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200) {
    m_headers.clear();
    return true;
  }
  m_head_done = true;
  const auto length = body_length();
  const auto result = m_sink->on_head(static_cast<int>(status), std::move(m_headers), length);
  m_abandoned = result == SinkResult::abandon;
  return !m_abandoned;
}

std::optional<std::uint64_t> Transfer::body_length() const {
  if (find_header(m_headers, "Transfer-Encoding") != nullptr) {
    return std::nullopt;
  }
  const auto* value = find_header(m_headers, "Content-Length");
  return value == nullptr ? std::nullopt : parse_number(*value);
}

std::size_t Transfer::on_data(char* data, std::size_t size, std::size_t count, void* self) {
  auto& transfer = *static_cast<Transfer*>(self);
  const std::size_t bytes = size * count;
  switch (transfer.m_sink->on_data(std::string_view(data, bytes))) {
    case SinkResult::taken:
      return bytes;
    case SinkResult::pause:
      return CURL_WRITEFUNC_PAUSE;
    case SinkResult::abandon:
      break;
  }
  transfer.m_abandoned = true;
  return 0;
}

UpstreamResult Transfer::classify(CURLcode code) const {
  if (m_abandoned) {
    return UpstreamResult::abandoned;
  }
  if (code == CURLE_OK) {
    return m_head_done ? UpstreamResult::complete : UpstreamResult::lost;
  }
  // Number of request bytes written to the socket.
  long sent_bytes = 0;
  curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  if (sent_bytes == 0) {
    return UpstreamResult::not_sent;
  }
  const bool deadline = get_time(m_easy, CURLINFO_TOTAL_TIME_T) >= m_request.timeout;
  return code == CURLE_OPERATION_TIMEDOUT && deadline ? UpstreamResult::timed_out
                                                      : UpstreamResult::lost;
}

void Transfer::finish(CURLcode code, bool abandon) {
  m_abandoned = m_abandoned || abandon;
  UpstreamEnd end;
  end.result = classify(code);
  end.total = get_time(m_easy, CURLINFO_TOTAL_TIME_T);
  end.sent_after = get_time(m_easy, CURLINFO_PRETRANSFER_TIME_T);
  if (code != CURLE_OK) {
    end.message = curl_easy_strerror(code);
  }
  m_sink->on_end(end);
}

}  // namespace arbutusdale::gateway
