// Asynchronous HTTP/1.1 client on an event loop, with persistent connections and a verdict for
// each error.
#pragma once

#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusdale::net {

enum class HttpMethod : std::uint8_t { get, post };

struct HttpCall {
  HttpMethod method = HttpMethod::get;
  std::string url;
  std::vector<std::string> headers;  // "Name: value"
  std::string body;                  // of a POST
  /// Limit for the connection and, from the time at which the request is sent, for the whole
  /// response. A request is never sent later than a second after the call.
  Duration timeout{};
  /// When a reused connection closes before the first byte of the response, libcurl sends the
  /// request again on a new one. Otherwise the call ends with an error. The result tells of the
  /// last copy only: its refusal doesn't prove that an earlier copy was not carried out.
  bool is_repeatable = false;
};

struct HttpReply {
  int status = 0;
  std::string body;
};

/// Runs calls and reports the result of each exactly once, on the loop. Any complete response is an
/// HttpReply, whatever its status. An error is `not_run` when no connection was established, else
/// `may_have_run`.
class HttpClient {
 public:
  using Done = std::function<void(Result<HttpReply>)>;

  HttpClient() = default;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  virtual ~HttpClient() = default;

  virtual void call(HttpCall call, Done done) = 0;
};

/// The loop must outlive the client.
std::unique_ptr<HttpClient> make_http_client(EventLoop& loop);

}  // namespace arbutusdale::net
