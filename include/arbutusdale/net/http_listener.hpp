// HTTP/1.1 listener on an event loop. The handler gets each request complete and may respond later.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusdale::net {

struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::string host;
  std::string deadline_ms;  // value of the deadline header; empty without one
  std::string body;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// One request and its response. Destroying it without a response closes the connection.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const = 0;
  /// Sends the response; only the first call has an effect.
  virtual void respond(HttpResponse response) = 0;
};

struct HttpListenerOptions {
  std::string address;          // IP:port
  std::string deadline_header;  // name of the header that carries the caller's deadline
  unsigned max_connections = 2'048;
  unsigned idle_timeout_s = 30;
  std::size_t max_body_bytes = 1'048'576;
};

class HttpListener {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpListener() = default;
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;
  virtual ~HttpListener() = default;

  virtual Result<void> start() = 0;
  /// From now on, each connection is closed after its next response.
  virtual void close_after_answers() = 0;
  /// Number of requests that have been read and have no response yet.
  [[nodiscard]] virtual std::size_t open_exchanges() const = 0;
};

/// The loop must outlive the listener.
std::unique_ptr<HttpListener> make_http_listener(EventLoop& loop, HttpListenerOptions options,
                                                 HttpListener::Handler handler);

}  // namespace arbutusdale::net
